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
	gate    caller.Gate
	retries *caller.RetryBudget
}

// state returns the state of a service.
func (h *Handler) serviceState(service string) *serviceState {
	if s, ok := h.serviceStates.Load(service); ok {
		return s.(*serviceState)
	}
	s, _ := h.serviceStates.LoadOrStore(service, &serviceState{retries: caller.NewRetryBudget()})
	return s.(*serviceState)
}

// Waiting returns the number of requests that wait for a slot.
func (h *Handler) Waiting() int64 {
	var total int64
	h.serviceStates.Range(func(_, s any) bool {
		total += int64(s.(*serviceState).gate.Waiting())
		return true
	})
	return total
}

// SnapshotChanged lets waiting requests use the newest snapshot. The control
// thread calls it from a goroutine of its own after each publication.
func (h *Handler) SnapshotChanged() {
	h.snapshotChanges.notify()
	snap := h.cfg.Snapshot()
	h.serviceStates.Range(func(service, s any) bool {
		if snap.Services[service.(string)] == nil {
			h.serviceStates.Delete(service)
			return true
		}
		s.(*serviceState).gate.Kick(time.Now())
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
func (h *Handler) acquireSlot(ctx context.Context, req *request, tried map[*link.Link]bool) (*link.Link, int, error) {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	queue := req.routing.Contract.Queue
	var l *link.Link
	var slot int
	err := h.serviceState(req.match.Service).gate.Enter(ctx, caller.Entry{
		Account:  req.account,
		Now:      now,
		Deadline: deadline,
		Limits:   caller.QueueLimits{Length: queue.Length, Wait: queue.Wait},
		Take: func() (ok bool) {
			l, slot, ok = h.pickLink(req, tried)
			return ok
		},
	})
	if err != nil {
		return nil, 0, err
	}
	if ctx.Err() != nil {
		l.Release(slot)
		h.serviceState(req.match.Service).gate.Leave(time.Now(), 0, caller.SlotUsed)
		return nil, 0, errDeadlinePassed
	}
	return l, slot, nil
}

// pick takes a slot by the newest snapshot.
func (h *Handler) pickLink(req *request, tried map[*link.Link]bool) (*link.Link, int, bool) {
	routing := h.cfg.Snapshot().Services[req.match.Service]
	if routing == nil {
		return nil, 0, false
	}
	for _, l := range routing.Links {
		if !tried[l] {
			return routing.Pick(random, service.Attempt{Now: time.Now(), Tried: tried, Pressed: req.shortOfTime})
		}
	}
	return routing.Pick(random, service.Attempt{Now: time.Now(), Pressed: req.shortOfTime})
}

// failure is the answer to a request that failed.
func failureResponse(result caller.Result, err error) *refusal {
	var queue *caller.Refusal
	switch {
	case errors.As(err, &queue):
		f := newRefusal(http.StatusServiceUnavailable, result, err.Error())
		f.retryAfter = max(queue.RetryAfter, time.Second)
		return f
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, errDeadlinePassed):
		return newRefusal(http.StatusGatewayTimeout, result, err.Error())
	case errors.Is(err, errBodyTooLarge):
		return newRefusal(http.StatusRequestEntityTooLarge, result, err.Error())
	case errors.Is(err, errBodyBroken):
		return newRefusal(http.StatusBadRequest, result, err.Error())
	default:
		return newRefusal(http.StatusBadGateway, result, err.Error())
	}
}
