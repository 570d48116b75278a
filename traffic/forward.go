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
func (h *Handler) forwardToHome(w http.ResponseWriter, req *request) {
	home, ok := h.homeHost(req)
	if !ok {
		h.respondWithoutHome(w, req, "the home host of this id is gone")
		return
	}
	ctx, cancel := context.WithDeadline(req.inbound.Context(), req.deadline())
	defer cancel()
	h.counters.Forwarded.Add(1)
	resp, err := h.cfg.Peers.RoundTrip(h.newPeerRequest(ctx, req, home))
	if err != nil {
		h.respondWithoutHome(w, req, "the home host of this id did not answer")
		return
	}
	defer resp.Body.Close()
	writePeerResponse(w, resp)
}

// home returns the host that may dispatch the request. A request that was
// forwarded once is not forwarded again.
func (h *Handler) homeHost(req *request) (host.Identity, bool) {
	if req.forwarded {
		return host.Identity{}, false
	}
	peer, ok := h.cfg.Snapshot().Peers[host.ID(req.id.Host)]
	return peer, ok && peer.Incarnation == req.id.Incarnation
}

// lookupTimeout limits the look-up of an outcome in the table.
const outcomeLookupTimeout = 500 * time.Millisecond

// answerWithoutHome answers a request whose home host cannot tell its outcome: from the
// outcomes in the table, or else as unknown.
func (h *Handler) respondWithoutHome(w http.ResponseWriter, req *request, message string) {
	ctx, cancel := context.WithTimeout(req.inbound.Context(), outcomeLookupTimeout)
	defer cancel()
	outcome, err := h.cfg.Claims.Log.Find(ctx, req.account, req.id)
	if err == nil && outcome.Result != caller.Unknown {
		writeOutcome(w, outcome)
		return
	}
	newRefusal(http.StatusConflict, caller.Unknown, message).write(w)
}

// toHost builds the request to another host.
func (h *Handler) newPeerRequest(ctx context.Context, req *request, home host.Identity) *http.Request {
	out := req.inbound.Clone(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: req.writeInterim}))
	out.URL.Scheme = "http"
	out.URL.Host = home.Address
	out.RequestURI = ""
	out.Close = false
	out.Header = make(http.Header, len(req.inbound.Header)+1)
	copyHeaders(out.Header, req.inbound.Header)
	out.Header.Set(HeaderRequestID, req.id.String())
	out.Header.Set(headerForwardedBy, string(h.cfg.Snapshot().Self.ID))
	out.Header.Set(headerFleetToken, h.cfg.FleetTokens().Current())
	if deadline, ok := ctx.Deadline(); ok {
		setTimeLeft(out.Header, HeaderDeadline, deadline, req.receivedAt)
	}
	return out
}

// fromHost reports whether a request carries the credential between hosts.
func (h *Handler) isFromHost(r *http.Request) bool {
	return h.cfg.FleetTokens().Accepts(r.Header.Get(headerFleetToken))
}

// relay passes another host's answer on. A broken answer aborts the connection
// to the caller, so that it cannot be taken for a whole one.
func writePeerResponse(w http.ResponseWriter, resp *http.Response) {
	if _, ok := caller.ParseResult(resp.Header.Get(HeaderResult)); !ok {
		newRefusal(http.StatusBadGateway, caller.Unknown, "the home host gave no result").write(w)
		return
	}
	copyHeaders(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
