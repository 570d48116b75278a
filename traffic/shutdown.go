package traffic

import (
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/host"
)

// shutdown tells the requests of a front end by when they must end because their host does.
type shutdown struct {
	// plan returns the plan of the host's shutdown; nil unless it shuts down.
	plan func() *host.ShutdownPlan
	// work returns how long requests of a service take at its targets.
	work     func(service string) host.Work
	arriving arrivingBodies
	// ended is closed when requests must end.
	ended chan struct{}
}

func newShutdown(plan func() *host.ShutdownPlan, work func(service string) host.Work) *shutdown {
	return &shutdown{
		plan: plan, work: work, ended: make(chan struct{}),
		arriving: arrivingBodies{bodies: make(map[*callerWriter]*arrivingBody)},
	}
}

// accepts reports whether a request to a service that arrives now is accepted, if it may take until
// the deadline.
func (s *shutdown) accepts(service string, deadline time.Time) bool {
	plan := s.plan()
	return plan == nil || plan.Accepts(time.Now(), deadline, s.work(service))
}

// sendBy returns when a request to a service must have been sent to a target; the zero time unless the
// host shuts down.
func (s *shutdown) sendBy(service string, deadline time.Time) time.Time {
	plan := s.plan()
	if plan == nil {
		return time.Time{}
	}
	return plan.SendBy(deadline, s.work(service))
}

// tooLateToSend reports whether the response of a target would come after the end of the host. The
// target would do the work, and the caller could not know whether it did.
func (s *shutdown) tooLateToSend(service string, deadline time.Time) bool {
	return s.tooLateIn(0, service, deadline)
}

// tooLateIn is like tooLateToSend for a request that is sent after a wait.
func (s *shutdown) tooLateIn(wait time.Duration, service string, deadline time.Time) bool {
	by := s.sendBy(service, deadline)
	return !by.IsZero() && !time.Now().Add(wait).Before(by)
}

// planned must be called after plan has begun to return a plan, or another one.
func (s *shutdown) planned() {
	s.arriving.mu.Lock()
	defer s.arriving.mu.Unlock()
	for w, b := range s.arriving.bodies {
		s.setBodyDeadline(w, b)
	}
}

// end ends the requests. It must be called at most once.
func (s *shutdown) end() { close(s.ended) }

// hasEnded reports whether end was called.
func (s *shutdown) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// arrivingBodies holds the requests whose bodies are being read, so that a shutdown can end the reads.
type arrivingBodies struct {
	mu     sync.Mutex
	bodies map[*callerWriter]*arrivingBody
}

// arrivingBody is the body of a request to a service with a deadline. It must have arrived at by.
type arrivingBody struct {
	service      string
	deadline, by time.Time
}

// beginBody begins the reading of a request's body. It ends at the deadline, or when the request must
// be sent because the host shuts down. endBody must be called afterwards.
func (s *shutdown) beginBody(w *callerWriter, service string, deadline time.Time) {
	s.arriving.mu.Lock()
	defer s.arriving.mu.Unlock()
	b := &arrivingBody{service: service, deadline: deadline}
	s.arriving.bodies[w] = b
	s.setBodyDeadline(w, b)
}

// setBodyDeadline expects the caller to hold the lock of arriving.
func (s *shutdown) setBodyDeadline(w *callerWriter, b *arrivingBody) {
	b.by = b.deadline
	if by := s.sendBy(b.service, b.deadline); !by.IsZero() && by.Before(b.by) {
		b.by = by
	}
	w.setBodyDeadline(b.by)
}

// endBody ends the reading of a request's body. It reports whether the time for that was cut short by
// the shutdown and is over.
func (s *shutdown) endBody(w *callerWriter) (cutShort bool) {
	s.arriving.mu.Lock()
	defer s.arriving.mu.Unlock()
	b := s.arriving.bodies[w]
	delete(s.arriving.bodies, w)
	return b.by.Before(b.deadline) && !time.Now().Before(b.by)
}

// shutdownText is why a stopping host refuses a request.
const shutdownText = "this host shuts down"

// refuseShutdown refuses a request because this host shuts down. Its caller has other hosts, so it
// need not wait for long; the jitter spreads requests that are refused at the same time.
func refuseShutdown() *refusal {
	return refuseFor(caller.SpreadRetryAfter(defaultRetryAfter, random), shutdownText)
}
