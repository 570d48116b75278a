package traffic

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
)

// errEncoded means that a response has a Content-Encoding. Its body is then not the one
// that the target itself produced.
var errEncoded = errors.New("the answer is encoded though no encoding was asked for")

// errNotRun means that the target responded that it did not run the request.
var errNotRun = errors.New("the target refused the request unprocessed")

// errOtherTarget means that another target now has the address.
var errOtherTarget = errors.New("another target answers at this address")

// gatewayAttempt is one attempt of a request at one target.
type gatewayAttempt struct {
	target *pool.Target
	// choice says why the target was chosen.
	choice    pool.Choice
	startedAt time.Time
	outcome   link.Outcome
	err       error
	response  *http.Response
	trace     *connTrace
	// buffered is the start of the response body, or all of it when complete is
	// set.
	buffered []byte
	complete bool
	// upload is the body on its way to the target; nil for a short one.
	upload *upload
	// cancel ends the attempt; nil unless slow peers are cut off.
	cancel context.CancelCauseFunc
	// slot is the queue that the request waited in for its slot; nil if it did not.
	slot *serviceQueue
	// finished is set when the outcome has been reported.
	finished bool
	// retryable is set if the request may run again.
	retryable bool
}

// sendAttempt sends a request to a target and buffers the start of the response
// body. The attempt is finished if it has an error or a complete response. It frees the
// slot, if there is one, when it is finished.
func (g *Gateway) sendAttempt(ctx context.Context, req *gatewayRequest, choice pool.Choice, slot *serviceQueue) *gatewayAttempt {
	t := choice.Target
	a := &gatewayAttempt{target: t, choice: choice, slot: slot, startedAt: time.Now(), retryable: req.retryable()}
	g.cfg.AttemptStarted()
	stopWatch := g.watchOverdue(a, req)
	defer stopWatch()
	trace := &connTrace{held: req.held}
	a.trace = trace
	if g.slowPeers != nil {
		ctx, a.cancel = context.WithCancelCause(ctx)
	}
	out := g.outboundRequest(ctx, req, a)
	resp, err := sendOutbound(g.cfg.Transport, out, trace)
	if err != nil {
		trace.settle(false)
		outcome := classifyRoundTripError(ctx, err, trace)
		if a.upload.wasSlow() {
			g.counters.slowPeersCut[slowTarget].Add(1)
			outcome, err = link.Broken, errSlowTarget
		}
		g.finishAttempt(a, outcome, err)
		return a
	}
	a.response = resp
	err = g.proofError(req, resp, trace)
	trace.settle(err == nil)
	if err != nil {
		_ = resp.Body.Close()
		g.finishAttempt(a, link.Broken, err)
		return a
	}
	g.observeNotice(req, a)
	if outcome, err := g.checkResponse(resp); err != nil {
		_ = resp.Body.Close()
		g.finishAttempt(a, outcome, err)
		return a
	}
	a.buffered, a.complete, err = bufferResponse(resp, req.held)
	if err != nil {
		_ = resp.Body.Close()
		g.finishAttempt(a, classifyBodyError(ctx), err)
		return a
	}
	if a.complete {
		_ = resp.Body.Close()
		g.finishAttempt(a, responseOutcome(resp), nil)
	}
	return a
}

// outboundRequest returns the request of an attempt to its target.
func (g *Gateway) outboundRequest(ctx context.Context, req *gatewayRequest, a *gatewayAttempt) *http.Request {
	ctx = httptrace.WithClientTrace(ctx, a.trace.clientTrace(g.interimWriter(req)))
	out := newOutboundRequest(ctx, req.inbound, a.target.Address)
	out.Header.Set(g.cfg.Headers.ExpectedTarget, a.target.Key.Name)
	g.setAccount(out, req)
	setTimeLeft(out.Header, g.cfg.Headers.Deadline, req.deadline, a.startedAt)
	req.body.setNonRetryable(out)
	a.upload = g.slowPeers.beginUpload(out, req.body, a.cancel)
	return out
}

// responseOutcome returns the outcome of a complete response. Status 504 is not a
// failure of the target: the time that the caller allowed was too short.
func responseOutcome(resp *http.Response) link.Outcome {
	if resp.StatusCode == http.StatusGatewayTimeout {
		return link.TimedOut
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return link.Failed
	}
	return link.Succeeded
}

// classifyRoundTripError returns the outcome for a transport error. A connection
// that breaks after the request was sent is Broken, to distinguish it from a
// failure of the target itself.
func classifyRoundTripError(ctx context.Context, err error, trace *connTrace) link.Outcome {
	if o := classifyTransportError(ctx, err, trace, contract.HTTP1); o != link.Failed {
		return o
	}
	return link.Broken
}

// classifyBodyError returns the outcome for a response body that ended early.
func classifyBodyError(ctx context.Context) link.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return link.TimedOut
	case ctx.Err() != nil:
		return link.Canceled
	default:
		return link.Broken
	}
}

// checkResponse checks what the status and header of a proven response state. It returns the outcome
// and an error if the response must not be forwarded.
func (g *Gateway) checkResponse(resp *http.Response) (link.Outcome, error) {
	refused := resp.Header.Get(g.cfg.Headers.NotRun) != ""
	switch {
	case refused && resp.StatusCode < http.StatusBadRequest:
		return link.Broken, errRefusedSuccess
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return link.ConnectFailed, errOtherTarget
	case refused:
		return link.Refused, errNotRun
	case meansNotRun(resp.StatusCode):
		return link.Failed, errUnstatedRefusal
	case resp.Header.Get("Content-Encoding") != "":
		return link.Failed, errEncoded
	default:
		return link.Succeeded, nil
	}
}

