package service

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
)

// isRouted reports whether the service routes requests to a target.
func isRouted(s *Service, name string) bool {
	for _, l := range s.Routing().Links {
		if l.Target.Name == name {
			return true
		}
	}
	return false
}

func TestFirstLeaveSignalStopsNewRequestsOnEveryEntryHost(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 3)
	e.hosts[0].Observe(link.Observation{
		Target:  target.Key{Service: "checkout", Name: "checkout-1"},
		Latency: time.Millisecond, Started: e.now, At: e.now, Leaving: true,
	})
	is.True(!isRouted(e.hosts[0], "checkout-1"))
	e.exchangeReports()
	for _, h := range e.hosts {
		is.Equal(h.State("checkout-1"), target.Leaving)
		is.True(!isRouted(h, "checkout-1"))
	}
}

func TestLeavingTargetIsNotEjected(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 3)
	e.runSecond(allSucceed)
	for _, h := range e.hosts {
		h.AddLeaveSignal("checkout-2", target.SignalFromHostList, e.now)
	}
	for range 4 {
		e.runSecond(failAt("checkout-2"))
	}
	is.Equal(e.countTransitions(StateChanged, target.Ejected), 0)
	is.Equal(e.hosts[0].byName["checkout-2"].target.Evidence().Sum().Max(), 0.0)
}

func TestTargetReturnsWarmingOnceAllLeaveSignalsAreWithdrawn(t *testing.T) {
	is := is.New(t)
	s := New(testContract(6, 12), Location{}, epoch)
	s.AddLeaveSignal("checkout-2", target.SignalFromHostList, epoch)
	s.AddLeaveSignal("checkout-2", target.SignalFromOperator, epoch)
	s.WithdrawLeaveSignal("checkout-2", target.SignalFromHostList, epoch)
	is.Equal(s.State("checkout-2"), target.Leaving)
	s.WithdrawLeaveSignal("checkout-2", target.SignalFromOperator, epoch)
	is.Equal(s.State("checkout-2"), target.Warming)
	s.Tick(epoch.Add(warmUpTime))
	is.Equal(s.State("checkout-2"), target.Active)
}

func TestDrainHeaderIsWithdrawnAfterCleanProbes(t *testing.T) {
	is := is.New(t)
	s := New(testContract(6, 12), Location{}, epoch)
	s.ObserveProbe(ProbeResult{Target: "checkout-2", Passed: true, Leaving: true}, epoch)
	is.Equal(s.State("checkout-2"), target.Leaving)
	s.ObserveProbe(ProbeResult{Target: "checkout-2", Passed: true}, epoch)
	is.Equal(s.State("checkout-2"), target.Leaving)
	s.ObserveProbe(ProbeResult{Target: "checkout-2", Passed: true}, epoch)
	is.Equal(s.State("checkout-2"), target.Warming)
}

func TestPeersDoNotConfirmEachOthersLeaveSignals(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 3)
	e.hosts[0].AddLeaveSignal("checkout-1", target.SignalFromHostList, e.now)
	e.exchangeReports()
	e.hosts[0].WithdrawLeaveSignal("checkout-1", target.SignalFromHostList, e.now)
	e.exchangeReports()
	for _, h := range e.hosts {
		is.Equal(h.State("checkout-1"), target.Warming)
	}
}

func TestTargetWithNewAddressStartsWarming(t *testing.T) {
	is := is.New(t)
	c := testContract(6, 12)
	s := New(c, Location{}, epoch)
	s.AddLeaveSignal("checkout-1", target.SignalFromHostList, epoch)
	changed := testContract(6, 12)
	changed.Targets[1].Address = "10.0.9.9:80"
	s.Apply(changed, epoch)
	is.Equal(s.State("checkout-1"), target.Warming)
	is.Equal(s.Link("checkout-1").Address, "10.0.9.9:80")
}
