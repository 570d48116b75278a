package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/zone"
)

// targets is the number of targets of each service.
const targets = 30

// Bounds of the queue of one host.
const (
	queueLength = 64
	queueWait   = 400 * time.Millisecond
)

// deployment is a service at the size of its users.
type deployment struct {
	name         string
	slots, hosts int
	zones        int
	oneWay       time.Duration
}

var deployments = []deployment{
	{"viewer", 2, 8, 4, time.Millisecond},
	{"catalogue", 4, 9, 3, 1500 * time.Microsecond},
}

func (d deployment) zone(i int) zone.ID { return zone.ID(fmt.Sprint("z", i%d.zones)) }

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is an entry set that sends requests to the targets of one service.
type fleet struct {
	d        deployment
	behavior behavior
	policy   policy
	gap      float64
	rng      *rand.Rand
	hosts    []*entry
	index    map[string]int
	events   events

	latencies                  *hdrhistogram.Histogram
	requests, attempts, notRun int
}

// entry is one host of the entry set.
type entry struct {
	id      int
	routing *service.Routing
	queue   []*request
	budget  *caller.RetryBudget
	recent  recent
}

func newFleet(seed uint64, d deployment, b behavior, load float64, p policy) *fleet {
	const digits = 3
	f := &fleet{
		d: d, behavior: b, policy: p,
		gap:       float64(b.mean()) / (load * targets * float64(d.slots)),
		rng:       rand.New(rand.NewPCG(seed, 0)),
		index:     make(map[string]int),
		latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), digits),
	}
	ct := &contract.Contract{Service: d.name}
	for i := range targets {
		name := fmt.Sprint("t", i)
		f.index[name] = i
		ct.Targets = append(ct.Targets, contract.Target{Name: name, Zone: d.zone(i), Slots: d.slots})
	}
	for h := range d.hosts {
		sv := service.New(ct, service.Location{Zone: d.zone(h), Zones: zone.NewMap(nil, nil)}, epoch)
		sv.SetSlotShare(d.hosts, h)
		f.hosts = append(f.hosts, &entry{id: h, routing: sv.Routing(), budget: caller.NewRetryBudget()})
	}
	return f
}

// run sends requests for a time.
func (f *fleet) run(length time.Duration) {
	for now := time.Duration(0); now < length; now += time.Duration(f.rng.ExpFloat64() * f.gap) {
		f.advance(now)
		f.requests++
		h := f.hosts[f.rng.IntN(len(f.hosts))]
		h.budget.Deposit()
		f.enter(h, &request{host: h, arrived: now}, now)
	}
}

// enter sends a request, or lines it up.
func (f *fleet) enter(h *entry, r *request, now time.Duration) {
	if len(h.queue) == 0 && f.send(r, now) {
		return
	}
	if len(h.queue) >= queueLength {
		f.notRun++
		return
	}
	h.queue = append(h.queue, r)
}

// send starts an attempt at a target that the request was not sent to yet.
func (f *fleet) send(r *request, now time.Duration) bool {
	l, slot, ok := r.host.routing.Pick(f.rng, service.Attempt{Now: epoch.Add(now), Tried: r.tried})
	if !ok {
		return false
	}
	target := f.index[l.Target.Name]
	a := &attempt{request: r, link: l, slot: slot, started: now}
	a.latency = f.behavior.latency(f.rng, target, now)
	if f.d.zone(r.host.id) != f.d.zone(target) {
		a.latency += 2 * f.d.oneWay
	}
	f.attempts++
	r.open = append(r.open, a)
	heap.Push(&f.events, event{at: now + a.latency, attempt: a})
	if delay := r.host.recent.quantile(f.policy.quantile); delay > 0 && len(r.open) == 1 {
		heap.Push(&f.events, event{at: now + delay, hedge: r})
	}
	return true
}

// advance handles what is due before a time.
func (f *fleet) advance(now time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= now {
		e := heap.Pop(&f.events).(event)
		if e.hedge != nil {
			f.hedge(e.hedge, e.at)
			continue
		}
		f.finish(e.attempt, e.at)
	}
}

// hedge sends a second attempt when the request is still open, no other waits
// for a slot, and the budget allows it.
func (f *fleet) hedge(r *request, now time.Duration) {
	if r.done || len(r.host.queue) > 0 && !f.policy.whenFull {
		return
	}
	if !r.host.budget.TryWithdraw() {
		return
	}
	r.tried = map[*link.Link]bool{r.open[0].link: true}
	f.send(r, now)
}

// finish ends a request with the first attempt that ends, and cancels the
// other.
func (f *fleet) finish(a *attempt, now time.Duration) {
	r := a.request
	if r.done {
		return
	}
	r.done = true
	_ = f.latencies.RecordValue(int64((now - r.arrived) / time.Microsecond))
	for _, other := range r.open {
		other.link.Release(other.slot)
	}
	a.link.ObserveOutcome(link.Succeeded, a.latency)
	r.host.recent.add(now - r.open[0].started)
	f.serve(r.host, now)
}

// serve sends the requests that wait.
func (f *fleet) serve(h *entry, now time.Duration) {
	for len(h.queue) > 0 {
		if now-h.queue[0].arrived > queueWait {
			f.notRun++
		} else if !f.send(h.queue[0], now) {
			return
		}
		h.queue = h.queue[1:]
	}
}

func (f *fleet) summary(length time.Duration) string {
	at := func(q float64) time.Duration {
		return (time.Duration(f.latencies.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%.3f\t%.0f\t%.2f%%", at(50), at(95), at(99), at(99.9),
		float64(f.attempts)/float64(f.requests-f.notRun), float64(f.latencies.TotalCount())/length.Seconds(), 100*float64(f.notRun)/float64(f.requests))
}
