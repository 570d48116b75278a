package fleet

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/quota"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/zone"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	retryBudgetWindow = 10 * time.Second
	networkDelay      = 500 * time.Microsecond
	storeDelay        = 4 * time.Millisecond
	// storeReturnBound is how soon after an outage every host must follow the store again.
	storeReturnBound = 3 * time.Second
)

var errUnavailable = errors.New("the store is unavailable")

// cluster runs cores on a virtual clock with an in-memory network and store.
type cluster struct {
	now      time.Time
	rand     *rand.Rand
	queue    callQueue
	sequence int
	hosts    map[string]*node
	// addresses lists the hosts' addresses in a fixed order.
	addresses []string
	zones     *zone.Map

	// targets, config and revision are the contents of the store, and changed is when each
	// document last changed or a host last read it.
	targets  map[string]discovery.Target
	config   *discovery.Configuration
	revision uint64
	// history is the history of the store, and contents what tells configurations of one version
	// apart.
	history  history.ID
	contents string
	changed  map[string]time.Time
	// removed holds the hosts whose rows were removed, and rows those whose rows were
	// written.
	removed, rows map[ID]bool
	// storeDown makes every call to the store fail, and storeCutOff those of single hosts.
	storeDown   bool
	storeCutOff map[string]bool
	// storeHangs makes calls that fail do so without a response, also if the store comes back
	// meanwhile.
	storeHangs bool
	// storeFails, if set, decides which reads of a document fail besides, by the number of the call.
	storeFails func(document string, call int) bool
	// storeCalls counts calls to the store; registrations are those that write rows of hosts.
	storeCalls, registrations int
	// fetches counts the fetches from peers, targetFetches those of the targets, and
	// fetchedTargets the targets in the responses.
	fetches, targetFetches, fetchedTargets int
	// losePushes makes all datagrams with changes of the targets get lost.
	losePushes bool
	// loss is the share of datagrams that are lost.
	loss float64
	// received counts the datagrams that arrive at each host.
	received map[string]int
	// fullReports and heartbeats count the forwarded reports.
	fullReports, heartbeats int
	// capacity returns the capacity of a host; nil stands for the same one everywhere.
	capacity func(address string) int
	// older reports whether a host is of a version that knows no history of the store.
	older func(address string) bool
	// failFetches makes all fetches from peers fail.
	failFetches bool
	// quotas are the settings of the quotas; none apply by default.
	quotas quota.Settings
	// partition reports whether two hosts cannot reach each other.
	partition func(a, b string) bool
}

// node is one host of the cluster.
type node struct {
	core    *Core
	config  Config
	address string
	down    bool
	// paused is set while the host does not run, and arrived holds what it receives meanwhile.
	paused   bool
	arrived  []Event
	snapshot *Snapshot
	events   []timeline.Event
	wake     time.Time
}

