package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/target"
)

// picked counts the requests that a target gets of n requests within a second, which end at
// once.
func picked(s *Service, t *Target, n int, q Request) int {
	random, got := rng(), 0
	for i := range n {
		q.Now = epoch.Add(time.Duration(i) * time.Second / time.Duration(n))
		chosen := s.Routing(testFloor).Pick(random, q).Target
		if chosen == t {
			got++
		}
		if chosen != nil {
			chosen.End()
		}
	}
	return got
}

// notices are what a target may say so that it gets no request in the second after epoch.
var notices = map[string]target.Notice{
	"leaving": {Leaving: true},
	"paused":  {RetryAfter: 2 * time.Second},
	"limited": {Limit: 0.1},
}

// TestNoticeHoldsForOrdinaryRequests sends requests that have tried all other targets.
func TestNoticeHoldsForOrdinaryRequests(t *testing.T) {
	is := is.New(t)
	for _, notice := range notices {
		s := newService(4)
		said := s.Targets()[1]
		retry := Request{Tried: []*Target{s.Targets()[0], s.Targets()[2], s.Targets()[3]}}
		is.Equal(picked(s, said, 200, retry), 200)
		said.ObserveNotice(notice, epoch, epoch)
		takeAllowance(said)
		is.Equal(picked(s, said, 200, retry), 0)
	}
}

// takeAllowance takes the requests that a limited target still accepts.
func takeAllowance(t *Target) {
	for t.throttle.Take(epoch, 1) && t.RateLimit() != target.Unlimited {
	}
}

func TestNoticeHoldsForTrialRequests(t *testing.T) {
	is := is.New(t)
	for _, notice := range notices {
		s := newService(4)
		suspect := s.Targets()[1]
		fail(s, suspect, time.Millisecond, epoch.Add(-3*time.Second))
		is.True(picked(s, suspect, 200, Request{Retryable: true, Idempotent: true}) > 0)
		suspect.ObserveNotice(notice, epoch, epoch)
		takeAllowance(suspect)
		is.Equal(picked(s, suspect, 200, Request{Retryable: true, Idempotent: true}), 0)
	}
}

// TestNoticeHoldsForTheFloor keeps all targets in use, as while many requests fail.
func TestNoticeHoldsForTheFloor(t *testing.T) {
	is := is.New(t)
	for _, notice := range notices {
		s := newService(4)
		s.keepAllInUse.Store(true)
		said := s.Targets()[1]
		said.ObserveNotice(notice, epoch, epoch)
		takeAllowance(said)
		is.Equal(picked(s, said, 200, Request{}), 0)
		for _, other := range s.Targets() {
			fail(s, other, time.Millisecond, epoch)
		}
		is.Equal(picked(s, said, 200, Request{}), 0) // only suspects are left
	}
}

func TestRequestsAreRefusedAtOnceWhenNoTargetAcceptsAny(t *testing.T) {
	is := is.New(t)
	s := newService(3)
	demand := Demand{Objective: time.Hour, Now: epoch}
	for i, x := range s.Targets() {
		is.True(s.Routing(testFloor).Admit(demand))
		x.ObserveNotice(target.Notice{RetryAfter: time.Duration(i+2) * time.Second}, epoch, epoch)
	}
	is.True(!s.Routing(testFloor).Admit(demand))
	in, ok := s.Routing(testFloor).AcceptsIn(epoch)
	is.True(ok)
	is.Equal(in, 2*time.Second)
	demand.Now = epoch.Add(2 * time.Second)
	is.True(s.Routing(testFloor).Admit(demand))
}

func TestPauseIsNotShortenedByALaterNotice(t *testing.T) {
	is := is.New(t)
	s := newService(2)
	x := s.Targets()[0]
	x.ObserveNotice(target.Notice{RetryAfter: 3 * time.Second}, epoch, epoch)
	x.ObserveNotice(target.Notice{RetryAfter: time.Second}, epoch, epoch)
	x.ObserveNotice(target.Notice{}, epoch, epoch)
	is.True(!s.Routing(testFloor).accepts(x, epoch.Add(2900*time.Millisecond)))
	is.True(s.Routing(testFloor).accepts(x, epoch.Add(3*time.Second)))
}

// TestNoticeOutlastsALapsedRow lets the row of a target lapse and come back with other slots.
func TestNoticeOutlastsALapsedRow(t *testing.T) {
	is := is.New(t)
	for _, notice := range notices {
		s := NewService("orders", location())
		row := discovery.Target{ID: "t", Born: 7, Service: "orders", Address: "10.0.0.1:80", Zone: "a", Slots: 4}
		s.Apply([]discovery.Target{row})
		s.Targets()[0].ObserveNotice(notice, epoch, epoch)
		takeAllowance(s.Targets()[0])
		s.Apply(nil)
		row.Slots = 8
		s.Apply([]discovery.Target{row})
		is.True(pick(s, Request{Now: epoch}) == nil)
		row.Born++ // another incarnation has said nothing
		s.Apply([]discovery.Target{row})
		is.True(pick(s, Request{Now: epoch}) != nil)
	}
}
