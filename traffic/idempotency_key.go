package traffic

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/claim"
	"github.com/crocushinge/crocushinge/contract"
)

const (
	// claimTimeout limits how long claiming a key in the table may take.
	claimTimeout = time.Second
	// settleTimeout limits how long a response waits until its outcome is written to
	// the table.
	settleTimeout = 250 * time.Millisecond
	// maxKeyBytes limits the length of an idempotency key.
	maxKeyBytes = 256
)

// Claims holds what a Handler needs to store idempotency keys and outcomes in the
// table.
type Claims struct {
	Store  *claim.Store
	Writer *claim.OutcomeWriter
	Log    *claim.OutcomeLog
}

// idempotencyKey returns the idempotency key of the request, if any.
func (req *request) idempotencyKey() (claim.Key, bool) {
	text := req.inbound.Header.Get(HeaderIdempotencyKey)
	return claim.Key{Account: req.account, Text: text}, text != ""
}

// proxyWithKey claims the idempotency key of a request and proxies the request if
// the key is free. The request id must already be in the ledger, so that another
// host that asks about the id of the claim gets the result "pending".
func (h *Handler) proxyWithKey(w http.ResponseWriter, req *request, record *caller.Record, fingerprint caller.Fingerprint) {
	key, _ := req.idempotencyKey()
	if len(key.Text) > maxKeyBytes {
		record.End(caller.Outcome{Result: caller.NotRun})
		refuse(http.StatusBadRequest, "the idempotency key is too long").write(w)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(req.inbound.Context()), claimTimeout)
	defer cancel()
	claimed, err := h.cfg.Claims.Store.Claim(ctx, key, req.id, fingerprint)
	switch {
	case err != nil:
		req.keyClaim = &caller.Claim{ID: req.id, Fingerprint: fingerprint}
		h.handleKeyOutage(w, req, record, err)
	case claimed.Decision == caller.KeyFree:
		req.keyClaim = &claimed.Claim
		h.proxyOnce(w, req, record)
	default:
		record.End(caller.Outcome{Result: caller.NotRun})
		h.respondClaimed(w, req, claimed)
	}
}

// handleKeyOutage handles a request whose key could not be claimed because of an error
// of the table, as the contract's key-outage rule says. With the rule "home" the
// request is proxied if the caller sent an id: the id prevents a second run, as it does
// for a request without a key.
func (h *Handler) handleKeyOutage(w http.ResponseWriter, req *request, record *caller.Record, cause error) {
	if req.routing.Contract.KeyOutage == contract.KeyOutageHome && req.callerSentID {
		h.proxyOnce(w, req, record)
		return
	}
	h.recordOutcome(req, record, nil, caller.Outcome{Result: caller.NotRun}, cause)
	refused := refuse(http.StatusServiceUnavailable, cause.Error())
	refused.retryAfter = retryAfterOutage
	refused.write(w)
}

// retryAfterOutage is the Retry-After of a request refused because the table is not
// available.
const retryAfterOutage = 10 * time.Second

// settleClaim passes the outcome of a request with a claimed key to the writer. The
// returned channel is closed when the outcome is stored; it is nil if there is
// nothing to wait for.
func (h *Handler) settleClaim(req *request, o caller.Outcome) <-chan struct{} {
	key, ok := req.idempotencyKey()
	if !ok || req.keyClaim == nil {
		return nil
	}
	settled := *req.keyClaim
	settled.Outcome = o
	return h.cfg.Claims.Writer.Settle(key, settled)
}

// awaitSettled waits until the outcome is stored, at most settleTimeout. The outcome is
// thus usually stored before the response is sent. It returns at once if done is nil.
func awaitSettled(done <-chan struct{}) {
	if done == nil {
		return
	}
	timer := time.NewTimer(settleTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// respondClaimed responds to a request whose key is claimed by another id.
func (h *Handler) respondClaimed(w http.ResponseWriter, req *request, claimed claim.ClaimResult) {
	switch claimed.Decision {
	case caller.KeyMismatch:
		refuse(http.StatusUnprocessableEntity, "this key belongs to a different request").write(w)
	case caller.KeyEnded:
		w.Header().Set(HeaderRequestID, claimed.Claim.ID.String())
		writeOutcome(w, claimed.Claim.Outcome)
	default:
		h.respondClaimedKey(w, req, claimed.Claim)
	}
}

// respondClaimedKey responds to a request whose key is claimed by another request that
// has not ended. The request is handled as a repeat of the other one, at the home host
// of the other one's id.
func (h *Handler) respondClaimedKey(w http.ResponseWriter, req *request, holder caller.Claim) {
	w.Header().Set(HeaderRequestID, holder.ID.String())
	repeat := *req
	repeat.id = holder.ID
	repeat.keyClaim = &holder
	if h.cfg.Home.Owns(holder.ID) {
		h.respondAtHome(w, &repeat)
		return
	}
	repeat.inbound = req.inbound.Clone(req.inbound.Context())
	repeat.inbound.Body = io.NopCloser(req.body.data.reader())
	repeat.inbound.ContentLength = req.body.data.size
	h.forwardToHome(w, &repeat)
}

// respondAtHome responds to a repeat of a request whose home host is this one.
func (h *Handler) respondAtHome(w http.ResponseWriter, req *request) {
	record := h.cfg.Ledger.Find(req.account, req.id)
	if record == nil {
		h.respondWithoutHome(w, req, "nothing is known any more of the id that holds the key")
		return
	}
	h.respondRepeat(w, req, record)
}
