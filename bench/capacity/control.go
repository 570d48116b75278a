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

// virtualStart is when the virtual clock begins.
var virtualStart = time.Unix(1_800_000_000, 0)

// Parts of a run on the virtual clock. A host that has just started is an entry
// host for every service until it knows its peers, and goes on exchanging
// evidence of what it carried for a minute. The hosts have known each other for
// knownTime.
const (
	knownTime   = time.Hour
	settleTime  = 90 * time.Second
	measureTime = 120 * time.Second
)

// day is a state of the world around the measured host.
type day struct {
	name string
	// away reports whether a peer does not answer.
	away func(size Size, i int) bool
	// back makes the peers answer again when the measurement begins.
	back bool
	// store is false while the platform is away.
	store bool
}

var (
	quietDay  = day{name: "ordinary", away: nobody, store: true}
	rackLost  = day{name: "a rack of 40 lost", away: func(_ Size, i int) bool { return i < 40 }, store: true}
	zoneLost  = day{name: "a zone lost", away: func(s Size, i int) bool { return i%s.Zones == 1 }, store: true}
	zoneBack  = day{name: "a zone back", away: zoneLost.away, back: true, store: true}
	storeAway = day{name: "the store away", away: nobody}

	regionLost = day{
		name:  "the other region lost",
		away:  func(s Size, i int) bool { return s.regionOf(i%s.Zones) != s.regionOf(0) },
		store: true,
	}
)

func nobody(Size, int) bool { return false }

// driver feeds one core and answers its effects.
type driver struct {
	size Size
	day  day
	news *news
	core *host.Core
	// index finds a host by its id and by its fleet address.
	index map[host.ID]int
	rng   *rand.Rand
	now   time.Time
	away  bool

	queue    []host.Event
	revision uint64
	snapshot *host.Snapshot
	// fronted are the services of the snapshot that this host fronts.
	fronted []*service.Routing
	used    usage
}

func newCore(size Size, seed uint64) *host.Core {
	return host.New(host.Config{
		Self:   identity(size, 0),
		Zones:  size.zones(),
		Timing: host.DefaultTiming(),
		Rand:   rand.New(rand.NewPCG(1, seed)),
	})
}

func identity(size Size, i int) host.Identity {
	address := fmt.Sprintf("10.64.%d.%d", i/250, i%250)
	return host.Identity{
		ID: host.ID(fmt.Sprintf("host-%03d", i)), Incarnation: uint64(virtualStart.UnixMilli()), Zone: size.zoneOf(i),
		Address: address + ":8080", APIAddress: address + ":8081", FleetAddress: address + ":8082",
	}
}

// runs is how many runs with different seeds make one row. How much evidence
// the hosts exchange depends on chance.
const runs = 3

// measureControl runs one host at full size for measureTime of virtual time,
// and returns the mean of several runs.
func measureControl(size Size, day day) (usage, error) {
	news := workOutNews(size, day)
	var total usage
	for seed := range runs {
		used, err := measureRun(size, day, news, uint64(seed+1))
		if err != nil {
			return usage{}, err
		}
		total = total.plus(used)
	}
	return total.perSecond(runs * measureTime), nil
}

func measureRun(size Size, day day, news *news, seed uint64) (usage, error) {
	news.next = 0
	before := heapMB()
	d, err := newDriver(size, day, news, seed)
	if err != nil {
		return usage{}, err
	}
	d.run(settleTime)
	d.away = true
	if day.back {
		d.run(measureTime)
		d.away = false
	}
	d.used = usage{}
	cpu := processCPU()
	d.run(measureTime)
	d.used.cores = (processCPU() - cpu).Seconds()
	d.used.heapMB = heapMB() - before
	d.used.fronted = len(d.fronted)
	runtime.KeepAlive(d)
	return d.used, nil
}

func newDriver(size Size, day day, news *news, seed uint64) (*driver, error) {
	list, _, err := decodeAll(changes(size))
	if err != nil {
		return nil, err
	}
	d := &driver{
		size: size, day: day, news: news, core: newCore(size, seed), index: make(map[host.ID]int),
		rng: rand.New(rand.NewPCG(2, seed)), now: virtualStart, revision: uint64(size.Services),
	}
	for i := range size.Hosts {
		d.index[identity(size, i).ID] = i
		d.index[host.ID(identity(size, i).FleetAddress)] = i
	}
	d.handle(host.Tick{})
	d.handle(host.ConfigurationRead{Changes: list, Revision: d.revision, FromStore: true})
	d.handle(host.SyncSucceeded{Message: d.message(1), Members: d.members()})
	d.now = d.now.Add(knownTime)
	return d, nil
}

func (d *driver) members() []host.Update {
	var out []host.Update
	for i := 1; i < d.size.Hosts; i++ {
		out = append(out, host.Update{Identity: identity(d.size, i), State: host.PeerAlive})
	}
	return out
}

// message is one of peer i, with news of third hosts.
func (d *driver) message(i int) host.Message {
	return host.Message{
		From: d.news.identity(d.size, i, d.now), Revision: d.revision, Ready: true, Updates: d.news.hear(d.now, d.rng),
	}
}

// run lets virtual time pass.
func (d *driver) run(length time.Duration) {
	share := d.size.Requests / float64(d.size.Hosts) * host.TickInterval.Seconds()
	pings := host.TickInterval.Seconds() / host.DefaultTiming().PingInterval.Seconds()
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(host.TickInterval) {
		d.handle(host.Tick{})
		if observations := d.observations(share); len(observations) > 0 {
			d.handle(host.Observed{Observations: observations})
		}
		if d.rng.Float64() < pings {
			d.hearPing()
		}
		for len(d.queue) > 0 {
			ev := d.queue[0]
			d.queue = d.queue[1:]
			d.handle(ev)
		}
	}
}

