package discovery

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushinge/crocushinge/zone"
)

// Target is a target's own entry in the store.
type Target struct {
	// ID names the target; a restarted target may keep it.
	ID string
	// Born is when this incarnation started, in Unix milliseconds by the
	// target's clock; 0 when it does not say.
	Born    int64
	Service string
	// Address is "ip:port".
	Address string
	Zone    zone.ID
	// Slots is how many requests the target works on at once.
	Slots int
	// Draining is set once the target has announced that it leaves.
	Draining bool
	// Warming is set while the target is slow after its start.
	Warming bool
	// Revision is the store's version of the entry.
	Revision uint64
}

// Key names one incarnation of a target.
type Key struct {
	ID   string
	Born int64
}

// Key returns the key of the entry's incarnation.
func (t Target) Key() Key { return Key{ID: t.ID, Born: t.Born} }

// Targets is the registered targets as of one reading. It is immutable.
type Targets struct {
	// Revision is the store's version at the reading.
	Revision uint64
	// List is sorted by id.
	List []Target
	// Digest is equal for two readings that say the same.
	Digest uint32
	// At is the store's steady clock at the reading, in milliseconds.
	At int64
}

// NewTargets returns the targets of a reading at a time of the store's clock. It
// takes the list over.
func NewTargets(revision uint64, at int64, list []Target) *Targets {
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return &Targets{Revision: revision, At: at, List: list, Digest: digest(list)}
}

// Draining returns how many targets have announced that they leave.
func (t *Targets) Draining() int {
	n := 0
	for _, e := range t.List {
		if e.Draining {
			n++
		}
	}
	return n
}

// digest covers what decides where requests go. The revisions of entries change
// with every heartbeat and are left out.
func digest(list []Target) uint32 {
	h := xxhash.New()
	var buf []byte
	for _, t := range list {
		buf = append(buf[:0], t.ID...)
		buf = append(buf, 0)
		buf = strconv.AppendInt(buf, t.Born, 36)
		buf = append(buf, 0)
		buf = append(buf, t.Service...)
		buf = append(buf, 0)
		buf = append(buf, t.Address...)
		buf = append(buf, 0)
		buf = append(buf, t.Zone...)
		buf = append(buf, 0)
		buf = strconv.AppendInt(buf, int64(t.Slots), 36)
		buf = strconv.AppendBool(buf, t.Draining)
		buf = strconv.AppendBool(buf, t.Warming)
		_, _ = h.Write(buf) // a hash accepts every write
	}
	return uint32(h.Sum64())
}

// RegisterGrace is how long after the store's return an entry that lapsed while
// it was away may still come back. Source: the platform promises two seconds.
const RegisterGrace = 2200 * time.Millisecond

// Registry merges readings of the store into what is believed. The control
// thread owns it.
type Registry struct {
	known *Targets
	// missing holds entries that lapsed while the store was away.
	missing map[string]Target
	// missingUntil is when they are taken to be gone.
	missingUntil time.Time
}

// Known returns the targets believed in, or nil before the first reading.
func (r *Registry) Known() *Targets { return r.known }

// Merge takes a reading over. outage is set when the store was away between this
// reading and the one before. It reports whether the reading was newer.
func (r *Registry) Merge(read *Targets, outage bool, now time.Time) bool {
	if r.known != nil && read.Revision < r.known.Revision {
		return false
	}
	byID := make(map[string]Target, len(read.List))
	for _, t := range read.List {
		byID[t.ID] = t
	}
	if outage {
		r.missing = make(map[string]Target)
		r.missingUntil = now.Add(RegisterGrace)
	}
	if r.known != nil {
		r.keepOld(byID, outage)
	}
	if !now.Before(r.missingUntil) {
		r.missing = nil
	}
	list := make([]Target, 0, len(byID)+len(r.missing))
	for _, t := range byID {
		list = append(list, t)
	}
	for id, t := range r.missing {
		if _, back := byID[id]; !back {
			list = append(list, t)
		}
	}
	r.known = NewTargets(read.Revision, read.At, list)
	return true
}

// keepOld keeps what a reading must not undo: a later incarnation of a target,
// whose entry a delayed write of an earlier one may have replaced, and, after
// an outage, entries that lapsed in it.
func (r *Registry) keepOld(byID map[string]Target, outage bool) {
	for _, old := range r.known.List {
		read, there := byID[old.ID]
		switch {
		case there && read.Born != 0 && read.Born < old.Born:
			byID[old.ID] = old
		case !there && outage && !old.Draining:
			r.missing[old.ID] = old
		}
	}
}

// Expire drops lapsed entries that did not come back in time. It reports whether
// any was dropped.
func (r *Registry) Expire(now time.Time) bool {
	if len(r.missing) == 0 || now.Before(r.missingUntil) {
		return false
	}
	list := slices.DeleteFunc(slices.Clone(r.known.List), func(t Target) bool {
		lapsed, ok := r.missing[t.ID]
		return ok && lapsed.Revision == t.Revision
	})
	r.missing = nil
	r.known = NewTargets(r.known.Revision, r.known.At, list)
	return true
}
