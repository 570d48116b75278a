package timeline

import (
	"cmp"
	"slices"
	"time"
)

// Filter selects events. A field with its zero value matches every event.
type Filter struct {
	Service string
	// Target matches events about the target or host of that name, and events
	// that this host recorded about itself.
	Target  string
	Request string
	// Since and Until limit the physical time of the stamp, both inclusive.
	Since time.Time
	Until time.Time
}

// Match reports whether the filter matches an event.
func (f Filter) Match(e Event) bool {
	at := e.Stamp.Time()
	switch {
	case f.Service != "" && f.Service != e.Service:
		return false
	case f.Target != "" && f.Target != e.Target && (!isAboutOwnHost(e) || f.Target != e.Host):
		return false
	case f.Request != "" && f.Request != e.Request:
		return false
	case !f.Since.IsZero() && at.Before(f.Since):
		return false
	}
	return f.Until.IsZero() || !at.After(f.Until)
}

// isAboutOwnHost reports whether an event is about the host that recorded it.
func isAboutOwnHost(e Event) bool { return e.Target == "" && e.Service == "" && e.Request == "" }

// Select returns the events that the filter matches, in their original order.
func (f Filter) Select(events []Event) []Event {
	var out []Event
	for _, e := range events {
		if f.Match(e) {
			out = append(out, e)
		}
	}
	return out
}

// eventKey identifies an event: one incarnation of a host never uses a stamp
// twice.
type eventKey struct {
	host        string
	incarnation uint64
	stamp       Stamp
}

func keyOf(e Event) eventKey { return eventKey{e.Host, e.Incarnation, e.Stamp} }

// Merge combines the events of many hosts into one timeline, ordered by stamp,
// then by host and incarnation. Events that are in several lists are included
// once.
func Merge(lists ...[]Event) []Event {
	var out []Event
	seen := make(map[eventKey]bool)
	for _, list := range lists {
		for _, e := range list {
			if key := keyOf(e); !seen[key] {
				seen[key] = true
				out = append(out, e)
			}
		}
	}
	slices.SortFunc(out, compareEvents)
	return out
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.Wall, b.Stamp.Wall),
		cmp.Compare(a.Stamp.Logical, b.Stamp.Logical),
		cmp.Compare(a.Host, b.Host),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// Newest returns the last n events, and whether older events were left out.
func Newest(events []Event, n int) (newest []Event, truncated bool) {
	if len(events) <= n {
		return events, false
	}
	return events[len(events)-n:], true
}
