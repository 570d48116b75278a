// Package traffic proxies callers' requests to targets over HTTP. Its goroutines
// read the routing snapshot and never access the control state.
package traffic

import (
	"net/http"
	"net/textproto"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/credential"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/internal/urlpath"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/route"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/wire"
)

// Headers between callers and hosts.
const (
	HeaderAccountKey     = wire.HeaderAccountKey
	HeaderRequestID      = wire.HeaderRequestID
	HeaderResult         = wire.HeaderResult
	HeaderStatus         = wire.HeaderStatus
	HeaderDeadline       = wire.HeaderDeadline
	HeaderIdempotencyKey = wire.HeaderIdempotencyKey
)

// Headers between the hosts of the fleet.
const (
	// headerForwardedBy names the host that forwarded a request to the home host of
	// its id or to an entry host. A forwarded request is not forwarded again.
	headerForwardedBy = "Crocushinge-Forwarded-By"
	// headerFleetToken carries the token by which hosts authenticate to each other.
	headerFleetToken = "Crocushinge-Fleet-Token"
)

// Config holds the settings and dependencies of a Handler.
type Config struct {
	// Snapshot returns the latest routing snapshot.
	Snapshot func() *host.Snapshot
	// Home issues the request ids of this incarnation.
	Home   *caller.HomeHost
	Ledger *caller.Ledger
	Claims Claims
	// Bodies limits the memory for request bodies, and Responses that for the responses of
	// targets. A nil Responses sets no limit.
	Bodies, Responses *caller.Memory
	// Observe reports the end of an attempt to the control thread. It does not block.
	Observe func(link.Observation)
	// ReportEnded reports the end of a non-idempotent request to the control thread.
	// It does not block.
	ReportEnded func(host.RequestEnded)
	// RequestLeaveSignals makes the control thread ask an entry host which targets of
	// a service are leaving. It does not block; a later snapshot has the result. If it
	// is nil, requests do not wait for leave signals.
	RequestLeaveSignals func(service string)
	// Transport sends requests to targets.
	Transport http.RoundTripper
	// Peers sends requests to other hosts.
	Peers http.RoundTripper
	// ShutdownPlan returns the plan of this host's shutdown; nil unless it shuts down within a grace
	// period. A nil function stands for a host that waits for all of its requests.
	ShutdownPlan func() *host.ShutdownPlan
	// FleetTokens returns the tokens by which hosts authenticate to each other.
	FleetTokens func() credential.Tokens
}

// Handler proxies callers' requests to the targets of the configured services. It is
// safe for concurrent use.
type Handler struct {
	cfg Config
	// serviceStates maps the name of a service to its *serviceState.
	serviceStates   sync.Map
	snapshotChanges changeNotifier
	counters        Counters
	shutdown        *handlerShutdown
}

// NewHandler returns a handler with the given settings.
func NewHandler(cfg Config) *Handler {
	h := &Handler{cfg: cfg}
	h.shutdown = newHandlerShutdown(h)
	return h
}

// request is a caller's request to a Handler.
type request struct {
	account    string
	id         caller.RequestID
	match      route.Match
	routing    *service.Routing
	inbound    *http.Request
	receivedAt time.Time
	// out writes the response to the caller.
	out *callerWriter
	// body is nil unless the body is buffered in memory.
	body *body
	// held is the memory for the responses of targets.
	held *caller.Reservation
	// callerSentID is set when the caller sent a request id.
	callerSentID bool
	// keyClaim is the claim of the request's idempotency key, or nil.
	keyClaim *caller.Claim
	// forwarded is set when another host forwarded the request to this one.
	forwarded bool
	// shortOfTime is set when much of the request's time was spent on entry hosts that
	// did not respond.
	shortOfTime bool
	// maxConns is how many connections this host may have to each target; 0 for no
	// limit.
	maxConns int
	// writeInterim forwards an interim response to the caller. Its signature is that
	// of httptrace.ClientTrace.Got1xxResponse.
	writeInterim func(status int, fields textproto.MIMEHeader) error
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := newCallerWriter(w, r)
	defer out.finish()
	complete := false
	defer h.counters.count(out.Header(), &complete)
	req, refused := h.admit(out.wrapRequest(r))
	if refused != nil {
		refused.write(out)
		complete = true
		return
	}
	req.out, req.writeInterim = out, out.writeInterim
	out.setBodyDeadline(req.deadline())
	var reserved bool
	if req.held, reserved = h.cfg.Responses.NewReservation(responseAllowance); !reserved {
		h.refuseEarly(r, req.account, http.StatusServiceUnavailable, errResponseMemory.Error()).write(out)
		complete = true
		return
	}
	defer req.held.Free()
	h.serve(out, req)
	complete = true
}

