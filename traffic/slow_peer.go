package traffic

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/link"
)

// connMemoryShare is the share of the memory for responses that the requests of one connection
// may hold. Only HTTP/2 has several requests on a connection.
const connMemoryShare = 0.25

// errSlowTarget means that a target took the body of a request too slowly while the memory for
// bodies was used up.
var errSlowTarget = errors.New("the target reads the request too slowly while the memory for bodies is used up")

// slowPeerReason says why a slow peer was cut off.
type slowPeerReason int

// The reasons. All but slowTarget are about callers that read slowly.
const (
	// slowProcessMemory and slowConnMemory mean that the memory for all responses, or for those
	// of one connection, was used up.
	slowProcessMemory slowPeerReason = iota
	slowConnMemory
	// slowStalled means that the caller took nothing for callerIOTimeout, and slowDeadline that
	// the request's deadline passed while its response was streamed to a slow caller.
	slowStalled
	slowDeadline
	// slowTarget means that the memory for the bodies of requests was used up.
	slowTarget
	slowPeerReasons
)

// slowPeerTexts are the name of each reason in metrics and its text in log lines.
var slowPeerTexts = [slowPeerReasons]struct{ name, text string }{
	{"process_memory", "the caller reads slowest while the memory for responses is used up"},
	{"connection_memory", "the caller reads slowest while its connection holds the memory for responses that one may have"},
	{"stalled", "the caller has read nothing for " + callerIOTimeout.String()},
	{"deadline", "the caller had not read the response when the deadline passed"},
	{"target_memory", errSlowTarget.Error()},
}

// SlowPeersCutByReason calls observe with each reason and the number of slow callers and targets
// that were cut off because of it.
func (c *GatewayCounters) SlowPeersCutByReason(observe func(reason string, count int64)) {
	for i, text := range slowPeerTexts {
		observe(text.name, c.slowPeersCut[i].Load())
	}
}

// slowPeers bounds what peers that receive slowly hold. A nil slowPeers bounds nothing.
type slowPeers struct {
	// responses and bodies are the transfers to callers and to targets.
	responses, bodies *caller.Transfers
	connLimit         int64
}

func newSlowPeers(responses, bodies *caller.Memory) *slowPeers {
	return &slowPeers{
		responses: caller.NewTransfers(responses, time.Now),
		bodies:    caller.NewTransfers(bodies, time.Now),
		connLimit: max(int64(connMemoryShare*float64(responses.Limit())), maxConcurrentStreams*responseAllowance),
	}
}

// responseMemory returns the memory for the responses to a request: a part for its connection, if
// that is known.
func (s *slowPeers) responseMemory(r *http.Request, responses *caller.Memory) *caller.Memory {
	c := callerConnOf(r.Context())
	if s == nil || c == nil {
		return responses
	}
	return c.responseMemory(responses, s.connLimit)
}

// beginDelivery registers a response that the writer is about to send.
func (s *slowPeers) beginDelivery(w *callerWriter, held *caller.Reservation) *caller.Transfer {
	if s == nil {
		return nil
	}
	w.transferBegan = time.Now()
	w.transfer = s.responses.Begin(held, func(caller.AbortReason) { w.abort() })
	return w.transfer
}

// slowCallerReason returns why a delivery that ended with an error of its writer or of its context
// was cut off. It returns false if that was not because of the caller's pace.
func slowCallerReason(ctx context.Context, w *callerWriter) (slowPeerReason, bool) {
	switch {
	case w.transfer == nil:
		return 0, false
	case w.transfer.Aborted() == caller.ProcessMemory:
		return slowProcessMemory, true
	case w.transfer.Aborted() == caller.ConnectionMemory:
		return slowConnMemory, true
	case w.stalled:
		return slowStalled, true
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && w.mostlyWaited():
		return slowDeadline, true
	default:
		return 0, false
	}
}

