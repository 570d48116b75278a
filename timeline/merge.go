package timeline

import (
	"cmp"
	"slices"
	"time"
)

// Filter selects events. A field at its zero value selects all.
type Filter struct {
	Service string
	// Target selects events about a target or a host of that name, and what
	// that host records of itself.
	Target  string
	Request string
	// Since and Until bound the physical part of the stamp, both included.
	Since time.Time
	Until time.Time
}

// Match reports whether the filter selects an event.
func (f Filter) Match(e Event) bool {
	at := e.Stamp.Time()
	switch {
	case f.Service != "" && f.Service != e.Service:
		return false
	case f.Target != "" && f.Target != e.Target && (!ofItself(e) || f.Target != e.Host):
		return false
	case f.Request != "" && f.Request != e.Request:
		return false
	case !f.Since.IsZero() && at.Before(f.Since):
		return false
	}
	return f.Until.IsZero() || !at.After(f.Until)
}

// ofItself reports whether an event is about the host that recorded it.
func ofItself(e Event) bool { return e.Target == "" && e.Service == "" && e.Request == "" }

// Select returns the events that the filter selects, in their order.
func (f Filter) Select(events []Event) []Event {
	var out []Event
	for _, e := range events {
		if f.Match(e) {
			out = append(out, e)
		}
	}
	return out
}

// origin is what no two events share.
type origin struct {
	host        string
	incarnation uint64
	stamp       Stamp
}

func originOf(e Event) origin { return origin{e.Host, e.Incarnation, e.Stamp} }

// Merge puts the events of many hosts into one line, ordered by stamp, then by
// host and incarnation. An event that several lists hold stands in it once.
func Merge(lists ...[]Event) []Event {
	var out []Event
	seen := make(map[origin]bool)
	for _, list := range lists {
		for _, e := range list {
			if o := originOf(e); !seen[o] {
				seen[o] = true
				out = append(out, e)
			}
		}
	}
	slices.SortFunc(out, compare)
	return out
}

func compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.Wall, b.Stamp.Wall),
		cmp.Compare(a.Stamp.Logical, b.Stamp.Logical),
		cmp.Compare(a.Host, b.Host),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// Newest returns the last n events, and whether that left any out.
func Newest(events []Event, n int) (newest []Event, truncated bool) {
	if len(events) <= n {
		return events, false
	}
	return events[len(events)-n:], true
}
