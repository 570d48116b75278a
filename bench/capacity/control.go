package main

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/wire"
	fleetv1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1"
)

// virtualStart is the initial time of the virtual clock.
var virtualStart = time.Unix(1_800_000_000, 0)

// Durations in a run, in virtual time. A host that has just started is an entry
// host for every service until it knows its peers. For one more minute it
// exchanges evidence about the requests that it proxied in that phase. settleTime
// excludes both from the measurement. At the start of a run the hosts have known
// each other for fleetAge.
const (
	fleetAge    = time.Hour
	settleTime  = 90 * time.Second
	measureTime = 120 * time.Second
)

// scenario describes which peers and services the measured host can reach.
type scenario struct {
	name string
	// unreachable reports whether host i does not respond.
	unreachable func(size deploymentSize, i int) bool
	// recovers makes the peers respond again when the measurement begins.
	recovers bool
	// storeAvailable is false if the platform is unavailable.
	storeAvailable bool
}

var (
	ordinary         = scenario{name: "ordinary", unreachable: noPeer, storeAvailable: true}
	rackLost         = scenario{name: "a rack of 40 lost", unreachable: func(_ deploymentSize, i int) bool { return i < 40 }, storeAvailable: true}
	zoneLost         = scenario{name: "a zone lost", unreachable: func(s deploymentSize, i int) bool { return i%s.Zones == 1 }, storeAvailable: true}
	zoneBack         = scenario{name: "a zone back", unreachable: zoneLost.unreachable, recovers: true, storeAvailable: true}
	storeUnavailable = scenario{name: "the store away", unreachable: noPeer}

	regionLost = scenario{
		name:           "the other region lost",
		unreachable:    func(s deploymentSize, i int) bool { return s.regionOf(i%s.Zones) != s.regionOf(0) },
		storeAvailable: true,
	}
)

func noPeer(deploymentSize, int) bool { return false }

// driver runs the core of the measured host on a virtual clock: it feeds events
// to the core and responds to its effects in place of peers, targets and store.
type driver struct {
	size     deploymentSize
	scenario scenario
	trace    *gossipTrace
	core     *host.Core
	// index holds the number of each host by its id and by its fleet address.
	index map[host.ID]int
	rng   *rand.Rand
	now   time.Time
	// unreachable is true while the hosts that the scenario selects do not
	// respond.
	unreachable bool

	queue    []host.Event
	revision uint64
	snapshot *host.Snapshot
	// entryServices are the services for which this host is an entry host.
	entryServices []*service.Routing
	usage         usage
}

func newCore(size deploymentSize, seed uint64) *host.Core {
	return host.New(host.Config{
		Self:   identity(size, 0),
		Zones:  size.zones(),
		Timing: host.DefaultTiming(),
		Rand:   rand.New(rand.NewPCG(1, seed)),
	})
}

func identity(size deploymentSize, i int) host.Identity {
	address := fmt.Sprintf("10.64.%d.%d", i/250, i%250)
	return host.Identity{
		ID: host.ID(fmt.Sprintf("host-%03d", i)), Incarnation: uint64(virtualStart.UnixMilli()), Zone: size.zoneOf(i),
		Address: address + ":8080", APIAddress: address + ":8081", FleetAddress: address + ":8082",
	}
}

// runsPerRow is how many runs with different seeds are averaged for one row,
// because the amount of evidence that the hosts exchange is random.
const runsPerRow = 3

// measureControl runs one host at full size for measureTime of virtual time and
// returns the rates over runsPerRow runs.
func measureControl(size deploymentSize, sc scenario) (usage, error) {
	trace := simulateGossip(size, sc)
	var total usage
	for seed := range runsPerRow {
		used, err := measureRun(size, sc, trace, uint64(seed+1))
		if err != nil {
			return usage{}, err
		}
		total = total.plus(used)
	}
	return total.perSecond(runsPerRow * measureTime), nil
}

// measureRun measures one run. CPU time and heap are those of this process.
func measureRun(size deploymentSize, sc scenario, trace *gossipTrace, seed uint64) (usage, error) {
	trace.next = 0
	before := heapMB()
	d, err := newDriver(size, sc, trace, seed)
	if err != nil {
		return usage{}, err
	}
	d.run(settleTime)
	d.unreachable = true
	if sc.recovers {
		d.run(measureTime)
		d.unreachable = false
	}
	d.usage = usage{}
	cpu := processCPU()
	d.run(measureTime)
	d.usage.cores = (processCPU() - cpu).Seconds()
	d.usage.heapMB = heapMB() - before
	d.usage.entryServices = len(d.entryServices)
	runtime.KeepAlive(d)
	return d.usage, nil
}

