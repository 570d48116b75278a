package host

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/history"
)

const (
	// messageLatency is the one-way time of every message between two cores.
	messageLatency = 2 * time.Millisecond
	storeLatency   = 10 * time.Millisecond
)

// delivery is a function that is called at a virtual time. Deliveries with the
// same time run in the order in which they were scheduled.
type delivery struct {
	at    time.Time
	order int
	run   func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// node is one core with its latest snapshot and the faults injected by the
// test.
type node struct {
	core     *Core
	snapshot *Snapshot
	// stopped nodes process nothing and do not respond; messages to them are
	// lost.
	stopped bool
	sent    int
}

// cluster drives several cores on one virtual clock.
type cluster struct {
	t     *testing.T
	now   time.Time
	queue deliveries
	order int
	nodes map[string]*node
	names []string
	seed  uint64
	// dropsMessage reports whether messages from one address to another are
	// lost.
	dropsMessage func(from, to string) bool
	// store holds the changes in the metadata store; storeUnavailable makes
	// reads of it fail.
	store            []contract.Change
	history          history.ID
	storeUnavailable bool
	storeReads       int
	// probers holds, for each target, the hosts that probed it.
	probers map[string][]string
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{
		t: t, now: time.UnixMilli(1_000_000), nodes: make(map[string]*node), probers: make(map[string][]string),
		dropsMessage: func(string, string) bool { return false }, history: firstHistory,
	}
	for i := range n {
		c.start(fmt.Sprintf("h%02d", i), i)
	}
	return c
}

// start starts a core under a name, in place of an earlier one.
func (c *cluster) start(name string, i int) {
	c.seed++
	self := Identity{
		ID: ID(name), Incarnation: c.seed, Zone: testZones[i%3],
		Address: name + ":80", FleetAddress: name,
	}
	n := &node{core: New(Config{
		Self: self, Zones: testZoneMap(), Seeds: []string{"h00", "h01", "h02"},
		Timing: DefaultTiming(), Rand: rand.New(rand.NewPCG(c.seed, 1)),
	})}
	if c.nodes[name] == nil {
		c.names = append(c.names, name)
	}
	c.nodes[name] = n
	c.tick(name, n)
}

func (c *cluster) schedule(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, delivery{at: c.now.Add(d), order: c.order, run: run})
}

func (c *cluster) tick(name string, n *node) {
	if c.nodes[name] != n {
		return
	}
	if !n.stopped {
		c.handle(name, Tick{})
	}
	c.schedule(TickInterval, func() { c.tick(name, n) })
}

// run advances the virtual time.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(delivery)
		c.now = next.at
		next.run()
	}
	c.now = end
}

func (c *cluster) handle(name string, ev Event) {
	n := c.nodes[name]
	if n.stopped {
		return
	}
	for _, e := range append([]Effect(nil), n.core.Handle(c.now, ev)...) {
		c.perform(name, n, e)
	}
}

func (c *cluster) perform(name string, n *node, e Effect) {
	switch e := e.(type) {
	case Publish:
		n.snapshot = e.Snapshot
	case SendPing:
		n.sent++
		c.call(name, e.To.FleetAddress, func(to *node) Event {
			return PingSucceeded{Message: c.exchangeMessages(e.To.FleetAddress, to, e.Message)}
		}, func() Event { return PingFailed{Subject: e.To.ID} }, e.Timeout)
	case SendIndirectPing:
		n.sent++
		c.relay(name, e)
	case SendSync:
		n.sent++
		c.call(name, e.To, func(to *node) Event {
			return SyncSucceeded{Message: c.exchangeMessages(e.To, to, e.Message), Members: to.core.Members()}
		}, nil, time.Second)
	case FetchChanges:
		c.call(name, e.Peer.FleetAddress, func(to *node) Event {
			return ConfigurationRead{Changes: to.core.ChangesFrom(e.After), Revision: to.core.Revision(), History: to.core.Position().History, Kept: to.core.Kept()}
		}, func() Event { return ConfigurationRead{Err: errors.New("no response")} }, time.Second)
	case SendReports:
		n.sent++
		c.deliverReports(name, e)
	case SendProbe:
		c.probers[e.Target.Name] = append(c.probers[e.Target.Name], name)
	case ReadConfiguration:
		c.storeReads++
		c.schedule(storeLatency, func() { c.handle(name, c.readStore(e.After)) })
	}
}

