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

// drainThrough drains target t1 through a host as an operator does.
func (f *testFleet) drainThrough(name string) wire.Drain {
	f.t.Helper()
	drain, err := f.Host(name).Drain(f.ctx, host.OperatorDrain{
		Target: drainedTarget, Operator: "ana", Reason: "disk", At: time.Now(),
	})
	f.must(err)
	return drain
}

// checkNoRequestsToDrainedTarget checks that no host sends requests to target t1,
// whichever host receives them.
func (f *testFleet) checkNoRequestsToDrainedTarget(c *Caller) {
	f.t.Helper()
	before := len(f.targets[1].Runs())
	f.postToAllHosts(c)
	received := len(f.targets[1].Runs()) - before
	f.check(received == 0, "the drained target received %d requests", received)
}

// replaceAllHosts replaces each host by a new process, one after the other.
func (f *testFleet) replaceAllHosts() {
	for _, name := range f.Names() {
		f.Kill(name)
		f.must(f.Start(name))
		f.eventually(20*time.Second, "host ready", func() bool { return f.Host(name).Snapshot().Ready })
		time.Sleep(5 * time.Second)
	}
}

// A drain that is stored in the table survives the replacement of all hosts one
// after the other, also while the store is down, and ends only with the undrain.
func TestDrainSurvivesTheReplacementOfAllHosts(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		t.Run(fmt.Sprint("store down ", storeDown), func(t *testing.T) {
			runFleetTest(t, 4, 4, func(f *testFleet) {
				c := f.newCaller("shop")
				drain := f.drainThrough("h02")
				f.check(drain.State == wire.DrainStored, "drain: %+v", drain)
				f.eventually(2*time.Second, "drain in force on every host", func() bool { return f.revisionInForce(drain.Revision) })
				f.Store.Faults.SetDown(storeDown)
				f.replaceAllHosts()
				f.checkNoRequestsToDrainedTarget(c)
				list, err := f.Host("h01").Drains(f.ctx)
				f.must(err)
				f.check(len(list.Drains) == 1, "drains: %+v", list)
				d := list.Drains[0]
				f.check(d.Operator == "ana" && d.Reason == "disk" && d.Target == "prices/t1", "drain: %+v", d)
				f.Store.Faults.SetDown(false)
				time.Sleep(10 * time.Second)
				undone, err := f.Host("h03").Undrain(f.ctx, host.OperatorUndrain{Target: drainedTarget, Operator: "bo"})
				f.must(err)
				f.check(undone.State == wire.DrainStored, "undrain: %+v", undone)
				time.Sleep(30 * time.Second)
				f.postToAllHosts(c)
				f.check(len(f.targets[1].Runs()) > 0, "the target receives no requests after the undrain")
			})
		})
	}
}

// A drain stays in force when a contract removes the target and a later one
// declares it again.
func TestDrainHoldsForANewContract(t *testing.T) {
	runFleetTest(t, 4, 4, func(f *testFleet) {
		c := f.newCaller("shop")
		f.drainThrough("h00")
		f.publish("h01", f.targets[0], f.targets[2], f.targets[3])
		time.Sleep(5 * time.Second)
		f.publish("h01", f.targets...)
		time.Sleep(5 * time.Second)
		f.checkNoRequestsToDrainedTarget(c)
	})
}

// During an outage of the store a drain takes effect on all hosts and is reported
// as not stored. Repeated after the outage, it is stored.
func TestDrainDuringAnOutage(t *testing.T) {
	runFleetTest(t, 6, 4, func(f *testFleet) {
		c := f.newCaller("shop")
		f.Store.Faults.SetDown(true)
		drain := f.drainThrough("h02")
		f.check(drain.State == wire.DrainNotStored && drain.Error != "", "drain: %+v", drain)
		time.Sleep(maxLeaveSignalDelay)
		f.checkNoRequestsToDrainedTarget(c)
		list, err := f.Host("h02").Drains(f.ctx)
		f.must(err)
		f.check(len(list.Drains) == 1 && list.Drains[0].State == wire.DrainNotStored, "drains: %+v", list)
		f.Store.Faults.SetDown(false)
		time.Sleep(10 * time.Second)
		drain = f.drainThrough("h03")
		f.check(drain.State == wire.DrainStored, "drain: %+v", drain)
		f.eventually(5*time.Second, "drain in force on every host", func() bool { return f.revisionInForce(drain.Revision) })
		f.Kill("h02")
		f.must(f.Start("h02"))
		time.Sleep(20 * time.Second)
		f.checkNoRequestsToDrainedTarget(c)
		list, err = f.Host("h02").Drains(f.ctx)
		f.must(err)
		f.check(len(list.Drains) == 1 && list.Drains[0].State == wire.DrainStored, "drains: %+v", list)
	})
}

// A drain that is not stored in the table can be undone only at the host that
// accepted it.
func TestLocalDrainIsUndoneAtItsHost(t *testing.T) {
	runFleetTest(t, 4, 4, func(f *testFleet) {
		c := f.newCaller("shop")
		f.Store.Faults.SetDown(true)
		f.drainThrough("h02")
		time.Sleep(time.Second)
		_, err := f.Host("h01").Undrain(f.ctx, host.OperatorUndrain{Target: drainedTarget, Operator: "ana"})
		f.check(err != nil, "h01 undid the drain that h02 accepted")
		_, err = f.Host("h02").Undrain(f.ctx, host.OperatorUndrain{Target: drainedTarget, Operator: "ana"})
		f.must(err)
		time.Sleep(30 * time.Second)
		f.postToAllHosts(c)
		f.check(len(f.targets[1].Runs()) > 0, "the target receives no requests after the undrain")
	})
}

// When two operators drain and undrain a target concurrently, the table decides
// which one is in force, and all hosts have the same result.
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
			f.check(len(list.Drains) == len(first.Drains), "drains at %s: %+v, at the first host: %+v", name, list, first)
		}
	})
}