// serve serves an admitted request.
func (h *Handler) serve(w http.ResponseWriter, req *request) {
	w.Header().Set(HeaderRequestID, req.id.String())
	if req.match.Route.Idempotent {
		ctx, cancel := h.shutdown.attemptContext(req.inbound.Context(), req)
		defer cancel()
		if !h.forwardToEntrySet(ctx, w, req) {
			h.serveIdempotent(ctx, w, req)
		}
		return
	}
	h.serveNonIdempotent(w, req)
}

// admit validates and authenticates a request and finds its route and service. It
// returns a refusal if the request is not to be served.
func (h *Handler) admit(r *http.Request) (*request, *refusal) {
	snap := h.cfg.Snapshot()
	if invalid := validateHeader(r); invalid != nil {
		return nil, h.refuseEarly(r, "", invalid.status, invalid.message)
	}
	if snap == nil || !snap.Ready {
		return nil, h.refuseEarly(r, "", http.StatusServiceUnavailable, "this host has no configuration yet")
	}
	if r.Header.Get(headerForwardedBy) != "" && !h.isFromHost(r) {
		return nil, h.refuseEarly(r, "", http.StatusUnauthorized, "only hosts of the fleet forward requests")
	}
	known := snap.Accounts.Authenticate(r.Header.Get(HeaderAccountKey))
	if known == nil {
		return nil, h.refuseEarly(r, "", http.StatusUnauthorized, "missing or unknown account key in header "+HeaderAccountKey)
	}
	account := known.Name
	match, err := snap.Routes.Select(r.Host, urlpath.New(r.URL.EscapedPath()), r.Method)
	if err != nil {
		status := http.StatusNotFound
		if errors.Is(err, route.ErrAmbiguousPath) {
			status = http.StatusBadRequest
		}
		return nil, h.refuseEarly(r, account, status, err.Error())
	}
	routing := snap.Services[match.Service]
	if !routing.Contract.AllowsAccount(account) {
		return nil, h.refuseEarly(r, account, http.StatusForbidden, "account "+account+" may not use service "+match.Service)
	}
	if invalid := validateContentLength(r, routing.Contract); invalid != nil {
		return nil, h.refuseEarly(r, account, invalid.status, invalid.message)
	}
	id, err := h.requestID(r, match.Route.Idempotent)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, err.Error())
	}
	req := &request{
		account:      account,
		id:           id,
		match:        match,
		routing:      routing,
		inbound:      r,
		receivedAt:   time.Now(),
		callerSentID: r.Header.Get(HeaderRequestID) != "",
		forwarded:    r.Header.Get(headerForwardedBy) != "",
		maxConns:     service.ConnectionShare(routing.Contract, len(snap.EntrySets[match.Service].Members)),
	}
	if !h.shutdown.accepts(match.Service, req.deadline()) {
		return nil, h.refuseShutdown(r, account)
	}
	return req, nil
}

// requestID returns the id that the caller sent, or a new one if there is none or the
// request is idempotent. Each copy of an idempotent request gets an id of its own:
// that one copy was not run does not mean that another will not run.
func (h *Handler) requestID(r *http.Request, idempotent bool) (caller.RequestID, error) {
	text := r.Header.Get(HeaderRequestID)
	if text == "" || idempotent {
		return h.cfg.Home.NewID(), nil
	}
	return caller.ParseRequestID(text)
}

// refuseEarly returns the refusal of a request that was not dispatched, because its
// header or its body was refused. If the caller sent an id whose home host is this one,
// the ledger first ensures that the id can never run, and the refusal has the ledger's
// result. The result is "unknown" if another host is the home host of the id, because
// an earlier copy may have run there. It is also "unknown" if the account is not known,
// because the ledger cannot find an id without its account.
func (h *Handler) refuseEarly(r *http.Request, account string, status int, message string) *refusal {
	if status == http.StatusUnauthorized || status == http.StatusForbidden {
		h.counters.Denied.Add(1)
	}
	text := r.Header.Get(HeaderRequestID)
	if text == "" {
		return refuse(status, message)
	}
	id, err := caller.ParseRequestID(text)
	if err != nil {
		return refuse(status, message)
	}
	if !h.cfg.Home.Owns(id) || account == "" {
		return newRefusal(status, caller.Unknown, message)
	}
	outcome := h.cfg.Ledger.Refuse(h.cfg.Home.Uptime(), account, id)
	return newRefusal(status, outcome.Result, message)
}
