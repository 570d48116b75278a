package traffic

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/claim"
	"github.com/crocushinge/crocushinge/contract"
)

const (
	// claimTimeout limits the taking of a key.
	claimTimeout = time.Second
	// settleWait is how long an answer waits for its outcome to be written.
	settleWait = 250 * time.Millisecond
	// maxKeyLength limits a caller's key, in bytes.
	maxKeyLength = 256
)

// Claims is where a Handler keeps keys and outcomes in the table.
type Claims struct {
	Store  *claim.Store
	Writer *claim.OutcomeWriter
	Log    *claim.OutcomeLog
}

// key returns the key that the caller brought.
func (req *request) key() (claim.Key, bool) {
	text := req.in.Header.Get(HeaderIdempotencyKey)
	return claim.Key{Account: req.account, Text: text}, text != ""
}

// runKeyed runs a request with a key. Its id is in the ledger already, so that
// a host that asks about the claim's id finds it pending.
func (h *Handler) runKeyed(w http.ResponseWriter, req *request, record *caller.Record, print caller.Fingerprint) {
	key, _ := req.key()
	if len(key.Text) > maxKeyLength {
		record.End(caller.Outcome{Result: caller.NotRun})
		refuse(http.StatusBadRequest, "the idempotency key is too long").write(w)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(req.in.Context()), claimTimeout)
	defer cancel()
	taken, err := h.cfg.Claims.Store.Claim(ctx, key, req.id, print)
	switch {
	case err != nil:
		req.claimed = &caller.Claim{ID: req.id, Fingerprint: print}
		h.runUnclaimed(w, req, record, err)
	case taken.Decision == caller.KeyFree:
		req.claimed = &taken.Claim
		h.run(w, req, record)
	default:
		record.End(caller.Outcome{Result: caller.NotRun})
		h.answerClaim(w, req, taken)
	}
}

// runUnclaimed carries out the contract's rule for a table that cannot decide.
// Under the rule "home" the id that the caller brought guards the request, as
// it does for a request without a key.
func (h *Handler) runUnclaimed(w http.ResponseWriter, req *request, record *caller.Record, cause error) {
	if req.routing.Contract.KeyOutage == contract.KeyOutageHome && req.brought {
		h.run(w, req, record)
		return
	}
	h.end(req, record, nil, caller.Outcome{Result: caller.NotRun}, cause)
	away := refuse(http.StatusServiceUnavailable, cause.Error())
	away.retryAfter = retryAfterOutage
	away.write(w)
}

// retryAfterOutage is the Retry-After of a request refused because the table
// is away.
const retryAfterOutage = 10 * time.Second

// settle hands the outcome of a request with a key to the writer.
func (h *Handler) settle(req *request, o caller.Outcome) <-chan struct{} {
	key, ok := req.key()
	if !ok || req.claimed == nil {
		return nil
	}
	settled := *req.claimed
	settled.Outcome = o
	return h.cfg.Claims.Writer.Settle(key, settled)
}

// awaitSettled waits a little for an outcome to be durable before its answer
// goes out.
func awaitSettled(done <-chan struct{}) {
	if done == nil {
		return
	}
	timer := time.NewTimer(settleWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// answerClaim answers a request whose key belongs to another id.
func (h *Handler) answerClaim(w http.ResponseWriter, req *request, taken claim.ClaimResult) {
	switch taken.Decision {
	case caller.KeyMismatch:
		refuse(http.StatusUnprocessableEntity, "this key belongs to a different request").write(w)
	case caller.KeyEnded:
		w.Header().Set(HeaderRequestID, taken.Claim.ID.String())
		writeOutcome(w, taken.Claim.Outcome)
	default:
		h.askHolder(w, req, taken.Claim)
	}
}

// askHolder answers for a key that another id holds: as a repeat of that id,
// at its home host.
func (h *Handler) askHolder(w http.ResponseWriter, req *request, held caller.Claim) {
	w.Header().Set(HeaderRequestID, held.ID.String())
	asked := *req
	asked.id = held.ID
	asked.claimed = &held
	if h.cfg.Home.Owns(held.ID) {
		h.repeatHeld(w, &asked)
		return
	}
	asked.in = req.in.Clone(req.in.Context())
	asked.in.Body = io.NopCloser(bytes.NewReader(req.body.data))
	asked.in.ContentLength = int64(len(req.body.data))
	h.forward(w, &asked)
}

func (h *Handler) repeatHeld(w http.ResponseWriter, req *request) {
	record := h.cfg.Ledger.Find(req.account, req.id)
	if record == nil {
		h.answerWithoutHome(w, req, "nothing is known any more of the id that holds the key")
		return
	}
	h.repeat(w, req, record)
}
