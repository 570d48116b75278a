package traffic

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/host"
)

// forward passes a request on to the home host of its id. It answers "unknown"
// when that incarnation cannot be reached: an earlier copy may have run there.
func (h *Handler) forward(w http.ResponseWriter, req *request) {
	home, ok := h.home(req)
	if !ok {
		h.answerWithoutHome(w, req, "the home host of this id is gone")
		return
	}
	ctx, cancel := context.WithDeadline(req.in.Context(), req.deadline())
	defer cancel()
	h.counters.Forwarded.Add(1)
	resp, err := h.cfg.Peers.RoundTrip(h.toHost(ctx, req, home))
	if err != nil {
		h.answerWithoutHome(w, req, "the home host of this id did not answer")
		return
	}
	defer resp.Body.Close()
	relay(w, resp)
}

// home returns the host that may dispatch the request. A request that was
// forwarded once is not forwarded again.
func (h *Handler) home(req *request) (host.Identity, bool) {
	if req.forwarded {
		return host.Identity{}, false
	}
	peer, ok := h.cfg.Snapshot().Peers[host.ID(req.id.Host)]
	return peer, ok && peer.Incarnation == req.id.Incarnation
}

// lookupTimeout limits the look-up of an outcome in the table.
const lookupTimeout = 500 * time.Millisecond

// answerWithoutHome answers a request whose home host cannot tell its outcome: from the
// outcomes in the table, or else as unknown.
func (h *Handler) answerWithoutHome(w http.ResponseWriter, req *request, message string) {
	ctx, cancel := context.WithTimeout(req.in.Context(), lookupTimeout)
	defer cancel()
	outcome, err := h.cfg.Claims.Log.Find(ctx, req.account, req.id)
	if err == nil && outcome.Result != caller.Unknown {
		writeOutcome(w, outcome)
		return
	}
	answer(http.StatusConflict, caller.Unknown, message).write(w)
}

// toHost builds the request to another host.
func (h *Handler) toHost(ctx context.Context, req *request, home host.Identity) *http.Request {
	out := req.in.Clone(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: req.interim}))
	out.URL.Scheme = "http"
	out.URL.Host = home.Address
	out.RequestURI = ""
	out.Close = false
	out.Header = make(http.Header, len(req.in.Header)+1)
	copyHeaders(out.Header, req.in.Header)
	out.Header.Set(HeaderRequestID, req.id.String())
	out.Header.Set(headerForwarded, string(h.cfg.Snapshot().Self.ID))
	out.Header.Set(headerFleetToken, h.cfg.FleetTokens().Current())
	if deadline, ok := ctx.Deadline(); ok {
		setTimeLeft(out.Header, HeaderDeadline, deadline, req.arrived)
	}
	return out
}

// fromHost reports whether a request carries the credential between hosts.
func (h *Handler) fromHost(r *http.Request) bool {
	return h.cfg.FleetTokens().Accepts(r.Header.Get(headerFleetToken))
}

// relay passes another host's answer on. A broken answer aborts the connection
// to the caller, so that it cannot be taken for a whole one.
func relay(w http.ResponseWriter, resp *http.Response) {
	if _, ok := caller.ParseResult(resp.Header.Get(HeaderResult)); !ok {
		answer(http.StatusBadGateway, caller.Unknown, "the home host gave no result").write(w)
		return
	}
	copyHeaders(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
