// Package traffic carries callers' requests to targets over HTTP. Its
// goroutines read the routing snapshot and never touch control state.
package traffic

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/route"
	"github.com/crocushinge/crocushinge/service"
)

// Headers of the protocol between callers and the system.
const (
	// HeaderKey carries the secret key of the caller's account.
	HeaderKey = "Crocushinge-Key"
	// HeaderRequestID carries the id of the request, both ways.
	HeaderRequestID = "Crocushinge-Request-Id"
	// HeaderResult tells what became of the request: completed, not-run or
	// unknown.
	HeaderResult = "Crocushinge-Result"
)

// maxAttempts is how many targets an idempotent request is sent to at most.
const maxAttempts = 3

// Config is what a Handler needs.
type Config struct {
	// Snapshot returns the newest routing snapshot.
	Snapshot func() *host.Snapshot
	Ledger   *caller.Ledger
	// Observe hands an observation to the control thread without blocking.
	Observe func(link.Observation)
	// Transport sends requests to targets.
	Transport http.RoundTripper
}

// Handler serves callers' requests.
type Handler struct {
	cfg   Config
	nonce atomic.Uint64
	start time.Time
}

// NewHandler returns a handler that runs on the given settings.
func NewHandler(cfg Config) *Handler {
	return &Handler{cfg: cfg, start: time.Now()}
}

// NewTransport returns the transport to targets that speak HTTP/1.1.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}
}

// request is one caller's request on its way.
type request struct {
	account string
	id      string
	match   route.Match
	routing *service.Routing
	in      *http.Request
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, refusal := h.admit(r)
	if refusal != nil {
		refusal.write(w)
		return
	}
	w.Header().Set(HeaderRequestID, req.id)
	ctx, cancel := context.WithTimeout(r.Context(), req.match.Route.Deadline)
	defer cancel()
	if req.match.Route.Idempotent {
		h.serveIdempotent(ctx, w, req)
		return
	}
	h.serveOnce(ctx, w, req)
}

// admit checks a request before any work is done for it.
func (h *Handler) admit(r *http.Request) (*request, *refusal) {
	snap := h.cfg.Snapshot()
	if snap == nil || !snap.Ready {
		return nil, refuse(http.StatusServiceUnavailable, "this host has no configuration yet")
	}
	account, ok := snap.Accounts.Authenticate(r.Header.Get(HeaderKey))
	if !ok {
		return nil, refuse(http.StatusUnauthorized, "missing or unknown account key in header "+HeaderKey)
	}
	match, ok := snap.Routes.Find(r.Host, r.URL.Path, r.Method)
	if !ok {
		return nil, refuse(http.StatusNotFound, "no service has a route for this request")
	}
	routing := snap.Services[match.Service]
	if !routing.Contract.AllowsAccount(account) {
		return nil, refuse(http.StatusForbidden, "account "+account+" may not use service "+match.Service)
	}
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		id = h.mint(snap).String()
	}
	return &request{account: account, id: id, match: match, routing: routing, in: r}, nil
}

// idLifetime is how long a freshly minted id may be dispatched.
const idLifetime = 10 * time.Minute

func (h *Handler) mint(snap *host.Snapshot) caller.RequestID {
	return caller.RequestID{
		Host:        string(snap.Self.ID),
		Incarnation: snap.Self.Incarnation,
		Expires:     time.Since(h.start) + idLifetime,
		Nonce:       formatNonce(h.nonce.Add(1)),
	}
}

// serveIdempotent sends a request to further targets while attempts fail.
func (h *Handler) serveIdempotent(ctx context.Context, w http.ResponseWriter, req *request) {
	tried := make(map[*link.Link]bool)
	var err error
	for range maxAttempts {
		var a *attempt
		a, err = h.dispatch(ctx, req, tried)
		if err != nil {
			if a == nil {
				break
			}
			tried[a.link] = true
			continue
		}
		a.copyTo(w, caller.Completed)
		return
	}
	refuseError(err).write(w)
}

