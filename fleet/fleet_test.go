package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/timeline"
)

const (
	// drainBound is the promise for a leaving target, and a configuration.
	drainBound = 2 * time.Second
	perZone    = 6
	hostCount  = 3 * perZone
)

// settled returns a cluster whose hosts know each other and both documents.
func settled(t *testing.T, seed uint64) *cluster {
	t.Helper()
	c := newCluster(seed, perZone)
	c.run(5 * time.Second)
	is := is.New(t)
	is.True(c.all(func(n *node) bool { return n.snapshot.Ready && n.snapshot.Hosts == hostCount }))
	return c
}

func takes(n *node, id string) bool {
	for _, t := range n.snapshot.Services["orders"].Targets {
		if t.Key.Name == id {
			return true
		}
	}
	return false
}

func target(n *node, id string) *pool.Target {
	for _, t := range n.core.services["orders"].All() {
		if t.Key.Name == id {
			return t
		}
	}
	return nil
}

func drain(c *cluster, id string) {
	t := c.targets[id]
	t.Draining = true
	c.putTarget(t)
}

func TestHostsFindEachOtherAtTheFirstStart(t *testing.T) {
	settled(t, 1)
}

func TestDrainReachesEveryHost(t *testing.T) {
	is := is.New(t)
	c := settled(t, 2)
	id := "t-10.1.0.3:7000"
	drain(c, id)
	c.run(200 * time.Millisecond)
	is.True(c.all(func(n *node) bool { return !takes(n, id) }))
}

// TestDrainReachesEveryHostThoughReadersAreLost kills the first hosts in order at
// any moment around the change.
func TestDrainReachesEveryHostThoughReadersAreLost(t *testing.T) {
	for killed := 1; killed <= 4; killed++ {
		for offset := range 8 {
			t.Run(fmt.Sprintf("%d readers, offset %d", killed, offset), func(t *testing.T) {
				is := is.New(t)
				c := settled(t, uint64(10*killed+offset))
				c.run(time.Duration(offset) * 83 * time.Millisecond)
				for _, name := range c.ranked()[:killed] {
					c.kill(name)
				}
				id := "t-10.1.0.3:7000"
				drain(c, id)
				c.run(drainBound - 100*time.Millisecond)
				is.True(c.all(func(n *node) bool { return !takes(n, id) }))
			})
		}
	}
}

// TestViewsAgeWithoutTheStore fails when hosts confirm each other's views.
func TestViewsAgeWithoutTheStore(t *testing.T) {
	is := is.New(t)
	c := settled(t, 3)
	c.away = true
	c.run(5 * time.Second)
	is.True(c.all(func(n *node) bool {
		return n.core.targets.age(c.now) > 4*time.Second && n.core.config.age(c.now) > 4*time.Second
	}))
}

func TestHostWithoutPeersReadsForItself(t *testing.T) {
	is := is.New(t)
	c := settled(t, 4)
	alone := c.ranked()[hostCount-1]
	c.partition = func(a, b string) bool { return a == alone || b == alone }
	c.run(time.Second)
	id := "t-10.1.0.3:7000"
	drain(c, id)
	c.run(drainBound - 100*time.Millisecond)
	is.True(c.all(func(n *node) bool { return !takes(n, id) }))
}

func TestHostThatTheStoreTurnsAwayHearsFromOthers(t *testing.T) {
	is := is.New(t)
	c := settled(t, 5)
	for _, name := range c.ranked()[:6] {
		c.cut[name] = true
	}
	c.run(2 * time.Second)
	id := "t-10.1.0.3:7000"
	drain(c, id)
	c.configure(9)
	c.run(drainBound - 100*time.Millisecond)
	is.True(c.all(func(n *node) bool { return !takes(n, id) && n.snapshot.Configuration.Version == 9 }))
}

func TestConfigurationReachesEveryHostAtOnce(t *testing.T) {
	is := is.New(t)
	c := settled(t, 6)
	for v := discovery.Version(2); v < 20; v++ {
		c.configure(v)
		c.run(80 * time.Millisecond)
	}
	c.run(100 * time.Millisecond)
	is.True(c.all(func(n *node) bool { return n.snapshot.Configuration.Version == 19 }))
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	c := settled(t, 7)
	c.configure(5)
	c.run(500 * time.Millisecond)
	old := &Document{Configuration: discovery.NewConfiguration(4, nil, nil, discovery.Limits{})}
	c.each(func(n *node) {
		c.deliver(n, ConfigurationRead{Document: old, At: c.now.UnixMilli()})
		c.deliver(n, Fetched{Document: old})
	})
	is.True(c.all(func(n *node) bool { return n.snapshot.Configuration.Version == 5 }))
}

