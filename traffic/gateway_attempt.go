package traffic

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
)

// errEncoded means that an answer is not the target's own body.
var errEncoded = errors.New("the answer is encoded though no encoding was asked for")

// errNotRun means that the target states that it did not run the request.
var errNotRun = errors.New("the target refused the request unprocessed")

// errOtherTarget means that another target has the address now.
var errOtherTarget = errors.New("another target answers at this address")

// sending is one attempt of a passage at one target.
type sending struct {
	target   *pool.Target
	started  time.Time
	outcome  link.Outcome
	err      error
	response *http.Response
	conn     *connUse
	// held is the start of the answer, or all of it when whole is set.
	held  []byte
	whole bool
	ended bool
}

// send sends a request to a target and holds the start of its answer. A sending
// that has an error or a whole answer has ended.
func (g *Gateway) send(ctx context.Context, p *passage, t *pool.Target) *sending {
	s := &sending{target: t, started: time.Now()}
	g.cfg.Started()
	overdue := g.watch(s, p)
	defer overdue()
	conn := &connUse{}
	s.conn = conn
	out := newOutbound(httptrace.WithClientTrace(ctx, conn.trace(p.interim)), p.in, t.Address)
	out.Header.Set(g.cfg.Headers.ExpectedTarget, t.Key.Name)
	setTimeLeft(out.Header, g.cfg.Headers.Deadline, p.due, s.started)
	p.body.once(out)
	resp, err := g.cfg.Transport.RoundTrip(out)
	if err != nil {
		g.end(s, classifySent(ctx, err, conn), err)
		return s
	}
	s.response = resp
	if outcome, err := g.screenAnswer(p, resp, conn); err != nil {
		_ = resp.Body.Close()
		g.end(s, outcome, err)
		return s
	}
	s.held, s.whole, err = holdAnswer(resp)
	if err != nil {
		_ = resp.Body.Close()
		g.end(s, classifyCut(ctx), err)
		return s
	}
	if s.whole {
		_ = resp.Body.Close()
		g.end(s, answered(resp), nil)
	}
	return s
}

// answered returns the outcome of a whole answer. A target that ran out of the
// caller's time has not failed.
func answered(resp *http.Response) link.Outcome {
	if resp.StatusCode == http.StatusGatewayTimeout {
		return link.TimedOut
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return link.Failed
	}
	return link.Succeeded
}

// classifySent tells what a transport error means. A connection that breaks
// after the request was sent is told apart from a target's own failure.
func classifySent(ctx context.Context, err error, conn *connUse) link.Outcome {
	if o := classify(ctx, err, conn); o != link.Failed {
		return o
	}
	return link.Broken
}

// classifyCut tells what an answer that ended early means.
func classifyCut(ctx context.Context) link.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return link.TimedOut
	case ctx.Err() != nil:
		return link.Canceled
	default:
		return link.Broken
	}
}

// screenAnswer refuses an answer by its head.
func (g *Gateway) screenAnswer(p *passage, resp *http.Response, conn *connUse) (link.Outcome, error) {
	echo := resp.Header.Get(g.cfg.Headers.RequestID)
	switch {
	case echo != "" && echo != p.id, conn.answeredEarly():
		return link.Failed, errCrossed
	case resp.StatusCode < http.StatusOK:
		return link.Failed, errSwitched
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return link.ConnectFailed, errOtherTarget
	case resp.Header.Get(g.cfg.Headers.NotRun) != "":
		return link.Refused, errNotRun
	case resp.Header.Get("Content-Encoding") != "":
		return link.Failed, errEncoded
	default:
		return link.Succeeded, nil
	}
}

// end counts the end of a sending and reports it.
func (g *Gateway) end(s *sending, o link.Outcome, err error) {
	if s.ended {
		return
	}
	s.ended = true
	s.outcome, s.err = o, err
	now := time.Now()
	s.conn.ended(now.Sub(s.started), s.response)
	s.target.End()
	s.target.ObserveReach(o, now)
	g.counters.sent(o)
	g.cfg.Observe(fleet.Observation{Target: s.target, Outcome: o, Latency: now.Sub(s.started)})
}

// overdueFactor is how many times the usual latency a request may be open before
// it counts against its target.
const overdueFactor = 4

// watch reports a request that stays open too long. The returned function ends
// the watch.
func (g *Gateway) watch(s *sending, p *passage) (stop func()) {
	routing := g.cfg.Snapshot().Services[p.service]
	if routing == nil || routing.Typical() == 0 {
		return func() {}
	}
	t := time.AfterFunc(overdueFactor*routing.Typical(), func() {
		s.target.ObserveReach(link.Overdue, time.Now())
		g.cfg.Observe(fleet.Observation{Target: s.target, Outcome: link.Overdue, Latency: time.Since(s.started)})
	})
	return func() { t.Stop() }
}

// notRun reports whether the request has certainly not run at the target.
func (s *sending) notRun() bool {
	return s.outcome == link.ConnectFailed || s.outcome == link.Refused
}

// arrived reports whether the target has got the request.
func (s *sending) arrived() bool { return s.outcome != link.ConnectFailed || s.response != nil }

// success reports whether there is an answer that is no server error.
func (s *sending) success() bool {
	return s.err == nil && s.response.StatusCode < http.StatusInternalServerError
}

// deliver passes an answer on unchanged. An answer that breaks off aborts the
// connection to the caller.
func (g *Gateway) deliver(w http.ResponseWriter, s *sending) {
	header := w.Header()
	answerHeaders(header, s.response)
	if s.whole {
		w.WriteHeader(s.response.StatusCode)
		_, _ = w.Write(s.held) // a caller that has gone needs no answer
		writeTrailers(w, s.response)
		return
	}
	w.WriteHeader(s.response.StatusCode)
	err := streamAnswer(w, s.response, s.held)
	_ = s.response.Body.Close()
	if err != nil {
		g.end(s, link.Broken, err)
		panic(http.ErrAbortHandler)
	}
	g.end(s, answered(s.response), nil)
}

// discard gives up an answer that is not passed on.
func (g *Gateway) discard(s *sending) {
	if s.ended {
		return
	}
	_ = s.response.Body.Close()
	g.end(s, link.Canceled, nil)
}
