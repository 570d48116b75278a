package caller

import (
	"math"
	"math/rand/v2"
	"time"
)

// Class is a rank of waiting requests that hosts tell each other: a priority, or late.
type Class int

const (
	// LateClass is the class of the requests whose objective has passed.
	LateClass Class = 3
	// Classes is the number of classes.
	Classes = 4
)

// NewClass returns the class of a request.
func NewClass(priority int, late bool) Class {
	if late {
		return LateClass
	}
	return Class(min(max(0, priority), int(LateClass)-1))
}

var classTexts = [Classes]string{"priority 0", "priority 1", "priority 2", "late"}

// String returns the text of the class.
func (c Class) String() string { return classTexts[c] }

// Order is the order in which an AdmissionQueue gives slots to its requests.
type Order struct {
	Name string
	// cost returns what it costs the caller if the request waits, relative to other requests
	// of its service; the request with the highest cost is served first. Work is the typical
	// latency of the service.
	cost func(r *queuedRequest, now time.Time, work time.Duration) float64
	// classed is set if a class never waits for a less urgent one at another host, and guarded if
	// no class and no account starves.
	classed, guarded bool
}

// The orders for NewAdmissionQueue. A zero AdmissionQueue serves the accounts in turn.
var (
	FirstCome = Order{Name: "first come", cost: func(r *queuedRequest, now time.Time, _ time.Duration) float64 {
		return now.Sub(r.enqueued).Seconds()
	}}
	StrictPriority = Order{Name: "strict priority", classed: true, cost: func(r *queuedRequest, now time.Time, _ time.Duration) float64 {
		const aboveWaits = 1e6 // no request waits for as many seconds
		return aboveWaits*float64(Classes-r.class(now)) + now.Sub(r.enqueued).Seconds()
	}}
	EarliestDeadline = Order{Name: "earliest deadline", cost: func(r *queuedRequest, now time.Time, _ time.Duration) float64 {
		return -r.request.Deadline.Sub(now).Seconds()
	}}
	LeastSlack = Order{Name: "least slack", cost: func(r *queuedRequest, now time.Time, work time.Duration) float64 {
		return -r.slack(now, work).Seconds()
	}}
	CostOfDelay = Order{Name: "cost of delay", classed: true, guarded: true, cost: costOfDelay}
)

// priorityWeights are the values of a response in time, by priority. lateRefusalCost is the share of
// it that a refusal costs once the caller has waited for longer than the objective.
var priorityWeights = [LateClass]float64{4, 2, 1}

const lateRefusalCost = 0.5

// PriorityWeight returns the value of a response in time to a request of a priority.
func PriorityWeight(priority int) float64 { return priorityWeights[NewClass(priority, false)] }

// delayScale is how many times the work of a request its slack may be until the cost of its delay
// falls to 1/e.
const delayScale = 2

// costOfDelay returns the value that a response loses with each unit of delay, for each unit of
// work. All requests of a queue are for one service, so that the work is the same for all. A late
// request has little to lose until its time no longer suffices.
func costOfDelay(r *queuedRequest, now time.Time, work time.Duration) float64 {
	work = max(work, time.Millisecond)
	weight := PriorityWeight(r.request.Priority) / work.Seconds()
	slack := r.slack(now, work)
	if r.request.Late || slack < 0 {
		weight *= lateRefusalCost
		slack = max(0, r.request.Deadline.Sub(now)-work)
	}
	return weight * math.Exp(-float64(slack)/(delayScale*float64(work)))
}

// objectiveEnd returns when the objective of the request passes.
func (r *queuedRequest) objectiveEnd() time.Time { return r.enqueued.Add(r.request.Objective) }

// class returns the class of the request. It is late once its objective has passed.
func (r *queuedRequest) class(now time.Time) Class {
	return NewClass(r.request.Priority, r.request.Late || r.request.Objective > 0 && now.After(r.objectiveEnd()))
}

// slack returns how long the request can wait and still meet its objective; its deadline if it has
// none.
func (r *queuedRequest) slack(now time.Time, work time.Duration) time.Duration {
	end := r.objectiveEnd()
	if r.request.Objective <= 0 {
		end = r.request.Deadline
	}
	return end.Sub(now) - work
}

// tailFactor times the typical latency is a latency that most requests stay below.
const tailFactor = 1.4

// Slack returns the part of an objective that remains for waiting after the request's own latency.
// It is at least half of the typical latency, so that short objectives do not refuse everything.
func Slack(objective, typical time.Duration) time.Duration {
	return max(objective-time.Duration(tailFactor*float64(typical)), typical/2)
}

// SpreadRetryAfter returns a Retry-After with jitter of up to half of the delay either way, so that
// callers do not come back at the same time.
func SpreadRetryAfter(delay time.Duration, rng *rand.Rand) time.Duration {
	return delay/2 + time.Duration(rng.Int64N(int64(max(1, delay))))
}
