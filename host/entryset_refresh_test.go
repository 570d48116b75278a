package host

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/zone"
)

// regionZones are the zones of two regions, and one undeclared zone.
var regionZones = []zone.ID{"a1", "a2", "a3", "b1", "b2", "unknown"}

func regionMap() *zone.Map {
	var zones []zone.Zone
	for _, id := range regionZones[:5] {
		zones = append(zones, zone.Zone{ID: id, Region: string(id[:1])})
	}
	return zone.NewMap(zones, nil)
}

// entrySetHistory applies a generated sequence of changes of hosts and
// contracts to one core.
type entrySetHistory struct {
	t    *rapid.T
	core *Core
	now  time.Time
}

func newEntrySetHistory(t *rapid.T) *entrySetHistory {
	self := Identity{ID: "h05", Incarnation: 1, Zone: "a1", Address: "h05:80", FleetAddress: "h05"}
	core := New(Config{Self: self, Zones: regionMap(), Timing: DefaultTiming(), Rand: rand.New(rand.NewPCG(1, 1))})
	return &entrySetHistory{t: t, core: core, now: time.UnixMilli(1_000_000)}
}

func (h *entrySetHistory) step() {
	switch rapid.IntRange(0, 9).Draw(h.t, "step") {
	case 0:
		h.publishRandomContract()
	case 1:
		h.core.startLeaving(h.now)
	case 2:
		h.core.dropExpiredPeers(h.now.Add(h.core.cfg.Timing.ForgetAfter))
	case 3:
		h.reachThroughRelay()
	case 4:
		name := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(h.t, "service"))
		h.core.handleDrain(h.now, OperatorDrain{Target: target.Key{Service: name, Name: "t0"}})
	case 5:
		h.core.handlePingResponse(h.now, PingSucceeded{Message: Message{From: h.drawPeer()}})
	default:
		h.applyRandomUpdate()
	}
	h.now = h.now.Add(time.Second)
}

// drawPeer returns a peer, or this host when it has none.
func (h *entrySetHistory) drawPeer() Identity {
	ids := h.core.sortedPeerIDs()
	if len(ids) == 0 {
		return h.core.self
	}
	return h.core.peers[rapid.SampledFrom(ids).Draw(h.t, "peer")].Identity
}

// reachThroughRelay makes a relay reach a peer that this host does not reach
// directly.
func (h *entrySetHistory) reachThroughRelay() {
	subject := h.drawPeer()
	h.core.pingRounds[subject.ID] = &pingRound{subject: subject, relaysAsked: 1}
	h.core.handleIndirectPingResult(h.now, IndirectPingEnded{Subject: subject.ID, Reached: true})
}

func (h *entrySetHistory) applyRandomUpdate() {
	name := fmt.Sprintf("h%02d", rapid.IntRange(0, 20).Draw(h.t, "host"))
	h.core.applyUpdate(h.now, Update{
		Identity: Identity{
			ID: ID(name), Incarnation: uint64(rapid.IntRange(1, 2).Draw(h.t, "incarnation")),
			Sequence: uint32(rapid.IntRange(0, 3).Draw(h.t, "sequence")),
			Zone:     rapid.SampledFrom(regionZones).Draw(h.t, "zone"),
			Leaving:  rapid.Bool().Draw(h.t, "leaving"), Address: name + ":80", FleetAddress: name,
		},
		State: PeerState(rapid.IntRange(int(PeerAlive), int(PeerGone)).Draw(h.t, "state")),
	})
}

func (h *entrySetHistory) publishRandomContract() {
	c := testContract(fmt.Sprint("s", rapid.IntRange(0, 4).Draw(h.t, "service")),
		rapid.IntRange(1, 30).Draw(h.t, "targets"), float64(rapid.IntRange(0, 900).Draw(h.t, "load")))
	inZones := rapid.SampledFrom([][]zone.ID{{"a1"}, {"b2"}, {"a1", "b1"}, {"elsewhere"}}).Draw(h.t, "zones")
	for i := range c.Targets {
		c.Targets[i].Zone = inZones[i%len(inZones)]
	}
	h.core.Handle(h.now, ConfigurationRead{
		Revision: h.core.Revision() + 1, FromStore: true,
		Changes: []contract.Change{{Revision: h.core.Revision() + 1, Subject: c.Service, Contract: c}},
	})
}

// recompute computes all entry sets from the hosts alone.
func (h *entrySetHistory) recompute() map[string]EntrySet {
	hosts := []Identity{h.core.self}
	for _, p := range h.core.peers {
		if p.State != PeerGone {
			hosts = append(hosts, p.Identity)
		}
	}
	slices.SortFunc(hosts, byID)
	sets := make(map[string]EntrySet)
	for name, s := range h.core.services {
		sets[name] = newEntrySet(s.Contract, newCandidates(hosts), h.core.cfg.Zones)
	}
	return sets
}

// check compares the state that is updated incrementally with state that is
// computed from scratch.
func (h *entrySetHistory) check() {
	h.core.rebuildEntrySets(h.now)
	if want := h.recompute(); !reflect.DeepEqual(h.core.entrySets, want) {
		h.t.Fatalf("entry sets %+v, recomputed %+v", h.core.entrySets, want)
	}
	for i, name := range h.core.serviceNames {
		h.checkShares(name)
		if h.core.isEntryHostAt(i) != (h.core.entrySets[name].Rank(h.core.self.ID) >= 0) {
			h.t.Fatalf("services with this host as entry host %v do not match the entry sets", h.core.entrySetState.ownServices)
		}
	}
	cached := *h.core.summarizePeers()
	h.core.summary = nil
	if fresh := *h.core.summarizePeers(); !reflect.DeepEqual(cached, fresh) {
		h.t.Fatalf("peer summary %+v, recomputed %+v", cached, fresh)
	}
	h.core.publish()
	view := h.core.Snapshot()
	h.core.staleParts = partServices | partHosts
	if fresh := h.core.Snapshot(); !reflect.DeepEqual(view, fresh) {
		h.t.Fatalf("snapshot %+v, rebuilt %+v", view, fresh)
	}
	h.core.staleParts = 0
}

// checkShares fails the test if the limit of a link is not this host's share of
// the target's slots.
func (h *entrySetHistory) checkShares(name string) {
	s, set := h.core.services[name], h.core.entrySets[name]
	rank := set.Rank(h.core.self.ID)
	for i, spec := range s.Contract.Targets {
		want := 1
		if rank >= 0 {
			want = service.SlotShare(s.Contract.Targets, len(set.Members), rank)[i]
		}
		if got := s.Link(spec.Name).Limit(); got != want {
			h.t.Fatalf("%s/%s: limit %d, share %d", name, spec.Name, got, want)
		}
	}
}

func TestIncrementalStateEqualsRecomputedState(t *testing.T) {
	members, unchanged := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := newEntrySetHistory(t)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			before := h.core.entrySets
			h.step()
			h.check()
			for name, set := range h.core.entrySets {
				members += len(set.Members)
				if reflect.DeepEqual(before[name], set) {
					unchanged++
				}
			}
		}
	})
	if members == 0 || unchanged == 0 {
		t.Error("the generated histories have no entry set members or no unchanged sets")
	}
}