func TestOneHostsFailureIsKnownToAll(t *testing.T) {
	is := is.New(t)
	c := settled(t, 8)
	id := "t-10.1.0.3:7000"
	seer := c.hosts["10.2.0.4:7000"]
	c.deliver(seer, Observed{Observations: []Observation{{Target: target(seer, id), Outcome: link.Failed, Latency: time.Millisecond}}})
	c.run(10 * time.Millisecond)
	is.True(c.all(func(n *node) bool { return target(n, id).Suspect() }))
}

func TestLoadIsKnownToAllAndEndsWithItsHost(t *testing.T) {
	is := is.New(t)
	c := settled(t, 9)
	id := "t-10.1.0.3:7000"
	busy := c.hosts["10.2.0.4:7000"]
	beginAt(busy, id, 3)
	c.deliver(busy, Started{})
	c.run(60 * time.Millisecond)
	is.True(c.all(func(n *node) bool { return target(n, id).InFlight() == 3 }))
	c.kill(busy.address)
	c.run(silence + 300*time.Millisecond)
	is.True(c.all(func(n *node) bool { return target(n, id).InFlight() == 0 }))
}

// beginAt makes a host's requests at a target count as in flight.
func beginAt(n *node, id string, requests int) {
	for range requests {
		target(n, id).Begin(epoch)
	}
}

func TestLostRelayIsReplaced(t *testing.T) {
	is := is.New(t)
	c := settled(t, 10)
	for _, z := range []string{"10.0.", "10.1.", "10.2."} {
		for _, name := range c.ranked() {
			if name[:5] == z {
				c.kill(name)
				break
			}
		}
	}
	c.run(relaySilence + heartbeat + 300*time.Millisecond)
	id := "t-10.1.0.3:7000"
	var seer *node
	c.each(func(n *node) { seer = n })
	c.deliver(seer, Observed{Observations: []Observation{{Target: target(seer, id), Outcome: link.Failed, Latency: time.Millisecond}}})
	c.run(20 * time.Millisecond)
	is.True(c.all(func(n *node) bool { return target(n, id).Suspect() }))
}

func TestDirectoryDropsDeadAndLeavingHosts(t *testing.T) {
	is := is.New(t)
	c := settled(t, 11)
	dead, leaving := c.names[1], c.names[8]
	c.kill(dead)
	c.deliver(c.hosts[leaving], ShutdownRequested{})
	c.run(50 * time.Millisecond)
	named := func(n *node, address string) bool {
		for _, list := range n.snapshot.Directory {
			for _, p := range list {
				if p.Address == address {
					return true
				}
			}
		}
		return false
	}
	is.True(c.all(func(n *node) bool { return !named(n, leaving) }))
	c.run(silence + 200*time.Millisecond)
	is.True(c.all(func(n *node) bool { return !named(n, dead) }))
	c.restart(dead)
	c.run(time.Second)
	is.True(c.all(func(n *node) bool { return named(n, dead) }))
}

func TestAllHostsStartAgain(t *testing.T) {
	is := is.New(t)
	c := settled(t, 12)
	for _, name := range c.names {
		c.kill(name)
	}
	c.run(time.Second)
	for _, name := range c.names {
		c.restart(name)
	}
	c.run(500 * time.Millisecond)
	is.True(c.all(func(n *node) bool { return n.snapshot.Ready }))
	c.run(time.Second)
	is.True(c.all(func(n *node) bool { return n.snapshot.Hosts == hostCount }))
}

func TestHostThatStartsWithoutTheStoreLearnsFromPeers(t *testing.T) {
	is := is.New(t)
	c := settled(t, 13)
	c.away = true
	c.kill(c.names[4])
	c.run(3 * time.Second)
	n := c.restart(c.names[4])
	c.run(1500 * time.Millisecond)
	is.True(n.snapshot.Ready)
}

// TestStoreCallsDoNotGrowWithTheHosts counts the calls of a steady second.
func TestStoreCallsDoNotGrowWithTheHosts(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{2, 6, 20} {
		c := newCluster(14, hosts)
		c.run(8 * time.Second)
		before := c.reads
		c.run(10 * time.Second)
		is.True(c.reads-before <= 40) // two documents, a wait of 0.67 s
	}
}

func TestFleetDoesNotPressAStoreThatIsAway(t *testing.T) {
	is := is.New(t)
	c := newCluster(15, 16)
	c.run(8 * time.Second)
	c.away = true
	before := c.reads
	c.run(10 * time.Second)
	calls := c.reads - before
	// The eager hosts try each document about once a second, the others both
	// together every four seconds.
	is.True(calls < 10*2*eagerHosts+2*2*10*48/4)
	c.away = false
	c.configure(3)
	c.run(5 * time.Second)
	is.True(c.all(func(n *node) bool { return n.snapshot.Configuration.Version == 3 }))
}