// observeNotice keeps to what the target says about itself in a proven response. What another
// target says does not count.
func (g *Gateway) observeNotice(req *gatewayRequest, a *gatewayAttempt) {
	if a.response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	now := time.Now()
	notice, err := noticeHeaders{leaving: g.cfg.Headers.Leaving, rateLimit: g.cfg.Headers.RateLimit}.read(a.response, now)
	if err != nil {
		g.logUnreadableNotice(req, a, err)
	}
	if a.target.ObserveNotice(notice, a.startedAt, now) {
		g.cfg.Noticed(a.target)
	}
}

// interimWriter returns a function that forwards the interim responses (1xx) that name the
// request. Others may be bytes of any kind and are dropped.
func (g *Gateway) interimWriter(req *gatewayRequest) func(int, textproto.MIMEHeader) error {
	return func(status int, fields textproto.MIMEHeader) error {
		header := http.Header(fields)
		proven := echoError(header, g.cfg.Headers.RequestID, req.id) == nil && !hasTwoHeads("", header)
		if proven {
			return req.writeInterim(status, fields)
		}
		return nil
	}
}

// finishAttempt sets the outcome of an attempt, counts it and reports it to the
// control thread. It has no effect on a finished attempt.
func (g *Gateway) finishAttempt(a *gatewayAttempt, o link.Outcome, err error) {
	if a.finished {
		return
	}
	a.finished = true
	if a.cancel != nil {
		defer a.cancel(nil)
	}
	a.outcome, a.err = o, err
	now := time.Now()
	a.trace.finish(now.Sub(a.startedAt), a.response)
	g.counters.countUnproven(err)
	a.target.End()
	a.target.ObserveReachability(o, now)
	g.slotFreed(a, now)
	g.counters.countAttempt(o)
	g.cfg.Observe(fleet.Observation{Target: a.target, Outcome: o, Latency: now.Sub(a.startedAt), Retryable: a.retryable})
}

// overdueFactor is the multiple of the service's typical latency after which an attempt
// that is still in progress is reported as overdue.
const overdueFactor = 4

// watchOverdue reports an attempt that takes longer than overdueFactor times the
// typical latency. An overdue attempt counts against its target. The returned function
// stops the watch.
func (g *Gateway) watchOverdue(a *gatewayAttempt, req *gatewayRequest) (stop func()) {
	routing := g.cfg.Snapshot().Services[req.service]
	if routing == nil || routing.TypicalLatency() == 0 {
		return func() {}
	}
	t := time.AfterFunc(overdueFactor*routing.TypicalLatency(), func() {
		a.target.ObserveReachability(link.Overdue, time.Now())
		g.cfg.Observe(fleet.Observation{Target: a.target, Outcome: link.Overdue, Latency: time.Since(a.startedAt)})
	})
	return func() { t.Stop() }
}

// notRun reports whether the target certainly did not run the request.
func (a *gatewayAttempt) notRun() bool {
	return a.outcome == link.ConnectFailed || a.outcome == link.Refused
}

// misdirected reports whether another target responded at the address (status 421).
func (a *gatewayAttempt) misdirected() bool {
	return a.outcome == link.ConnectFailed && a.response != nil
}

// succeeded reports whether there is a response without a server error.
func (a *gatewayAttempt) succeeded() bool {
	return a.err == nil && a.response.StatusCode < http.StatusInternalServerError
}

// writeResponse forwards the response of an attempt unchanged. If the response
// breaks off, or the caller reads too slowly, it aborts the connection to the caller, so that the
// caller does not take it for a complete one. ctx is the context of the attempts.
func (g *Gateway) writeResponse(ctx context.Context, req *gatewayRequest, a *gatewayAttempt) {
	w := req.out
	defer g.slowPeers.beginDelivery(w, req.held).End()
	copyResponseHeaders(w.Header(), a.response)
	w.WriteHeader(a.response.StatusCode)
	buffered := a.buffered
	a.buffered = nil // a long response does not hold it any longer than needed
	if a.complete {
		// The write fails only if the caller has disconnected or reads too slowly.
		if _, err := w.Write(buffered); err != nil && g.slowPeers != nil {
			g.abortDelivery(ctx, req, a, err)
		}
		writeTrailers(w, a.response)
		return
	}
	err := g.sendBuffered(w, req, buffered)
	if err == nil {
		err = streamResponse(w, a.response, nil)
	}
	_ = a.response.Body.Close()
	if err == nil && g.slowPeers != nil {
		err = w.writeErr // the target's response is whole, and the caller's is not
	}
	if err != nil {
		g.abortDelivery(ctx, req, a, err)
	}
	g.finishAttempt(a, responseOutcome(a.response), nil)
}

// sendBuffered forwards the buffered start of a long response and adjusts the reservation to what
// the rest holds: no buffer, but the memory of two connections.
func (g *Gateway) sendBuffered(w *callerWriter, req *gatewayRequest, buffered []byte) error {
	size := int64(len(buffered))
	if size == 0 {
		if g.slowPeers != nil {
			_ = req.held.Grow(streamAllowance) // without slow peers to cut, the response is forwarded nevertheless
		}
		return nil
	}
	err := copyBody(w, bytes.NewReader(buffered))
	if g.slowPeers != nil {
		size -= streamAllowance
	}
	req.held.Shrink(size)
	return err
}

// discardResponse closes a response that is not forwarded.
func (g *Gateway) discardResponse(a *gatewayAttempt) {
	if a.finished {
		return
	}
	_ = a.response.Body.Close()
	g.finishAttempt(a, link.Canceled, nil)
}
