package traffic

import (
	"context"
	"net/http"
	"time"

	"github.com/crocushinge/crocushinge/host"
)

// maxForwardAttempts is how many hosts of an entry set a request is forwarded to
// before this host serves it itself.
const maxForwardAttempts = 2

// forwardToEntrySet forwards an idempotent request to an entry host of its service if
// this host is not one: the entry hosts know the state of the targets better and have
// nearly all of their slots. It returns false if this host is to serve the request,
// because it is an entry host or no entry host responded. It does not forward a
// request with a body, which would have to be buffered for the second host.
func (h *Handler) forwardToEntrySet(ctx context.Context, w http.ResponseWriter, req *request) bool {
	snap := h.cfg.Snapshot()
	if req.forwarded || req.inbound.ContentLength != 0 || snap.IsEntryHost(req.match.Service) {
		return false
	}
	for i, member := range snap.ForwardHosts(req.match.Service) {
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

// forwardTo forwards a request to an entry host. It returns false if the response did
// not begin within half of the time that was left.
func (h *Handler) forwardTo(ctx context.Context, w http.ResponseWriter, req *request, member host.Identity) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(time.Until(req.deadline())/2, cancel)
	resp, err := h.cfg.Peers.RoundTrip(h.newPeerRequest(ctx, req, member))
	timeout.Stop()
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	writePeerResponse(w, resp)
	return true
}
