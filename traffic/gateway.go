package traffic

import (
	"context"
	"net/http"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/pool"
)

// GatewayHeaders are the names that a deployment gives to the headers of its
// callers and targets.
type GatewayHeaders struct {
	// RequestID carries the caller's id of the attempt, both ways.
	RequestID string
	// Deadline carries the milliseconds left.
	Deadline string
	// ExpectedTarget names the target that a request is meant for; any other
	// one refuses it with 421.
	ExpectedTarget string
	// NotRun is in a target's answer that states that the request was not run.
	NotRun string
}

// RetryBudget bounds the requests that are sent to a further target.
type RetryBudget struct {
	// Ratio is how many retries each request earns, Window the time over which
	// both are counted, and Slack how many the whole fleet has besides.
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// GatewayConfig is what a Gateway needs.
type GatewayConfig struct {
	// Snapshot returns the newest snapshot.
	Snapshot func() *fleet.Snapshot
	// Observe hands the end of a request to the control thread, and Started
	// tells it that one has begun; both without blocking.
	Observe func(fleet.Observation)
	Started func()
	// Closing reports whether this host is so far in its shutdown that requests
	// are refused.
	Closing func() bool
	// Transport sends requests to targets.
	Transport http.RoundTripper
	// Bodies bounds the request bodies held in memory.
	Bodies  *caller.Memory
	Headers GatewayHeaders
	Budget  RetryBudget
	// Log takes a line about a decision without blocking.
	Log func(Decision)
}

// Gateway serves callers that bring an id for every attempt, by targets that the
// fleet has discovered.
type Gateway struct {
	cfg GatewayConfig
	// budgets holds a *caller.WindowBudget for each service.
	budgets sync.Map
	// deadlines holds the longest deadline of each route as an *atomic.Int64, in
	// nanoseconds.
	deadlines sync.Map
	counters  GatewayCounters
}

var _ http.Handler = (*Gateway)(nil)

// NewGateway returns a gateway that runs on the given settings.
func NewGateway(cfg GatewayConfig) *Gateway { return &Gateway{cfg: cfg} }

// Counters returns the counters of the gateway.
func (g *Gateway) Counters() *GatewayCounters { return &g.counters }

// passage is one caller's request on its way to targets.
type passage struct {
	id      string
	in      *http.Request
	body    *body
	arrived time.Time
	route   *discovery.Route
	service string
	version discovery.Version
	// returning is set when the caller has waited for longer than the objective
	// before this attempt.
	returning bool
	// due is when the caller or the route stops waiting.
	due     time.Time
	interim func(status int, fields textproto.MIMEHeader) error
	// tried names the targets that the request was sent to.
	tried []string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := newCallerWriter(w, r)
	defer out.finish()
	in := out.receive(r)
	snap := g.cfg.Snapshot()
	out.last = snap.Leaving
	p, refused := g.admit(snap, in)
	if refused != nil {
		g.refuse(out, p, refused)
		return
	}
	p.interim = out.writeInterim
	out.expect(p.due)
	if refused := g.readBody(snap, p); refused != nil {
		g.refuse(out, p, refused)
		return
	}
	defer p.body.free()
	g.budget(p.service).Earn(p.arrived)
	g.carry(out, snap, p)
}

// retryPause is what callers are told to wait after a refusal that does not
// depend on the load.
const retryPause = 200 * time.Millisecond

// admit checks a request before any work is done for it.
func (g *Gateway) admit(snap *fleet.Snapshot, r *http.Request) (*passage, *refusal) {
	p := &passage{id: r.Header.Get(g.cfg.Headers.RequestID), in: r, arrived: time.Now()}
	if f := screen(r); f != nil {
		return p, refuse(f.status, f.message)
	}
	if g.cfg.Closing() {
		return p, refuseFor(retryPause, "this host shuts down")
	}
	if snap.Configuration == nil {
		return p, refuseFor(retryPause, "this host has no configuration yet")
	}
	p.version = snap.Configuration.Version
	p.route = snap.Configuration.Find(r.Host, r.URL.Path)
	if p.route == nil {
		return p, refuse(http.StatusNotFound, "no route for this request")
	}
	if p.id == "" {
		return p, refuse(http.StatusBadRequest, "the header "+g.cfg.Headers.RequestID+" is missing")
	}
	limits := snap.Configuration.Limits
	if limits.HeaderBytes > 0 && headBytes(r) > limits.HeaderBytes {
		return p, refuse(http.StatusRequestHeaderFieldsTooLarge, "the request's head is larger than allowed")
	}
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		return p, refuse(http.StatusRequestEntityTooLarge, errBodyTooLarge.Error())
	}
	p.service = p.route.Choose(random)
	limit := p.route.Timeout
	if left, ok := timeLeft(r.Header, g.cfg.Headers.Deadline); ok {
		limit = min(limit, left)
		p.returning = g.patience(p.route.Name, left)-left > p.route.Objective
	}
	p.due = p.arrived.Add(limit)
	return p, nil
}

