package service

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/zone"
)

// simulation drives one service with randomly generated events and checks the
// invariants of the floor after each.
type simulation struct {
	t       *rapid.T
	s       *Service
	now     time.Time
	reports map[string]TargetReport
	// ejections, readmissions and withheld count the transitions that the events
	// caused.
	ejections, readmissions, withheld int
}

func drawContract(t *rapid.T) *contract.Contract {
	n := rapid.IntRange(1, 8).Draw(t, "targets")
	c := testContract(n, 0)
	c.Weight = rapid.SampledFrom([]contract.Weight{
		contract.WeightDetection, contract.WeightBalanced, contract.WeightSafety,
	}).Draw(t, "weight")
	for i := range c.Targets {
		c.Targets[i].Slots = rapid.IntRange(1, 4).Draw(t, "slots")
	}
	if rapid.Bool().Draw(t, "percent") {
		c.Floor = contract.Floor{Percent: rapid.IntRange(1, 100).Draw(t, "floor")}
	} else {
		c.Floor = contract.Floor{Slots: rapid.IntRange(0, c.TotalSlots()).Draw(t, "floor")}
	}
	return c
}

func (sim *simulation) randomName() string {
	return fmt.Sprintf("checkout-%d", rapid.IntRange(0, 8).Draw(sim.t, "target"))
}

func (sim *simulation) randomKey() target.Key {
	return target.Key{Service: "checkout", Name: sim.randomName()}
}

// sendBurst reports a series of requests with the same outcome to one target.
func (sim *simulation) sendBurst() []Transition {
	key := sim.randomKey()
	outcome := link.Outcome(rapid.IntRange(int(link.Succeeded), int(link.Canceled)).Draw(sim.t, "outcome"))
	latency := time.Duration(rapid.IntRange(1, 2000).Draw(sim.t, "latency")) * time.Millisecond
	leaving := rapid.IntRange(0, 30).Draw(sim.t, "leaving") == 0
	var transitions []Transition
	for range rapid.IntRange(1, 60).Draw(sim.t, "requests") {
		o := link.Observation{Target: key, Outcome: outcome, Latency: latency, Started: sim.now, At: sim.now, Leaving: leaving}
		transitions = append(transitions, sim.s.Observe(o)...)
	}
	return transitions
}

// sendPeerReport delivers a report of a peer with random evidence about one target.
func (sim *simulation) sendPeerReport() []Transition {
	from := rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(sim.t, "peer")
	key := sim.randomKey()
	r := sim.reports[from+key.Name]
	r.Target = key
	r.Report.Zone = zone.ID(from)
	r.Report.Sequence += uint64(rapid.IntRange(0, 2).Draw(sim.t, "sequence"))
	r.Report.Observations += 10
	r.Report.Total[target.Failing] += rapid.Float64Range(-40, 60).Draw(sim.t, "failing")
	r.Report.Total[target.Slow] += rapid.Float64Range(-40, 60).Draw(sim.t, "slow")
	r.Report.Leaving = rapid.IntRange(0, 20).Draw(sim.t, "leaving") == 0
	r.Report.LinkCut = rapid.IntRange(0, 20).Draw(sim.t, "cut") == 0
	sim.reports[from+key.Name] = r
	return sim.s.ObserveReport(from, r, sim.now)
}

// randomEvent applies one random event to the service.
func (sim *simulation) randomEvent() []Transition {
	signals := []target.LeaveSignal{target.SignalFromHostList, target.SignalFromOperator, target.SignalFromHeader}
	switch rapid.IntRange(0, 12).Draw(sim.t, "event") {
	case 0, 1, 2, 3:
		return sim.sendBurst()
	case 4, 5, 6:
		return sim.sendPeerReport()
	case 7:
		return sim.s.AddLeaveSignal(sim.randomName(), rapid.SampledFrom(signals).Draw(sim.t, "signal"), sim.now)
	case 8:
		return sim.s.WithdrawLeaveSignal(sim.randomName(), rapid.SampledFrom(signals).Draw(sim.t, "signal"), sim.now)
	case 9:
		return sim.s.Apply(drawContract(sim.t), sim.now)
	case 10:
		p := ProbeResult{Target: sim.randomName(), Passed: rapid.Bool().Draw(sim.t, "passed")}
		return sim.s.ObserveProbe(p, sim.now)
	case 11:
		return sim.s.ForgetPeer(rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(sim.t, "peer"), sim.now)
	default:
		sim.now = sim.now.Add(time.Duration(rapid.IntRange(50, 30000).Draw(sim.t, "ms")) * time.Millisecond)
		return sim.s.Tick(sim.now)
	}
}

