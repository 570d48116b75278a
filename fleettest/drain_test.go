package fleettest

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/wire"
)

var drainedTarget = target.Key{Service: "prices", Name: "t1"}

// drainThrough drains target t1 through a host.
func (f *testFleet) drainThrough(name string) wire.Drain {
	f.t.Helper()
	answer, err := f.Host(name).Drain(f.ctx, host.OperatorDrain{
		Target: drainedTarget, Operator: "ana", Reason: "disk", At: time.Now(),
	})
	f.must(err)
	return answer
}

// getsNoWork checks that no host sends target t1 anything, whichever way a
// request comes in.
func (f *testFleet) checkDrainedTargetIdle(c *Caller) {
	f.t.Helper()
	before := len(f.targets[1].Runs())
	f.postToAllHosts(c)
	late := len(f.targets[1].Runs()) - before
	f.check(late == 0, "the drained target got %d requests", late)
}

// replaceAll replaces every host by a new process, a few seconds apart.
func (f *testFleet) replaceAllHosts() {
	for _, name := range f.Names() {
		f.Kill(name)
		f.must(f.Start(name))
		f.eventually(20*time.Second, "ready", func() bool { return f.Host(name).Snapshot().Ready })
		time.Sleep(5 * time.Second)
	}
}

// A drain that the table keeps survives the replacement of all hosts, also one
// after the other while the table is away, and ends with the undrain alone.
func TestDrainSurvivesTheReplacementOfAllHosts(t *testing.T) {
	for _, away := range []bool{false, true} {
		t.Run(fmt.Sprint("store away ", away), func(t *testing.T) {
			runFleetTest(t, 4, 4, func(f *testFleet) {
				c := f.newCaller("shop")
				answer := f.drainThrough("h02")
				f.check(answer.State == wire.DrainKept, "%+v", answer)
				f.eventually(2*time.Second, "in force", func() bool { return f.revisionInForce(answer.Revision) })
				f.Store.Faults.Down(away)
				f.replaceAllHosts()
				f.checkDrainedTargetIdle(c)
				list, err := f.Host("h01").Drains(f.ctx)
				f.must(err)
				f.check(len(list.Drains) == 1, "%+v", list)
				d := list.Drains[0]
				f.check(d.Operator == "ana" && d.Reason == "disk" && d.Target == "prices/t1", "%+v", d)
				f.Store.Faults.Down(false)
				time.Sleep(10 * time.Second)
				undone, err := f.Host("h03").Undrain(f.ctx, host.OperatorUndrain{Target: drainedTarget, Operator: "bo"})
				f.must(err)
				f.check(undone.State == wire.DrainKept, "%+v", undone)
				time.Sleep(30 * time.Second)
				f.postToAllHosts(c)
				f.check(len(f.targets[1].Runs()) > 0, "the target gets no work after the undrain")
			})
		})
	}
}

// A drain in force holds for a contract that declares the target anew.
func TestDrainHoldsForANewContract(t *testing.T) {
	runFleetTest(t, 4, 4, func(f *testFleet) {
		c := f.newCaller("shop")
		f.drainThrough("h00")
		f.publish("h01", f.targets[0], f.targets[2], f.targets[3])
		time.Sleep(5 * time.Second)
		f.publish("h01", f.targets...)
		time.Sleep(5 * time.Second)
		f.checkDrainedTargetIdle(c)
	})
}

// During an outage of the store a drain holds at once on all hosts, says that
// it is not kept, and is kept by a repetition afterwards.
func TestDrainDuringAnOutage(t *testing.T) {
	runFleetTest(t, 6, 4, func(f *testFleet) {
		c := f.newCaller("shop")
		f.Store.Faults.Down(true)
		answer := f.drainThrough("h02")
		f.check(answer.State == wire.DrainUnkept && answer.Error != "", "%+v", answer)
		time.Sleep(leaveSignalTimeout)
		f.checkDrainedTargetIdle(c)
		list, err := f.Host("h02").Drains(f.ctx)
		f.must(err)
		f.check(len(list.Drains) == 1 && list.Drains[0].State == wire.DrainUnkept, "%+v", list)
		f.Store.Faults.Down(false)
		time.Sleep(10 * time.Second)
		answer = f.drainThrough("h03")
		f.check(answer.State == wire.DrainKept, "%+v", answer)
		f.eventually(5*time.Second, "in force", func() bool { return f.revisionInForce(answer.Revision) })
		f.Kill("h02")
		f.must(f.Start("h02"))
		time.Sleep(20 * time.Second)
		f.checkDrainedTargetIdle(c)
		list, err = f.Host("h02").Drains(f.ctx)
		f.must(err)
		f.check(len(list.Drains) == 1 && list.Drains[0].State == wire.DrainKept, "%+v", list)
	})
}

// A drain that no table keeps is undone at the host that took it.
func TestUnkeptDrainIsUndoneAtItsHost(t *testing.T) {
	runFleetTest(t, 4, 4, func(f *testFleet) {
		c := f.newCaller("shop")
		f.Store.Faults.Down(true)
		f.drainThrough("h02")
		time.Sleep(time.Second)
		_, err := f.Host("h01").Undrain(f.ctx, host.OperatorUndrain{Target: drainedTarget, Operator: "ana"})
		f.check(err != nil, "another host undid it")
		_, err = f.Host("h02").Undrain(f.ctx, host.OperatorUndrain{Target: drainedTarget, Operator: "ana"})
		f.must(err)
		time.Sleep(30 * time.Second)
		f.postToAllHosts(c)
		f.check(len(f.targets[1].Runs()) > 0, "the target gets no work after the undrain")
	})
}

// Of two operators who drain and undrain at once, the table decides; all hosts
// follow it.
func TestConcurrentDrainAndUndrain(t *testing.T) {
	runFleetTest(t, 4, 4, func(f *testFleet) {
		f.drainThrough("h00")
		time.Sleep(3 * time.Second)
		go func() {
			_, _ = f.Host("h01").Undrain(f.ctx, host.OperatorUndrain{Target: drainedTarget, Operator: "bo"})
		}()
		f.drainThrough("h02")
		time.Sleep(20 * time.Second)
		var first wire.Drains
		for i, name := range f.Names() {
			list, err := f.Host(name).Drains(f.ctx)
			f.must(err)
			if i == 0 {
				first = list
			}
			f.check(len(list.Drains) == len(first.Drains), "%s: %+v, %+v", name, list, first)
		}
	})
}
