package host

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
)

const (
	// testLatency is the one-way time of every message between two cores.
	testLatency = 2 * time.Millisecond
	storeAnswer = 10 * time.Millisecond
)

// delivery is a call that falls due at a time.
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

// node is one core with what the test does to it.
type node struct {
	core     *Core
	snapshot *Snapshot
	// down nodes neither run nor answer; what reaches them is lost.
	down bool
	sent int
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
	// cut reports whether messages from one address to another are lost.
	cut func(from, to string) bool
	// store is the configuration in the table; storeDown makes reads fail.
	store     []contract.Change
	storeDown bool
	reads     int
	// probed holds who probed each target.
	probed map[string][]string
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{
		t: t, now: time.UnixMilli(1_000_000), nodes: make(map[string]*node), probed: make(map[string][]string),
		cut: func(string, string) bool { return false },
	}
	for i := range n {
		c.start(fmt.Sprintf("h%02d", i), i)
	}
	return c
}

// start runs a core under a name, in place of an earlier one.
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

func (c *cluster) after(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, delivery{at: c.now.Add(d), order: c.order, run: run})
}

func (c *cluster) tick(name string, n *node) {
	if c.nodes[name] != n {
		return
	}
	if !n.down {
		c.handle(name, Tick{})
	}
	c.after(TickInterval, func() { c.tick(name, n) })
}

// run lets virtual time pass.
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
	if n.down {
		return
	}
	for _, e := range append([]Effect(nil), n.core.Handle(c.now, ev)...) {
		c.carryOut(name, n, e)
	}
}

func (c *cluster) carryOut(name string, n *node, e Effect) {
	switch e := e.(type) {
	case Publish:
		n.snapshot = e.Snapshot
	case SendPing:
		n.sent++
		c.call(name, e.To.FleetAddress, func(to *node) Event {
			return PingAnswered{Message: c.exchange(e.To.FleetAddress, to, e.Message)}
		}, func() Event { return PingFailed{Subject: e.To.ID} }, e.Timeout)
	case SendIndirectPing:
		n.sent++
		c.relay(name, e)
	case SendSync:
		n.sent++
		c.call(name, e.To, func(to *node) Event {
			return SyncAnswered{Message: c.exchange(e.To, to, e.Message), Members: to.core.Members()}
		}, nil, time.Second)
	case FetchChanges:
		c.call(name, e.Peer.FleetAddress, func(to *node) Event {
			return ConfigurationRead{Changes: to.core.Changes(e.After), Revision: to.core.Revision()}
		}, func() Event { return ConfigurationRead{Err: errors.New("no answer")} }, time.Second)
	case SendReports:
		n.sent++
		c.deliverReports(name, e)
	case SendProbe:
		c.probed[e.Target.Name] = append(c.probed[e.Target.Name], name)
	case ReadConfiguration:
		c.reads++
		c.after(storeAnswer, func() { c.handle(name, c.readStore(e.After)) })
	}
}

func (c *cluster) exchange(name string, to *node, m Message) Message {
	c.handle(name, MessageHeard{Message: m})
	return to.core.Message(c.now, m.From.ID)
}

// call carries a question to a node and its answer back; fail is the event of
// a question that gets none.
func (c *cluster) call(from, to string, answer func(*node) Event, fail func() Event, timeout time.Duration) {
	asker := c.nodes[from]
	deliver := func(ev Event) {
		if c.nodes[from] == asker {
			c.handle(from, ev)
		}
	}
	lost := func() {
		if fail != nil {
			c.after(timeout, func() { deliver(fail()) })
		}
	}
	c.after(testLatency, func() {
		n := c.nodes[to]
		if n == nil || n.down || c.cut(from, to) {
			lost()
			return
		}
		ev := answer(n)
		if c.cut(to, from) {
			lost()
			return
		}
		c.after(testLatency, func() { deliver(ev) })
	})
}

func (c *cluster) relay(from string, e SendIndirectPing) {
	via := e.Via.FleetAddress
	c.call(from, via, func(relay *node) Event {
		subject := c.nodes[e.Subject.FleetAddress]
		reached := subject != nil && !subject.down &&
			!c.cut(via, e.Subject.FleetAddress) && !c.cut(e.Subject.FleetAddress, via)
		if reached {
			answer := c.exchange(e.Subject.FleetAddress, subject, relay.core.Message(c.now, e.Subject.ID))
			c.handle(via, PingAnswered{Message: answer})
		}
		return IndirectAnswered{Subject: e.Subject.ID, Reached: reached}
	}, func() Event { return IndirectAnswered{Subject: e.Subject.ID, Err: errors.New("no answer")} }, e.Timeout)
}

func (c *cluster) deliverReports(from string, e SendReports) {
	to := e.To.FleetAddress
	c.after(testLatency, func() {
		if c.nodes[to] != nil && !c.cut(from, to) {
			c.handle(to, ReportsHeard{From: e.From, Reports: e.Reports})
		}
	})
	if len(e.SignsOf) == 0 {
		return
	}
	c.call(from, to, func(n *node) Event {
		return ReportsAnswered{From: e.To.ID, SignsOf: e.SignsOf, Leaving: n.core.Leaving(e.SignsOf)}
	}, func() Event {
		return ReportsAnswered{From: e.To.ID, SignsOf: e.SignsOf, Err: errors.New("no answer")}
	}, time.Second)
}

func (c *cluster) readStore(after uint64) Event {
	if c.storeDown {
		return ConfigurationRead{FromStore: true, Err: errors.New("table away")}
	}
	ev := ConfigurationRead{FromStore: true, Revision: after}
	for _, ch := range c.store {
		if ch.Revision > after {
			ev.Changes = append(ev.Changes, ch)
			ev.Revision = ch.Revision
		}
	}
	return ev
}

// publish accepts a change of a service at the store.
func (c *cluster) publish(service *contract.Contract) {
	revision := uint64(len(c.store) + 1)
	c.store = append(c.store, contract.Change{Revision: revision, Service: service.Service, Contract: service})
}

// state returns what one node believes of another.
func (c *cluster) state(of, about string) PeerState {
	p := c.nodes[of].core.peers[ID(about)]
	if p == nil {
		return PeerGone
	}
	return p.State
}

// all reports whether a condition holds at every node that is up.
func (c *cluster) all(holds func(name string, n *node) bool) bool {
	for _, name := range c.names {
		if n := c.nodes[name]; !n.down && !holds(name, n) {
			return false
		}
	}
	return true
}

func (c *cluster) takeDown(names ...string) {
	for _, name := range names {
		c.nodes[name].down = true
	}
}

// wake ends a pause: the node goes on with what it had.
func (c *cluster) wake(names ...string) {
	for _, name := range names {
		c.nodes[name].down = false
	}
}
