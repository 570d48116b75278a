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

// history drives one service through generated events and checks the floor
// after each.
type history struct {
	t       *rapid.T
	s       *Service
	now     time.Time
	reports map[string]Report
	// ejections and readmissions count what the history brought about.
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
		c.Floor = contract.Floor{Slots: rapid.IntRange(0, c.Slots()).Draw(t, "floor")}
	}
	return c
}

func (h *history) name() string {
	return fmt.Sprintf("checkout-%d", rapid.IntRange(0, 8).Draw(h.t, "target"))
}

func (h *history) key() target.Key {
	return target.Key{Service: "checkout", Name: h.name()}
}

// burst sends a run of requests of one outcome to one target.
func (h *history) burst() []Transition {
	key := h.key()
	outcome := link.Outcome(rapid.IntRange(int(link.Succeeded), int(link.Canceled)).Draw(h.t, "outcome"))
	latency := time.Duration(rapid.IntRange(1, 2000).Draw(h.t, "latency")) * time.Millisecond
	leaving := rapid.IntRange(0, 30).Draw(h.t, "leaving") == 0
	var out []Transition
	for range rapid.IntRange(1, 60).Draw(h.t, "requests") {
		o := link.Observation{Target: key, Outcome: outcome, Latency: latency, Started: h.now, At: h.now, Leaving: leaving}
		out = append(out, h.s.Observe(o)...)
	}
	return out
}

// report lets a peer claim something of one target.
func (h *history) report() []Transition {
	from := rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(h.t, "peer")
	key := h.key()
	r := h.reports[from+key.Name]
	r.Target = key
	r.News.Zone = zone.ID(from)
	r.News.Sequence += uint64(rapid.IntRange(0, 2).Draw(h.t, "sequence"))
	r.News.Observations += 10
	r.News.Total[target.Failing] += rapid.Float64Range(-40, 60).Draw(h.t, "failing")
	r.News.Total[target.Slow] += rapid.Float64Range(-40, 60).Draw(h.t, "slow")
	r.News.Leaving = rapid.IntRange(0, 20).Draw(h.t, "leaving") == 0
	r.News.LinkCut = rapid.IntRange(0, 20).Draw(h.t, "cut") == 0
	h.reports[from+key.Name] = r
	return h.s.ObserveReport(from, r, h.now)
}

func (h *history) step() []Transition {
	signs := []target.Sign{target.SignHostList, target.SignOperator, target.SignHeader}
	switch rapid.IntRange(0, 12).Draw(h.t, "event") {
	case 0, 1, 2, 3:
		return h.burst()
	case 4, 5, 6:
		return h.report()
	case 7:
		return h.s.Drain(h.name(), rapid.SampledFrom(signs).Draw(h.t, "sign"), h.now)
	case 8:
		return h.s.Withdraw(h.name(), rapid.SampledFrom(signs).Draw(h.t, "sign"), h.now)
	case 9:
		return h.s.Apply(drawContract(h.t), h.now)
	case 10:
		p := Probe{Target: h.name(), Passed: rapid.Bool().Draw(h.t, "passed")}
		return h.s.ObserveProbe(p, h.now)
	case 11:
		return h.s.ForgetPeer(rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(h.t, "peer"), h.now)
	default:
		h.now = h.now.Add(time.Duration(rapid.IntRange(50, 30000).Draw(h.t, "ms")) * time.Millisecond)
		return h.s.Tick(h.now)
	}
}

// check fails the test when an ejection holds the capacity below the floor or
// a leaving target is routed to.
func (h *history) check() {
	healthySlots, ejected, open := 0, 0, 0
	for _, spec := range h.s.Contract.Targets {
		switch h.s.State(spec.Name) {
		case target.Active:
			healthySlots += spec.Slots
		case target.Ejected:
			ejected++
		}
		if h.s.State(spec.Name) != target.Leaving {
			open++
		}
	}
	floor := h.s.Contract.Floor.MinSlots(h.s.Contract.Slots())
	if ejected > 0 && healthySlots < floor {
		h.t.Fatalf("%d targets ejected, %d healthy slots, floor %d", ejected, healthySlots, floor)
	}
	r := h.s.Routing()
	if fresh := h.s.newRouting(); !reflect.DeepEqual(r, fresh) {
		h.t.Fatalf("the view for traffic is kept although it changed: %+v, not %+v", r, fresh)
	}
	for _, l := range r.Links {
		if h.s.State(l.Target.Name) == target.Leaving {
			h.t.Fatalf("work is routed to leaving target %s", l.Target)
		}
	}
	if open > 0 && len(r.Links) == 0 {
		h.t.Fatal("no link although a target stays")
	}
	if (healthySlots < floor) != r.Panic {
		h.t.Fatalf("panic routing %v with %d healthy slots, floor %d", r.Panic, healthySlots, floor)
	}
}

func (h *history) count(list []Transition) {
	for _, tr := range list {
		switch {
		case tr.Change == EjectionWithheld:
			h.withheld++
		case tr.Change == StateChanged && tr.To == target.Ejected:
			h.ejections++
		case tr.From == target.Ejected && tr.To == target.Active:
			h.readmissions++
		}
	}
}

func TestNoHistoryLetsAnEjectionBreakTheFloor(t *testing.T) {
	ejections, readmissions, withheld := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := &history{t: t, now: epoch, reports: make(map[string]Report)}
		h.s = New(drawContract(t), Place{Zone: "a"}, h.now)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			h.count(h.step())
			h.check()
		}
		ejections += h.ejections
		readmissions += h.readmissions
		withheld += h.withheld
	})
	t.Logf("%d ejections, %d readmissions for the floor, %d withheld", ejections, readmissions, withheld)
	if ejections == 0 || readmissions == 0 || withheld == 0 {
		t.Error("the histories do not reach the decisions under test")
	}
}

func TestRaisedFloorReadmitsTheLeastSuspected(t *testing.T) {
	is := is.New(t)
	c := testContract(6, 8)
	s := New(c, Place{}, epoch)
	eject := func(name string, nats float64) {
		m := s.byName[name]
		m.target.Pool().Add(target.Failing, nats, s.thresholds[target.Failing], epoch)
		s.move(m, target.Ejected, "test", epoch)
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

func TestEjectionWithheldIsNotedOncePerCause(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(4, 16), 3)
	e.second(healthy)
	for range 5 {
		e.second(failing("checkout-2"))
	}
	is.Equal(e.count(StateChanged, target.Ejected), 0)
	perHost := make(map[string]int)
	for _, tr := range e.all {
		if tr.Change == EjectionWithheld {
			perHost[tr.Reason]++
		}
	}
	is.Equal(perHost[HeldByFloor.String()], 3) // one for each host
}