// hearPing takes in the ping of a random peer, as many as the host sends.
func (d *driver) hearPing() {
	i := 1 + d.rng.IntN(d.size.Hosts-1)
	if d.isAway(i) {
		return
	}
	m := d.message(i)
	d.handle(host.MessageReceived{Message: m})
	answer := d.core.Message(d.now, m.From.ID)
	d.used.received++
	d.used.receivedBytes += float64(messageSize(m) + messageSize(answer))
}

// observations are those of this host's share of the traffic: requests of the
// services that it fronts.
func (d *driver) observations(share float64) []link.Observation {
	n := int(share)
	if d.rng.Float64() < share-float64(n) {
		n++
	}
	var out []link.Observation
	for range n {
		if len(d.fronted) == 0 {
			break
		}
		r := d.fronted[d.rng.IntN(len(d.fronted))]
		l := r.Links[d.rng.IntN(len(r.Links))]
		latency := time.Duration(20+d.rng.ExpFloat64()*10) * time.Millisecond
		out = append(out, link.Observation{Target: l.Target, Outcome: link.Succeeded, Latency: latency, At: d.now})
	}
	return out
}

// listFronted notes the services that this host fronts, sorted by name.
func (d *driver) listFronted() {
	d.fronted = nil
	for _, name := range slices.Sorted(maps.Keys(d.snapshot.EntrySets)) {
		if d.snapshot.IsEntryHost(name) && len(d.snapshot.Services[name].Links) > 0 {
			d.fronted = append(d.fronted, d.snapshot.Services[name])
		}
	}
}

func (d *driver) isAway(i int) bool { return d.away && d.day.away(d.size, i) }

// handle feeds one event, counts the effects and answers them.
func (d *driver) handle(ev host.Event) {
	began := time.Now()
	effects := d.core.Handle(d.now, ev)
	d.used.worstStep = max(d.used.worstStep, time.Since(began))
	for _, e := range slices.Clone(effects) {
		d.carryOut(e)
	}
}

func (d *driver) carryOut(e host.Effect) {
	switch e := e.(type) {
	case host.Publish:
		d.snapshot = e.Snapshot
		d.listFronted()
		d.used.publications++
	case host.SendPing:
		d.ping(e)
	case host.SendIndirectPing:
		d.pingIndirectly(e)
	case host.SendSync:
		d.sync(e)
	case host.SendReports:
		d.exchange(reportsSize(e.Reports))
		d.used.received++
		d.used.receivedBytes += float64(reportsSize(e.Reports))
		d.queue = append(d.queue, host.ReportsReceived{From: e.To, Reports: d.reportsOf(e.To.ID, e.Reports)},
			host.SendReportsEnded{From: e.To.ID, LeaveSignalsOf: e.LeaveSignalsOf})
	case host.ReadConfiguration:
		d.used.reads++
		d.queue = append(d.queue, host.ConfigurationRead{Revision: e.After, FromStore: true, Err: d.day.storeErr()})
	case host.ReadHostList:
		d.used.hostLists++
		d.queue = append(d.queue, host.HostListRead{Err: d.day.storeErr()})
	case host.SendProbe:
		d.used.probes++
		d.queue = append(d.queue, host.ProbeEnded{Target: e.Target, OK: true, Latency: probeTime})
	case host.Record:
		d.used.events++
	}
}

// probeTime is how long a target takes to answer a probe.
const probeTime = 25 * time.Millisecond

func (d *driver) ping(e host.SendPing) {
	d.exchange(messageSize(e.Message))
	i := d.index[e.To.ID]
	if d.isAway(i) {
		d.queue = append(d.queue, host.PingFailed{Subject: e.To.ID})
		return
	}
	answer := d.message(i)
	d.used.sentBytes += float64(messageSize(answer))
	d.queue = append(d.queue, host.PingSucceeded{Message: answer})
}

// pingIndirectly asks a relay. This host is a relay for others as often as
// others are for it.
func (d *driver) pingIndirectly(e host.SendIndirectPing) {
	size := indirectSize(e.Subject)
	d.exchange(size)
	d.used.received++
	d.used.receivedBytes += float64(size)
	d.exchange(messageSize(d.core.Message(d.now, e.Subject.ID)))
	answer := host.IndirectPingEnded{Subject: e.Subject.ID, Reached: !d.isAway(d.index[e.Subject.ID])}
	if d.isAway(d.index[e.Via.ID]) {
		answer.Err = storage.ErrUnavailable
	}
	d.queue = append(d.queue, answer)
}

// sync compares the list of hosts with a peer, and is asked as often. At each
// comparison one of the two has not heard of some change.
func (d *driver) sync(e host.SendSync) {
	d.exchange(messageSize(e.Message))
	i := d.index[host.ID(e.To)]
	if d.isAway(i) {
		return
	}
	answer, members := d.message(i), d.core.Members()
	size := messageSize(answer) + membersSize(members)
	d.used.sentBytes += float64(size)
	d.used.received++
	d.used.receivedBytes += float64(messageSize(e.Message) + size)
	d.queue = append(d.queue, host.SyncSucceeded{Message: answer, Members: members})
}

func (d *driver) exchange(bytes int) {
	d.used.sent++
	d.used.sentBytes += float64(bytes)
}

func (d day) storeErr() error {
	if d.store {
		return nil
	}
	return storage.ErrUnavailable
}

// reportsOf returns what a peer of the entry set reports while this host
// reports the given list: as much, but of its own requests. Each peer's
// evidence about a target is this host's evidence about another one of the same
// service, so that the hosts do not all seem to see the same chance events.
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

// membersSize is the size of a list of hosts, which is sent compressed.
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
