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

const (
	// RegisterGrace is how long after the store's return an entry that lapsed
	// while it was away may still come back. Source: the platform promises two
	// seconds.
	RegisterGrace = 2200 * time.Millisecond
	// OutageGap is the time between two readings from which entries may have
	// lapsed because the store was away: longer than it takes to replace lost
	// readers.
	OutageGap = 2500 * time.Millisecond
)

// Registry merges readings of the store into what is believed. All times are
// those of the store's clock, so that all hosts decide alike. The control thread
// owns it.
type Registry struct {
	known *Targets
	// confirmed is the time of the latest reading by any host.
	confirmed int64
	// graceUntil is when entries that lapsed in an outage are taken to be gone.
	graceUntil int64
}

// Known returns the targets believed in, or nil before the first reading.
func (r *Registry) Known() *Targets { return r.known }

// Confirm notes that some host has read the store at a time. A long gap since the
// reading before begins a grace.
func (r *Registry) Confirm(at int64) {
	if r.known != nil && at-r.confirmed > OutageGap.Milliseconds() {
		r.graceUntil = at + RegisterGrace.Milliseconds()
	}
	r.confirmed = max(r.confirmed, at)
}

// Merge takes a reading over, by this host or another one. It reports whether the
// reading was as new as what was known.
func (r *Registry) Merge(read *Targets) bool {
	if r.known != nil && read.At < r.known.At {
		return false
	}
	r.Confirm(read.At)
	if r.known == nil {
		r.known = read
		return true
	}
	byID := make(map[string]Target, len(read.List))
	for _, t := range read.List {
		byID[t.ID] = t
	}
	r.keepOld(byID, read.At < r.graceUntil)
	list := make([]Target, 0, len(byID))
	for _, t := range byID {
		list = append(list, t)
	}
	r.known = NewTargets(read.Revision, read.At, list)
	return true
}

// keepOld keeps what a reading must not undo: a later incarnation of a target,
// whose entry a delayed write of an earlier one may have replaced, and, in the
// grace after an outage, entries that lapsed in it.
func (r *Registry) keepOld(byID map[string]Target, grace bool) {
	for _, old := range r.known.List {
		read, there := byID[old.ID]
		switch {
		case there && read.Born != 0 && read.Born < old.Born:
			byID[old.ID] = old
		case !there && grace && !old.Draining:
			byID[old.ID] = old
		}
	}
}
