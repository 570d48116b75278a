package traffic

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/internal/wait"
)

// errHostEnds means that this host ended before the target had responded.
var errHostEnds = errors.New("this host shuts down before the target has answered")

// handlerShutdown is the shutdown of a Handler.
type handlerShutdown struct {
	*shutdown
	// ending ends when requests must end.
	ending context.Context
	cancel context.CancelFunc
	// reviewing starts the review of the queues once.
	reviewing sync.Once
}

func newHandlerShutdown(h *Handler) *handlerShutdown {
	plan := h.cfg.ShutdownPlan
	if plan == nil {
		plan = func() *host.ShutdownPlan { return nil }
	}
	s := &handlerShutdown{shutdown: newShutdown(plan, h.work)}
	s.ending, s.cancel = context.WithCancel(context.Background())
	return s
}

// ShutdownPlanned must be called after ShutdownPlan has begun to return a plan. Requests that wait
// for a slot, and the reading of bodies, end by it.
func (h *Handler) ShutdownPlanned() {
	h.shutdown.planned()
	h.shutdown.reviewing.Do(func() { go h.reviewQueues() })
}

// reviewQueues refuses the waiting requests that have become too late to be sent, until the requests
// are ended.
func (h *Handler) reviewQueues() {
	for wait.For(h.shutdown.ending, reviewInterval) {
		h.serviceStates.Range(func(_, s any) bool {
			s.(*serviceState).queue.GrantSlots(time.Now())
			return true
		})
	}
}

// EndRequests ends the requests that wait for a slot, a target or another host. A response that has
// begun breaks off. It must be called at most once.
func (h *Handler) EndRequests() {
	h.shutdown.end()
	h.shutdown.cancel()
}

// attemptContext returns the context of a request's attempts, which ends at its deadline and when requests
// must end.
func (s *handlerShutdown) attemptContext(ctx context.Context, req *request) (context.Context, context.CancelFunc) {
	ctx, cancelDeadline := context.WithDeadline(ctx, req.deadline())
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.ending, func() { cancel(errHostEnds) })
	return ctx, func() {
		stop()
		cancel(nil)
		cancelDeadline()
	}
}

// tooLate reports whether a request that is sent after a wait would get its response after the end of
// this host.
func (s *handlerShutdown) tooLate(req *request, wait time.Duration) bool {
	return s.tooLateIn(wait, req.match.Service, req.deadline())
}

// errTooLateToSend is the refusal of a request that must not be sent any more.
var errTooLateToSend = &caller.Refusal{Reason: caller.HostStops}

// refuseShutdown refuses a request that was not dispatched.
func (h *Handler) refuseShutdown(r *http.Request, account string) *refusal {
	refused := h.refuseEarly(r, account, http.StatusServiceUnavailable, shutdownText)
	refused.retryAfter = defaultRetryAfter
	return refused
}

// work returns how long requests of a service take at its targets.
func (h *Handler) work(service string) host.Work { return h.serviceState(service).work.get() }

// workTimes averages how long the successful requests of a service take.
type workTimes struct {
	mu                 sync.Mutex
	count              int
	average, deviation float64
}

// The number of requests from which an average is used, and over which it is moved.
const (
	minWorkTimes     = 16
	averageWorkTimes = 32
)

func (w *workTimes) observe(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
	weight := 1 / float64(min(w.count, averageWorkTimes))
	w.average += (float64(took) - w.average) * weight
	w.deviation += (math.Abs(float64(took)-w.average) - w.deviation) * weight
}

func (w *workTimes) get() host.Work {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count < minWorkTimes {
		return host.Work{}
	}
	return host.Work{Typical: time.Duration(w.average), Deviation: time.Duration(w.deviation)}
}
