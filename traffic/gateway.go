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
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/internal/urlpath"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/quota"
)

// GatewayHeaders are the names of the headers that a deployment's callers and
// targets use.
type GatewayHeaders struct {
	// RequestID carries the caller's id of the attempt, in requests and responses. A response
	// that does not repeat it, once, is not taken for the target's.
	RequestID string
	// Signature is set by targets in their responses. A success without it, or with several, is
	// not taken for the target's. Empty if the targets set none.
	Signature string
	// Deadline carries the time left for the request, in milliseconds.
	Deadline string
	// ExpectedTarget names the target that a request is sent to. Any other target
	// refuses the request with status 421.
	ExpectedTarget string
	// NotRun is set in a response of a target that did not run the request.
	NotRun string
	// Leaving is set in the responses of a target that is leaving. RateLimit is the number
	// of requests a second that a target accepts from all hosts together. Either may be
	// empty, for none.
	Leaving, RateLimit string
	// Account carries the name of the account that a request belongs to. Only hosts set it.
	Account string
	// KeyScheme is the scheme of the Authorization header with a caller's key.
	KeyScheme string
}

// RetryBudgetConfig limits how many requests of a service are sent to a further target.
type RetryBudgetConfig struct {
	// Ratio is the number of retries allowed for each request; retries and requests are
	// counted over Window. MinRetries is the number of retries that the whole fleet may
	// send in a window in addition, regardless of the number of requests.
	Ratio      float64
	Window     time.Duration
	MinRetries float64
}

// GatewayConfig holds the settings and dependencies of a Gateway.
type GatewayConfig struct {
	// Snapshot returns the latest snapshot.
	Snapshot func() *fleet.Snapshot
	// Observe reports to the control thread that an attempt has ended or is overdue.
	// It does not block.
	Observe func(fleet.Observation)
	// Unserved reports to the control thread that a request for a service has ended without its
	// caller having been served. It does not block.
	Unserved func(service string)
	// Noticed reports to the control thread that a target has said something about itself
	// that the other hosts must know. It does not block.
	Noticed func(*pool.Target)
	// AttemptStarted reports to the control thread that an attempt has started. It
	// does not block.
	AttemptStarted func()
	// ShutdownPlan returns the plan of this host's shutdown; nil unless it shuts down.
	ShutdownPlan func() *host.ShutdownPlan
	// ControlStalled reports whether the control thread has not run for a while, because the
	// process was paused or is starved. The snapshot may then allow what no longer holds.
	ControlStalled func() bool
	// Transport sends requests to targets.
	Transport http.RoundTripper
	// Bodies limits the memory for request bodies, and Responses that for the responses of
	// targets. A nil Responses sets no limit.
	Bodies, Responses *caller.Memory
	// CutSlowPeers makes callers and targets that receive slowest lose their connection when
	// Responses or Bodies is used up, in favor of other requests. Both must be set then.
	CutSlowPeers bool
	Headers      GatewayHeaders
	Budget       RetryBudgetConfig
	// Quotas holds the quotas of the accounts; nil if none apply.
	Quotas *quota.Table
	// QueueRequests makes requests wait at this host while no trusted target has a free slot.
	// Otherwise they wait at the targets.
	QueueRequests bool
	// Log records a decision about a request. It does not block.
	Log func(Decision)
}

// Gateway proxies requests to the targets that the fleet has discovered. Callers
// send an id with every attempt.
type Gateway struct {
	cfg GatewayConfig
	// retryBudgets maps the name of a service to its *caller.WindowRetryBudget.
	retryBudgets sync.Map
	// longestDeadlines maps the name of a route to an *atomic.Int64, the longest
	// time that a caller has allowed for a request, in nanoseconds.
	longestDeadlines sync.Map
	counters         GatewayCounters
	// slowPeers is nil unless slow peers are cut off.
	slowPeers *slowPeers
	waiting   waitingRequests
	shutdown  *shutdown
}

var _ http.Handler = (*Gateway)(nil)

// NewGateway returns a gateway with the given settings.
func NewGateway(cfg GatewayConfig) *Gateway {
	g := &Gateway{cfg: cfg, waiting: waitingRequests{news: make(chan struct{}, 1)}}
	g.shutdown = newShutdown(cfg.ShutdownPlan, g.work)
	if cfg.CutSlowPeers {
		g.slowPeers = newSlowPeers(cfg.Responses, cfg.Bodies)
	}
	return g
}

// Counters returns the counters of the gateway.
func (g *Gateway) Counters() *GatewayCounters { return &g.counters }

