package discovery

import (
	"maps"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/history"
)

const (
	// ReRegistrationGrace is how long targets are kept after a store outage if their
	// rows expired during it. The platform guarantees that they register again within
	// two seconds.
	ReRegistrationGrace = 2200 * time.Millisecond
	// OutageGap is the longest gap between two reads that is not taken for a store
	// outage. During an outage, rows may expire. The gap is longer than it takes to
	// replace failed store readers.
	OutageGap = 2500 * time.Millisecond
)

// Registry merges reads of the store into the set of known targets. All times are by
// the store's clock, so that all hosts decide alike. The control thread owns it.
type Registry struct {
	known *Targets
	// confirmed is the latest reading by any host.
	confirmed history.Reading
	// graceUntil is when targets whose rows expired in an outage, or were lost in a restore, are
	// dropped.
	graceUntil int64
	// removals are the targets that were removed lately, for ChangesSince.
	removals removals
	// departures are the targets that left lately, and revived those of them that the store's
	// present history has brought back.
	departures departures
	revived    revived
}

// Known returns the known targets, or nil before the first read.
func (r *Registry) Known() *Targets { return r.known }

// Confirm records that some host made a reading of the store. A gap longer than OutageGap since
// the previous one, or a later history, begins a grace period.
func (r *Registry) Confirm(reading history.Reading) {
	restored := r.confirmed.History.Before(reading.History)
	if r.known != nil && (restored || reading.At-r.confirmed.At > OutageGap.Milliseconds()) {
		r.graceUntil = reading.At + ReRegistrationGrace.Milliseconds()
	}
	if restored || !reading.ConfirmedBefore(r.confirmed) {
		r.confirmed = reading.Or(r.confirmed.History)
	}
}

// Merge replaces the known targets by those of a read by this host or another one,
// except for those that retainKnown keeps. It reports whether the read was at least as
// new as the known targets; an older read is ignored. A late read may have an earlier
// revision: a store hands out many changes in several responses.
func (r *Registry) Merge(read *Targets) bool {
	if r.known != nil && read.Before(r.known.Reading) {
		return false
	}
	r.Confirm(read.Reading)
	if r.known == nil {
		r.removals.record(nil, read)
		r.known = read
		return true
	}
	reading := read.Or(r.known.History)
	if r.known.History.Before(reading.History) {
		r.revived.begin(r.known, r.departures, reading)
	}
	byID := read.byID()
	r.revived.apply(byID, reading)
	r.retainKnown(byID, reading)
	merged := NewTargets(reading, slices.Collect(maps.Values(byID)))
	r.removals.record(r.known, merged)
	r.departures.record(r.known, byID, reading.At)
	r.known = merged
	return true
}

// retainKnown puts back known targets that a read must not remove. If the read has an
// earlier incarnation of a target than the known one, the known one stays: a delayed
// write of the earlier incarnation may have replaced its row, or a restore of the store has brought
// it back. In the grace period after an outage or a restore, targets stay whose rows are missing.
// What stays in a later history counts as changed at its reading, since its row has no revision there.
func (r *Registry) retainKnown(byID map[string]Target, read history.Reading) {
	inGrace := read.At < r.graceUntil
	for _, known := range r.known.List {
		if r.known.History.Before(read.History) {
			known.Revision = read.Revision
		}
		got, found := byID[known.ID]
		switch {
		case found && got.Born != 0 && got.Born < known.Born:
			byID[known.ID] = known
		case !found && inGrace && !known.Leaving:
			byID[known.ID] = known
		}
	}
}