type scheduledCall struct {
	at       time.Time
	sequence int
	run      func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	if c := q[i].at.Compare(q[j].at); c != 0 {
		return c < 0
	}
	return q[i].sequence < q[j].sequence
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newCluster starts perZone hosts in each of three zones, with one target per host.
func newCluster(seed uint64, perZone int) *cluster {
	c := &cluster{
		now:         epoch,
		rand:        rand.New(rand.NewPCG(seed, 1)),
		hosts:       make(map[string]*node),
		targets:     make(map[string]discovery.Target),
		changed:     make(map[string]time.Time),
		history:     1,
		storeCutOff: make(map[string]bool),
		removed:     make(map[ID]bool),
		rows:        make(map[ID]bool),
		received:    make(map[string]int),
		zones:       zone.NewMap([]zone.Zone{{ID: "a", Region: "r"}, {ID: "b", Region: "r"}, {ID: "c", Region: "r"}}, nil),
	}
	c.configure(1)
	c.addHosts(perZone)
	return c
}

// addHosts starts hosts in each of three zones, with one target per host.
func (c *cluster) addHosts(perZone int) {
	for i, z := range []zone.ID{"a", "b", "c"} {
		for k := range perZone {
			address := fmt.Sprintf("10.%d.0.%d:7000", i, k)
			c.putTarget(discovery.Target{
				ID: "t-" + address, Service: "orders", Address: address, Zone: z, Slots: 4,
			})
			c.addresses = append(c.addresses, address)
		}
	}
	for i, address := range c.addresses {
		c.start(address, zone.ID([]string{"a", "b", "c"}[i/perZone]), true)
	}
}

func (c *cluster) start(address string, z zone.ID, first bool) *node {
	n := &node{address: address}
	n.config = Config{
		Self: Peer{
			ID: ID("host-" + address), Incarnation: uint64(c.now.UnixMilli()), Zone: z,
			Address: address, DatagramAddress: address, RPCAddress: address, Capacity: 32,
		},
		Zones:  c.zones,
		Seeds:  []string{"10.0.0.0:7000", "10.1.0.0:7000", "10.2.0.0:7000"},
		Timing: TimingFor(2*time.Second, 2*time.Second, storeReturnBound),
		Floor:  0.7,

		RetryBudgetWindow: retryBudgetWindow,

		Quotas: quota.NewTable(c.quotas, rand.New(rand.NewPCG(uint64(NewHash(ID(address))), 3)), c.now),

		Bootstrap: first,
		Rand:      rand.New(rand.NewPCG(c.rand.Uint64(), 2)),
	}
	if c.capacity != nil {
		n.config.Self.Capacity = c.capacity(address)
	}
	n.core = New(n.config, c.now)
	n.snapshot = n.core.Snapshot()
	c.hosts[address] = n
	delete(c.changed, "targets"+address)
	delete(c.changed, "config"+address)
	c.deliver(n, Tick{})
	return n
}

// kill stops a host.
func (c *cluster) kill(address string) { c.hosts[address].down = true }

// restart starts a killed host again, as a new incarnation.
func (c *cluster) restart(address string) *node {
	return c.start(address, c.hosts[address].config.Self.Zone, false)
}

func (c *cluster) schedule(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, scheduledCall{at: c.now.Add(d), sequence: c.sequence, run: run})
}

// run advances the virtual clock.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(scheduledCall)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// deliver passes an event to a host and performs the effects.
func (c *cluster) deliver(n *node, ev Event) {
	if n.down || c.hosts[n.address] != n {
		return
	}
	if n.paused {
		n.arrived = append(n.arrived, ev)
		return
	}
	for _, e := range slices.Clone(n.core.Handle(c.now, ev)) {
		c.perform(n, e)
	}
	if wake := n.core.NextTick(); !wake.Equal(n.wake) {
		n.wake = wake
		c.schedule(max(0, wake.Sub(c.now)), func() {
			if n.wake.Equal(wake) {
				n.wake = time.Time{}
				c.deliver(n, Tick{})
			}
		})
	}
}

func (c *cluster) perform(n *node, e Effect) {
	switch e := e.(type) {
	case Publish:
		n.snapshot = e.Snapshot
	case Send:
		for _, to := range e.To {
			c.send(n.address, to, e.Datagram)
		}
	case ReadTargets:
		c.longPollStore(n, "targets", e.Wait, func() Event {
			list := make([]discovery.Target, 0, len(c.targets))
			for _, t := range c.targets {
				list = append(list, t)
			}
			slices.SortFunc(list, func(a, b discovery.Target) int { return cmp.Compare(a.ID, b.ID) })
			return TargetsRead{Targets: discovery.NewTargets(c.reading(n), list)}
		}, func(err error) Event { return TargetsRead{Err: err} })
	case ReadConfiguration:
		c.longPollStore(n, "config", e.Wait, func() Event {
			return ConfigurationRead{Document: c.document(n), Reading: c.reading(n)}
		}, func(err error) Event { return ConfigurationRead{Err: err} })
	case ReadPeers:
		c.callStore(n, func() Event {
			var peers []Peer
			for _, address := range c.addresses {
				if h := c.hosts[address]; h != nil && !c.removed[h.config.Self.ID] {
					peers = append(peers, h.config.Self)
				}
			}
			return PeersRead{Peers: peers}
		}, func(err error) Event { return PeersRead{Err: err} })
	case RemovePeer:
		c.removed[e.ID] = true
	case Register:
		c.registrations++
		c.callStore(n, func() Event {
			for _, p := range e.Peers {
				delete(c.removed, p.ID)
				c.rows[p.ID] = true
			}
			return Registered{Peers: e.Peers}
		}, func(err error) Event { return Registered{Peers: e.Peers, Err: err} })
	case Fetch:
		c.fetch(n, e)
	case Record:
		n.events = append(n.events, e.Event)
	}
}

