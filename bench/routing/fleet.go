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

// The catalogue at its size.
const (
	targets = 30
	slots   = 4
	hosts   = 9
	zones   = 3
	oneWay  = 1500 * time.Microsecond
	// load is the share of the slots that are busy on average.
	load          = 0.5
	medianLatency = 25 * time.Millisecond
	sigma         = 0.5
	// odd is the target that differs from the others.
	odd = 7
)

// scenario says how the odd target differs.
type scenario struct {
	name   string
	slower float64
	fails  bool
}

var scenarios = []scenario{
	{name: "alike", slower: 1},
	{name: "one 3x slower", slower: 3},
	{name: "one fails fast", slower: 0.05, fails: true},
}

// call is a request on its way.
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

// fleet is an entry set that sends requests to the targets of one service.
// Nothing is ejected: the choice alone is measured.
type fleet struct {
	scenario scenario
	choice   choice
	rng      *rand.Rand
	routings []*service.Routing
	index    map[string]int
	open     calls

	latencies                       *hdrhistogram.Histogram
	sent, near, toOdd, full, failed int
}

func zoneOf(i int) zone.ID { return zone.ID(fmt.Sprint("z", i%zones)) }

func newFleet(seed uint64, s scenario, c choice) *fleet {
	const digits = 3
	f := &fleet{
		scenario:  s,
		choice:    c,
		rng:       rand.New(rand.NewPCG(seed, 0)),
		index:     make(map[string]int),
		latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), digits),
	}
	ct := &contract.Contract{Service: "catalogue"}
	for i := range targets {
		name := fmt.Sprint("t", i)
		f.index[name] = i
		ct.Targets = append(ct.Targets, contract.Target{Name: name, Zone: zoneOf(i), Slots: slots})
	}
	m := zone.NewMap(nil, nil)
	for h := range hosts {
		sv := service.New(ct, service.Location{Zone: zoneOf(h), Zones: m}, epoch)
		sv.SetSlotShare(hosts, h)
		f.routings = append(f.routings, sv.Routing())
	}
	return f
}

// run sends requests at the load for a time.
func (f *fleet) run(length time.Duration) {
	mean := float64(medianLatency) * math.Exp(sigma*sigma/2)
	gap := mean / (load * targets * slots)
	for now := time.Duration(0); now < length; now += time.Duration(f.rng.ExpFloat64() * gap) {
		f.finish(now)
		f.send(now)
	}
}

func (f *fleet) send(now time.Duration) {
	host := f.rng.IntN(hosts)
	l, slot, ok := f.choice.pick(f.rng, f.routings[host], epoch.Add(now))
	if !ok {
		f.full++
		return
	}
	target := f.index[l.Target.Name]
	latency := float64(medianLatency) * math.Exp(sigma*f.rng.NormFloat64())
	c := call{host: host, target: target, link: l, slot: slot}
	if target == odd {
		latency *= f.scenario.slower
		c.failed = f.scenario.fails
	}
	c.latency = time.Duration(latency)
	if zoneOf(host) != zoneOf(target) {
		c.latency += 2 * oneWay
	}
	c.end = now + c.latency
	heap.Push(&f.open, c)
	f.count(c)
}

func (f *fleet) count(c call) {
	f.sent++
	if zoneOf(c.host) == zoneOf(c.target) {
		f.near++
	}
	if c.target == odd {
		f.toOdd++
	}
	if c.failed {
		f.failed++
		return
	}
	_ = f.latencies.RecordValue(int64(c.latency / time.Microsecond))
}

// finish ends the calls that are due.
func (f *fleet) finish(now time.Duration) {
	for len(f.open) > 0 && f.open[0].end <= now {
		c := heap.Pop(&f.open).(call)
		c.link.Release(c.slot)
		outcome := link.Succeeded
		if c.failed {
			outcome = link.Failed
		}
		c.link.ObserveOutcome(outcome, c.latency)
	}
}

func (f *fleet) summary() string {
	share := func(n, of int) string { return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(of)) }
	at := func(q float64) time.Duration {
		return (time.Duration(f.latencies.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s",
		at(50), at(99), share(f.near, f.sent), share(f.toOdd, f.sent), share(f.full, f.sent+f.full), share(f.failed, f.sent))
}
