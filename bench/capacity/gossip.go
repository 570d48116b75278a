package main

import (
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/storage"
)

const (
	// simulatedPeers is how many cores simulate the measured host's peers. Host
	// i is simulated by core i modulo simulatedPeers.
	simulatedPeers = 24
	// recordedPeers is how many simulated peers have their messages recorded for
	// the measured host.
	recordedPeers = 4
	// announcementFanout is how many peers receive the announcement of a host
	// whose identity has changed.
	announcementFanout = 4
)

// tracedMessage holds the updates about third hosts in one message of a peer.
type tracedMessage struct {
	at      time.Time
	updates []host.Update
}

// gossipTrace is a recording of the gossip that the peers exchange in a scenario
// and that the measured host receives from them. It is simulated in advance so
// that the processor time of the peers is not counted as the measured host's.
type gossipTrace struct {
	messages []tracedMessage
	next     int
	// announcements holds the identities that each host has announced since the
	// start, in order.
	announcements map[int][]announcement
}

// announcement is an identity that is valid from a time on.
type announcement struct {
	at       time.Time
	identity host.Identity
}

// nextUpdates returns the updates of a message chosen at random from those that
// were recorded in the second that starts at now.
func (g *gossipTrace) nextUpdates(now time.Time, rng *rand.Rand) []host.Update {
	for g.next < len(g.messages) && g.messages[g.next].at.Before(now) {
		g.next++
	}
	end := g.next
	for end < len(g.messages) && g.messages[end].at.Before(now.Add(time.Second)) {
		end++
	}
	if g.next == end {
		return nil
	}
	return g.messages[g.next+rng.IntN(end-g.next)].updates
}

// identity returns the latest identity that a host has announced.
func (g *gossipTrace) identity(size deploymentSize, i int, now time.Time) host.Identity {
	id := identity(size, i)
	for _, a := range g.announcements[i] {
		if !now.Before(a.at) {
			id = a.identity
		}
	}
	return id
}

// fleetSimulation simulates the membership of the other hosts, without services,
// to record a gossipTrace. Each of the simulatedPeers runs the core of a real
// host. The other hosts run no core. detectPeers generates the losses and returns
// that they detect, at the rate expected of that number of hosts.
type fleetSimulation struct {
	size     deploymentSize
	scenario scenario
	now      time.Time
	rng      *rand.Rand
	cores    []*host.Core
	queue    []delivery
	index    map[string]int
	// undetected holds the hosts whose loss or return no other host has noticed
	// yet.
	undetected map[int]bool
	// unreachable is true while the hosts that the scenario selects do not
	// respond.
	unreachable bool
	trace       gossipTrace
	// restarts holds the restart steps that are not done yet.
	restarts []restartStep
}

// delivery is an event for one simulated peer.
type delivery struct {
	to    int
	event host.Event
}

// simulateGossip runs the simulated peers through a scenario.
func simulateGossip(size deploymentSize, sc scenario) *gossipTrace {
	f := &fleetSimulation{
		size: size, scenario: sc, now: virtualStart, rng: rand.New(rand.NewPCG(3, 3)),
		index: make(map[string]int), undetected: make(map[int]bool),
	}
	f.trace.announcements = make(map[int][]announcement)
	var members []host.Update
	for i := range size.Hosts {
		f.index[identity(size, i).FleetAddress] = i
		members = append(members, host.Update{Identity: identity(size, i), State: host.PeerAlive})
	}
	f.start(members)
	f.now = f.now.Add(fleetAge)
	f.planRestarts(settleTime + 2*measureTime)
	f.run(settleTime)
	f.unreachable = true
	f.markUndetected()
	if sc.recovers {
		f.run(measureTime)
		f.unreachable = false
		f.markUndetected()
	}
	f.run(measureTime)
	return &f.trace
}

// start creates the simulated peers, from hosts that stay reachable.
func (f *fleetSimulation) start(members []host.Update) {
	for k := range simulatedPeers {
		i := k + 1
		for f.scenario.unreachable(f.size, i) {
			i += simulatedPeers
		}
		f.cores = append(f.cores, host.New(host.Config{
			Self: identity(f.size, i), Zones: f.size.zones(), Timing: host.DefaultTiming(),
			Rand: rand.New(rand.NewPCG(4, uint64(k))),
		}))
	}
	for k := range f.cores {
		f.handle(k, host.ConfigurationRead{Revision: uint64(f.size.Services), FromStore: true})
		f.handle(k, host.SyncSucceeded{Message: f.message(members[0].Identity), Members: members})
	}
}

func (f *fleetSimulation) message(from host.Identity) host.Message {
	return host.Message{From: from, Revision: uint64(f.size.Services), Ready: true}
}

