package traffic

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/claim"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/link"
)

// serveNonIdempotent serves a request that may run at most once. Only the home host
// of its id dispatches it; another host forwards it there.
func (h *Handler) serveNonIdempotent(w http.ResponseWriter, req *request) {
	if !h.cfg.Home.Owns(req.id) {
		h.forwardToHome(w, req)
		return
	}
	if h.cfg.Home.ExpiresTooLate(req.id) {
		// The id may become valid later, so "not run" would not be final.
		newRefusal(http.StatusBadRequest, caller.Unknown, "this host has not minted the id").write(w)
		return
	}
	body, refused := h.readBody(req, req.routing.Contract.MaxBody)
	if refused != nil {
		refused.write(w)
		return
	}
	req.body = body
	defer body.free()
	fingerprint := caller.NewFingerprint(req.inbound.Method, req.match.Service, req.inbound.URL.RequestURI(), body.data.list...)
	record, decision := h.cfg.Ledger.Begin(h.cfg.Home.Uptime(), req.account, req.id, fingerprint)
	if decision != caller.Dispatch {
		h.respondNotDispatched(w, req, record, decision)
		return
	}
	// The record keeps the first outcome. This one takes effect only if the handler
	// returns or panics without having recorded another.
	defer record.End(caller.Outcome{Result: caller.Unknown})
	if _, hasKey := req.idempotencyKey(); hasKey {
		h.proxyWithKey(w, req, record, fingerprint)
		return
	}
	h.proxyOnce(w, req, record)
}

// readBody reads the whole body of a request, of up to limit bytes, into memory.
func (h *Handler) readBody(req *request, limit int64) (*body, *refusal) {
	h.shutdown.beginBody(req.out, req.match.Service, req.deadline())
	b, err := readBody(req.inbound, limit, h.cfg.Bodies)
	cutShort := h.shutdown.endBody(req.out)
	switch {
	case err == nil:
		return b, nil
	case cutShort:
		return nil, h.refuseShutdown(req.inbound, req.account)
	default:
		return nil, h.refuseBody(req, err)
	}
}

// refuseBody returns the refusal of a request whose body could not be read.
func (h *Handler) refuseBody(req *request, err error) *refusal {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyMemory):
		status = http.StatusServiceUnavailable
	}
	return h.refuseEarly(req.inbound, req.account, status, err.Error())
}

// respondNotDispatched responds to a request that the ledger does not allow to be
// dispatched.
func (h *Handler) respondNotDispatched(w http.ResponseWriter, req *request, record *caller.Record, decision caller.Decision) {
	switch decision {
	case caller.Repeated:
		h.respondRepeat(w, req, record)
	case caller.Mismatch:
		refuse(http.StatusUnprocessableEntity, "this id belongs to a different request").write(w)
	case caller.Full:
		refuse(http.StatusServiceUnavailable, "this host keeps as many outcomes as it can").write(w)
	default:
		h.respondWithoutHome(w, req, "this id has expired")
	}
}

// respondRepeat responds to a repeat of a request with the outcome of the first copy.
// It waits for that outcome until the deadline. If the first copy was not run, it also
// writes the outcome to the claim of the idempotency key, so that the key can be used
// again.
func (h *Handler) respondRepeat(w http.ResponseWriter, req *request, record *caller.Record) {
	// A shutdown ends the first copy, and so this wait.
	ctx, cancel := context.WithDeadline(req.inbound.Context(), req.deadline())
	defer cancel()
	outcome := record.Wait(ctx)
	if outcome.Result == caller.NotRun {
		awaitSettled(h.settleClaim(req, outcome))
	}
	writeOutcome(w, outcome)
}

// writeOutcome responds with the outcome of an earlier request with the same id or
// key: with its response if that was stored, and otherwise with its result and
// status.
func writeOutcome(w http.ResponseWriter, o caller.Outcome) {
	if o.Response != nil {
		writeStored(w, o.Response)
		return
	}
	if o.Status != 0 {
		w.Header().Set(HeaderStatus, strconv.Itoa(o.Status))
	}
	newRefusal(http.StatusConflict, o.Result, "this id was dispatched before").write(w)
}

// proxyOnce sends a request to a target and forwards the response. The request is
// not canceled when the caller disconnects, so that a repeat gets the outcome.
func (h *Handler) proxyOnce(w http.ResponseWriter, req *request, record *caller.Record) {
	ctx, cancel := h.shutdown.attemptContext(context.WithoutCancel(req.inbound.Context()), req)
	defer cancel()
	a, err := h.sendOnce(ctx, req)
	if err != nil {
		h.respondFailed(w, req, record, a, err)
		return
	}
	buffered, complete, err := a.buffer()
	if err != nil {
		a.fail()
		h.respondFailed(w, req, record, a, err)
		return
	}
	outcome := caller.Outcome{Result: caller.Completed, Status: a.response.StatusCode}
	if complete {
		outcome.Response = a.storedResponse(buffered)
		h.recordOutcome(req, record, a, outcome, nil)
		a.writeHeader(w, caller.Completed)
		_, _ = w.Write(buffered) // fails only if the caller has disconnected
		writeTrailers(w, a.response)
		a.close()
		return
	}
	a.writeHeader(w, caller.Completed)
	if err := a.stream(w, buffered); err != nil {
		a.fail()
		h.recordOutcome(req, record, a, caller.Outcome{Result: caller.Unknown}, err)
		abortResponse(req.inbound)
	}
	h.recordOutcome(req, record, a, outcome, nil)
	a.close()
}

// sendOnce sends the request to one target after the other while it is certain that
// none of them has run it.
func (h *Handler) sendOnce(ctx context.Context, req *request) (*attempt, error) {
	state := h.serviceState(req.match.Service)
	state.retries.Deposit()
	tried := make(map[*link.Link]bool)
	for retry := 0; ; retry++ {
		a, err := h.sendAttempt(ctx, req, tried)
		if err == nil || a == nil || !a.notRun() || retry+1 >= maxAttempts {
			return a, err
		}
		backoff := caller.Backoff(retry, rand.Float64())
		if h.shutdown.tooLate(req, backoff) || !state.retries.TryWithdraw() || !waitBackoff(ctx, backoff) {
			return a, err
		}
		h.counters.Retries.Add(1)
		tried[a.link] = true
	}
}

// respondFailed records the outcome of a request without a usable response, and
// responds to it.
func (h *Handler) respondFailed(w http.ResponseWriter, req *request, record *caller.Record, a *attempt, err error) {
	result := caller.Unknown
	if a.notRun() {
		result = caller.NotRun
	}
	h.recordOutcome(req, record, a, caller.Outcome{Result: result}, err)
	failureResponse(result, err).write(w)
}

// recordOutcome records the outcome in the ledger, in the table and in the timeline.
// It waits for up to settleTimeout until the claim of the idempotency key, if any,
// is written.
func (h *Handler) recordOutcome(req *request, record *caller.Record, a *attempt, o caller.Outcome, cause error) {
	record.End(o)
	settled := h.settleClaim(req, o)
	h.cfg.Claims.Log.Add(claim.RequestOutcome{
		Account: req.account,
		Request: req.id.String(),
		Result:  o.Result,
		Status:  o.Status,
	})
	ended := host.RequestEnded{
		Request: req.id.String(),
		Service: req.match.Service,
		Result:  o.Result,
		Status:  o.Status,
	}
	if a != nil {
		ended.Target = a.link.Target.Name
	}
	if cause != nil {
		ended.Reason = cause.Error()
	}
	h.cfg.ReportEnded(ended)
	awaitSettled(settled)
}
