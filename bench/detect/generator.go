package main

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/link"
)

// probeInterval is the time between two probes of the same target.
const probeInterval = time.Second

// openRequest is a request whose response has not arrived yet.
type openRequest struct {
	request
	slot     int
	response response
}

func (o openRequest) end() time.Duration { return o.at + o.response.latency }

// openHeap is a heap of the open requests by the time at which they end.
type openHeap []openRequest

func (h openHeap) Len() int           { return len(h) }
func (h openHeap) Less(i, j int) bool { return h[i].end() < h[j].end() }
func (h openHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *openHeap) Push(x any) { *h = append(*h, x.(openRequest)) }

// Pop implements heap.Interface.
func (h *openHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// generator feeds the requests of one service into a detector. The arrivals for
// each target are a Poisson process; each host gets requests in proportion to
// its share of the target's slots.
type generator struct {
	d        deployment
	rng      *rand.Rand
	behavior behavior
	detector detector
	open     openHeap
	// slotHosts holds, by target, the host that owns each slot.
	slotHosts [][]int
	// replacements is not nil if the targets are replaced periodically.
	replacements *coldStart
	now          time.Duration
	nextArrival  time.Duration
}

func newGenerator(d deployment, seed uint64, b behavior, det detector) *generator {
	g := &generator{d: d, rng: rand.New(rand.NewPCG(seed, 0)), behavior: b, detector: det}
	g.slotHosts = slotHostsOf(d)
	if c, ok := b.(coldStart); ok {
		g.replacements = &c
	}
	g.nextArrival = g.interarrivalTime()
	return g
}

func slotHostsOf(d deployment) [][]int {
	out := make([][]int, d.targets)
	for h, share := range newServiceDetector(d).slotShares {
		for t, slots := range share {
			for range slots {
				out[t] = append(out[t], h)
			}
		}
	}
	return out
}

// interarrivalTime draws the time to the next request for the service.
func (g *generator) interarrivalTime() time.Duration {
	mean := float64(time.Second) / float64(requestRate*g.d.targets)
	return time.Duration(g.rng.ExpFloat64() * mean)
}

// run advances the virtual time to until, or to the first tick after which stop
// returns true.
func (g *generator) run(until time.Duration, stop func(now time.Duration) bool) {
	for g.now < until {
		next := g.now + host.TickInterval
		g.runRequests(next)
		g.now = next
		g.replaceTargets()
		g.sendProbes()
		g.detector.tick(g.now)
		if stop != nil && stop(g.now) {
			return
		}
	}
}

// runRequests processes the arrivals and ends of requests up to until, in order
// of time.
func (g *generator) runRequests(until time.Duration) {
	for {
		endIsNext := len(g.open) > 0 && g.open[0].end() <= g.nextArrival
		switch {
		case endIsNext && g.open[0].end() <= until:
			g.finish(heap.Pop(&g.open).(openRequest))
		case !endIsNext && g.nextArrival <= until:
			g.arrive(g.nextArrival)
			g.nextArrival += g.interarrivalTime()
		default:
			return
		}
	}
}

func (g *generator) arrive(at time.Duration) {
	target := g.rng.IntN(g.d.targets)
	hosts := g.slotHosts[target]
	r := request{host: hosts[g.rng.IntN(len(hosts))], target: target, at: at}
	resp := g.behavior.respond(g.rng, r)
	if g.d.hostZone(r.host) != g.d.targetZone(r.target) {
		resp.latency += 2 * g.d.oneWay
	}
	slot, ok := g.detector.acquire(r)
	if !ok {
		return
	}
	heap.Push(&g.open, openRequest{request: r, slot: slot, response: resp.withDeadline(deadline)})
}

func (g *generator) finish(o openRequest) {
	g.detector.done(o.request, o.slot, link.Observation{Outcome: o.response.outcome, Latency: o.response.latency})
}

// sendProbes sends the probes that are due in this tick. The probes of all
// targets are spread evenly over probeInterval.
func (g *generator) sendProbes() {
	ticksPerInterval := int(probeInterval / host.TickInterval)
	tick := int(g.now / host.TickInterval)
	for target := tick % ticksPerInterval; target < g.d.targets; target += ticksPerInterval {
		g.detector.observeProbe(target, g.behavior.probe(target, g.now), g.now)
	}
}

// replaceTargets replaces the targets whose replacement fell into this tick.
func (g *generator) replaceTargets() {
	if g.replacements == nil {
		return
	}
	for target := range g.d.targets {
		if g.replacements.sinceReplacement(target, g.now) < host.TickInterval {
			g.detector.replace(target, g.now)
		}
	}
}