// markUndetected marks the hosts that the scenario has just made unreachable or
// reachable.
func (f *fleetSimulation) markUndetected() {
	for i := 1; i < f.size.Hosts; i++ {
		if f.scenario.unreachable(f.size, i) {
			f.undetected[i] = true
		}
	}
}

func (f *fleetSimulation) isUnreachable(i int) bool {
	return f.unreachable && f.scenario.unreachable(f.size, i)
}

func (f *fleetSimulation) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(host.TickInterval) {
		f.detectPeers()
		f.runRestartSteps()
		for k := range f.cores {
			f.handle(k, host.Tick{})
		}
		for len(f.queue) > 0 {
			next := f.queue[0]
			f.queue = f.queue[1:]
			f.handle(next.to, next.event)
		}
	}
}

// detectPeers generates the state changes that unsimulated hosts detect in other
// hosts: by pings while a host is unreachable, and by attempts to recontact a
// lost host after it has returned.
func (f *fleetSimulation) detectPeers() {
	timing := host.DefaultTiming()
	live := f.size.Hosts - len(f.undetected)
	rate := float64(live) / float64(f.size.Hosts) / timing.PingInterval.Seconds()
	if !f.unreachable {
		rate = float64(live) / float64(max(1, len(f.undetected))) / timing.RecontactInterval.Seconds()
	}
	for i := 1; i < f.size.Hosts; i++ {
		if !f.undetected[i] || f.rng.Float64() >= rate*host.TickInterval.Seconds() {
			continue
		}
		delete(f.undetected, i)
		if f.unreachable {
			m := f.message(identity(f.size, 0))
			m.Updates = []host.Update{{Identity: identity(f.size, i), State: host.PeerSuspect}}
			f.handle(f.rng.IntN(simulatedPeers), host.MessageReceived{Message: m})
			continue
		}
		id := f.trace.identity(f.size, i, f.now)
		id.Sequence++
		f.announce(i, id, nil)
	}
}

// announce makes a host announce its new identity, with updates.
func (f *fleetSimulation) announce(i int, id host.Identity, updates []host.Update) {
	f.trace.announcements[i] = append(f.trace.announcements[i], announcement{at: f.now, identity: id})
	m := f.message(id)
	m.Updates = updates
	for range announcementFanout {
		f.handle(f.rng.IntN(simulatedPeers), host.MessageReceived{Message: m})
	}
}

func (f *fleetSimulation) handle(k int, ev host.Event) {
	for _, e := range append([]host.Effect(nil), f.cores[k].Handle(f.now, ev)...) {
		f.execute(k, e)
	}
}

func (f *fleetSimulation) send(to int, ev host.Event) {
	f.queue = append(f.queue, delivery{to: to, event: ev})
}

// execute queues the events that respond to an effect.
func (f *fleetSimulation) execute(k int, e host.Effect) {
	switch e := e.(type) {
	case host.SendPing:
		f.record(k, e.Message)
		if i := f.index[e.To.FleetAddress]; f.isUnreachable(i) {
			f.send(k, host.PingFailed{Subject: e.To.ID})
		} else {
			f.send(k, host.PingSucceeded{Message: f.exchangeMessages(i, e.Message)})
		}
	case host.SendIndirectPing:
		ev := host.IndirectPingEnded{Subject: e.Subject.ID}
		if f.isUnreachable(f.index[e.Via.FleetAddress]) {
			ev.Err = storage.ErrUnavailable
		} else {
			ev.Reached = !f.isUnreachable(f.index[e.Subject.FleetAddress])
		}
		f.send(k, ev)
	case host.SendSync:
		if i := f.index[e.To]; !f.isUnreachable(i) {
			f.send(k, host.SyncSucceeded{Message: f.exchangeMessages(i, e.Message), Members: f.cores[i%simulatedPeers].Members()})
		}
	case host.ReadConfiguration:
		f.send(k, host.ConfigurationRead{Revision: e.After.Revision, FromStore: true, Err: f.scenario.storeErr()})
	case host.ReadHostList:
		f.send(k, host.HostListRead{Err: f.scenario.storeErr()})
	}
}

// exchangeMessages delivers a message to the core that simulates host i, and
// returns its response with the identity of that host.
func (f *fleetSimulation) exchangeMessages(i int, m host.Message) host.Message {
	k := i % simulatedPeers
	f.send(k, host.MessageReceived{Message: m})
	response := f.cores[k].Message(f.now, m.From.ID)
	f.record(k, response)
	response.From = f.trace.identity(f.size, i, f.now)
	return response
}

// record records the updates in a message of a recorded peer.
func (f *fleetSimulation) record(k int, m host.Message) {
	if k < recordedPeers {
		f.trace.messages = append(f.trace.messages, tracedMessage{at: f.now, updates: m.Updates})
	}
}
