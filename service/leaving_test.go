package service

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
)

func routes(s *Service, name string) bool {
	for _, l := range s.Routing().Links {
		if l.Target.Name == name {
			return true
		}
	}
	return false
}

func TestFirstSignEndsNewWorkOnEveryHostOfTheSet(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 3)
	e.hosts[0].Observe(link.Observation{
		Target:  target.Key{Service: "checkout", Name: "checkout-1"},
		Latency: time.Millisecond, Started: e.now, At: e.now, Leaving: true,
	})
	is.True(!routes(e.hosts[0], "checkout-1"))
	e.exchange()
	for _, h := range e.hosts {
		is.Equal(h.State("checkout-1"), target.Leaving)
		is.True(!routes(h, "checkout-1"))
	}
}

func TestLeavingTargetIsNoFailingTarget(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 3)
	e.second(healthy)
	for _, h := range e.hosts {
		h.Drain("checkout-2", target.SignHostList, e.now)
	}
	for range 4 {
		e.second(failing("checkout-2"))
	}
	is.Equal(e.count(StateChanged, target.Ejected), 0)
	is.Equal(e.hosts[0].byName["checkout-2"].target.Pool().Sum().Max(), 0.0)
}

func TestTargetReturnsWarmingOnceAllSignsAreWithdrawn(t *testing.T) {
	is := is.New(t)
	s := New(testContract(6, 12), Place{}, epoch)
	s.Drain("checkout-2", target.SignHostList, epoch)
	s.Drain("checkout-2", target.SignOperator, epoch)
	s.Withdraw("checkout-2", target.SignHostList, epoch)
	is.Equal(s.State("checkout-2"), target.Leaving)
	s.Withdraw("checkout-2", target.SignOperator, epoch)
	is.Equal(s.State("checkout-2"), target.Warming)
	s.Tick(epoch.Add(warmUpTime))
	is.Equal(s.State("checkout-2"), target.Active)
}

func TestOwnSignEndsAfterCleanProbes(t *testing.T) {
	is := is.New(t)
	s := New(testContract(6, 12), Place{}, epoch)
	s.ObserveProbe(Probe{Target: "checkout-2", Passed: true, Leaving: true}, epoch)
	is.Equal(s.State("checkout-2"), target.Leaving)
	s.ObserveProbe(Probe{Target: "checkout-2", Passed: true}, epoch)
	is.Equal(s.State("checkout-2"), target.Leaving)
	s.ObserveProbe(Probe{Target: "checkout-2", Passed: true}, epoch)
	is.Equal(s.State("checkout-2"), target.Warming)
}

func TestPeersDoNotConfirmEachOther(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 3)
	e.hosts[0].Drain("checkout-1", target.SignHostList, e.now)
	e.exchange()
	e.hosts[0].Withdraw("checkout-1", target.SignHostList, e.now)
	e.exchange()
	for _, h := range e.hosts {
		is.Equal(h.State("checkout-1"), target.Warming)
	}
}

func TestNewDeclarationReturnsWarming(t *testing.T) {
	is := is.New(t)
	c := testContract(6, 12)
	s := New(c, Place{}, epoch)
	s.Drain("checkout-1", target.SignHostList, epoch)
	moved := testContract(6, 12)
	moved.Targets[1].Address = "10.0.9.9:80"
	s.Apply(moved, epoch)
	is.Equal(s.State("checkout-1"), target.Warming)
	is.Equal(s.Link("checkout-1").Address, "10.0.9.9:80")
}
