package traffic

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/service"
)

// serviceState is what traffic keeps of one service from request to request.
type serviceState struct {
	gate    caller.AdmissionQueue
	retries *caller.RetryBudget
}

// state returns the state of a service.
func (h *Handler) state(service string) *serviceState {
	if s, ok := h.states.Load(service); ok {
		return s.(*serviceState)
	}
	s, _ := h.states.LoadOrStore(service, &serviceState{retries: caller.NewRetryBudget()})
	return s.(*serviceState)
}

// Waiting returns the number of requests that wait for a slot.
func (h *Handler) Waiting() int64 {
	var total int64
	h.states.Range(func(_, s any) bool {
		total += int64(s.(*serviceState).gate.Queued())
		return true
	})
	return total
}

// SnapshotChanged lets waiting requests use the newest snapshot. The control
// thread calls it from a goroutine of its own after each publication.
func (h *Handler) SnapshotChanged() {
	h.changes.announce()
	snap := h.cfg.Snapshot()
	h.states.Range(func(service, s any) bool {
		if snap.Services[service.(string)] == nil {
			h.states.Delete(service)
			return true
		}
		s.(*serviceState).gate.GrantSlots(time.Now())
		return true
	})
}

// random is a generator that traffic goroutines share.
var random = rand.New(sharedSource{})

// sharedSource is the runtime's source of randomness, which is safe for
// concurrent use.
type sharedSource struct{}

// Uint64 implements rand.Source.
func (sharedSource) Uint64() uint64 { return rand.Uint64() }

// acquire takes a slot on a link, waiting for one within the contract's
// bounds. It never takes a tried link while the service has another one.
func (h *Handler) acquire(ctx context.Context, req *request, tried map[*link.Link]bool) (*link.Link, int, error) {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	queue := req.routing.Contract.Queue
	var l *link.Link
	var slot int
	err := h.state(req.match.Service).gate.Acquire(ctx, caller.AdmissionRequest{
		Account:  req.account,
		Now:      now,
		Deadline: deadline,
		Limits:   caller.QueueLimits{Length: queue.Length, Wait: queue.Wait},
		TryAcquire: func() (ok bool) {
			l, slot, ok = h.pick(req, tried)
			return ok
		},
	})
	if err != nil {
		return nil, 0, err
	}
	if ctx.Err() != nil {
		l.Release(slot)
		h.state(req.match.Service).gate.Release(time.Now(), 0, caller.SlotAccepted)
		return nil, 0, errDeadline
	}
	return l, slot, nil
}

// pick takes a slot by the newest snapshot.
func (h *Handler) pick(req *request, tried map[*link.Link]bool) (*link.Link, int, bool) {
	routing := h.cfg.Snapshot().Services[req.match.Service]
	if routing == nil {
		return nil, 0, false
	}
	for _, l := range routing.Links {
		if !tried[l] {
			return routing.Pick(random, service.Attempt{Now: time.Now(), Tried: tried, DeadlineNear: req.pressed})
		}
	}
	return routing.Pick(random, service.Attempt{Now: time.Now(), DeadlineNear: req.pressed})
}

// failure is the answer to a request that failed.
func failure(result caller.Result, err error) *refusal {
	var queue *caller.Refusal
	switch {
	case errors.As(err, &queue):
		f := answer(http.StatusServiceUnavailable, result, err.Error())
		f.retryAfter = max(queue.RetryAfter, time.Second)
		return f
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, errDeadline):
		return answer(http.StatusGatewayTimeout, result, err.Error())
	case errors.Is(err, errBodyTooLarge):
		return answer(http.StatusRequestEntityTooLarge, result, err.Error())
	case errors.Is(err, errBodyBroken):
		return answer(http.StatusBadRequest, result, err.Error())
	default:
		return answer(http.StatusBadGateway, result, err.Error())
	}
}
