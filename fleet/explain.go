package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/internal/urlpath"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/quota"
)

// Enquiry asks where a request would go.
type Enquiry struct {
	// Path is as a caller sends it, without a query.
	Authority, Path string
	// Account is the name of the request's account; empty for a request without a key.
	Account string
	Now     time.Time
	Rand    *rand.Rand
	Quotas  *quota.Table
	// Outdated is set while this host serves nothing, since its snapshot may not hold any more.
	Outdated bool
	// Accepts reports whether this host, which may be stopping, accepts a request to a service with
	// a deadline. SendBy returns when such a request must have a slot; the zero time unless this
	// host is stopping.
	Accepts func(service string, deadline time.Time) bool
	SendBy  func(service string, deadline time.Time) time.Time
	// AllowsRetry reports whether the retry budget of a service allows a retry.
	AllowsRetry func(service string) bool
	// Queue returns the queue of a service; nil if its requests wait at the targets.
	Queue func(service string) *caller.AdmissionQueue
	// QueueLength is the number of requests that may wait in a queue.
	QueueLength int
}

// Verdict is what would become of a request.
type Verdict string

// The verdicts.
const (
	Sent    Verdict = "sent"
	Waits   Verdict = "waits"
	Refused Verdict = "refused"
)

// Explanation is where a request would go now and why, as this host sees it.
type Explanation struct {
	Host          string            `json:"host"`
	Configuration discovery.Version `json:"configuration"`
	Route         string            `json:"route,omitempty"`
	Prefix        string            `json:"prefix,omitempty"`
	Account       string            `json:"account,omitempty"`
	Priority      int               `json:"priority"`
	// Quota is nil if none applies.
	Quota *QuotaState `json:"quota,omitempty"`
	// Refusal is why the request would be refused whatever its service; empty if it would not.
	Refusal          string `json:"refusal,omitempty"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	// Services are those of the route. A request goes to one of them by their shares.
	Services []ServiceExplanation `json:"services"`
}

// QuotaState is the state of an account's quota at this host.
type QuotaState struct {
	Tokens float64 `json:"tokens"`
	Depth  float64 `json:"depth"`
	Share  float64 `json:"share"`
}

// ServiceExplanation is what would become of a request that goes to a service.
type ServiceExplanation struct {
	Service            string  `json:"service"`
	Share              float64 `json:"share"`
	Verdict            Verdict `json:"verdict"`
	Reason             string  `json:"reason,omitempty"`
	ExpectedWaitMillis int64   `json:"expected_wait_ms"`
	// Ahead is the number of requests that would get a slot before, at all hosts.
	Ahead                int   `json:"ahead"`
	Targets              int   `json:"targets"`
	Suspects             int   `json:"suspects"`
	WorkingSet           int   `json:"working_set"`
	FreeSlots            int   `json:"free_slots"`
	TypicalLatencyMillis int64 `json:"typical_latency_ms"`
	// Preview is the choice of a target. Its Chosen is nil unless the request would be sent at once.
	pool.Preview
}

// reasonShutdown is why a stopping host refuses a request.
const reasonShutdown = "this host shuts down"

// Explain returns where a request would go now. It decides by the functions that decide about real
// requests, counts nothing and changes nothing.
func (s *Snapshot) Explain(e Enquiry) Explanation {
	out := Explanation{Host: string(s.Self.ID), Services: []ServiceExplanation{}}
	if s.Configuration == nil || e.Outdated {
		out.Refusal = "this host has no configuration yet"
		if e.Outdated {
			out.Refusal = "this host was paused and renews its view"
		}
		return out
	}
	out.Configuration = s.Configuration.Version
	path := urlpath.New(e.Path)
	route, err := s.Configuration.Select(e.Authority, path)
	if err != nil {
		out.Refusal = err.Error()
		return out
	}
	if route == nil {
		out.Refusal = s.unknown("no route for this request")
		return out
	}
	out.Route, out.Prefix, out.Priority = route.Name, route.Prefix, route.Priority
	account, refusal := s.explainAccount(e.Account, route, path, &out)
	if refusal != "" {
		out.Refusal = refusal
		return out
	}
	out.explainQuota(e.Quotas.Preview(account, e.Rand, e.Now))
	accepted := func(w discovery.WeightedService) bool { return e.Accepts(w.Service, e.Now.Add(route.Timeout)) }
	if !slices.ContainsFunc(route.Services, accepted) {
		out.Refusal = reasonShutdown
	}
	total := 0.0
	for _, w := range route.Services {
		total += w.Weight
	}
	for _, w := range route.Services {
		x := s.explainService(e, route, w.Service, &out)
		if x.Share = 1; len(route.Services) > 1 {
			x.Share = w.Weight / total
		}
		if out.Refusal != "" {
			x.Verdict, x.Reason, x.Chosen = Refused, out.Refusal, nil
		}
		out.Services = append(out.Services, x)
	}
	return out
}

// explainAccount returns the account of a request, or why a request without one is refused.
func (s *Snapshot) explainAccount(name string, route *discovery.Route, path urlpath.Path, x *Explanation) (account *caller.Account, refusal string) {
	account = s.Configuration.Accounts.Named(name)
	switch {
	case account != nil:
		x.Account = account.Name
		if account.HasPriority {
			x.Priority = account.Priority
		}
	case s.Configuration.NeedsKey(route, path):
		refusal = s.unknown("the route needs the key of an account, and no known account is given")
	}
	return account, refusal
}

// unknown returns why a request is refused whose route or account the configuration lacks.
func (s *Snapshot) unknown(reason string) string {
	if s.NewerConfiguration && s.Configuration.Accounts != nil {
		return "this host does not have the newest configuration yet"
	}
	return reason
}

func (x *Explanation) explainQuota(p quota.Preview) {
	if !p.Limited {
		return
	}
	x.Quota = &QuotaState{Tokens: p.Tokens, Depth: p.Depth, Share: p.Share}
	x.RetryAfterMillis = p.RetryAfter.Milliseconds()
	switch p.Decision {
	case quota.Exceeded:
		x.Refusal = "the account's quota is exceeded"
	case quota.Unknown:
		x.Refusal = "this host does not know yet how many hosts share the account's quota"
	}
}

func (s *Snapshot) explainService(e Enquiry, route *discovery.Route, service string, of *Explanation) ServiceExplanation {
	x := ServiceExplanation{Service: service, Verdict: Refused}
	routing := s.Services[service]
	if routing == nil {
		x.Reason = "the service has no targets"
		return x
	}
	x.Targets, x.Suspects, x.WorkingSet = len(routing.Targets), routing.Suspects(), routing.Working()
	x.FreeSlots, x.TypicalLatencyMillis = routing.FreeSlots(e.Now), routing.TypicalLatency().Milliseconds()
	request := pool.Request{
		Retryable:  route.Idempotent && route.Attempts > 1 && e.AllowsRetry(service),
		Idempotent: route.Idempotent, Now: e.Now,
	}
	queue := e.Queue(service)
	queued := queue != nil && routing.Queues(e.Now)
	request.NeedsRoom, request.Overcommit = queued, pool.Overcommit
	x.Preview = routing.Preview(e.Rand, request)
	if queued {
		x.explainQueue(queue.Preview(caller.AdmissionRequest{
			Account: of.Account, Now: e.Now, Deadline: e.Now.Add(route.Timeout),
			Limits:    caller.QueueLimits{Length: e.QueueLength, Wait: route.Timeout},
			Objective: route.Objective, Priority: of.Priority,
			SendBy:     func() time.Time { return e.SendBy(service, e.Now.Add(route.Timeout)) },
			TryAcquire: func() bool { return x.Chosen != nil },
		}, e.Rand.Float64))
	} else {
		x.explainAdmission(routing, pool.Demand{Objective: route.Objective, Priority: of.Priority, Now: e.Now})
	}
	if !e.Accepts(service, e.Now.Add(route.Timeout)) {
		x.Verdict, x.Reason = Refused, reasonShutdown
	}
	switch {
	case x.Verdict != Sent:
		x.Chosen = nil
	case x.Chosen == nil:
		x.Verdict, x.Reason = Refused, "no target takes a request"
	}
	return x
}

// explainQueue sets the verdict on a request that waits at its host until a slot is free.
func (x *ServiceExplanation) explainQueue(p caller.Prospect) {
	x.Verdict, x.ExpectedWaitMillis, x.Ahead = Sent, p.Wait.Milliseconds(), p.Ahead
	switch {
	case p.Refusal != nil:
		x.Verdict, x.Reason = Refused, p.Refusal.Reason.String()
	case p.Waits:
		x.Verdict, x.Reason = Waits, "no target has a free slot for it yet"
	}
}

// explainAdmission sets the verdict on a request that waits at its target.
func (x *ServiceExplanation) explainAdmission(routing *pool.Routing, d pool.Demand) {
	wait, _ := routing.ExpectedWait(d.Now)
	x.Verdict, x.ExpectedWaitMillis = Sent, wait.Milliseconds()
	if routing.Admit(d) {
		return
	}
	x.Verdict, x.Reason = Refused, "every target's queue is too long for the objective"
	if in, ok := routing.AcceptsIn(d.Now); !ok || in > 0 {
		x.Reason, x.ExpectedWaitMillis = "every target has asked for fewer requests", in.Milliseconds()
	}
}