// serveOnce dispatches a non-idempotent request once at most.
func (h *Handler) serveOnce(ctx context.Context, w http.ResponseWriter, req *request) {
	snap := h.cfg.Snapshot()
	id, err := caller.ParseRequestID(req.id)
	if err != nil {
		refuse(http.StatusBadRequest, err.Error()).write(w)
		return
	}
	if id.Host != string(snap.Self.ID) || id.Incarnation != snap.Self.Incarnation || id.Expires < time.Since(h.start) {
		answer(http.StatusConflict, caller.Unknown, "the home host of this id is not reachable from here").write(w)
		return
	}
	if e, ok := h.cfg.Ledger.Begin(req.account, req.id, id.Expires); !ok {
		answer(http.StatusConflict, e.Result, "this id was dispatched before").write(w)
		return
	}
	a, err := h.dispatch(ctx, req, nil)
	switch {
	case err == nil:
		result := a.copyTo(w, caller.Completed)
		h.cfg.Ledger.End(req.account, req.id, result, a.response.StatusCode)
	case a == nil || a.outcome == link.ConnectFailed:
		h.cfg.Ledger.End(req.account, req.id, caller.NotRun, 0)
		refuseError(err).write(w)
	default:
		h.cfg.Ledger.End(req.account, req.id, caller.Unknown, 0)
		answer(http.StatusBadGateway, caller.Unknown, "the target did not answer").write(w)
	}
}

// attempt is one dispatch of a request to a target.
type attempt struct {
	handler  *Handler
	link     *link.Link
	slot     int
	started  time.Time
	outcome  link.Outcome
	response *http.Response
}

// errNoSlot means that no target had a free slot.
var errNoSlot = errors.New("no target has a free slot")

// dispatch sends the request to one target. The attempt is nil when the
// request was not sent at all.
func (h *Handler) dispatch(ctx context.Context, req *request, tried map[*link.Link]bool) (*attempt, error) {
	now := time.Now()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	l, slot, ok := req.routing.Pick(rng, now, tried)
	if !ok {
		return nil, errNoSlot
	}
	a := &attempt{handler: h, link: l, slot: slot, started: now}
	out := outbound(ctx, req, l.Address)
	resp, err := h.cfg.Transport.RoundTrip(out)
	if err != nil {
		a.outcome = classify(ctx, err)
		a.finish()
		return a, errors.Wrapf(err, "target %s", l.Target)
	}
	a.response = resp
	a.link.Answered(a.slot)
	if resp.StatusCode >= http.StatusInternalServerError {
		a.outcome = link.Failed
	}
	return a, nil
}

// classify tells what a transport error means.
func classify(ctx context.Context, err error) link.Outcome {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return link.ConnectFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return link.TimedOut
	case errors.Is(ctx.Err(), context.Canceled):
		return link.Canceled
	default:
		return link.Failed
	}
}

// finish frees the slot and reports the observation.
func (a *attempt) finish() {
	a.link.Release(a.slot)
	latency := time.Since(a.started)
	a.link.ObserveOutcome(a.outcome, latency)
	a.handler.cfg.Observe(link.Observation{
		Target:  a.link.Target,
		Outcome: a.outcome,
		Latency: latency,
		Started: a.started,
		At:      time.Now(),
	})
}

// copyTo passes the answer on and returns the result that holds. A broken
// answer aborts the connection to the caller, so that it cannot be taken for
// a whole one.
func (a *attempt) copyTo(w http.ResponseWriter, result caller.Result) caller.Result {
	defer a.response.Body.Close()
	defer a.finish()
	copyHeaders(w.Header(), a.response.Header)
	w.Header().Set(HeaderResult, result.String())
	w.WriteHeader(a.response.StatusCode)
	if _, err := io.Copy(w, a.response.Body); err != nil {
		a.outcome = link.Failed
		panic(http.ErrAbortHandler)
	}
	return result
}
