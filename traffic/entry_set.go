package traffic

import (
	"context"
	"net/http"
	"time"

	"github.com/crocushinge/crocushinge/host"
)

// forwardTries is how many hosts of an entry set are asked to serve a request
// before this host serves it itself.
const maxForwardAttempts = 2

// forwardToSet lets a host of the service's entry set serve an idempotent
// request when this host is none of them: the set knows the targets better,
// and has nearly all of their slots. It returns false when no host of the set
// answered; the request may then be served here. A request with a body is
// served here, so that the body need not be held for a second try.
func (h *Handler) forwardToEntrySet(ctx context.Context, w http.ResponseWriter, req *request) bool {
	snap := h.cfg.Snapshot()
	if req.forwarded || req.inbound.ContentLength != 0 || snap.Fronts(req.match.Service) {
		return false
	}
	for i, member := range snap.Forwards(req.match.Service) {
		if i == maxForwardAttempts {
			return false
		}
		if h.forwardTo(ctx, w, req, member) {
			return true
		}
		req.shortOfTime = true
	}
	return false
}

// serveAt passes a request to one host and its answer on. It returns false
// when the host did not begin to answer in half of the time that is left.
func (h *Handler) forwardTo(ctx context.Context, w http.ResponseWriter, req *request, member host.Identity) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := time.AfterFunc(time.Until(req.deadline())/2, cancel)
	resp, err := h.cfg.Peers.RoundTrip(h.newPeerRequest(ctx, req, member))
	patience.Stop()
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	writePeerResponse(w, resp)
	return true
}
