// Package history orders what is read from a store that may come back from a copy of itself.
// What was written since the copy is gone then, and revisions go back and are given out again: a
// revision orders readings within one history only.
package history

// ID numbers the histories of a store. It rises each time the store comes back from a copy. 0 is
// an unknown history: that of a store that names none, or of a host of an earlier version.
type ID uint64

// Before reports whether a history is known to be earlier than another. An unknown one is neither
// earlier nor later.
func (h ID) Before(other ID) bool { return h != 0 && other != 0 && h < other }

// Comparable reports whether revisions and times of two histories may be compared, because
// neither is known to be earlier.
func (h ID) Comparable(other ID) bool { return !h.Before(other) && !other.Before(h) }

// Position is up to where the changes of a log were read.
type Position struct {
	History  ID
	Revision uint64
}

// Before reports whether a position is earlier than another.
func (p Position) Before(other Position) bool {
	if !p.History.Comparable(other.History) {
		return p.History.Before(other.History)
	}
	return p.Revision < other.Revision
}

// Reading identifies one reading of a store.
type Reading struct {
	History ID
	// Revision is the store's version at the time of the reading. It rises within a history.
	Revision uint64
	// At is the time of the reading by the store's monotonic clock, in milliseconds.
	At int64
}

// Or returns the reading in the given history, if its own is unknown.
func (r Reading) Or(h ID) Reading {
	if r.History == 0 {
		r.History = h
	}
	return r
}

// Before reports whether a reading is earlier than another: in an earlier history or, in the
// same one, by its time or its revision.
func (r Reading) Before(other Reading) bool {
	if !r.History.Comparable(other.History) {
		return r.History.Before(other.History)
	}
	return r.At < other.At || r.Revision < other.Revision
}

// ConfirmedBefore is like Before, but for a copy that a reading has confirmed unchanged: only the
// time counts.
func (r Reading) ConfirmedBefore(other Reading) bool {
	if !r.History.Comparable(other.History) {
		return r.History.Before(other.History)
	}
	return r.At < other.At
}