func TestEntriesThatLapsedInAnOutageMayComeBack(t *testing.T) {
	is := is.New(t)
	c := settled(t, 16)
	back, gone := "t-10.1.0.3:7000", "t-10.1.0.4:7000"
	c.away = true
	c.run(6 * time.Second)
	kept := c.targets[back]
	c.dropTarget(back)
	c.dropTarget(gone)
	c.away = false
	c.run(1500 * time.Millisecond)
	is.True(c.all(func(n *node) bool { return takes(n, back) && takes(n, gone) }))
	c.putTarget(kept)
	c.run(discovery.RegisterGrace + 4*time.Second)
	is.True(c.all(func(n *node) bool { return takes(n, back) && !takes(n, gone) }))
}

func TestLostDatagramsAreMadeGood(t *testing.T) {
	is := is.New(t)
	c := settled(t, 17)
	c.loss = 0.1
	c.run(3 * time.Second)
	id := "t-10.1.0.3:7000"
	drain(c, id)
	c.configure(4)
	c.run(drainBound - 100*time.Millisecond)
	is.True(c.all(func(n *node) bool { return !takes(n, id) && n.snapshot.Configuration.Version == 4 }))
}

// TestLostDatagramsLoseNoHost loses more than the three in a hundred that lossy
// links of the platform lose.
func TestLostDatagramsLoseNoHost(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		c := settled(t, 200+seed)
		c.loss = 0.04
		for range 100 {
			c.run(50 * time.Millisecond)
			is.True(c.all(func(n *node) bool { return n.snapshot.Hosts == hostCount }))
		}
	}
}

func TestClusterReplaysBySeed(t *testing.T) {
	is := is.New(t)
	trace := func() []timeline.Event {
		c := newCluster(18, perZone)
		c.loss = 0.05
		c.run(5 * time.Second)
		drain(c, "t-10.1.0.3:7000")
		c.run(2 * time.Second)
		var out []timeline.Event
		for _, name := range c.names {
			out = append(out, c.hosts[name].events...)
		}
		return out
	}
	first, second := trace(), trace()
	is.Equal(len(first), len(second))
	for i := range first {
		is.Equal(first[i], second[i])
	}
}

// knowsAll reports whether every host counts all hosts that are up as live and names
// them to callers.
func knowsAll(c *cluster) bool {
	up := 0
	c.each(func(*node) { up++ })
	return c.all(func(n *node) bool {
		named := 0
		for _, hosts := range n.snapshot.Directory {
			named += len(hosts)
		}
		return len(n.core.live()) == up && named == up
	})
}

// TestHostsThatMissedEachOthersFirstDatagramsMeet was seen in the soak, seed 3: two hosts of a
// zone each relayed for a zone that they took to be their own.
func TestHostsThatMissedEachOthersFirstDatagramsMeet(t *testing.T) {
	for seed := range uint64(40) {
		is := is.New(t)
		c := newCluster(seed, 2)
		missed := time.Duration(1+seed) * 50 * time.Millisecond
		c.partition = func(a, b string) bool {
			return c.now.Sub(epoch) < missed && zoneOf(a) == zoneOf(b)
		}
		c.run(5 * time.Second)
		is.True(knowsAll(c))
	}
}

// zoneOf is the part of an address of the cluster that names its zone.
func zoneOf(address string) string { return address[:len("10.0")] }

func TestHostThatWasCutOffIsFoundAgain(t *testing.T) {
	for _, cut := range []time.Duration{3 * time.Second, 30 * time.Second, 11 * time.Minute} {
		is := is.New(t)
		c := settled(t, 5)
		alone := c.names[1]
		c.partition = func(a, b string) bool { return a == alone || b == alone }
		c.run(cut)
		is.Equal(len(c.hosts[alone].core.live()), 1)
		c.partition = nil
		c.run(3 * time.Second)
		is.True(knowsAll(c))
	}
}

func TestZonesThatLostEachOtherMeetAgain(t *testing.T) {
	for _, cut := range []time.Duration{3 * time.Second, 30 * time.Second, 11 * time.Minute} {
		is := is.New(t)
		c := settled(t, 6)
		c.partition = func(a, b string) bool { return zoneOf(a) != zoneOf(b) }
		c.run(cut)
		is.True(!knowsAll(c))
		c.partition = nil
		c.run(3 * time.Second)
		is.True(knowsAll(c))
	}
}