// patience returns the longest deadline that callers of a route have brought. A
// caller that brings much less has spent time on earlier attempts.
func (g *Gateway) patience(route string, left time.Duration) time.Duration {
	known, _ := g.deadlines.LoadOrStore(route, &atomic.Int64{})
	longest := known.(*atomic.Int64)
	for {
		old := longest.Load()
		if int64(left) <= old {
			return time.Duration(old)
		}
		if longest.CompareAndSwap(old, int64(left)) {
			return left
		}
	}
}

// headBytes returns the size of a request's head as it was sent, about.
func headBytes(r *http.Request) int {
	const lineBytes = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineBytes
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + lineBytes
		}
	}
	return n
}

// refuseFor refuses a request that was not run and says when to come back.
func refuseFor(pause time.Duration, message string) *refusal {
	f := refuse(http.StatusServiceUnavailable, message)
	f.retryAfter = pause
	return f
}

// maxBody bounds a body that is held when the configuration states no bound.
const maxBody = 64 << 20

// readBody reads the whole body, so that it can be sent again and no target
// waits for a slow caller.
func (g *Gateway) readBody(snap *fleet.Snapshot, p *passage) *refusal {
	limit := snap.Configuration.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	held, err := readBody(p.in, limit, g.cfg.Bodies)
	switch {
	case err == nil:
		p.body = held
		return nil
	case errors.Is(err, errBodyTooLarge):
		return refuse(http.StatusRequestEntityTooLarge, err.Error())
	case errors.Is(err, errBodyMemory):
		return refuseFor(retryPause, err.Error())
	case !time.Now().Before(p.due):
		return refuse(http.StatusRequestTimeout, err.Error())
	default:
		return refuse(http.StatusBadRequest, err.Error())
	}
}

func (g *Gateway) budget(service string) *caller.WindowBudget {
	if b, ok := g.budgets.Load(service); ok {
		return b.(*caller.WindowBudget)
	}
	b, _ := g.budgets.LoadOrStore(service, caller.NewWindowBudget(g.cfg.Budget.Ratio, g.cfg.Budget.Window))
	return b.(*caller.WindowBudget)
}

// pick returns what a choice of a target for the passage depends on.
func (g *Gateway) pick(p *passage, tried []*pool.Target) pool.Request {
	now := time.Now()
	return pool.Request{
		Tried:      tried,
		Repeatable: p.repeatable() && g.budget(p.service).Left(now, g.slack()),
		Idempotent: p.route.Idempotent,
		Now:        now,
	}
}

// slack is this host's share of the retries that need no request.
func (g *Gateway) slack() float64 {
	return g.cfg.Budget.Slack * g.cfg.Snapshot().BudgetShare
}

// repeatable reports whether the request may be sent again after it may have
// run.
func (p *passage) repeatable() bool { return p.route.Idempotent && p.route.Attempts > 1 }

// context returns the context of the attempts.
func (p *passage) context() (context.Context, context.CancelFunc) {
	return context.WithDeadline(p.in.Context(), p.due)
}
