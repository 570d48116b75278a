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

// Limits on the queue of one host.
const (
	queueLength = 64
	queueWait   = 400 * time.Millisecond
)

// deployment is the size of a service, as its users have stated it.
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

// fleet is an entry set that sends requests to the targets of one service. Its
// hosts hedge as the policy says.
type fleet struct {
	d                deployment
	behavior         behavior
	policy           policy
	meanInterarrival float64
	rng              *rand.Rand
	hosts            []*entryHost
	index            map[string]int
	events           events

	latencies                  *hdrhistogram.Histogram
	requests, attempts, notRun int
}

// entryHost is one host of the entry set.
type entryHost struct {
	id        int
	routing   *service.Routing
	queue     []*request
	budget    *caller.RetryBudget
	latencies latencyWindow
}

func newFleet(seed uint64, d deployment, b behavior, load float64, p policy) *fleet {
	const digits = 3
	f := &fleet{
		d: d, behavior: b, policy: p,
		meanInterarrival: float64(b.mean()) / (load * targets * float64(d.slots)),
		rng:              rand.New(rand.NewPCG(seed, 0)),
		index:            make(map[string]int),
		latencies:        hdrhistogram.New(1, int64(time.Minute/time.Microsecond), digits),
	}
	ct := &contract.Contract{Service: d.name}
	for i := range targets {
		name := fmt.Sprint("t", i)
		f.index[name] = i
		ct.Targets = append(ct.Targets, contract.Target{Name: name, Zone: d.zone(i), Slots: d.slots})
	}
	for h := range d.hosts {
		svc := service.New(ct, service.Location{Zone: d.zone(h), Zones: zone.NewMap(nil, nil)}, epoch)
		svc.SetSlotShare(d.hosts, h)
		f.hosts = append(f.hosts, &entryHost{id: h, routing: svc.Routing(), budget: caller.NewRetryBudget()})
	}
	return f
}

// run sends requests at the configured load for length of virtual time.
func (f *fleet) run(length time.Duration) {
	for now := time.Duration(0); now < length; now += time.Duration(f.rng.ExpFloat64() * f.meanInterarrival) {
		f.advance(now)
		f.requests++
		h := f.hosts[f.rng.IntN(len(f.hosts))]
		h.budget.Deposit()
		f.submit(h, &request{host: h, arrived: now}, now)
	}
}

// submit sends a request, or queues it.
func (f *fleet) submit(h *entryHost, r *request, now time.Duration) {
	if len(h.queue) == 0 && f.send(r, now) {
		return
	}
	if len(h.queue) >= queueLength {
		f.notRun++
		return
	}
	h.queue = append(h.queue, r)
}

// send starts an attempt at a target that the request has not been sent to. After
// the first attempt it also schedules the hedge.
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
	r.attempts = append(r.attempts, a)
	heap.Push(&f.events, event{at: now + a.latency, attempt: a})
	if delay := r.host.latencies.quantile(f.policy.quantile); delay > 0 && len(r.attempts) == 1 {
		heap.Push(&f.events, event{at: now + delay, hedge: r})
	}
	return true
}

// advance processes the events that are due.
func (f *fleet) advance(now time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= now {
		e := heap.Pop(&f.events).(event)
		if e.hedge != nil {
			f.hedge(e.hedge, e.at)
			continue
		}
		f.completeAttempt(e.attempt, e.at)
	}
}

// hedge starts a second attempt if the request is still open and the retry budget
// allows it. Unless the policy has whileQueued set, it starts none while other
// requests wait for a slot.
func (f *fleet) hedge(r *request, now time.Duration) {
	if r.done || len(r.host.queue) > 0 && !f.policy.whileQueued {
		return
	}
	if !r.host.budget.TryWithdraw() {
		return
	}
	r.tried = map[*link.Link]bool{r.attempts[0].link: true}
	f.send(r, now)
}

// completeAttempt completes a request when the first of its attempts ends, and
// cancels the other attempt.
func (f *fleet) completeAttempt(a *attempt, now time.Duration) {
	r := a.request
	if r.done {
		return
	}
	r.done = true
	_ = f.latencies.RecordValue(int64((now - r.arrived) / time.Microsecond))
	for _, other := range r.attempts {
		other.link.Release(other.slot)
	}
	a.link.ObserveOutcome(link.Succeeded, a.latency)
	r.host.latencies.add(now - r.attempts[0].started)
	f.sendQueued(r.host, now)
}

// sendQueued sends queued requests while there are free slots, and drops those
// that have waited too long.
func (f *fleet) sendQueued(h *entryHost, now time.Duration) {
	for len(h.queue) > 0 {
		if now-h.queue[0].arrived > queueWait {
			f.notRun++
		} else if !f.send(h.queue[0], now) {
			return
		}
		h.queue = h.queue[1:]
	}
}

// summary returns the columns of the table for this run.
func (f *fleet) summary(length time.Duration) string {
	at := func(q float64) time.Duration {
		return (time.Duration(f.latencies.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%.3f\t%.0f\t%.2f%%", at(50), at(95), at(99), at(99.9),
		float64(f.attempts)/float64(f.requests-f.notRun), float64(f.latencies.TotalCount())/length.Seconds(), 100*float64(f.notRun)/float64(f.requests))
}
