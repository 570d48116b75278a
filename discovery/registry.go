package discovery

import (
	"maps"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/history"
)

// Registry merges reads of the store into the set of known targets. All times are by
// the store's clock, so that all hosts decide alike. The control thread owns it.
type Registry struct {
	known *Targets
	// confirmed is the latest reading by any host.
	confirmed history.Reading
	// InTouchAfter is how soon after an outage, or a cut of this host, a target that is gone must not
	// be used any more; 0 for no such bound.
	InTouchAfter time.Duration
	outages      outages
	// kept holds the ids of the known targets that this host has kept without a row.
	kept map[string]bool
	// removals are the targets that were removed lately, for ChangesSince.
	removals removals
	// departures are the targets that left lately, and revived those of them that the store's
	// present history has brought back.
	departures departures
	revived    revived
}

// Known returns the known targets, or nil before the first read.
func (r *Registry) Known() *Targets { return r.known }

// Confirm records that some host made a reading of the store.
func (r *Registry) Confirm(reading history.Reading) {
	restored := r.confirmed.History.Before(reading.History)
	switch {
	case r.known == nil:
		r.outages.begin(reading)
	case restored:
		r.outages.endRestore(r.confirmed, reading, r.InTouchAfter)
	case reading.At-r.confirmed.At > OutageGap.Milliseconds():
		r.outages.endGap(r.confirmed, reading, r.InTouchAfter)
	}
	if restored || !reading.ConfirmedBefore(r.confirmed) {
		r.confirmed = reading.Or(r.confirmed.History)
	}
}

// NoteUnavailable records that the store did not serve this host, or another one, at a time by the store's
// clock.
func (r *Registry) NoteUnavailable(at int64) {
	r.outages.noteUnavailable(at)
}

// Coverage returns when the store was read, for hosts that take over the known targets.
func (r *Registry) Coverage() Coverage { return r.outages.coverage }

// ConfirmCopy is like Confirm for a reading by another host that has the same targets, with its coverage.
// That host decides from then on which of them it keeps without a row.
func (r *Registry) ConfirmCopy(reading history.Reading, coverage Coverage) {
	r.Confirm(reading)
	r.outages.adopt(coverage, false, reading.At)
	r.kept = nil
}

// EndGrace drops the targets that were kept without a row if the grace period has ended at the given time
// by the store's clock. It reports whether there were any.
func (r *Registry) EndGrace(at int64) bool {
	if len(r.kept) == 0 || at < r.outages.coverage.GraceUntil {
		return false
	}
	byID := r.known.byID()
	maps.DeleteFunc(byID, func(id string, _ Target) bool { return r.kept[id] })
	r.kept = nil
	r.replaceKnown(byID, r.known.Reading)
	return true
}

// Merge replaces the known targets by those of a read of the store by this host, except for those that
// retainKnown keeps. It reports whether the read was at least as new as the known targets; an older read
// is ignored. A late read may have an earlier revision: a store hands out many changes in several
// responses.
func (r *Registry) Merge(read *Targets) bool { return r.MergeCopy(read, Coverage{}) }

// MergeCopy is like Merge for the copy of another host, with its coverage.
func (r *Registry) MergeCopy(read *Targets, coverage Coverage) bool {
	if r.known != nil && read.Before(r.known.Reading) {
		return false
	}
	r.Confirm(read.Reading)
	complete := r.outages.completes(coverage)
	r.outages.adopt(coverage, r.known == nil, read.At)
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
	r.retainKnown(byID, reading, !complete && reading.At < r.outages.coverage.GraceUntil)
	r.replaceKnown(byID, reading)
	return true
}

// replaceKnown replaces the known targets by those as of a reading.
func (r *Registry) replaceKnown(byID map[string]Target, reading history.Reading) {
	replaced := NewTargets(reading, slices.Collect(maps.Values(byID)))
	r.removals.record(r.known, replaced)
	r.departures.record(r.known, byID, reading.At)
	r.known = replaced
}

// retainKnown puts back known targets that a read must not remove. If the read has an
// earlier incarnation of a target than the known one, the known one stays: a delayed
// write of the earlier incarnation may have replaced its row, or a restore of the store has brought
// it back. In the grace period after an outage or a restore, targets stay whose rows are missing.
// What stays in a later history counts as changed at its reading, since its row has no revision there.
func (r *Registry) retainKnown(byID map[string]Target, read history.Reading, inGrace bool) {
	r.kept = nil
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
			if r.kept == nil {
				r.kept = make(map[string]bool)
			}
			r.kept[known.ID] = true
		}
	}
}
