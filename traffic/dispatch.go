package traffic

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/link"
)

// Errors of an attempt.
var (
	// errDeadline means that the deadline passed before the dispatch.
	errDeadline = errors.New("the deadline passed before the request was sent")
	// errCrossed means that the answer belongs to another request.
	errCrossed = errors.New("the answer belongs to another request")
	// errSwitched means that the target left HTTP without having been asked.
	errSwitched = errors.New("the target switched to another protocol")
)

// attempt is one dispatch of a request to a target.
type attempt struct {
	handler  *Handler
	service  string
	link     *link.Link
	slot     int
	started  time.Time
	outcome  link.Outcome
	response *http.Response
	conn     *connTrace
	// leaving is set when the answer carried the target's drain sign.
	leaving bool
	cancel  context.CancelFunc
}

// dispatch sends the request to one target. The attempt is nil when the
// request was not sent at all.
func (h *Handler) dispatch(ctx context.Context, req *request, tried map[*link.Link]bool) (*attempt, error) {
	if err := h.awaitSigns(ctx, req); err != nil {
		return nil, err
	}
	l, slot, err := h.acquire(ctx, req, tried)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{handler: h, link: l, service: req.match.Service, slot: slot, started: time.Now(), cancel: cancel}
	conn := &connTrace{}
	a.conn = conn
	out := outbound(httptrace.WithClientTrace(ctx, conn.clientTrace(req.interim)), req, l.Address)
	req.prepare(ctx, out)
	resp, err := h.cfg.Transport.RoundTrip(out)
	if err == nil {
		if err = req.checkAnswer(resp, conn); err != nil {
			_ = resp.Body.Close()
		}
	}
	if err != nil {
		a.outcome = classify(ctx, err, conn)
		a.finish()
		return a, errors.Wrapf(err, "target %s", l.Target)
	}
	a.response = resp
	sign := req.routing.Contract.Leaving.Header
	a.leaving = sign != "" && resp.Header.Get(sign) != ""
	l.Answered(slot)
	if resp.StatusCode >= http.StatusInternalServerError {
		a.outcome = link.Failed
	}
	return a, nil
}

// prepare sets what the target gets besides the caller's own headers.
func (req *request) prepare(ctx context.Context, out *http.Request) {
	out.Header.Del(headerForwarded)
	out.Header.Del(headerFleetToken)
	out.Header.Set(HeaderRequestID, req.id.String())
	if deadline, ok := ctx.Deadline(); ok {
		setTimeLeft(out.Header, HeaderDeadline, deadline, time.Now())
	}
	switch {
	case req.body == nil:
	case req.match.Route.Idempotent:
		req.body.replayable(out)
	default:
		req.body.once(out)
	}
}

// checkAnswer refuses an answer by its head.
func (req *request) checkAnswer(resp *http.Response, conn *connTrace) error {
	switch {
	case !req.ownAnswer(resp, conn):
		return errCrossed
	case resp.StatusCode < http.StatusOK:
		return errSwitched
	default:
		return nil
	}
}

// ownAnswer reports whether an answer can be this request's own. A target that
// echoes the request id must echo the right one, and no answer can have been
// received before its request was sent.
func (req *request) ownAnswer(resp *http.Response, conn *connTrace) bool {
	if echo := resp.Header.Get(HeaderRequestID); echo != "" && echo != req.id.String() {
		return false
	}
	return !conn.respondedBeforeSend()
}

// classify tells what a transport error means.
func classify(ctx context.Context, err error, conn *connTrace) link.Outcome {
	var op *net.OpError
	switch {
	case isCallerError(err):
		return link.Canceled
	case errors.As(err, &op) && op.Op == "dial", conn.nothingSent():
		return link.ConnectFailed
	case refusedStream(err):
		return link.Refused
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return link.TimedOut
	case errors.Is(ctx.Err(), context.Canceled):
		return link.Canceled
	default:
		return link.Failed
	}
}

// refusedStream reports whether HTTP/2 defines that the request was not
// processed (RFC 9113, 8.7): the stream was refused, or lies beyond the last
// one of a GOAWAY. The transport exports no type for these errors.
func refusedStream(err error) bool {
	text := err.Error()
	return strings.Contains(text, "REFUSED_STREAM") ||
		strings.Contains(text, "http2: Transport received Server's graceful shutdown GOAWAY")
}

// shed reports whether the target turned the request away for its load.
func (a *attempt) shed() bool {
	if a.outcome == link.Refused {
		return true
	}
	r := a.response
	return r != nil && r.StatusCode == http.StatusServiceUnavailable && r.Header.Get("Retry-After") != ""
}

// slotEnd tells what the attempt says of the load of the targets.
func (a *attempt) slotEnd() caller.SlotEnd {
	switch {
	case a.shed():
		return caller.SlotShed
	case a.outcome == link.TimedOut:
		return caller.SlotLate
	default:
		return caller.SlotUsed
	}
}

// certainlyNotRun reports whether no byte of the request can have reached the
// application.
func (a *attempt) certainlyNotRun() bool {
	return a == nil || a.outcome == link.ConnectFailed || a.outcome == link.Refused
}

// finish frees the slot and reports the observation.
func (a *attempt) finish() {
	a.cancel()
	a.link.Release(a.slot)
	now := time.Now()
	latency := now.Sub(a.started)
	a.conn.finish(latency, a.response)
	a.handler.state(a.service).gate.Leave(now, latency, a.slotEnd())
	a.link.ObserveOutcome(a.outcome, latency)
	a.link.ObserveReach(a.outcome, now)
	a.handler.cfg.Observe(link.Observation{
		Target:  a.link.Target,
		Outcome: a.outcome,
		Latency: latency,
		Started: a.started,
		At:      now,
		Leaving: a.leaving,
	})
}