// TestSharesOfTheRetryBudgetNeverExceedIt: each host spends its share alone, also while it
// hears of no other.
func TestSharesOfTheRetryBudgetNeverExceedIt(t *testing.T) {
	is := is.New(t)
	shares := func(c *cluster) float64 {
		sum := 0.0
		c.each(func(n *node) { sum += n.snapshot.BudgetShare })
		return sum
	}
	const rounding = 1e-9
	c := newCluster(21, perZone)
	for range 120 { // the first start
		c.run(50 * time.Millisecond)
		is.True(shares(c) <= 1+rounding)
	}
	is.True(shares(c) > 0.99) // and all of it is used once the hosts know each other
	c.partition = func(a, b string) bool { return a != b }
	c.run(5 * time.Second)
	is.True(shares(c) <= 1+rounding)
	for _, name := range c.names { // all start anew, without each other and without the store
		c.kill(name)
	}
	c.away = true
	for _, name := range c.names {
		c.restart(name)
	}
	c.run(5 * time.Second)
	is.True(shares(c) <= 1+rounding)
	c.away, c.partition = false, nil
	c.run(15 * time.Second)
	is.True(shares(c) <= 1+rounding)
	is.True(shares(c) > 0.99)
}

func TestOnlyHostHasTheWholeBudget(t *testing.T) {
	is := is.New(t)
	n := newCluster(22, 1).hosts["10.0.0.0:7000"]
	core := New(n.config, epoch)
	is.Equal(core.Snapshot().BudgetShare, 0.0) // it knows nothing of others yet
	core.Handle(epoch, PeersRead{Peers: []Peer{n.config.Self}})
	core.Handle(epoch, Tick{})
	is.Equal(core.Snapshot().BudgetShare, 1.0)
}

// TestHostThatStartedAnewDoesNotSpendItsShareTwice: what it spent before counts in the same
// window.
func TestHostThatStartedAnewDoesNotSpendItsShareTwice(t *testing.T) {
	is := is.New(t)
	c := settled(t, 23)
	name := c.names[4]
	is.True(c.hosts[name].snapshot.BudgetShare > 0)
	c.kill(name)
	c.restart(name)
	for range int(budgetWindow / time.Second) {
		c.run(time.Second - time.Millisecond)
		is.Equal(c.hosts[name].snapshot.BudgetShare, 0.0)
	}
	c.run(time.Second)
	is.True(c.hosts[name].snapshot.BudgetShare > 0)
}

// TestRowsOfHostsThatAreGoneAreDropped: and a host that was only out of reach writes its row
// again.
func TestRowsOfHostsThatAreGoneAreDropped(t *testing.T) {
	is := is.New(t)
	c := newCluster(24, 1)
	c.run(5 * time.Second)
	gone, far := c.names[1], c.names[2]
	c.kill(gone)
	c.partition = func(a, b string) bool { return a == far || b == far }
	c.run(forgetAfter + time.Minute)
	first := c.hosts[c.names[0]]
	is.Equal(len(first.core.peers), 0)
	// Alone, neither may judge who is gone: the two apart keep each other's rows.
	is.Equal(len(c.removed), 0)
	c.partition = nil
	c.run(10 * time.Second)
	is.Equal(len(first.core.live()), 2)
}

func TestTheFirstHostDropsTheRows(t *testing.T) {
	is := is.New(t)
	c := newCluster(25, 1)
	c.run(5 * time.Second)
	c.kill(c.names[1])
	c.run(forgetAfter + time.Minute)
	is.Equal(len(c.removed), 1)
	is.True(c.removed[ID("host-"+c.names[1])])
	c.restart(c.names[1])
	c.run(5 * time.Second)
	is.Equal(len(c.removed), 0)
	is.True(knowsAll(c))
}

// TestHostsWithNothingNewCostABeat: in the sweep at 300 hosts, relays sent 6.8 MB/s of reports
// that said nothing new.
func TestHostsWithNothingNewCostABeat(t *testing.T) {
	is := is.New(t)
	c := settled(t, 26)
	c.whole, c.beats = 0, 0
	c.run(10 * time.Second)
	is.True(c.beats > 2*c.whole)
	is.True(knowsAll(c))
}

// TestLostEndOfLoadIsMadeGood: the datagram that says that a host has no more requests is lost, and
// beats follow.
func TestLostEndOfLoadIsMadeGood(t *testing.T) {
	is := is.New(t)
	c := settled(t, 27)
	id := "t-10.1.0.3:7000"
	busy := c.hosts[c.names[0]]
	beginAt(busy, id, 3)
	c.deliver(busy, Started{})
	c.run(300 * time.Millisecond)
	is.True(c.all(func(n *node) bool { return target(n, id).InFlight() == 3 }))
	c.loss = 1
	for range 3 {
		target(busy, id).End()
	}
	c.deliver(busy, Started{})
	c.run(100 * time.Millisecond)
	c.loss = 0
	c.run(time.Duration(beatsInARow+2) * heartbeat)
	is.True(c.all(func(n *node) bool { return target(n, id).InFlight() == 0 }))
}
