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

// serveOnce dispatches a non-idempotent request once at most.
func (h *Handler) serveOnce(w http.ResponseWriter, req *request) {
	if !h.cfg.Home.Owns(req.id) {
		h.forward(w, req)
		return
	}
	if h.cfg.Home.ExpiresTooLate(req.id) {
		// It could become valid later, so "not run" would not be final.
		answer(http.StatusBadRequest, caller.Unknown, "this host has not minted the id").write(w)
		return
	}
	body, err := readBody(req.in, req.routing.Contract.MaxBody, h.cfg.Bodies)
	if err != nil {
		h.refuseBody(req, err).write(w)
		return
	}
	req.body = body
	defer body.free()
	print := caller.NewFingerprint(req.in.Method, req.match.Service, req.in.URL.RequestURI(), body.data)
	record, verdict := h.cfg.Ledger.Begin(h.cfg.Home.Uptime(), req.account, req.id, print)
	if verdict != caller.Dispatch {
		h.answerVerdict(w, req, record, verdict)
		return
	}
	// Holds when the handler ends without another outcome.
	defer record.End(caller.Outcome{Result: caller.Unknown})
	if _, keyed := req.key(); keyed {
		h.runKeyed(w, req, record, print)
		return
	}
	h.run(w, req, record)
}

// refuseBody refuses a request whose body could not be read.
func (h *Handler) refuseBody(req *request, err error) *refusal {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyMemory):
		status = http.StatusServiceUnavailable
	}
	return h.refuseEarly(req.in, req.account, status, err.Error())
}

// answerVerdict answers a request that the ledger does not let run.
func (h *Handler) answerVerdict(w http.ResponseWriter, req *request, record *caller.Record, verdict caller.Decision) {
	switch verdict {
	case caller.Repeated:
		h.repeat(w, req, record)
	case caller.Mismatch:
		refuse(http.StatusUnprocessableEntity, "this id belongs to a different request").write(w)
	case caller.Full:
		refuse(http.StatusServiceUnavailable, "this host keeps as many outcomes as it can").write(w)
	default:
		h.answerWithoutHome(w, req, "this id has expired")
	}
}

// repeat answers a request whose id was dispatched before. A key whose id was
// not run is settled, so that it is free again.
func (h *Handler) repeat(w http.ResponseWriter, req *request, record *caller.Record) {
	ctx, cancel := context.WithDeadline(req.in.Context(), req.deadline())
	defer cancel()
	outcome := record.Wait(ctx)
	if outcome.Result == caller.NotRun {
		awaitSettled(h.settle(req, outcome))
	}
	writeOutcome(w, outcome)
}

// writeOutcome tells the outcome of an earlier request.
func writeOutcome(w http.ResponseWriter, o caller.Outcome) {
	if o.Response != nil {
		writeKept(w, o.Response)
		return
	}
	if o.Status != 0 {
		w.Header().Set(HeaderStatus, strconv.Itoa(o.Status))
	}
	answer(http.StatusConflict, o.Result, "this id was dispatched before").write(w)
}

// run dispatches a request that the ledger has claimed. It goes on when the
// caller goes away, so that a repeat learns the outcome.
func (h *Handler) run(w http.ResponseWriter, req *request, record *caller.Record) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(req.in.Context()), req.deadline())
	defer cancel()
	a, err := h.dispatchOnce(ctx, req)
	if err != nil {
		h.endFailed(w, req, record, a, err)
		return
	}
	held, whole, err := a.hold()
	if err != nil {
		a.fail()
		h.endFailed(w, req, record, a, err)
		return
	}
	outcome := caller.Outcome{Result: caller.Completed, Status: a.response.StatusCode}
	if whole {
		outcome.Response = a.keep(held)
		h.end(req, record, a, outcome, nil)
		a.writeHead(w, caller.Completed)
		_, _ = w.Write(held)
		writeTrailers(w, a.response)
		a.close()
		return
	}
	a.writeHead(w, caller.Completed)
	if err := a.stream(w, held); err != nil {
		a.fail()
		h.end(req, record, a, caller.Outcome{Result: caller.Unknown}, err)
		panic(http.ErrAbortHandler)
	}
	h.end(req, record, a, outcome, nil)
	a.close()
}

// dispatchOnce sends the request until one attempt may have reached a target.
func (h *Handler) dispatchOnce(ctx context.Context, req *request) (*attempt, error) {
	state := h.state(req.match.Service)
	state.retries.Deposit()
	tried := make(map[*link.Link]bool)
	for retry := 0; ; retry++ {
		a, err := h.dispatch(ctx, req, tried)
		if err == nil || a == nil || !a.certainlyNotRun() || retry+1 >= maxAttempts {
			return a, err
		}
		if !state.retries.TryWithdraw() || !pause(ctx, caller.Backoff(retry, rand.Float64())) {
			return a, err
		}
		h.counters.Retries.Add(1)
		tried[a.link] = true
	}
}

// endFailed ends a request that has no whole answer.
func (h *Handler) endFailed(w http.ResponseWriter, req *request, record *caller.Record, a *attempt, err error) {
	result := caller.Unknown
	if a.certainlyNotRun() {
		result = caller.NotRun
	}
	h.end(req, record, a, caller.Outcome{Result: result}, err)
	failure(result, err).write(w)
}

// end records the outcome in the ledger, in the table and on the time line.
func (h *Handler) end(req *request, record *caller.Record, a *attempt, o caller.Outcome, cause error) {
	record.End(o)
	settled := h.settle(req, o)
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
	h.cfg.Ended(ended)
	awaitSettled(settled)
}
