package discovery

import (
	"maps"
	"time"

	"github.com/crocushinge/crocushinge/history"
)

const (
	// departureMemory is how long a target that left is remembered. Copies that a store comes
	// back from are some seconds old.
	departureMemory = 10 * time.Minute
	// maxDepartures limits how many are remembered. It is about the number of targets of a
	// large fleet.
	maxDepartures = 8192
	// revivedHold is how long a target that was removed before a restore is not used if the copy
	// still has its row. By then the store has removed it again: a row expires after three
	// missed heartbeats of 1.5 s.
	revivedHold = 6 * time.Second
)

// departures holds when the targets that were removed lately were last known, by the store's clock
// in milliseconds.
type departures map[Key]int64

// record remembers the known targets that a read no longer has.
func (d *departures) record(known *Targets, byID map[string]Target, at int64) {
	for _, t := range known.List {
		if now, found := byID[t.ID]; found && now.Key() == t.Key() {
			continue
		}
		if *d == nil {
			*d = make(departures)
		}
		(*d)[t.Key()] = at
	}
	if len(*d) > maxDepartures {
		maps.DeleteFunc(*d, func(_ Key, gone int64) bool { return at-gone > departureMemory.Milliseconds() })
	}
}

// revived holds the targets that the copy from which the store came back may have in a state that
// they have left: registered though they were removed, or ready though they are leaving.
type revived struct {
	// leaving and removed are these targets.
	leaving, removed map[Key]bool
	// from is the first reading of the present history. A row with a later revision was written
	// after the restore.
	from history.Reading
}

// begin begins a history with its first reading. A target that was removed and has come back since
// is not gone.
func (r *revived) begin(known *Targets, gone departures, from history.Reading) {
	held := r.removed
	*r = revived{leaving: make(map[Key]bool), removed: make(map[Key]bool), from: from}
	for key, at := range gone {
		if from.At-at <= departureMemory.Milliseconds() {
			r.removed[key] = true
		}
	}
	for _, t := range known.List {
		switch key := t.Key(); {
		case !t.Leaving:
			delete(r.removed, key)
		case !held[key]:
			r.leaving[key] = true
		}
	}
}

// apply marks the revived targets of a read as leaving.
func (r *revived) apply(byID map[string]Target, read history.Reading) {
	held := read.At-r.from.At < revivedHold.Milliseconds()
	for id, t := range byID {
		key := t.Key()
		switch {
		case !r.leaving[key] && !r.removed[key]:
		case t.Revision > r.from.Revision:
			delete(r.leaving, key)
			delete(r.removed, key)
		case r.leaving[key] || held:
			t.Leaving = true
			byID[id] = t
		default:
			delete(r.removed, key)
			t.Revision = read.Revision
			byID[id] = t
		}
	}
}
