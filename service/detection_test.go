package service

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
)

func TestZoneWithABrokenPathCutsItsLinksAndEjectsNothing(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 6) // hosts 0 and 3 are in zone a
	e.second(healthy)
	for range 5 {
		e.second(func(host int, name string) link.Outcome {
			if host%3 == 0 && name == "checkout-2" {
				return link.TimedOut
			}
			return link.Succeeded
		})
	}
	is.Equal(e.count(StateChanged, target.Ejected), 0)
	for i, h := range e.hosts {
		is.Equal(h.byName["checkout-2"].path.IsCut(), i%3 == 0)
	}
}

func TestRefusalsAreNoFailures(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 3)
	e.second(healthy)
	for range 10 {
		e.second(func(_ int, name string) link.Outcome {
			if name == "checkout-2" {
				return link.Refused
			}
			return link.Succeeded
		})
	}
	is.Equal(len(e.all), 0)
}

func TestShortDeadlineOfACallerIsNoFailure(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 3)
	for range 30 {
		e.second(healthy) // 10 ms each
	}
	for range 100 {
		e.observe(0, "checkout-2", link.TimedOut, 2*time.Millisecond)
	}
	is.Equal(len(e.all), 0)
}

func TestFlappingTargetStaysOutLonger(t *testing.T) {
	is := is.New(t)
	s := New(testContract(6, 12), Place{Zone: "a"}, epoch)
	now := epoch
	failUntilEjected := func() (failures int) {
		for s.State("checkout-2") != target.Ejected {
			s.Observe(link.Observation{
				Target: target.Key{Service: "checkout", Name: "checkout-2"}, Outcome: link.Failed, At: now,
			})
			failures++
		}
		return failures
	}
	out := func() time.Duration {
		begin := now
		for s.State("checkout-2") == target.Ejected {
			now = now.Add(50 * time.Millisecond)
			s.Tick(now)
		}
		return now.Sub(begin)
	}
	first := failUntilEjected()
	firstOut := out()
	is.Equal(s.State("checkout-2"), target.Probation)
	second := failUntilEjected()
	secondOut := out()
	is.True(second < first)
	is.Equal(firstOut, 10*time.Second)
	is.True(secondOut > 19*time.Second)
}

func TestTargetPassesProbation(t *testing.T) {
	is := is.New(t)
	s := New(testContract(6, 12), Place{Zone: "a"}, epoch)
	s.move(s.byName["checkout-2"], target.Ejected, "test", epoch)
	s.Tick(epoch.Add(10 * time.Second))
	is.Equal(s.State("checkout-2"), target.Probation)
	s.Tick(epoch.Add(10*time.Second + probationTime))
	is.Equal(s.State("checkout-2"), target.Active)
}

// learn lets a service learn latencies around the given one.
func learn(s *Service, around time.Duration) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		for _, spec := range s.Contract.Targets {
			latency := time.Duration(float64(around) * (0.5 + rng.Float64()))
			s.Observe(link.Observation{
				Target:  target.Key{Service: "checkout", Name: spec.Name},
				Latency: latency, Started: epoch, At: epoch,
			})
		}
	}
	s.Tick(epoch.Add(time.Second))
}

func TestHangingTargetIsOutBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	s := New(testContract(6, 12), Place{Zone: "a"}, epoch)
	learn(s, 20*time.Millisecond)
	begin := epoch.Add(2 * time.Second)
	for range 4 {
		_, ok := s.Link("checkout-2").Acquire(begin)
		is.True(ok)
		begin = begin.Add(time.Microsecond)
	}
	now := begin
	for s.State("checkout-2") == target.Active && now.Sub(begin) < 2*time.Second {
		now = now.Add(50 * time.Millisecond)
		s.Tick(now)
	}
	is.Equal(s.State("checkout-2"), target.Ejected)
	is.True(now.Sub(begin) < time.Second)
}

func TestSlowTargetIsEjectedAndASlowServiceIsNot(t *testing.T) {
	is := is.New(t)
	for _, all := range []bool{false, true} {
		s := New(testContract(6, 12), Place{Zone: "a"}, epoch)
		learn(s, 20*time.Millisecond)
		ejected := 0
		now := epoch.Add(2 * time.Second)
		for range 100 {
			now = now.Add(50 * time.Millisecond)
			for _, spec := range s.Contract.Targets {
				latency := 20 * time.Millisecond
				if all || spec.Name == "checkout-2" {
					latency = 200 * time.Millisecond
				}
				for _, tr := range s.Observe(link.Observation{
					Target:  target.Key{Service: "checkout", Name: spec.Name},
					Latency: latency, Started: now.Add(-latency), At: now,
				}) {
					if tr.To == target.Ejected {
						ejected++
					}
				}
			}
			s.Tick(now)
		}
		if all {
			is.Equal(ejected, 0)
			continue
		}
		is.Equal(ejected, 1)
		is.Equal(s.State("checkout-2"), target.Ejected)
	}
}

func TestRestoredLinkIsCutAgainOnLessEvidence(t *testing.T) {
	is := is.New(t)
	s := New(testContract(6, 12), Place{Zone: "a"}, epoch)
	m := s.byName["checkout-2"]
	full := s.linkThreshold(m, target.Failing, epoch)
	s.cutLink(m, target.Failing, epoch)
	s.Tick(epoch.Add(10 * time.Second))
	is.True(!m.path.IsCut())
	is.True(s.linkThreshold(m, target.Failing, epoch.Add(11*time.Second)) < full)
}

// At the beginning of a slowdown of the whole service few targets have had
// requests enough to be suspected.
func TestBeginningOfASlowdownEjectsNothing(t *testing.T) {
	cases := []struct {
		name   string
		others []float64
		state  target.State
	}{
		{"two others strongly suspected", []float64{8, 8}, target.Active},
		{"one other strongly suspected", []float64{8}, target.Ejected},
		{"two others noticeable", []float64{6, 6}, target.Ejected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New(testContract(6, 12), Place{Zone: "a"}, epoch)
			h := s.thresholds[target.Slow]
			for i, nats := range c.others {
				s.members[i].target.Pool().Add(target.Slow, nats, h, epoch)
			}
			last := s.members[5]
			last.target.Pool().Add(target.Slow, float64(h), h, epoch)
			s.judge(last, epoch)
			is.Equal(last.target.State(), c.state)
		})
	}
}