func (c *cluster) reachable(from, to string) bool {
	return c.partition == nil || !c.partition(from, to)
}

func (c *cluster) send(from, to string, d Datagram) {
	for _, r := range d.Reports {
		switch {
		case d.Hop == ToRelay:
		case r.isHeartbeat():
			c.heartbeats++
		default:
			c.fullReports++
		}
	}
	if c.losePushes && d.Changes != nil {
		return
	}
	if c.rand.Float64() < c.loss || !c.reachable(from, to) {
		return
	}
	c.schedule(networkDelay, func() {
		if n := c.hosts[to]; n != nil {
			c.received[to]++
			c.deliver(n, DatagramReceived{Datagram: c.asUnderstood(n.address, d)})
		}
	})
}

func (c *cluster) fetch(n *node, e Fetch) {
	c.schedule(networkDelay, func() {
		peer := c.hosts[e.From]
		if peer == nil || peer.down || c.failFetches || !c.reachable(n.address, e.From) {
			c.schedule(100*time.Millisecond, func() { c.deliver(n, Fetched{Err: errUnavailable}) })
			return
		}
		c.fetches++
		documents := peer.core.Documents(c.now, e.TargetsHistory, e.TargetsSince)
		if !e.Targets {
			documents.Targets, documents.TargetChanges = nil, nil
		} else {
			c.targetFetches++
		}
		if documents.Targets != nil {
			c.fetchedTargets += len(documents.Targets.List)
		}
		if documents.TargetChanges != nil {
			c.fetchedTargets += len(documents.TargetChanges.Updated)
		}
		if c.older != nil && c.older(n.address) {
			dropHistory(&documents)
		}
		c.schedule(networkDelay, func() { c.deliver(n, documents) })
	})
}

// dropHistory removes from documents what a host of an older version does not know.
func dropHistory(f *Fetched) {
	f.TargetsStamp.History, f.DocumentStamp.History = 0, 0
	if f.Targets != nil {
		targets := *f.Targets
		targets.History = 0
		f.Targets = &targets
	}
	if f.TargetChanges != nil {
		changes := *f.TargetChanges
		changes.History = 0
		f.TargetChanges = &changes
	}
	if f.Document != nil {
		document := *f.Document
		document.History = 0
		f.Document = &document
	}
}

func (c *cluster) callStore(n *node, respond func() Event, respondError func(error) Event) {
	c.storeCalls++
	hanging := c.storeHangs && c.storeLost(n)
	c.schedule(storeDelay, func() {
		switch {
		case hanging:
			c.schedule(StoreResponseTimeout-storeDelay, func() { c.deliver(n, respondError(errUnavailable)) })
		case c.storeLost(n):
			c.deliver(n, respondError(errUnavailable))
		default:
			c.deliver(n, respond())
		}
	})
}

// storeLost reports whether a host's calls to the store fail.
func (c *cluster) storeLost(n *node) bool { return c.storeDown || c.storeCutOff[n.address] }

// longPollStore responds when the document has changed since the host's last read, or after the
// wait.
func (c *cluster) longPollStore(
	n *node, document string, wait time.Duration, respond func() Event, respondError func(error) Event,
) {
	c.storeCalls++
	start, call := c.now, c.storeCalls
	key := document + n.address
	hanging := false
	var poll func()
	poll = func() {
		failing := c.storeLost(n) || c.storeFails != nil && c.storeFails(document, call)
		hanging = hanging || failing && c.storeHangs
		switch {
		case hanging:
			c.schedule(start.Add(wait+StoreResponseTimeout).Sub(c.now), func() { c.deliver(n, respondError(errUnavailable)) })
		case failing:
			c.deliver(n, respondError(errUnavailable))
		case c.changed[document].After(c.changed[key]) || c.now.Sub(start) >= wait:
			c.changed[key] = c.now
			c.deliver(n, respond())
		default:
			c.schedule(storeDelay, poll)
		}
	}
	c.schedule(storeDelay, poll)
}

