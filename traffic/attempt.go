package traffic

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
)

// Errors of an attempt.
var (
	// errDeadlinePassed means that the deadline passed before the request was sent.
	errDeadlinePassed = errors.New("the deadline passed before the request was sent")
)

// attempt is one attempt of a request at one target.
type attempt struct {
	handler   *Handler
	service   string
	link      *link.Link
	slot      int
	startedAt time.Time
	outcome   link.Outcome
	response  *http.Response
	trace     *connTrace
	// leaving is set when the response has the header by which the target announces
	// that it is leaving.
	leaving bool
	cancel  context.CancelFunc
}

// sendAttempt sends the request to one target. It returns a nil attempt if no target
// was chosen; the request was then not sent. An attempt that it returns together with
// an error is finished.
func (h *Handler) sendAttempt(ctx context.Context, req *request, tried map[*link.Link]bool) (*attempt, error) {
	if err := h.awaitLeaveSignals(ctx, req); err != nil {
		return nil, err
	}
	l, slot, err := h.acquireSlot(ctx, req, tried)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{handler: h, link: l, service: req.match.Service, slot: slot, startedAt: time.Now(), cancel: cancel}
	trace := &connTrace{held: req.held}
	a.trace = trace
	out := newTargetRequest(httptrace.WithClientTrace(ctx, trace.clientTrace(req.writeInterim)), req, l.Address)
	req.prepareOutbound(ctx, out)
	resp, err := sendOutbound(h.cfg.Transport, out, trace)
	if err == nil {
		if err = req.checkResponse(resp, trace); err != nil {
			_ = resp.Body.Close()
		}
	}
	trace.settle(err == nil)
	if err != nil {
		a.outcome = classifyTransportError(ctx, err, trace, req.routing.Contract.Protocol)
		a.finish()
		return a, errors.Wrapf(err, "target %s", l.Target)
	}
	a.response = resp
	h.observeNotice(a, noticeHeaders{leaving: req.routing.Contract.Leaving.Header, rateLimit: req.routing.Contract.RateLimit.Header})
	l.ResponseBegan(slot)
	if resp.StatusCode >= http.StatusInternalServerError {
		a.outcome = link.Failed
	}
	return a, nil
}

// observeNotice keeps to what the target says about itself in its response.
func (h *Handler) observeNotice(a *attempt, names noticeHeaders) {
	now := time.Now()
	notice, err := names.read(a.response, now)
	if err != nil {
		h.counters.UnreadableNotices.Add(1)
	}
	a.leaving = notice.Leaving
	a.link.ObserveNotice(notice, a.startedAt, now)
}

// prepareOutbound sets the headers of this system and the body of a request to a
// target.
func (req *request) prepareOutbound(ctx context.Context, out *http.Request) {
	out.Header.Del(headerForwardedBy)
	out.Header.Del(headerFleetToken)
	out.Header.Set(HeaderRequestID, req.id.String())
	if deadline, ok := ctx.Deadline(); ok {
		setTimeLeft(out.Header, HeaderDeadline, deadline, time.Now())
	}
	switch {
	case req.body == nil:
	case req.match.Route.Idempotent:
		req.body.setRetryable(out)
	default:
		req.body.setNonRetryable(out)
	}
}

// checkResponse checks whether a response belongs to the request. It returns an error if
// the response must not be forwarded.
func (req *request) checkResponse(resp *http.Response, trace *connTrace) error {
	if trace.respondedBeforeSend() {
		return errEarlyResponse
	}
	return req.echoError(resp)
}

// echoError returns nil if the response names this request. Targets need not do that unless
// their contract says so, but a response that names another request is not theirs.
func (req *request) echoError(resp *http.Response) error {
	err := echoError(resp.Header, HeaderRequestID, req.id.String())
	if errors.Is(err, errNoResponseID) && !req.routing.Contract.EchoesID {
		return nil
	}
	return err
}

// classifyTransportError returns the outcome for an error of the transport. The outcomes that
// mean "not run" follow from what this host has written and from frames of HTTP/2. They never
// follow from the text of an error: it may quote the target.
func classifyTransportError(ctx context.Context, err error, trace *connTrace, protocol contract.Protocol) link.Outcome {
	switch {
	case isCallerError(err):
		return link.Canceled
	case errors.Is(err, errInvalidStatus):
		return link.Broken
	case isDialError(err) && !trace.acquired, trace.nothingSent():
		return link.ConnectFailed
	case isRefusedStream(err, protocol):
		return link.Refused
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return link.TimedOut
	case errors.Is(ctx.Err(), context.Canceled):
		return link.Canceled
	default:
		return link.Failed
	}
}

// isDialError reports whether a connection could not be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// wasShed reports whether the target rejected the request because of its load.
func (a *attempt) wasShed() bool {
	if a.outcome == link.Refused {
		return true
	}
	r := a.response
	return r != nil && r.StatusCode == http.StatusServiceUnavailable && r.Header.Get("Retry-After") != ""
}

// slotOutcome returns the outcome of the attempt's slot. The service's admission queue
// estimates the load of the targets from it.
func (a *attempt) slotOutcome() caller.SlotOutcome {
	switch {
	case a.wasShed():
		return caller.SlotShed
	case a.outcome == link.TimedOut:
		return caller.SlotTimedOut
	default:
		return caller.SlotAccepted
	}
}

// notRun reports whether the attempt certainly did not run the request. A nil attempt
// means that the request was not sent.
func (a *attempt) notRun() bool {
	return a == nil || a.outcome == link.ConnectFailed || a.outcome == link.Refused
}

// finish frees the slot and reports the observation to the control thread.
func (a *attempt) finish() {
	a.cancel()
	a.link.Release(a.slot)
	now := time.Now()
	latency := now.Sub(a.startedAt)
	a.trace.finish(latency, a.response)
	a.handler.serviceState(a.service).queue.Release(now, latency, a.slotOutcome())
	if a.outcome == link.Succeeded {
		a.handler.serviceState(a.service).work.observe(latency)
	}
	a.link.ObserveOutcome(a.outcome, latency)
	a.link.ObserveReachability(a.outcome, now)
	a.handler.cfg.Observe(link.Observation{
		Target:  a.link.Target,
		Outcome: a.outcome,
		Latency: latency,
		Started: a.startedAt,
		At:      now,
		Leaving: a.leaving,
	})
}