// gatewayRequest is a caller's request to a Gateway.
type gatewayRequest struct {
	id      string
	inbound *http.Request
	// out writes the response to the caller.
	out  *callerWriter
	body *body
	// held is the memory for the responses of targets.
	held       *caller.Reservation
	receivedAt time.Time
	// path is the path that the target gets.
	path          urlpath.Path
	route         *discovery.Route
	service       string
	configVersion discovery.Version
	// account is the account that the caller's key belongs to; nil if there is none.
	account *caller.Account
	// charged is set while the request holds a token of the account's quota.
	charged bool
	// hasAccounts is set if the configuration has accounts.
	hasAccounts bool
	// late is set when the caller had already waited for longer than the route's
	// objective before it sent this attempt.
	late bool
	// deadline is the earlier of the caller's deadline and the end of the route's
	// timeout.
	deadline     time.Time
	writeInterim func(status int, fields textproto.MIMEHeader) error
	// served is set once the caller has received a whole response of a target that is no
	// server error.
	served bool
	// triedNames are the names of the targets that the request was sent to.
	triedNames []string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := newCallerWriter(w, r)
	defer out.finish()
	inbound := out.wrapRequest(r)
	snap := g.cfg.Snapshot()
	out.closeAfterResponse = func() bool { return g.cfg.Snapshot().Leaving }
	req, refused := g.admit(snap, inbound)
	if refused != nil {
		g.countRefusal(req, refused)
		g.writeRefusal(out, req, refused)
		return
	}
	req.out, req.writeInterim = out, out.writeInterim
	var reserved bool
	if req.held, reserved = g.slowPeers.responseMemory(r, g.cfg.Responses).NewReservation(responseAllowance); !reserved {
		refused := refuseFor(req.retryAfter(), errResponseMemory.Error())
		g.countRefusal(req, refused)
		g.writeRefusal(out, req, refused)
		return
	}
	defer req.held.Free()
	if refused := g.readBody(snap, req); refused != nil {
		g.countRefusal(req, refused)
		g.writeRefusal(out, req, refused)
		return
	}
	defer req.body.free()
	g.retryBudget(req.service).Deposit(req.receivedAt)
	g.proxy(out, snap, req)
}

// countRefusal counts a request that this host refused before it chose a target, unless the
// request itself was at fault.
func (g *Gateway) countRefusal(req *gatewayRequest, r *refusal) {
	if r.status == http.StatusServiceUnavailable {
		g.countEnd(req)
	}
}

// countEnd reports the end of a request whose caller was not served.
func (g *Gateway) countEnd(req *gatewayRequest) {
	if !req.served && req.service != "" {
		g.cfg.Unserved(req.service)
	}
}

// defaultRetryAfter is the Retry-After of a refusal whose cause is not load.
const defaultRetryAfter = 200 * time.Millisecond

// admit validates a request and finds its route, service and deadline. A refused
// request is returned as well, with the fields that were set before the refusal.
func (g *Gateway) admit(snap *fleet.Snapshot, r *http.Request) (*gatewayRequest, *refusal) {
	req := &gatewayRequest{id: r.Header.Get(g.cfg.Headers.RequestID), inbound: r, receivedAt: time.Now()}
	if invalid := validateHeader(r); invalid != nil {
		return req, refuse(invalid.status, invalid.message)
	}
	if g.outdated(snap) {
		return req, refuseFor(defaultRetryAfter, "this host was paused and renews its view")
	}
	if snap.Configuration == nil {
		return req, refuseFor(defaultRetryAfter, "this host has no configuration yet")
	}
	req.configVersion = snap.Configuration.Version
	req.path = urlpath.New(r.URL.EscapedPath())
	var err error
	if req.route, err = snap.Configuration.Select(r.Host, req.path); err != nil {
		return req, refuse(http.StatusBadRequest, err.Error())
	}
	if req.route == nil {
		return req, refuseUnknown(snap, http.StatusNotFound, "no route for this request")
	}
	if refused := g.authenticate(snap, req); refused != nil {
		return req, refused
	}
	if req.id == "" {
		return req, refuse(http.StatusBadRequest, "the header "+g.cfg.Headers.RequestID+" is missing")
	}
	limits := snap.Configuration.Limits
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return req, refuse(http.StatusRequestHeaderFieldsTooLarge, "the request's head is larger than allowed")
	}
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		return req, refuse(http.StatusRequestEntityTooLarge, errBodyTooLarge.Error())
	}
	req.service = req.route.Choose(random)
	timeout := req.route.Timeout
	if remaining, ok := timeLeft(r.Header, g.cfg.Headers.Deadline); ok {
		timeout = min(timeout, remaining)
		req.late = g.longestDeadline(req.route.Name, remaining)-remaining > req.route.Objective
	}
	req.deadline = req.receivedAt.Add(timeout)
	if !g.shutdown.accepts(req.service, req.deadline) {
		return req, refuseShutdown()
	}
	return req, g.charge(req)
}

