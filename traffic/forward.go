package traffic

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/host"
)

// forwardToHome forwards a request to the home host of its id. If that incarnation of
// the host cannot be reached, it responds with the outcome from the table. If the table
// has none, the result is "unknown", because an earlier copy of the request may have
// run at the home host.
func (h *Handler) forwardToHome(w http.ResponseWriter, req *request) {
	home, ok := h.homeHost(req)
	if !ok {
		h.respondWithoutHome(w, req, "the home host of this id is gone")
		return
	}
	ctx, cancel := h.shutdown.attemptContext(req.inbound.Context(), req)
	defer cancel()
	h.counters.Forwarded.Add(1)
	resp, err := h.cfg.Peers.RoundTrip(h.newPeerRequest(ctx, req, home))
	if err != nil {
		h.respondWithoutHome(w, req, "the home host of this id did not answer")
		return
	}
	defer resp.Body.Close()
	writePeerResponse(w, resp, req.inbound)
}

// homeHost returns the home host of the request's id. It returns false if the
// incarnation that issued the id is not known, or if the request was already
// forwarded: two hosts that disagree about the home host must not forward it to each
// other forever.
func (h *Handler) homeHost(req *request) (host.Identity, bool) {
	if req.forwarded {
		return host.Identity{}, false
	}
	peer, ok := h.cfg.Snapshot().Peers[host.ID(req.id.Host)]
	return peer, ok && peer.Incarnation == req.id.Incarnation
}

// outcomeLookupTimeout limits the lookup of an outcome in the table.
const outcomeLookupTimeout = 500 * time.Millisecond

// respondWithoutHome responds to a request whose outcome the home host did not return:
// with the outcome from the table, or with the result "unknown" if the table has none.
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

// newPeerRequest returns the request to be sent to another host.
func (h *Handler) newPeerRequest(ctx context.Context, req *request, peer host.Identity) *http.Request {
	out := req.inbound.Clone(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: req.writeInterim}))
	out.URL.Scheme = "http"
	out.URL.Host = peer.Address
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

// isFromHost reports whether a request has a valid fleet token, so that it comes
// from a host of the fleet.
func (h *Handler) isFromHost(r *http.Request) bool {
	return h.cfg.FleetTokens().Accepts(r.Header.Get(headerFleetToken))
}

// writePeerResponse forwards the response of another host. If the response breaks
// off, it aborts the connection to the caller, so that the caller does not take it
// for a complete one.
func writePeerResponse(w http.ResponseWriter, resp *http.Response, inbound *http.Request) {
	if _, ok := caller.ParseResult(resp.Header.Get(HeaderResult)); !ok {
		newRefusal(http.StatusBadGateway, caller.Unknown, "the home host gave no result").write(w)
		return
	}
	copyHeaders(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(w, resp.Body); err != nil {
		abortResponse(inbound)
	}
}
