package main

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/link"
)

// probeInterval is the time between two probes of a target.
const probeInterval = time.Second

// open is a request whose answer is on its way.
type open struct {
	request
	slot   int
	answer answer
}

func (o open) end() time.Duration { return o.at + o.answer.latency }

// openHeap orders open requests by their end.
type openHeap []open

func (h openHeap) Len() int           { return len(h) }
func (h openHeap) Less(i, j int) bool { return h[i].end() < h[j].end() }
func (h openHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *openHeap) Push(x any) { *h = append(*h, x.(open)) }

// Pop implements heap.Interface.
func (h *openHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// generator feeds a detector with the requests of one service: a Poisson
// process for each target, whose requests reach the hosts by their share of
// the target's slots.
type generator struct {
	d        deployment
	rng      *rand.Rand
	behavior behavior
	detector detector
	open     openHeap
	// carriers are the hosts of each target, one entry for each slot.
	carriers [][]int
	// replacements is set for targets that are replaced from time to time.
	replacements *coldStart
	now          time.Duration
	arrival      time.Duration
}

func newGenerator(d deployment, seed uint64, b behavior, det detector) *generator {
	g := &generator{d: d, rng: rand.New(rand.NewPCG(seed, 0)), behavior: b, detector: det}
	g.carriers = carriersOf(d)
	if c, ok := b.(coldStart); ok {
		g.replacements = &c
	}
	g.arrival = g.gap()
	return g
}

func carriersOf(d deployment) [][]int {
	out := make([][]int, d.targets)
	for h, share := range newOurs(d).share {
		for t, slots := range share {
			for range slots {
				out[t] = append(out[t], h)
			}
		}
	}
	return out
}

// gap returns the time to the next request of the service.
func (g *generator) gap() time.Duration {
	mean := float64(time.Second) / float64(requestRate*g.d.targets)
	return time.Duration(g.rng.ExpFloat64() * mean)
}

// run lets time pass until the given time, or until stop says so after a tick.
func (g *generator) run(until time.Duration, stop func(now time.Duration) bool) {
	for g.now < until {
		next := g.now + host.TickInterval
		g.requests(next)
		g.now = next
		g.replace()
		g.probes()
		g.detector.tick(g.now)
		if stop != nil && stop(g.now) {
			return
		}
	}
}

// requests handles arrivals and ends in their order up to a time.
func (g *generator) requests(until time.Duration) {
	for {
		ends := len(g.open) > 0 && g.open[0].end() <= g.arrival
		switch {
		case ends && g.open[0].end() <= until:
			g.finish(heap.Pop(&g.open).(open))
		case !ends && g.arrival <= until:
			g.arrive(g.arrival)
			g.arrival += g.gap()
		default:
			return
		}
	}
}

func (g *generator) arrive(at time.Duration) {
	target := g.rng.IntN(g.d.targets)
	carriers := g.carriers[target]
	r := request{host: carriers[g.rng.IntN(len(carriers))], target: target, at: at}
	a := g.behavior.answer(g.rng, r)
	if g.d.hostZone(r.host) != g.d.targetZone(r.target) {
		a.latency += 2 * g.d.oneWay
	}
	slot, ok := g.detector.acquire(r)
	if !ok {
		return
	}
	heap.Push(&g.open, open{request: r, slot: slot, answer: a.within(deadline)})
}

func (g *generator) finish(o open) {
	g.detector.done(o.request, o.slot, link.Observation{Outcome: o.answer.outcome, Latency: o.answer.latency})
}

// probes sends the probes that are due in this tick, spread over the interval.
func (g *generator) probes() {
	ticks := int(probeInterval / host.TickInterval)
	tick := int(g.now / host.TickInterval)
	for target := tick % ticks; target < g.d.targets; target += ticks {
		g.detector.probed(target, g.behavior.probe(target, g.now), g.now)
	}
}

func (g *generator) replace() {
	if g.replacements == nil {
		return
	}
	for target := range g.d.targets {
		if g.replacements.replaced(target, g.now) < host.TickInterval {
			g.detector.replace(target, g.now)
		}
	}
}
