package traffic

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
)

// GatewayCounters count the requests and attempts of a gateway since the host
// started.
type GatewayCounters struct {
	// Attempts counts attempts by outcome.
	Attempts [link.Outcomes]atomic.Int64
	// Forwarded counts responses of targets that were forwarded. Refused, Failed and
	// TimedOut count responses that this host itself sent: Refused those with status
	// 503, 429 or 408, TimedOut those with 504, and Failed all others.
	Forwarded, Refused, Failed, TimedOut atomic.Int64
	// Disconnected counts requests whose caller disconnected.
	Disconnected atomic.Int64
	// RefusedOverload counts requests that were refused because the targets' queues
	// were too long.
	RefusedOverload atomic.Int64
	// Waited counts requests that waited at this host for a slot, RefusedWaiting those of them that
	// were refused, by reason, and Collisions those whose target had no free slot any more.
	Waited         atomic.Int64
	RefusedWaiting [caller.RefusalReasons]atomic.Int64
	Collisions     atomic.Int64
	// Unproven counts the responses that were not taken for their target's, by reason; see
	// UnprovenByReason.
	Unproven [len(unprovenReasons)]atomic.Int64
	// slowPeersCut counts the slow callers and targets that were cut off, by reason; see
	// SlowPeersCutByReason.
	slowPeersCut [slowPeerReasons]atomic.Int64
	// Retries counts attempts beyond the first of a request. RetriesWithheld counts
	// those that were not sent because the retry budget was spent.
	Retries, RetriesWithheld atomic.Int64
}

func (c *GatewayCounters) countAttempt(o link.Outcome) { c.Attempts[o].Add(1) }

// Decision is a log record about an attempt of a request or the response to it.
type Decision struct {
	Request string
	Route   string
	Service string
	// Account is the name of the request's account; empty if there is none.
	Account string
	Target  string
	Outcome link.Outcome
	// Tried names the targets that the request was sent to. It is set for a response
	// of this host itself.
	Tried   []string
	Status  int
	Attempt int
	// InFlight is the number of the fleet's requests in flight at the target, as far
	// as this host knows. Suspect is set if this host suspects the target.
	InFlight int
	Suspect  bool
	// Choice is why the target was chosen, and ProvenAge how long before the choice it was
	// last known to succeed; negative if never.
	Choice    pool.ChoiceReason
	ProvenAge time.Duration
	// Elapsed is the time since the request was received. TimeLimit is the time from the
	// receipt of the request to its deadline; 0 if the deadline was not yet known.
	Elapsed, TimeLimit time.Duration
	// AttemptDuration is the duration of the attempt.
	AttemptDuration time.Duration
	// Configuration is the version of the configuration that was used.
	Configuration discovery.Version
	// ExpectedWait is the wait that a request was refused for, and Ahead the number of requests
	// ahead of it.
	ExpectedWait time.Duration
	Ahead        int
	Event        DecisionEvent
	Reason       string
}

// DecisionEvent is the kind of a Decision.
type DecisionEvent string

// The kinds of decisions. All but AttemptFailed, NoticeUnreadable and SlowCallerCut are about the response to
// the caller.
const (
	// ResponseForwarded means that the response of a target was forwarded.
	ResponseForwarded DecisionEvent = "answered"
	// AttemptFailed means that an attempt failed. Its response, if any, is forwarded
	// only if no other attempt succeeds.
	AttemptFailed DecisionEvent = "attempt failed"
	// FailureForwarded means that a target's server error was forwarded because no
	// attempt succeeded.
	FailureForwarded DecisionEvent = "failure passed on"
	// Refused means that this host itself responded.
	Refused DecisionEvent = "refused"
	// NoticeUnreadable means that a target said something about itself that cannot be read.
	NoticeUnreadable DecisionEvent = "notice unreadable"
	// SlowCallerCut means that the connection of a caller was aborted while its response was on
	// its way, because it reads too slowly.
	SlowCallerCut DecisionEvent = "slow caller cut off"
)

// Final reports whether the decision is about the response to the caller.
func (d Decision) Final() bool {
	return d.Event != AttemptFailed && d.Event != NoticeUnreadable && d.Event != SlowCallerCut
}

// logAttempt logs a decision about an attempt. number is the number of targets that
// may have received the request.
func (g *Gateway) logAttempt(req *gatewayRequest, a *gatewayAttempt, number int, event DecisionEvent) {
	d := req.newDecision(event)
	d.Target, d.Outcome, d.Attempt = a.target.Key.Name, a.outcome, number
	d.AttemptDuration = time.Since(a.startedAt)
	d.InFlight, d.Suspect = a.target.InFlight(), a.target.IsSuspect()
	d.Choice, d.ProvenAge = a.choice.Reason, a.choice.ProvenAge
	if a.err != nil {
		d.Reason = a.err.Error()
	}
	if a.response != nil {
		d.Status = a.response.StatusCode
	}
	if d.Final() {
		g.counters.Forwarded.Add(1)
	}
	g.cfg.Log(d)
}

// logUnreadableNotice logs what a target said about itself and this host cannot read.
func (g *Gateway) logUnreadableNotice(req *gatewayRequest, a *gatewayAttempt, err error) {
	d := req.newDecision(NoticeUnreadable)
	d.Target, d.Status, d.Reason = a.target.Key.Name, a.response.StatusCode, err.Error()
	g.cfg.Log(d)
}

func (req *gatewayRequest) newDecision(event DecisionEvent) Decision {
	d := Decision{Request: req.id, Service: req.service, Account: req.accountName(), Event: event, Configuration: req.configVersion, Elapsed: time.Since(req.receivedAt)}
	if req.route != nil {
		d.Route = req.route.Name
	}
	if !req.deadline.IsZero() {
		d.TimeLimit = req.deadline.Sub(req.receivedAt)
	}
	return d
}

// writeRefusal writes a response of this host itself, counts it and logs it.
func (g *Gateway) writeRefusal(w http.ResponseWriter, req *gatewayRequest, r *refusal) {
	switch r.status {
	case http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusTooManyRequests:
		g.counters.Refused.Add(1)
	case http.StatusGatewayTimeout:
		g.counters.TimedOut.Add(1)
	default:
		g.counters.Failed.Add(1)
	}
	if r.result == caller.NotRun {
		g.returnCharge(req)
	}
	d := req.newDecision(Refused)
	d.Status, d.Reason, d.Tried = r.status, r.message, req.triedNames
	d.ExpectedWait, d.Ahead = r.wait, r.ahead
	g.cfg.Log(d)
	r.writeFractional(w)
}