func newDriver(size deploymentSize, sc scenario, trace *gossipTrace, seed uint64) (*driver, error) {
	list, _, err := decodeAll(encodedChanges(size))
	if err != nil {
		return nil, err
	}
	d := &driver{
		size: size, scenario: sc, trace: trace, core: newCore(size, seed), index: make(map[host.ID]int),
		rng: rand.New(rand.NewPCG(2, seed)), now: virtualStart, revision: uint64(size.Services),
	}
	for i := range size.Hosts {
		d.index[identity(size, i).ID] = i
		d.index[host.ID(identity(size, i).FleetAddress)] = i
	}
	d.handle(host.Tick{})
	d.handle(host.ConfigurationRead{Changes: list, Revision: d.revision, FromStore: true})
	d.handle(host.SyncSucceeded{Message: d.message(1), Members: d.members()})
	d.now = d.now.Add(fleetAge)
	return d, nil
}

func (d *driver) members() []host.Update {
	var out []host.Update
	for i := 1; i < d.size.Hosts; i++ {
		out = append(out, host.Update{Identity: identity(d.size, i), State: host.PeerAlive})
	}
	return out
}

// message returns the next message of peer i, with updates about third hosts.
func (d *driver) message(i int) host.Message {
	return host.Message{
		From: d.trace.identity(d.size, i, d.now), Revision: d.revision, Ready: true, Updates: d.trace.nextUpdates(d.now, d.rng),
	}
}

// run advances the virtual clock.
func (d *driver) run(length time.Duration) {
	requestsPerTick := d.size.Requests / float64(d.size.Hosts) * host.TickInterval.Seconds()
	pingsPerTick := host.TickInterval.Seconds() / host.DefaultTiming().PingInterval.Seconds()
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(host.TickInterval) {
		d.handle(host.Tick{})
		if observations := d.observations(requestsPerTick); len(observations) > 0 {
			d.handle(host.Observed{Observations: observations})
		}
		if d.rng.Float64() < pingsPerTick {
			d.receivePing()
		}
		for len(d.queue) > 0 {
			ev := d.queue[0]
			d.queue = d.queue[1:]
			d.handle(ev)
		}
	}
}

// receivePing handles a ping from a random peer. Pings arrive at the rate at
// which the host sends them.
func (d *driver) receivePing() {
	i := 1 + d.rng.IntN(d.size.Hosts-1)
	if d.isUnreachable(i) {
		return
	}
	m := d.message(i)
	d.handle(host.MessageReceived{Message: m})
	response := d.core.Message(d.now, m.From.ID)
	d.usage.received++
	d.usage.receivedBytes += float64(messageSize(m) + messageSize(response))
}

// observations returns the observations of one tick: requests of the services
// for which this host is an entry host, requestsPerTick on average.
func (d *driver) observations(requestsPerTick float64) []link.Observation {
	n := int(requestsPerTick)
	if d.rng.Float64() < requestsPerTick-float64(n) {
		n++
	}
	var out []link.Observation
	for range n {
		if len(d.entryServices) == 0 {
			break
		}
		r := d.entryServices[d.rng.IntN(len(d.entryServices))]
		l := r.Links[d.rng.IntN(len(r.Links))]
		latency := time.Duration(20+d.rng.ExpFloat64()*10) * time.Millisecond
		out = append(out, link.Observation{Target: l.Target, Outcome: link.Succeeded, Latency: latency, At: d.now})
	}
	return out
}

// updateEntryServices updates entryServices from the snapshot, sorted by name.
func (d *driver) updateEntryServices() {
	d.entryServices = nil
	for _, name := range slices.Sorted(maps.Keys(d.snapshot.EntrySets)) {
		if d.snapshot.IsEntryHost(name) && len(d.snapshot.Services[name].Links) > 0 {
			d.entryServices = append(d.entryServices, d.snapshot.Services[name])
		}
	}
}

func (d *driver) isUnreachable(i int) bool { return d.unreachable && d.scenario.unreachable(d.size, i) }

// handle feeds one event to the core, times it and executes the effects.
func (d *driver) handle(ev host.Event) {
	start := time.Now()
	effects := d.core.Handle(d.now, ev)
	d.usage.longestStep = max(d.usage.longestStep, time.Since(start))
	for _, e := range slices.Clone(effects) {
		d.execute(e)
	}
}