// historyFor returns the history of the store as a host knows it.
func (c *cluster) historyFor(n *node) history.ID {
	if c.older != nil && c.older(n.address) {
		return 0
	}
	return c.history
}

// reading returns a reading of the store by a host at present.
func (c *cluster) reading(n *node) history.Reading {
	return history.Reading{History: c.historyFor(n), Revision: c.revision, At: c.now.UnixMilli()}
}

// document returns the configuration as a host reads it from the store.
func (c *cluster) document(n *node) *Document {
	return &Document{Configuration: c.config, Bytes: []byte(c.contents), History: c.historyFor(n)}
}

// asUnderstood returns a datagram as a host understands it: one of an older version drops what it
// does not know.
func (c *cluster) asUnderstood(to string, d Datagram) Datagram {
	if c.older == nil || !c.older(to) {
		return d
	}
	d.Reports = slices.Clone(d.Reports)
	for i := range d.Reports {
		d.Reports[i].Targets.History, d.Reports[i].Configuration.History = 0, 0
		d.Reports[i].Configuration.Digest = 0
	}
	d.ChangesStamp.History = 0
	if d.Changes != nil {
		changes := *d.Changes
		changes.History = 0
		d.Changes = &changes
	}
	return d
}

// storeCopy is what the store held at a moment.
type storeCopy struct {
	targets       map[string]discovery.Target
	config        *discovery.Configuration
	contents      string
	revision      uint64
	removed, rows map[ID]bool
}

func (c *cluster) copyStore() storeCopy {
	return storeCopy{
		targets: maps.Clone(c.targets), config: c.config, contents: c.contents, revision: c.revision,
		removed: maps.Clone(c.removed), rows: maps.Clone(c.rows),
	}
}

// restoreStore makes the store hold a copy again, in a later history.
func (c *cluster) restoreStore(s storeCopy) {
	c.targets, c.config, c.contents, c.revision = maps.Clone(s.targets), s.config, s.contents, s.revision
	c.removed, c.rows = maps.Clone(s.removed), maps.Clone(s.rows)
	c.history++
	c.changed["targets"], c.changed["config"] = c.now, c.now
}

func (c *cluster) putTarget(t discovery.Target) {
	c.revision++
	t.Revision = c.revision
	c.targets[t.ID] = t
	c.changed["targets"] = c.now
}

func (c *cluster) dropTarget(id string) {
	c.revision++
	delete(c.targets, id)
	c.changed["targets"] = c.now
}

// configure writes a configuration to the store.
func (c *cluster) configure(v discovery.Version) {
	c.revision++
	c.config = discovery.NewConfiguration(v, []discovery.Route{{
		Name: "r", Authority: "shop.example", Prefix: "/", Idempotent: true, Attempts: 2,
		Timeout: time.Second, Services: []discovery.WeightedService{{Service: "orders", Weight: 1}},
	}}, map[string]discovery.ServiceSettings{"orders": {}}, discovery.Limits{})
	c.changed["config"] = c.now
}

// forEachUp calls f for every host that is up.
func (c *cluster) forEachUp(f func(n *node)) {
	for _, address := range c.addresses {
		if n := c.hosts[address]; !n.down {
			f(n)
		}
	}
}

// allUp reports whether f holds on every host that is up.
func (c *cluster) allUp(f func(n *node) bool) bool {
	ok := true
	c.forEachUp(func(n *node) { ok = ok && f(n) })
	return ok
}

// rankOrder returns the addresses of the hosts in rank order, as the first host of the cluster
// knows it.
func (c *cluster) rankOrder() []string {
	var out []string
	for _, p := range c.hosts[c.addresses[0]].core.liveHosts() {
		out = append(out, p.Address)
	}
	return out
}
