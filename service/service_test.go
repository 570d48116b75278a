package service

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/zone"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// testContract declares n targets of 4 slots in three zones.
func testContract(n, floorSlots int) *contract.Contract {
	c := &contract.Contract{
		Service: "checkout",
		Weight:  contract.WeightSafety,
		Floor:   contract.Floor{Slots: floorSlots},
		Health:  contract.Health{Path: "/health", Interval: time.Second},
	}
	for i := range n {
		c.Targets = append(c.Targets, contract.Target{
			Name:    fmt.Sprintf("checkout-%d", i),
			Address: fmt.Sprintf("10.0.0.%d:80", i),
			Zone:    zone.ID([]string{"a", "b", "c"}[i%3]),
			Slots:   4,
		})
	}
	return c
}

// entrySet simulates entry hosts that exchange reports without delay.
type entrySet struct {
	hosts       []*Service
	now         time.Time
	transitions []Transition
}

func newEntrySet(c *contract.Contract, hosts int) *entrySet {
	e := &entrySet{now: epoch}
	for i := range hosts {
		z := zone.ID([]string{"a", "b", "c"}[i%3])
		e.hosts = append(e.hosts, New(c, Location{Zone: z}, e.now))
	}
	e.exchangeReports()
	return e
}

// exchangeReports delivers the reports of every host to all others.
func (e *entrySet) exchangeReports() {
	for i, from := range e.hosts {
		for _, r := range from.Reports(e.now) {
			for j, to := range e.hosts {
				if i != j {
					e.transitions = append(e.transitions, to.ObserveReport(fmt.Sprint(i), r, e.now)...)
				}
			}
		}
	}
}

// observe lets one host observe a request to a target with the given outcome and
// latency.
func (e *entrySet) observe(host int, name string, o link.Outcome, latency time.Duration) {
	key := target.Key{Service: "checkout", Name: name}
	e.transitions = append(e.transitions, e.hosts[host].Observe(link.Observation{
		Target: key, Outcome: o, Latency: latency, Started: e.now.Add(-latency), At: e.now,
	})...)
}

// runSecond simulates one second in which each host sends 4 requests to each target.
// The function outcome returns how a request ends.
func (e *entrySet) runSecond(outcome func(host int, name string) link.Outcome) {
	for range 4 {
		for i, h := range e.hosts {
			for _, spec := range h.Contract.Targets {
				e.observe(i, spec.Name, outcome(i, spec.Name), 10*time.Millisecond)
			}
		}
		e.now = e.now.Add(250 * time.Millisecond)
		for _, h := range e.hosts {
			e.transitions = append(e.transitions, h.Tick(e.now)...)
		}
		e.exchangeReports()
	}
}

// countTransitions returns the number of transitions of the given kind to a state.
func (e *entrySet) countTransitions(kind TransitionKind, to target.State) int {
	n := 0
	for _, tr := range e.transitions {
		if tr.Kind == kind && tr.To == to {
			n++
		}
	}
	return n
}

// allSucceed is an outcome function of runSecond.
func allSucceed(int, string) link.Outcome { return link.Succeeded }

// failAt returns an outcome function under which all requests to one target fail.
func failAt(name string) func(int, string) link.Outcome {
	return func(_ int, n string) link.Outcome {
		if n == name {
			return link.Failed
		}
		return link.Succeeded
	}
}

func TestTargetThatFailsOnAllHostsIsEjectedByAll(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 3)
	e.runSecond(allSucceed)
	e.runSecond(failAt("checkout-2"))
	e.runSecond(failAt("checkout-2"))
	for _, h := range e.hosts {
		is.Equal(h.State("checkout-2"), target.Ejected)
		is.Equal(h.HealthySlots(), 20)
	}
	is.Equal(e.countTransitions(StateChanged, target.Ejected), 3) // no other target was ejected
}

func TestOneHostAloneCutsItsLinkAndEjectsNothing(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 3)
	e.runSecond(allSucceed)
	for range 4 {
		e.runSecond(func(host int, name string) link.Outcome {
			if host == 1 && name == "checkout-2" && !e.hosts[1].byName[name].linkStatus.IsCut() {
				return link.TimedOut
			}
			return link.Succeeded
		})
	}
	is.Equal(e.countTransitions(StateChanged, target.Ejected), 0)
	is.Equal(e.countTransitions(LinkCut, target.Active), 1)
	is.True(e.hosts[1].byName["checkout-2"].linkStatus.IsCut())
	is.Equal(len(e.hosts[1].Routing().Links), 5)
	is.Equal(len(e.hosts[0].Routing().Links), 6)
}

func TestFaultyHostSuspectsItself(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 3)
	e.runSecond(allSucceed)
	for range 4 {
		e.runSecond(func(host int, _ string) link.Outcome {
			if host == 0 {
				return link.Failed
			}
			return link.Succeeded
		})
	}
	is.Equal(e.countTransitions(StateChanged, target.Ejected), 0)
	is.True(e.hosts[0].SelfSuspected())
	is.True(!e.hosts[1].SelfSuspected())
	is.True(!e.hosts[2].SelfSuspected())
}

func TestServiceWideFailureEjectsNothing(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 4), 3)
	e.runSecond(allSucceed)
	for range 10 {
		e.runSecond(func(int, string) link.Outcome { return link.Failed })
	}
	for range 10 {
		e.runSecond(allSucceed)
	}
	is.Equal(e.countTransitions(StateChanged, target.Ejected), 0)
	is.True(!e.hosts[0].SelfSuspected())
}

func TestReportsMayBeLostDuplicatedAndReordered(t *testing.T) {
	is := is.New(t)
	c := testContract(6, 4)
	s := New(c, Location{Zone: "a"}, epoch)
	report := func(sequence uint64, nats float64) TargetReport {
		return TargetReport{
			Target: target.Key{Service: "checkout", Name: "checkout-0"},
			Report: target.Report{Sequence: sequence, Zone: "b", Total: target.LLR{nats, 0}, Observations: 10 * sequence},
		}
	}
	sum := func() float64 { return s.byName["checkout-0"].target.Evidence().Sum()[target.Failing] }
	s.ObserveReport("b1", report(1, 100), epoch)
	is.Equal(sum(), 0.0) // the first totals are the baseline
	s.ObserveReport("b1", report(4, 103), epoch)
	is.Equal(sum(), 3.0)
	s.ObserveReport("b1", report(4, 103), epoch)
	s.ObserveReport("b1", report(3, 102), epoch)
	is.Equal(sum(), 3.0)
	s.ObserveReport("b1", report(9, 105), epoch)
	is.Equal(sum(), 5.0)
	s.ForgetPeer("b1", epoch)
	is.Equal(sum(), 0.0)
}

func TestOnlyHostWithTrafficEjectsInsteadOfCuttingItsLink(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 1)
	e.runSecond(allSucceed)
	for range 3 {
		e.runSecond(failAt("checkout-2"))
	}
	is.Equal(e.hosts[0].State("checkout-2"), target.Ejected)
	is.Equal(e.countTransitions(LinkCut, target.Active), 0)
}

func TestFailedRequestMakesReportUrgent(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 2)
	e.runSecond(allSucceed)
	is.True(!e.hosts[0].HasUrgentReport())
	e.observe(0, "checkout-2", link.Failed, time.Millisecond)
	is.True(e.hosts[0].HasUrgentReport())
	is.Equal(len(e.hosts[0].Reports(e.now)), 1)
	is.True(!e.hosts[0].HasUrgentReport())
}