// abortDelivery ends the connection of a response that was not delivered as a whole. The target is
// not at fault if the caller was slow or has left.
func (g *Gateway) abortDelivery(ctx context.Context, req *gatewayRequest, a *gatewayAttempt, err error) {
	outcome := link.Broken
	reason, slow := slowCallerReason(ctx, req.out)
	if slow || errors.Is(ctx.Err(), context.Canceled) {
		outcome = link.Canceled
	}
	g.finishAttempt(a, outcome, err)
	if slow || a.complete {
		req.served = a.response.StatusCode < http.StatusInternalServerError // the service has done its part
	}
	if slow {
		g.counters.slowPeersCut[reason].Add(1)
		d := req.newDecision(SlowCallerCut)
		d.Target, d.Outcome, d.Status, d.Reason = a.target.Key.Name, a.outcome, a.response.StatusCode, slowPeerTexts[reason].text
		g.cfg.Log(d)
		req.out.abort()
	}
	abortResponse(req.inbound)
}

// upload is the body of a request on its way to a target.
type upload struct {
	data     *segmentReader
	transfer *caller.Transfer
	// lastRead is the number of bytes that the transport is writing.
	lastRead int
	// mu guards data, ended and release. ended is set once the transport has written the whole body or
	// has given up; release is called then.
	mu      sync.Mutex
	ended   bool
	release func()
}

// beginUpload makes an outbound request with the body send it as a transfer, unless it is short:
// the kernel takes short ones at once. cancel ends the attempt. It returns nil for a short body.
func (s *slowPeers) beginUpload(out *http.Request, b *body, cancel context.CancelCauseFunc) *upload {
	if s == nil || b.data.size <= bodyChunkBytes {
		return nil
	}
	u := &upload{data: b.data.reader()}
	u.transfer = s.bodies.Begin(b.held, func(caller.AbortReason) { cancel(errSlowTarget) })
	out.Body = u
	return u
}

// Read implements io.Reader. Between two reads the transport writes to the target.
func (u *upload) Read(p []byte) (int, error) {
	u.transfer.EndWrite(u.lastRead)
	n, err := u.take(p[:min(len(p), bodyChunkBytes)])
	if u.lastRead = n; err != nil {
		u.end()
		return 0, err
	}
	u.transfer.BeginWrite()
	return n, nil
}

// take copies the next bytes of the body.
func (u *upload) take(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.data.Read(p)
}

// Close implements io.Closer. The transport calls it when it has written the body or has given up.
func (u *upload) Close() error {
	u.end()
	return nil
}

func (u *upload) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return
	}
	u.ended, u.data = true, &segmentReader{}
	u.transfer.End()
	if u.release != nil {
		u.release()
	}
}

// whenEnded calls release once the upload has ended, at once if it has. It must not block.
func (u *upload) whenEnded(release func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		release()
		return
	}
	u.release = release
}

// wasSlow reports whether the upload was aborted because of the target's pace.
func (u *upload) wasSlow() bool { return u != nil && u.transfer.Aborted() != caller.NotAborted }

// freeBodyOf releases the memory for the body of a request that has its final response, once no
// attempt sends it any more. A slow caller would otherwise hold it. The head of a response may come
// before the transport has read the end of the body.
func (d *dispatcher) freeBodyOf(a *gatewayAttempt) {
	if d.gateway.slowPeers == nil || d.inFlight > 0 || !a.complete && a.upload == nil {
		return
	}
	held := d.request.body.held
	d.request.body.data, a.response.Request = segments{}, nil // the second refers to the body, too
	if a.complete {
		held.Free()
		return
	}
	a.upload.whenEnded(held.Free)
}

// readyResult returns a whole response that arrived before the deadline passed, or nil.
func (d *dispatcher) readyResult() *gatewayAttempt {
	for errors.Is(d.ctx.Err(), context.DeadlineExceeded) || d.gateway.shutdown.hasEnded() {
		select {
		case a := <-d.results:
			final := d.handleResult(a)
			if final != nil && final.complete {
				return final
			}
			if final != nil {
				d.gateway.discardResponse(final)
			}
		default:
			return nil
		}
	}
	return nil
}