func (c *cluster) exchangeMessages(name string, to *node, m Message) Message {
	c.handle(name, MessageReceived{Message: m})
	return to.core.Message(c.now, m.From.ID)
}

// call sends a request to a node and delivers its response; fail creates the
// event for a request without response.
func (c *cluster) call(from, to string, respond func(*node) Event, fail func() Event, timeout time.Duration) {
	caller := c.nodes[from]
	deliver := func(ev Event) {
		if c.nodes[from] == caller {
			c.handle(from, ev)
		}
	}
	lost := func() {
		if fail != nil {
			c.schedule(timeout, func() { deliver(fail()) })
		}
	}
	c.schedule(messageLatency, func() {
		n := c.nodes[to]
		if n == nil || n.stopped || c.dropsMessage(from, to) {
			lost()
			return
		}
		ev := respond(n)
		if c.dropsMessage(to, from) {
			lost()
			return
		}
		c.schedule(messageLatency, func() { deliver(ev) })
	})
}

func (c *cluster) relay(from string, e SendIndirectPing) {
	via := e.Via.FleetAddress
	c.call(from, via, func(relay *node) Event {
		subject := c.nodes[e.Subject.FleetAddress]
		reached := subject != nil && !subject.stopped &&
			!c.dropsMessage(via, e.Subject.FleetAddress) && !c.dropsMessage(e.Subject.FleetAddress, via)
		if reached {
			response := c.exchangeMessages(e.Subject.FleetAddress, subject, relay.core.Message(c.now, e.Subject.ID))
			c.handle(via, PingSucceeded{Message: response})
		}
		return IndirectPingEnded{Subject: e.Subject.ID, Reached: reached}
	}, func() Event { return IndirectPingEnded{Subject: e.Subject.ID, Err: errors.New("no response")} }, e.Timeout)
}

func (c *cluster) deliverReports(from string, e SendReports) {
	to := e.To.FleetAddress
	c.schedule(messageLatency, func() {
		if c.nodes[to] != nil && !c.dropsMessage(from, to) {
			c.handle(to, ReportsReceived{From: e.From, Reports: e.Reports})
		}
	})
	if len(e.LeaveSignalsOf) == 0 {
		return
	}
	c.call(from, to, func(n *node) Event {
		return SendReportsEnded{From: e.To.ID, LeaveSignalsOf: e.LeaveSignalsOf, Leaving: n.core.LeavingTargets(e.LeaveSignalsOf)}
	}, func() Event {
		return SendReportsEnded{From: e.To.ID, LeaveSignalsOf: e.LeaveSignalsOf, Err: errors.New("no response")}
	}, time.Second)
}

// restoreStore makes the store hold its first changes only, in a later history.
func (c *cluster) restoreStore(changes int) {
	c.store = slices.Clone(c.store[:changes])
	c.history++
}

func (c *cluster) readStore(after history.Position) Event {
	if c.storeUnavailable {
		return ConfigurationRead{FromStore: true, Err: errors.New("store unavailable")}
	}
	ev := ConfigurationRead{FromStore: true, Revision: uint64(len(c.store)), History: c.history}
	for _, ch := range c.store {
		if ch.Revision > after.Revision || after.History.Before(c.history) {
			ev.Changes = append(ev.Changes, ch)
		}
	}
	return ev
}

// publishContract appends a change of a service to the store.
func (c *cluster) publishContract(service *contract.Contract) {
	revision := uint64(len(c.store) + 1)
	c.store = append(c.store, contract.Change{Revision: revision, Subject: service.Service, Contract: service, At: c.now})
}

// state returns the state of one host in the view of another; unknown hosts
// count as gone.
func (c *cluster) state(observer, subject string) PeerState {
	p := c.nodes[observer].core.peers[ID(subject)]
	if p == nil {
		return PeerGone
	}
	return p.State
}

// allRunning reports whether a condition holds at every node that is not
// stopped.
func (c *cluster) allRunning(holds func(name string, n *node) bool) bool {
	for _, name := range c.names {
		if n := c.nodes[name]; !n.stopped && !holds(name, n) {
			return false
		}
	}
	return true
}

func (c *cluster) stop(names ...string) {
	for _, name := range names {
		c.nodes[name].stopped = true
	}
}

// resume ends a pause: the nodes continue with the state they had.
func (c *cluster) resume(names ...string) {
	for _, name := range names {
		c.nodes[name].stopped = false
	}
}
