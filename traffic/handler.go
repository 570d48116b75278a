// Package traffic carries callers' requests to targets over HTTP. Its
// goroutines read the routing snapshot and never touch control state.
package traffic

import (
	"context"
	"net/http"
	"net/textproto"
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/credential"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/route"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/wire"
)

// Headers of the protocol between callers and the system.
const (
	HeaderKey            = wire.HeaderKey
	HeaderRequestID      = wire.HeaderRequestID
	HeaderResult         = wire.HeaderResult
	HeaderStatus         = wire.HeaderStatus
	HeaderDeadline       = wire.HeaderDeadline
	HeaderIdempotencyKey = wire.HeaderIdempotencyKey
)

// Headers between the hosts of the fleet.
const (
	// headerForwarded names the host that forwarded a request to the home
	// host of its id. A forwarded request is not forwarded again.
	headerForwarded = "Crocushinge-Forwarded-By"
	// headerFleetToken carries the credential between hosts.
	headerFleetToken = "Crocushinge-Fleet-Token"
)

// Config is what a Handler needs.
type Config struct {
	// Snapshot returns the newest routing snapshot.
	Snapshot func() *host.Snapshot
	// Home mints the ids of this incarnation.
	Home   *caller.Home
	Ledger *caller.Ledger
	// Claims keeps keys and outcomes in the table.
	Claims Claims
	// Bodies bounds the request bodies held in memory.
	Bodies *caller.Memory
	// Observe hands an observation to the control thread without blocking.
	Observe func(link.Observation)
	// Ended hands the end of a request to the control thread without blocking.
	Ended func(host.RequestEnded)
	// WantSigns asks the control thread which targets of a service leave,
	// without blocking; a later snapshot knows. Nil asks nobody.
	WantSigns func(service string)
	// Transport sends requests to targets.
	Transport http.RoundTripper
	// Peers sends requests to other hosts.
	Peers http.RoundTripper
	// FleetTokens returns the credentials between hosts.
	FleetTokens func() credential.Tokens
}

// Handler serves callers' requests.
type Handler struct {
	cfg Config
	// states holds a *serviceState for each service.
	states   sync.Map
	changes  changes
	counters Counters
}

// NewHandler returns a handler that runs on the given settings.
func NewHandler(cfg Config) *Handler { return &Handler{cfg: cfg} }

// request is one caller's request on its way.
type request struct {
	account string
	id      caller.RequestID
	match   route.Match
	routing *service.Routing
	in      *http.Request
	arrived time.Time
	// body is the whole body once it was read into memory.
	body *body
	// brought is set when the caller brought the id.
	brought bool
	// claimed is the claim by which the request holds the caller's key, if any.
	claimed *caller.Claim
	// forwarded is set when another host passed the request on.
	forwarded bool
	// pressed is set when hosts of the entry set did not answer, which has taken most of
	// the request's time.
	pressed bool
	// connections is how many this host may have to each target.
	connections int
	// interim passes an interim answer on to the caller. It has the form of
	// httptrace.ClientTrace.Got1xxResponse.
	interim func(status int, fields textproto.MIMEHeader) error
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	caller := newCallerWriter(w, r)
	defer caller.finish()
	whole := false
	defer h.counters.count(caller.Header(), &whole)
	req, refusal := h.admit(caller.wrapRequest(r))
	if refusal != nil {
		refusal.write(caller)
		whole = true
		return
	}
	req.interim = caller.writeInterim
	caller.setBodyDeadline(req.deadline())
	h.serve(caller, req)
	whole = true
}

// serve serves an admitted request.
func (h *Handler) serve(w http.ResponseWriter, req *request) {
	w.Header().Set(HeaderRequestID, req.id.String())
	if req.match.Route.Idempotent {
		ctx, cancel := context.WithDeadline(req.in.Context(), req.deadline())
		defer cancel()
		if !h.forwardToSet(ctx, w, req) {
			h.serveIdempotent(ctx, w, req)
		}
		return
	}
	h.serveOnce(w, req)
}

// admit checks a request before any work is done for it.
func (h *Handler) admit(r *http.Request) (*request, *refusal) {
	snap := h.cfg.Snapshot()
	if f := validateHeader(r); f != nil {
		return nil, h.refuseEarly(r, "", f.status, f.message)
	}
	if snap == nil || !snap.Ready {
		return nil, h.refuseEarly(r, "", http.StatusServiceUnavailable, "this host has no configuration yet")
	}
	if r.Header.Get(headerForwarded) != "" && !h.fromHost(r) {
		return nil, h.refuseEarly(r, "", http.StatusUnauthorized, "only hosts of the fleet forward requests")
	}
	account, ok := snap.Accounts.Authenticate(r.Header.Get(HeaderKey))
	if !ok {
		return nil, h.refuseEarly(r, "", http.StatusUnauthorized, "missing or unknown account key in header "+HeaderKey)
	}
	match, ok := snap.Routes.Find(r.Host, r.URL.Path, r.Method)
	if !ok {
		return nil, h.refuseEarly(r, account, http.StatusNotFound, "no service has a route for this request")
	}
	routing := snap.Services[match.Service]
	if !routing.Contract.AllowsAccount(account) {
		return nil, h.refuseEarly(r, account, http.StatusForbidden, "account "+account+" may not use service "+match.Service)
	}
	if f := validateContentLength(r, routing.Contract); f != nil {
		return nil, h.refuseEarly(r, account, f.status, f.message)
	}
	id, err := h.requestID(r, match.Route.Idempotent)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, err.Error())
	}
	return &request{
		account:     account,
		id:          id,
		match:       match,
		routing:     routing,
		in:          r,
		arrived:     time.Now(),
		brought:     r.Header.Get(HeaderRequestID) != "",
		forwarded:   r.Header.Get(headerForwarded) != "",
		connections: service.ConnectionShare(routing.Contract, len(snap.EntrySets[match.Service].Members)),
	}, nil
}

// requestID returns the id that the caller sent, or a new one. Each copy of an
// idempotent request has an id of its own: "not run" is said of one copy, and
// another may still run.
func (h *Handler) requestID(r *http.Request, idempotent bool) (caller.RequestID, error) {
	text := r.Header.Get(HeaderRequestID)
	if text == "" || idempotent {
		return h.cfg.Home.Mint(), nil
	}
	return caller.ParseRequestID(text)
}

// refuseEarly refuses a request that was not looked at in full. When the
// caller brought an id, "not run" is said only after the id was barred from
// ever running here; of an id of another home nothing certain is known.
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
		return answer(status, caller.Unknown, message)
	}
	outcome := h.cfg.Ledger.Refuse(h.cfg.Home.Since(), account, id)
	return answer(status, outcome.Result, message)
}