// outdated reports whether the snapshot may allow what no longer holds, because this process
// was paused and has not renewed its view yet.
func (g *Gateway) outdated(snap *fleet.Snapshot) bool { return snap.Renewing || g.cfg.ControlStalled() }

// longestDeadline returns the longest time that callers of a route have allowed
// for a request, including the given one. A caller that allows much less time has
// spent the difference on earlier attempts.
func (g *Gateway) longestDeadline(route string, remaining time.Duration) time.Duration {
	value, _ := g.longestDeadlines.LoadOrStore(route, &atomic.Int64{})
	longest := value.(*atomic.Int64)
	for {
		old := longest.Load()
		if int64(remaining) <= old {
			return time.Duration(old)
		}
		if longest.CompareAndSwap(old, int64(remaining)) {
			return remaining
		}
	}
}

// headerBytes returns the approximate size of the request line and header of a
// request as sent, in bytes.
func headerBytes(r *http.Request) int {
	const lineOverhead = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineOverhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + lineOverhead
		}
	}
	return n
}

// refuseFor returns a refusal of a request that was not run, with a Retry-After.
func refuseFor(retryAfter time.Duration, message string) *refusal {
	r := refuse(http.StatusServiceUnavailable, message)
	r.retryAfter = retryAfter
	return r
}

// defaultMaxBodyBytes limits the size of a body if the configuration sets no limit.
const defaultMaxBodyBytes = 64 << 20

// readBody reads the whole body into memory, so that it can be sent again and a
// slow caller does not occupy a target.
func (g *Gateway) readBody(snap *fleet.Snapshot, req *gatewayRequest) *refusal {
	limit := snap.Configuration.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	g.shutdown.beginBody(req.out, req.service, req.deadline)
	b, err := readBody(req.inbound, limit, g.cfg.Bodies)
	cutShort := g.shutdown.endBody(req.out)
	switch {
	case err == nil:
		req.body = b
		return nil
	case errors.Is(err, errBodyTooLarge):
		return refuse(http.StatusRequestEntityTooLarge, err.Error())
	case errors.Is(err, errBodyMemory):
		return refuseFor(defaultRetryAfter, err.Error())
	case cutShort:
		return refuseShutdown()
	case !time.Now().Before(req.deadline):
		return refuse(http.StatusRequestTimeout, err.Error())
	default:
		return refuse(http.StatusBadRequest, err.Error())
	}
}

// retryBudget returns the retry budget of a service.
func (g *Gateway) retryBudget(service string) *caller.WindowRetryBudget {
	if b, ok := g.retryBudgets.Load(service); ok {
		return b.(*caller.WindowRetryBudget)
	}
	b, _ := g.retryBudgets.LoadOrStore(service, caller.NewWindowRetryBudget(g.cfg.Budget.Ratio, g.cfg.Budget.Window))
	return b.(*caller.WindowRetryBudget)
}

// pickRequest returns the properties of a request that the choice of a target
// depends on. tried are the targets that it was already sent to.
func (g *Gateway) pickRequest(req *gatewayRequest, tried []*pool.Target) pool.Request {
	now := time.Now()
	return pool.Request{
		Tried:      tried,
		Retryable:  req.retryable() && g.retryBudget(req.service).CanWithdraw(now, g.minRetries()),
		Idempotent: req.route.Idempotent,
		Now:        now,
	}
}

// minRetries returns this host's share of the fleet's MinRetries.
func (g *Gateway) minRetries() float64 {
	return g.cfg.Budget.MinRetries * g.cfg.Snapshot().RetryBudgetShare
}

// retryable reports whether the request may be sent again even though an earlier
// attempt may have run.
func (req *gatewayRequest) retryable() bool { return req.route.Idempotent && req.route.Attempts > 1 }

// attemptContext returns the context of the request's attempts.
func (req *gatewayRequest) attemptContext() (context.Context, context.CancelFunc) {
	return context.WithDeadline(req.inbound.Context(), req.deadline)
}
