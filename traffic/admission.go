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

// serviceState holds the state that all requests to a service share.
type serviceState struct {
	queue   caller.AdmissionQueue
	retries *caller.RetryBudget
	work    workTimes
}

// serviceState returns the state of a service and creates it on the first call.
func (h *Handler) serviceState(service string) *serviceState {
	if s, ok := h.serviceStates.Load(service); ok {
		return s.(*serviceState)
	}
	s, _ := h.serviceStates.LoadOrStore(service, &serviceState{retries: caller.NewRetryBudget()})
	return s.(*serviceState)
}

// Waiting returns the number of requests that are waiting for a slot.
func (h *Handler) Waiting() int64 {
	var total int64
	h.serviceStates.Range(func(_, s any) bool {
		total += int64(s.(*serviceState).queue.Queued())
		return true
	})
	return total
}

// SnapshotChanged makes waiting requests use the latest snapshot, and deletes the
// state of services that no longer exist. It must be called after each publication
// of a snapshot, from a goroutine other than that of the control thread.
func (h *Handler) SnapshotChanged() {
	h.snapshotChanges.notify()
	snap := h.cfg.Snapshot()
	h.serviceStates.Range(func(service, s any) bool {
		if snap.Services[service.(string)] == nil {
			h.serviceStates.Delete(service)
			return true
		}
		s.(*serviceState).queue.GrantSlots(time.Now())
		return true
	})
}

// random is a random number generator that is safe for concurrent use.
var random = rand.New(sharedSource{})

// sharedSource is the global random source of the runtime, which is safe for
// concurrent use.
type sharedSource struct{}

// Uint64 implements rand.Source.
func (sharedSource) Uint64() uint64 { return rand.Uint64() }

// acquireSlot takes a slot on a link. If no slot is free, it waits for one within the
// limits of the contract's queue. It uses a link in tried only if the service has no
// other link.
func (h *Handler) acquireSlot(ctx context.Context, req *request, tried map[*link.Link]bool) (*link.Link, int, error) {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	queue := req.routing.Contract.Queue
	if refused := h.refuseUnaccepted(req, now); refused != nil {
		return nil, 0, refused
	}
	var l *link.Link
	var slot int
	err := h.serviceState(req.match.Service).queue.Acquire(ctx, caller.AdmissionRequest{
		Account:  req.account,
		Now:      now,
		Deadline: deadline,
		Limits:   caller.QueueLimits{Length: queue.Length, Wait: queue.Wait},
		SendBy:   func() time.Time { return h.shutdown.sendBy(req.match.Service, req.deadline()) },
		TryAcquire: func() (ok bool) {
			l, slot, ok = h.pickLink(req, tried)
			return ok
		},
	})
	if err != nil {
		return nil, 0, err
	}
	tooLate := h.shutdown.tooLate(req, 0)
	if ctx.Err() == nil && !tooLate {
		return l, slot, nil
	}
	l.Release(slot)
	h.serviceState(req.match.Service).queue.Release(time.Now(), 0, caller.SlotAccepted)
	if tooLate {
		return nil, 0, errTooLateToSend
	}
	return nil, 0, errDeadlinePassed
}

// refuseUnaccepted returns a refusal if each target of the service has asked for no request at
// present. The request does not wait then: a free slot would be of no use to it.
func (h *Handler) refuseUnaccepted(req *request, now time.Time) error {
	routing := h.cfg.Snapshot().Services[req.match.Service]
	if routing == nil {
		return nil
	}
	in, ok := routing.AcceptsIn(now)
	if len(routing.Links) == 0 || ok && in == 0 {
		return nil
	}
	return &caller.Refusal{Reason: caller.NotAccepted, RetryAfter: in}
}

// pickLink takes a slot on a link of the latest snapshot, if one is free.
func (h *Handler) pickLink(req *request, tried map[*link.Link]bool) (*link.Link, int, bool) {
	routing := h.cfg.Snapshot().Services[req.match.Service]
	if routing == nil {
		return nil, 0, false
	}
	for _, l := range routing.Links {
		if !tried[l] {
			return routing.Pick(random, service.Attempt{Now: time.Now(), Tried: tried, DeadlineNear: req.shortOfTime})
		}
	}
	return routing.Pick(random, service.Attempt{Now: time.Now(), DeadlineNear: req.shortOfTime})
}

// failureResponse returns the response to a request whose last attempt failed with err,
// or that was not sent because of err.
func failureResponse(result caller.Result, err error) *refusal {
	var queueRefusal *caller.Refusal
	switch {
	case errors.As(err, &queueRefusal):
		r := newRefusal(http.StatusServiceUnavailable, result, err.Error())
		r.retryAfter = max(queueRefusal.RetryAfter, time.Second)
		return r
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, errDeadlinePassed), errors.Is(err, errHostEnds):
		return newRefusal(http.StatusGatewayTimeout, result, err.Error())
	case errors.Is(err, errBodyTooLarge):
		return newRefusal(http.StatusRequestEntityTooLarge, result, err.Error())
	case errors.Is(err, errBodyBroken):
		return newRefusal(http.StatusBadRequest, result, err.Error())
	default:
		return newRefusal(http.StatusBadGateway, result, err.Error())
	}
}