// checkInvariants fails the test if an ejection keeps the capacity below the floor, if
// requests are routed to a leaving target, or if the cached routing is stale.
func (sim *simulation) checkInvariants() {
	healthySlots, ejected, notLeaving := 0, 0, 0
	for _, spec := range sim.s.Contract.Targets {
		switch sim.s.State(spec.Name) {
		case target.Active:
			healthySlots += spec.Slots
		case target.Ejected:
			ejected++
		}
		if sim.s.State(spec.Name) != target.Leaving {
			notLeaving++
		}
	}
	floor := sim.s.Contract.Floor.MinSlots(sim.s.Contract.TotalSlots())
	if ejected > 0 && healthySlots < floor {
		sim.t.Fatalf("%d targets ejected, %d healthy slots, floor %d", ejected, healthySlots, floor)
	}
	r := sim.s.Routing()
	if fresh := sim.s.newRouting(); !reflect.DeepEqual(r, fresh) {
		sim.t.Fatalf("the cached routing is stale: %+v, want %+v", r, fresh)
	}
	for _, l := range r.Links {
		if sim.s.State(l.Target.Name) == target.Leaving {
			sim.t.Fatalf("requests are routed to leaving target %s", l.Target)
		}
	}
	if notLeaving > 0 && len(r.Links) == 0 {
		sim.t.Fatal("no link although a target is not leaving")
	}
	if (healthySlots < floor) != r.Panic {
		sim.t.Fatalf("panic routing %v with %d healthy slots, floor %d", r.Panic, healthySlots, floor)
	}
}

func (sim *simulation) countTransitions(transitions []Transition) {
	for _, tr := range transitions {
		switch {
		case tr.Kind == EjectionWithheld:
			sim.withheld++
		case tr.Kind == StateChanged && tr.To == target.Ejected:
			sim.ejections++
		case tr.From == target.Ejected && tr.To == target.Active:
			sim.readmissions++
		}
	}
}

func TestEjectionsNeverHoldCapacityBelowTheFloor(t *testing.T) {
	ejections, readmissions, withheld := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, now: epoch, reports: make(map[string]TargetReport)}
		sim.s = New(drawContract(t), Location{Zone: "a"}, sim.now)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			sim.countTransitions(sim.randomEvent())
			sim.checkInvariants()
		}
		ejections += sim.ejections
		readmissions += sim.readmissions
		withheld += sim.withheld
	})
	t.Logf("%d ejections, %d readmissions for the floor, %d withheld", ejections, readmissions, withheld)
	if ejections == 0 || readmissions == 0 || withheld == 0 {
		t.Error("the generated events did not cause ejections, readmissions and withheld ejections")
	}
}

func TestRaisedFloorReadmitsTheLeastSuspected(t *testing.T) {
	is := is.New(t)
	c := testContract(6, 8)
	s := New(c, Location{}, epoch)
	eject := func(name string, nats float64) {
		m := s.byName[name]
		m.target.Evidence().Add(target.Failing, nats, s.thresholds[target.Failing], epoch)
		s.setState(m, target.Ejected, "test", epoch)
	}
	eject("checkout-0", 20)
	eject("checkout-1", 5)
	eject("checkout-2", 10)
	raised := *c
	raised.Floor = contract.Floor{Slots: 20}
	s.Apply(&raised, epoch)
	is.Equal(s.State("checkout-0"), target.Ejected)
	is.Equal(s.State("checkout-1"), target.Active)
	is.Equal(s.State("checkout-2"), target.Active)
}

func TestWithheldEjectionIsRecordedOncePerCause(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(4, 16), 3)
	e.runSecond(allSucceed)
	for range 5 {
		e.runSecond(failAt("checkout-2"))
	}
	is.Equal(e.countTransitions(StateChanged, target.Ejected), 0)
	perHost := make(map[string]int)
	for _, tr := range e.transitions {
		if tr.Kind == EjectionWithheld {
			perHost[tr.Reason]++
		}
	}
	is.Equal(perHost[WithheldByFloor.String()], 3) // one for each host
}