// execute counts an effect and queues the events that respond to it.
func (d *driver) execute(e host.Effect) {
	switch e := e.(type) {
	case host.Publish:
		d.snapshot = e.Snapshot
		d.updateEntryServices()
		d.usage.publications++
	case host.SendPing:
		d.ping(e)
	case host.SendIndirectPing:
		d.pingIndirectly(e)
	case host.SendSync:
		d.sync(e)
	case host.SendReports:
		d.countSent(reportsSize(e.Reports))
		d.usage.received++
		d.usage.receivedBytes += float64(reportsSize(e.Reports))
		d.queue = append(d.queue, host.ReportsReceived{From: e.To, Reports: d.reportsOf(e.To.ID, e.Reports)},
			host.SendReportsEnded{From: e.To.ID, LeaveSignalsOf: e.LeaveSignalsOf})
	case host.ReadConfiguration:
		d.usage.reads++
		d.queue = append(d.queue, host.ConfigurationRead{Revision: e.After.Revision, FromStore: true, Err: d.scenario.storeErr()})
	case host.ReadHostList:
		d.usage.hostLists++
		d.queue = append(d.queue, host.HostListRead{Err: d.scenario.storeErr()})
	case host.SendProbe:
		d.usage.probes++
		d.queue = append(d.queue, host.ProbeEnded{Target: e.Target, OK: true, Latency: probeLatency})
	case host.Record:
		d.usage.events++
	}
}

// probeLatency is the latency of an active health check.
const probeLatency = 25 * time.Millisecond

func (d *driver) ping(e host.SendPing) {
	d.countSent(messageSize(e.Message))
	i := d.index[e.To.ID]
	if d.isUnreachable(i) {
		d.queue = append(d.queue, host.PingFailed{Subject: e.To.ID})
		return
	}
	response := d.message(i)
	d.usage.sentBytes += float64(messageSize(response))
	d.queue = append(d.queue, host.PingSucceeded{Message: response})
}

// pingIndirectly sends a ping through a relay. It also counts the same cost for
// a ping that this host relays, because on average a host relays as many pings
// as it sends through relays.
func (d *driver) pingIndirectly(e host.SendIndirectPing) {
	size := indirectSize(e.Subject)
	d.countSent(size)
	d.usage.received++
	d.usage.receivedBytes += float64(size)
	d.countSent(messageSize(d.core.Message(d.now, e.Subject.ID)))
	response := host.IndirectPingEnded{Subject: e.Subject.ID, Reached: !d.isUnreachable(d.index[e.Subject.ID])}
	if d.isUnreachable(d.index[e.Via.ID]) {
		response.Err = storage.ErrUnavailable
	}
	d.queue = append(d.queue, response)
}

// sync compares the member lists with a peer. It also counts a comparison that a
// peer starts, because both are equally frequent. Each comparison is assumed to
// find a change that one of the two hosts has not received, and so carries a whole
// member list.
func (d *driver) sync(e host.SendSync) {
	d.countSent(messageSize(e.Message))
	i := d.index[host.ID(e.To)]
	if d.isUnreachable(i) {
		return
	}
	response, members := d.message(i), d.core.Members()
	size := messageSize(response) + membersSize(members)
	d.usage.sentBytes += float64(size)
	d.usage.received++
	d.usage.receivedBytes += float64(messageSize(e.Message) + size)
	d.queue = append(d.queue, host.SyncSucceeded{Message: response, Members: members})
}

// countSent counts a sent message.
func (d *driver) countSent(bytes int) {
	d.usage.sent++
	d.usage.sentBytes += float64(bytes)
}

func (s scenario) storeErr() error {
	if s.storeAvailable {
		return nil
	}
	return storage.ErrUnavailable
}

// reportsOf returns the reports that a peer of the entry set sends while this
// host sends list. They are this host's reports, each moved to another target of
// the same service, with a different shift for each peer. Otherwise all hosts
// would report the same random events about the same target.
func (d *driver) reportsOf(peer host.ID, list []service.TargetReport) []service.TargetReport {
	out := slices.Clone(list)
	for i := range out {
		key := &out[i].Target
		targets := d.snapshot.Services[key.Service].Contract.Targets
		at := slices.IndexFunc(targets, func(t contract.Target) bool { return t.Name == key.Name })
		key.Name = targets[(at+1+d.index[peer]%(len(targets)-1))%len(targets)].Name
	}
	return out
}

func messageSize(m host.Message) int { return proto.Size(wire.MessageToProto(m)) }

func indirectSize(subject host.Identity) int {
	return proto.Size(&fleetv1.IndirectPingRequest{Subject: wire.PeerToProto(subject), TimeoutMillis: 1000})
}

// membersSize returns the size of a member list, which is sent compressed.
func membersSize(members []host.Update) int {
	data, err := proto.Marshal(&fleetv1.SyncResponse{Members: wire.UpdatesToProto(members)})
	if err != nil {
		panic(err)
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err = w.Write(data); err == nil {
		err = w.Close()
	}
	if err != nil {
		panic(err)
	}
	return b.Len()
}

func reportsSize(list []service.TargetReport) int {
	return proto.Size(&fleetv1.ReportRequest{Reports: wire.ReportsToProto(list)})
}
