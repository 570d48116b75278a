package traffic

import (
	"context"
	"net/http"
	"time"

	"github.com/crocushinge/crocushinge/host"
)

// maxForwardAttempts is the number of entry hosts that this host tries before it serves
// the request itself.
const maxForwardAttempts = 2

// forwardToEntrySet forwards an idempotent request to an entry host of its service if
// this host is not one. The entry hosts know more about the state of the targets and
// have nearly all of the targets' slots. It returns false if this host must serve the
// request itself: because this host is an entry host, the request was already forwarded
// or has a body, or no entry host responded. A body would have to be buffered so that
// it could be sent to the second host.
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
	writePeerResponse(w, resp, req.inbound)
	return true
}
