package service

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
)

func TestZoneWithBrokenLinksCutsThemAndEjectsNothing(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 6) // hosts 0 and 3 are in zone a, whose links break
	e.runSecond(allSucceed)
	for range 5 {
		e.runSecond(func(host int, name string) link.Outcome {
			if host%3 == 0 && name == "checkout-2" {
				return link.TimedOut
			}
			return link.Succeeded
		})
	}
	is.Equal(e.countTransitions(StateChanged, target.Ejected), 0)
	for i, h := range e.hosts {
		is.Equal(h.byName["checkout-2"].linkStatus.IsCut(), i%3 == 0)
	}
}

func TestRefusalsDoNotCountAsFailures(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 3)
	e.runSecond(allSucceed)
	for range 10 {
		e.runSecond(func(_ int, name string) link.Outcome {
			if name == "checkout-2" {
				return link.Refused
			}
			return link.Succeeded
		})
	}
	is.Equal(len(e.transitions), 0)
}

func TestTimeoutAtShortDeadlineIsNoFailure(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 3)
	for range 30 {
		e.runSecond(allSucceed) // 10 ms each
	}
	for range 100 {
		e.observe(0, "checkout-2", link.TimedOut, 2*time.Millisecond)
	}
	is.Equal(len(e.transitions), 0)
}

func TestFlappingTargetIsEjectedForLonger(t *testing.T) {
	is := is.New(t)
	s := New(testContract(6, 12), Location{Zone: "a"}, epoch)
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
	ejectionTime := func() time.Duration {
		start := now
		for s.State("checkout-2") == target.Ejected {
			now = now.Add(50 * time.Millisecond)
			s.Tick(now)
		}
		return now.Sub(start)
	}
	firstFailures := failUntilEjected()
	firstEjection := ejectionTime()
	is.Equal(s.State("checkout-2"), target.Probation)
	secondFailures := failUntilEjected()
	secondEjection := ejectionTime()
	is.True(secondFailures < firstFailures)
	is.Equal(firstEjection, 10*time.Second)
	is.True(secondEjection > 19*time.Second)
}

func TestTargetPassesProbation(t *testing.T) {
	is := is.New(t)
	s := New(testContract(6, 12), Location{Zone: "a"}, epoch)
	s.setState(s.byName["checkout-2"], target.Ejected, "test", epoch)
	s.Tick(epoch.Add(10 * time.Second))
	is.Equal(s.State("checkout-2"), target.Probation)
	s.Tick(epoch.Add(10*time.Second + probationTime))
	is.Equal(s.State("checkout-2"), target.Active)
}

// trainLatencies lets a service observe requests with latencies around the given one,
// so that it knows which latencies are usual.
func trainLatencies(s *Service, around time.Duration) {
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

func TestHangingTargetIsEjectedBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	s := New(testContract(6, 12), Location{Zone: "a"}, epoch)
	trainLatencies(s, 20*time.Millisecond)
	start := epoch.Add(2 * time.Second)
	for range 4 {
		_, ok := s.Link("checkout-2").Acquire(start)
		is.True(ok)
		start = start.Add(time.Microsecond)
	}
	now := start
	for s.State("checkout-2") == target.Active && now.Sub(start) < 2*time.Second {
		now = now.Add(50 * time.Millisecond)
		s.Tick(now)
	}
	is.Equal(s.State("checkout-2"), target.Ejected)
	is.True(now.Sub(start) < time.Second)
}

func TestSlowTargetIsEjectedAndASlowServiceIsNot(t *testing.T) {
	is := is.New(t)
	for _, wholeService := range []bool{false, true} {
		s := New(testContract(6, 12), Location{Zone: "a"}, epoch)
		trainLatencies(s, 20*time.Millisecond)
		ejected := 0
		now := epoch.Add(2 * time.Second)
		for range 100 {
			now = now.Add(50 * time.Millisecond)
			for _, spec := range s.Contract.Targets {
				latency := 20 * time.Millisecond
				if wholeService || spec.Name == "checkout-2" {
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
		if wholeService {
			is.Equal(ejected, 0)
			continue
		}
		is.Equal(ejected, 1)
		is.Equal(s.State("checkout-2"), target.Ejected)
	}
}

func TestRestoredLinkIsCutAgainOnLessEvidence(t *testing.T) {
	is := is.New(t)
	s := New(testContract(6, 12), Location{Zone: "a"}, epoch)
	m := s.byName["checkout-2"]
	full := s.linkThreshold(m, target.Failing, epoch)
	s.cutLink(m, target.Failing, epoch)
	s.Tick(epoch.Add(10 * time.Second))
	is.True(!m.linkStatus.IsCut())
	is.True(s.linkThreshold(m, target.Failing, epoch.Add(11*time.Second)) < full)
}

// At the beginning of a slowdown of the whole service, only few targets have received
// enough requests to be suspected. The slowdown counts as service-wide if these few are
// strongly suspected.
func TestEjectionAtTheBeginningOfASlowdown(t *testing.T) {
	cases := []struct {
		name   string
		others []float64
		state  target.State
	}{
		{"two others strongly suspected", []float64{8, 8}, target.Active},
		{"one other strongly suspected", []float64{8}, target.Ejected},
		{"two others weakly suspected", []float64{6, 6}, target.Ejected},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := New(testContract(6, 12), Location{Zone: "a"}, epoch)
			threshold := s.thresholds[target.Slow]
			for i, nats := range test.others {
				s.targets[i].target.Evidence().Add(target.Slow, nats, threshold, epoch)
			}
			last := s.targets[5]
			last.target.Evidence().Add(target.Slow, float64(threshold), threshold, epoch)
			s.evaluate(last, epoch)
			is.Equal(last.target.State(), test.state)
		})
	}
}
