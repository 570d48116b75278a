package traffic

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/link"
)

// GatewayCounters count what a gateway did since the host began.
type GatewayCounters struct {
	// Sent counts attempts by their outcome.
	Sent [link.Outcomes]atomic.Int64
	// Answered counts targets' answers passed on, and Refused, Failed and
	// TimedOut this host's own answers: not run, of unknown result, and late.
	Answered, Refused, Failed, TimedOut atomic.Int64
	// Gone counts requests whose caller went away.
	Gone atomic.Int64
	// Overload counts requests that were refused because of the targets' queues.
	Overload atomic.Int64
	// Retries counts requests sent to a further target, and BudgetSpent those
	// that were not because the budget was spent.
	Retries, BudgetSpent atomic.Int64
}

func (c *GatewayCounters) sent(o link.Outcome) { c.Sent[o].Add(1) }

// Decision is a line about a request for those who look for the cause of a
// failure.
type Decision struct {
	Request string
	Route   string
	Service string
	Target  string
	Outcome link.Outcome
	// Tried names the targets that the request was sent to, on the line of an
	// answer of the system's own.
	Tried   []string
	Status  int
	Attempt int
	// InFlight is the fleet's requests in flight at the target as this host
	// believes, and Suspect whether it takes the target for a suspect.
	InFlight int
	Suspect  bool
	// Took is the time since the request arrived, and Limit the time that it had then;
	// 0 when that was not known yet.
	Took, Limit time.Duration
	// Attempted is the time that the attempt took.
	Attempted time.Duration
	// Configuration is the version by which it was decided.
	Configuration discovery.Version
	Event         DecisionEvent
	Reason        string
}

// DecisionEvent tells what was decided.
type DecisionEvent string

// The decisions about a request. All but AttemptFailed are the answer to the caller.
const (
	Answered        DecisionEvent = "answered"
	AttemptFailed   DecisionEvent = "attempt failed"
	FailurePassedOn DecisionEvent = "failure passed on"
	Refused         DecisionEvent = "refused"
)

// Final reports whether the decision is the answer to the caller.
func (d Decision) Final() bool { return d.Event != AttemptFailed }

// log notes an attempt.
func (g *Gateway) log(p *passage, s *sending, attempt int, event DecisionEvent) {
	d := p.decision(event)
	d.Target, d.Outcome, d.Attempt = s.target.Key.Name, s.outcome, attempt
	d.Attempted = time.Since(s.started)
	d.InFlight, d.Suspect = s.target.InFlight(), s.target.Suspect()
	if s.err != nil {
		d.Reason = s.err.Error()
	}
	if s.response != nil {
		d.Status = s.response.StatusCode
	}
	if d.Final() {
		g.counters.Answered.Add(1)
	}
	g.cfg.Log(d)
}

func (p *passage) decision(event DecisionEvent) Decision {
	d := Decision{Request: p.id, Service: p.service, Event: event, Configuration: p.version, Took: time.Since(p.arrived)}
	if p.route != nil {
		d.Route = p.route.Name
	}
	if !p.due.IsZero() {
		d.Limit = p.due.Sub(p.arrived)
	}
	return d
}

// refuse writes an answer of the system's own.
func (g *Gateway) refuse(w http.ResponseWriter, p *passage, f *refusal) {
	switch f.status {
	case http.StatusServiceUnavailable, http.StatusRequestTimeout:
		g.counters.Refused.Add(1)
	case http.StatusGatewayTimeout:
		g.counters.TimedOut.Add(1)
	default:
		g.counters.Failed.Add(1)
	}
	d := p.decision(Refused)
	d.Status, d.Reason, d.Tried = f.status, f.message, p.tried
	g.cfg.Log(d)
	f.writeFraction(w)
}
