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

// regionZones are the zones of two regions, and one zone that is not declared.
var regionZones = []zone.ID{"a1", "a2", "a3", "b1", "b2", "unknown"}

func regionMap() *zone.Map {
	var zones []zone.Zone
	for _, id := range regionZones[:5] {
		zones = append(zones, zone.Zone{ID: id, Region: string(id[:1])})
	}
	return zone.NewMap(zones, nil)
}

// frontingHistory drives one core through generated changes of hosts and
// contracts.
type frontingHistory struct {
	t    *rapid.T
	core *Core
	now  time.Time
}

func newFrontingHistory(t *rapid.T) *frontingHistory {
	self := Identity{ID: "h05", Incarnation: 1, Zone: "a1", Address: "h05:80", FleetAddress: "h05"}
	core := New(Config{Self: self, Zones: regionMap(), Timing: DefaultTiming(), Rand: rand.New(rand.NewPCG(1, 1))})
	return &frontingHistory{t: t, core: core, now: time.UnixMilli(1_000_000)}
}

func (h *frontingHistory) step() {
	switch rapid.IntRange(0, 9).Draw(h.t, "step") {
	case 0:
		h.publish()
	case 1:
		h.core.shutdown(h.now)
	case 2:
		h.core.forgetLost(h.now.Add(h.core.cfg.Timing.ForgetAfter))
	case 3:
		h.relay()
	case 4:
		name := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(h.t, "service"))
		h.core.drain(h.now, OperatorDrain{Target: target.Key{Service: name, Name: "t0"}})
	case 5:
		h.core.pingAnswered(h.now, PingAnswered{Message: Message{From: h.known()}})
	default:
		h.learn()
	}
	h.now = h.now.Add(time.Second)
}

// known returns a peer, or this host when it has none.
func (h *frontingHistory) known() Identity {
	ids := h.core.sortedPeerIDs()
	if len(ids) == 0 {
		return h.core.self
	}
	return h.core.peers[rapid.SampledFrom(ids).Draw(h.t, "peer")].Identity
}

// relay lets a relay reach a peer that this host does not reach.
func (h *frontingHistory) relay() {
	subject := h.known()
	h.core.rounds[subject.ID] = &pingRound{subject: subject, asked: 1}
	h.core.indirectAnswered(h.now, IndirectAnswered{Subject: subject.ID, Reached: true})
}

func (h *frontingHistory) learn() {
	name := fmt.Sprintf("h%02d", rapid.IntRange(0, 20).Draw(h.t, "host"))
	h.core.learn(h.now, Update{
		Identity: Identity{
			ID: ID(name), Incarnation: uint64(rapid.IntRange(1, 2).Draw(h.t, "incarnation")),
			Sequence: uint32(rapid.IntRange(0, 3).Draw(h.t, "sequence")),
			Zone:     rapid.SampledFrom(regionZones).Draw(h.t, "zone"),
			Leaving:  rapid.Bool().Draw(h.t, "leaving"), Address: name + ":80", FleetAddress: name,
		},
		State: PeerState(rapid.IntRange(int(PeerAlive), int(PeerGone)).Draw(h.t, "state")),
	})
}

func (h *frontingHistory) publish() {
	c := entryContract(fmt.Sprint("s", rapid.IntRange(0, 4).Draw(h.t, "service")),
		rapid.IntRange(1, 30).Draw(h.t, "targets"), float64(rapid.IntRange(0, 900).Draw(h.t, "load")))
	inZones := rapid.SampledFrom([][]zone.ID{{"a1"}, {"b2"}, {"a1", "b1"}, {"elsewhere"}}).Draw(h.t, "zones")
	for i := range c.Targets {
		c.Targets[i].Zone = inZones[i%len(inZones)]
	}
	h.core.Handle(h.now, ConfigurationRead{
		Revision: h.core.Revision() + 1, FromStore: true,
		Changes: []contract.Change{{Revision: h.core.Revision() + 1, Service: c.Service, Contract: c}},
	})
}

// fresh computes all entry sets from the hosts alone.
func (h *frontingHistory) fresh() map[string]EntrySet {
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

// check compares what is kept from step to step with what is computed anew.
func (h *frontingHistory) check() {
	h.core.rebuildEntrySets(h.now)
	if want := h.fresh(); !reflect.DeepEqual(h.core.entrySets, want) {
		h.t.Fatalf("entry sets %+v, computed anew %+v", h.core.entrySets, want)
	}
	for i, name := range h.core.names {
		h.checkShares(name)
		if h.core.frontsAt(i) != (h.core.entrySets[name].Rank(h.core.self.ID) >= 0) {
			h.t.Fatalf("fronted services %v do not follow the entry sets", h.core.fronting.own)
		}
	}
	kept := *h.core.countPeers()
	h.core.census = nil
	if fresh := *h.core.countPeers(); !reflect.DeepEqual(kept, fresh) {
		h.t.Fatalf("census %+v, taken anew %+v", kept, fresh)
	}
	h.core.publish()
	view := h.core.Snapshot()
	h.core.outdated = viewServices | viewHosts
	if fresh := h.core.Snapshot(); !reflect.DeepEqual(view, fresh) {
		h.t.Fatalf("snapshot %+v, built anew %+v", view, fresh)
	}
	h.core.outdated = 0
}

// checkShares fails the test when a link is not limited to this host's share.
func (h *frontingHistory) checkShares(name string) {
	s, set := h.core.services[name], h.core.entrySets[name]
	rank := set.Rank(h.core.self.ID)
	for i, spec := range s.Contract.Targets {
		want := 1
		if rank >= 0 {
			want = service.Share(s.Contract.Targets, len(set.Members), rank)[i]
		}
		if got := s.Link(spec.Name).Limit(); got != want {
			h.t.Fatalf("%s/%s: limit %d, share %d", name, spec.Name, got, want)
		}
	}
}

func TestKeptStateOfHostsIsAsComputedAnew(t *testing.T) {
	members, untouched := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := newFrontingHistory(t)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			before := h.core.entrySets
			h.step()
			h.check()
			for name, set := range h.core.entrySets {
				members += len(set.Members)
				if reflect.DeepEqual(before[name], set) {
					untouched++
				}
			}
		}
	})
	if members == 0 || untouched == 0 {
		t.Error("the histories do not reach the decisions under test")
	}
}
