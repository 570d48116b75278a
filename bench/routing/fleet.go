package main

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/zone"
)

// The size of the catalogue service.
const (
	targets = 30
	slots   = 4
	hosts   = 9
	zones   = 3
	oneWay  = 1500 * time.Microsecond
	// load is the mean share of the slots that are in use.
	load          = 0.5
	medianLatency = 25 * time.Millisecond
	sigma         = 0.5
	// outlier is the index of the target that differs from the others.
	outlier = 7
)

// scenario describes how the outlier differs from the other targets.
type scenario struct {
	name string
	// latencyFactor multiplies the latency of the outlier.
	latencyFactor float64
	fails         bool
}

var scenarios = []scenario{
	{name: "alike", latencyFactor: 1},
	{name: "one 3x slower", latencyFactor: 3},
	{name: "one fails fast", latencyFactor: 0.05, fails: true},
}

// call is a request that has not ended.
type call struct {
	end, latency time.Duration
	host, target int
	link         *link.Link
	slot         int
	failed       bool
}

type calls []call

func (c calls) Len() int           { return len(c) }
func (c calls) Less(i, j int) bool { return c[i].end < c[j].end }
func (c calls) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *calls) Push(x any) { *c = append(*c, x.(call)) }

// Pop implements heap.Interface.
func (c *calls) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is an entry set that sends requests to the targets of one service. No
// target is ejected, so that the strategy alone is measured.
type fleet struct {
	scenario  scenario
	strategy  strategy
	rng       *rand.Rand
	routings  []*service.Routing
	index     map[string]int
	openCalls calls

	latencies                                 *hdrhistogram.Histogram
	sent, sameZone, toOutlier, noSlot, failed int
}

func zoneOf(i int) zone.ID { return zone.ID(fmt.Sprint("z", i%zones)) }

func newFleet(seed uint64, sc scenario, st strategy) *fleet {
	const digits = 3
	f := &fleet{
		scenario:  sc,
		strategy:  st,
		rng:       rand.New(rand.NewPCG(seed, 0)),
		index:     make(map[string]int),
		latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), digits),
	}
	c := &contract.Contract{Service: "catalogue"}
	for i := range targets {
		name := fmt.Sprint("t", i)
		f.index[name] = i
		c.Targets = append(c.Targets, contract.Target{Name: name, Zone: zoneOf(i), Slots: slots})
	}
	m := zone.NewMap(nil, nil)
	for h := range hosts {
		svc := service.New(c, service.Location{Zone: zoneOf(h), Zones: m}, epoch)
		svc.SetSlotShare(hosts, h)
		f.routings = append(f.routings, svc.Routing())
	}
	return f
}

// run sends requests at the configured load for length of virtual time.
func (f *fleet) run(length time.Duration) {
	mean := float64(medianLatency) * math.Exp(sigma*sigma/2)
	meanInterarrival := mean / (load * targets * slots)
	for now := time.Duration(0); now < length; now += time.Duration(f.rng.ExpFloat64() * meanInterarrival) {
		f.completeCalls(now)
		f.send(now)
	}
}

func (f *fleet) send(now time.Duration) {
	host := f.rng.IntN(hosts)
	l, slot, ok := f.strategy.pick(f.rng, f.routings[host], epoch.Add(now))
	if !ok {
		f.noSlot++
		return
	}
	target := f.index[l.Target.Name]
	latency := float64(medianLatency) * math.Exp(sigma*f.rng.NormFloat64())
	c := call{host: host, target: target, link: l, slot: slot}
	if target == outlier {
		latency *= f.scenario.latencyFactor
		c.failed = f.scenario.fails
	}
	c.latency = time.Duration(latency)
	if zoneOf(host) != zoneOf(target) {
		c.latency += 2 * oneWay
	}
	c.end = now + c.latency
	heap.Push(&f.openCalls, c)
	f.count(c)
}

func (f *fleet) count(c call) {
	f.sent++
	if zoneOf(c.host) == zoneOf(c.target) {
		f.sameZone++
	}
	if c.target == outlier {
		f.toOutlier++
	}
	if c.failed {
		f.failed++
		return
	}
	_ = f.latencies.RecordValue(int64(c.latency / time.Microsecond))
}

// completeCalls completes the calls that are due.
func (f *fleet) completeCalls(now time.Duration) {
	for len(f.openCalls) > 0 && f.openCalls[0].end <= now {
		c := heap.Pop(&f.openCalls).(call)
		c.link.Release(c.slot)
		outcome := link.Succeeded
		if c.failed {
			outcome = link.Failed
		}
		c.link.ObserveOutcome(outcome, c.latency)
	}
}

// summary returns the columns of the table for this run.
func (f *fleet) summary() string {
	share := func(n, of int) string { return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(of)) }
	at := func(q float64) time.Duration {
		return (time.Duration(f.latencies.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s",
		at(50), at(99), share(f.sameZone, f.sent), share(f.toOutlier, f.sent), share(f.noSlot, f.sent+f.noSlot), share(f.failed, f.sent))
}
