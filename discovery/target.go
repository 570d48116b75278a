package discovery

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushinge/crocushinge/zone"
)

// Target is the row that a target wrote to the store to register itself.
type Target struct {
	// ID identifies the target. A restarted target may keep it.
	ID string
	// Born is when this incarnation started, in Unix milliseconds by the
	// target's clock; 0 when the row does not say.
	Born    int64
	Service string
	// Address is "ip:port".
	Address string
	Zone    zone.ID
	// Slots is the limit of concurrent requests at the target.
	Slots int
	// Leaving is set once the target has announced that it is leaving.
	Leaving bool
	// Warming is set while the target is slow after its start.
	Warming bool
	// Revision is the store's version of the row.
	Revision uint64
}

// Key identifies one incarnation of a target.
type Key struct {
	ID   string
	Born int64
}

// Key returns the key of the incarnation that wrote the row.
func (t Target) Key() Key { return Key{ID: t.ID, Born: t.Born} }

// Targets holds the registered targets as of one read of the store. It is immutable.
type Targets struct {
	// Revision is the store's version at the time of the read.
	Revision uint64
	// List is sorted by id.
	List []Target
	// Digest is equal for two reads whose targets differ in nothing but their
	// revisions.
	Digest uint32
	// At is the time of the read by the store's monotonic clock, in milliseconds.
	At int64
}

// NewTargets returns the targets of a read at the given time of the store's clock. It
// takes ownership of the list.
func NewTargets(revision uint64, at int64, list []Target) *Targets {
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return &Targets{Revision: revision, At: at, List: list, Digest: digest(list)}
}

// byID returns the targets by their ids, in a new map.
func (t *Targets) byID() map[string]Target {
	out := make(map[string]Target, len(t.List))
	for _, target := range t.List {
		out[target.ID] = target
	}
	return out
}

// LeavingCount returns how many targets have announced that they are leaving.
func (t *Targets) LeavingCount() int {
	n := 0
	for _, target := range t.List {
		if target.Leaving {
			n++
		}
	}
	return n
}

// digest returns a hash of everything that affects where requests go. It leaves out
// the revisions of the rows, which change with every heartbeat.
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
		buf = strconv.AppendBool(buf, t.Leaving)
		buf = strconv.AppendBool(buf, t.Warming)
		_, _ = h.Write(buf) // a hash accepts every write
	}
	return uint32(h.Sum64())
}

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
	// confirmed is the time of the latest read by any host.
	confirmed int64
	// graceUntil is when targets whose rows expired in an outage are dropped.
	graceUntil int64
	// removals are the targets that were removed lately, for ChangesSince.
	removals removals
}

// Known returns the known targets, or nil before the first read.
func (r *Registry) Known() *Targets { return r.known }

// Confirm records that some host read the store at the given time. A gap longer than
// OutageGap since the previous read begins a grace period.
func (r *Registry) Confirm(at int64) {
	if r.known != nil && at-r.confirmed > OutageGap.Milliseconds() {
		r.graceUntil = at + ReRegistrationGrace.Milliseconds()
	}
	r.confirmed = max(r.confirmed, at)
}

// Merge replaces the known targets by those of a read by this host or another one,
// except for those that retainKnown keeps. It reports whether the read was at least as
// new as the known targets; an older read is ignored. A late read may have an earlier
// revision: a store hands out many changes in several responses.
func (r *Registry) Merge(read *Targets) bool {
	if r.known != nil && (read.At < r.known.At || read.Revision < r.known.Revision) {
		return false
	}
	r.Confirm(read.At)
	if r.known == nil {
		r.removals.record(nil, read)
		r.known = read
		return true
	}
	byID := read.byID()
	r.retainKnown(byID, read.At < r.graceUntil)
	merged := NewTargets(read.Revision, read.At, slices.Collect(maps.Values(byID)))
	r.removals.record(r.known, merged)
	r.known = merged
	return true
}

// retainKnown puts back known targets that a read must not remove. If the read has an
// earlier incarnation of a target than the known one, the known one stays: a delayed
// write of the earlier incarnation may have replaced its row. In the grace period after
// an outage, targets stay whose rows expired during the outage.
func (r *Registry) retainKnown(byID map[string]Target, inGrace bool) {
	for _, known := range r.known.List {
		read, found := byID[known.ID]
		switch {
		case found && read.Born != 0 && read.Born < known.Born:
			byID[known.ID] = known
		case !found && inGrace && !known.Leaving:
			byID[known.ID] = known
		}
	}
}
