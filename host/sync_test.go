package host

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/zone"
)

// TestSyncAppliesOnlyNewerIdentities applies a list of hosts that a peer sends
// after a partition. The states of the hosts in the list must be ignored.
func TestSyncAppliesOnlyNewerIdentities(t *testing.T) {
	known := Identity{ID: "b", Incarnation: 2, Sequence: 1, FleetAddress: "10.0.0.2:1"}
	later := known
	later.Sequence = 2
	earlier := known
	earlier.Incarnation = 1
	newer := Identity{ID: "c", Incarnation: 1, FleetAddress: "10.0.0.3:1"}
	for name, test := range map[string]struct {
		update Update
		id     ID
		want   PeerState
	}{
		"known host that is suspect":       {Update{Identity: known, State: PeerSuspect}, "b", PeerAlive},
		"known host that is gone":          {Update{Identity: known, State: PeerGone}, "b", PeerAlive},
		"earlier incarnation that is gone": {Update{Identity: earlier, State: PeerGone}, "b", PeerAlive},
		"later identity that is suspect":   {Update{Identity: later, State: PeerSuspect}, "b", PeerAlive},
		"unknown host that is suspect":     {Update{Identity: newer, State: PeerSuspect}, "c", PeerAlive},
		"unknown host that is alive":       {Update{Identity: newer, State: PeerAlive}, "c", PeerAlive},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			c := New(Config{
				Self:   Identity{ID: "a", Incarnation: 1, FleetAddress: "10.0.0.1:1"},
				Zones:  zone.NewMap(nil, nil),
				Timing: DefaultTiming(),
				Rand:   rand.New(rand.NewPCG(1, 1)),
			})
			c.Handle(now, MessageReceived{Message: Message{From: known}})
			response := Message{From: Identity{ID: "d", Incarnation: 1, FleetAddress: "10.0.0.4:1"}}
			c.Handle(now, SyncSucceeded{Message: response, Members: []Update{test.update}})
			is.Equal(c.peers[test.id].State, test.want)
			if test.id == "b" {
				is.Equal(c.peers["b"].Identity.Incarnation, known.Incarnation)
			}
		})
	}
}
