package traffic

import (
	"context"
	"net/http"
	"time"

	"github.com/crocushinge/crocushinge/host"
)

// forwardTries is how many hosts of an entry set are asked to serve a request
// before this host serves it itself.
const forwardTries = 2

// forwardToSet lets a host of the service's entry set serve an idempotent
// request when this host is none of them: the set knows the targets better,
// and has nearly all of their slots. It returns false when no host of the set
// answered; the request may then be served here. A request with a body is
// served here, so that the body need not be held for a second try.
func (h *Handler) forwardToSet(ctx context.Context, w http.ResponseWriter, req *request) bool {
	snap := h.cfg.Snapshot()
	if req.forwarded || req.in.ContentLength != 0 || snap.IsEntryHost(req.match.Service) {
		return false
	}
	for i, member := range snap.ForwardHosts(req.match.Service) {
		if i == forwardTries {
			return false
		}
		if h.serveAt(ctx, w, req, member) {
			return true
		}
		req.pressed = true
	}
	return false
}

// serveAt passes a request to one host and its answer on. It returns false
// when the host did not begin to answer in half of the time that is left.
func (h *Handler) serveAt(ctx context.Context, w http.ResponseWriter, req *request, member host.Identity) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := time.AfterFunc(time.Until(req.deadline())/2, cancel)
	resp, err := h.cfg.Peers.RoundTrip(h.toHost(ctx, req, member))
	patience.Stop()
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	relay(w, resp)
	return true
}
