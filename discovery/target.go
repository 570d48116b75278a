package discovery

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushinge/crocushinge/history"
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
	// Reading is the reading of the store that the targets are from.
	history.Reading
	// List is sorted by id.
	List []Target
	// Digest is equal for two reads whose targets differ in nothing but their
	// revisions.
	Digest uint32
}

// NewTargets returns the targets of a reading. It takes ownership of the list.
func NewTargets(reading history.Reading, list []Target) *Targets {
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return &Targets{Reading: reading, List: list, Digest: digest(list)}
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
