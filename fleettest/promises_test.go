package fleettest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocushinge/crocushinge/caller"
)

// load keeps sending requests through hosts until it is stopped.
type load struct {
	cancel  context.CancelFunc
	senders sync.WaitGroup
}

func (l *load) stopAndWait() {
	l.cancel()
	l.senders.Wait()
}

// start makes callers, each at a place of its own, send requests through the
// given hosts in turn. Every other request is non-idempotent.
func (f *testFleet) startLoad(callers int, pause time.Duration, hosts ...string) *load {
	ctx, stop := context.WithCancel(f.ctx)
	l := &load{cancel: stop}
	for i := range callers {
		c := f.newCaller(fmt.Sprint("caller", i))
		l.senders.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				name := hosts[n%len(hosts)]
				if d := f.Host(name); d != nil {
					f.sendRequest(c, d.Self().Address, n%2 == 0)
				}
				time.Sleep(pause)
			}
		})
	}
	return l
}

// sendEither sends an idempotent request or a non-idempotent one.
func (f *testFleet) sendRequest(c *Caller, address string, idempotent bool) {
	if idempotent {
		c.Send(f.ctx, address, http.MethodGet, "/prices/1", "")
		return
	}
	c.Send(f.ctx, address, http.MethodPost, "/prices/orders", "")
}

func TestEveryHostServes(t *testing.T) {
	runFleetTest(t, 6, 3, func(f *testFleet) {
		c := f.newCaller("shop")
		for _, name := range f.Names() {
			told := f.get(c, name)
			f.check(told.Status == http.StatusOK && told.Result == caller.Completed, "%s: %+v", name, told)
			told = f.post(c, name, "")
			f.check(told.Status == http.StatusOK && f.runCount(told.ID) == 1, "%s: %+v", name, told)
		}
	})
}

// Promise: ejecting targets never pushes a service's healthy capacity below
// its declared floor, in any single host's view.
func TestFloorHoldsInEveryHostsView(t *testing.T) {
	runFleetTest(t, 5, 5, func(f *testFleet) {
		l := f.startLoad(6, 20*time.Millisecond, f.Names()...)
		f.Network.Cut("h01", "h02")
		f.Network.Cut("h03", "t4")
		fewest := len(f.targets)
		for i := range 600 {
			// One after the other: failures of most targets at once count as
			// a disturbance of the whole service.
			if i%100 == 0 && i < 400 {
				f.targets[i/100].Behave(Behaviour{Fail: true})
			}
			time.Sleep(50 * time.Millisecond)
			for _, name := range f.Names() {
				ejected := f.ejectedTargets(name)
				fewest = min(fewest, len(f.targets)-ejected)
				f.check(len(f.targets)-ejected >= 3, "%s ejected %d of 5 targets at a floor of 60%%", name, ejected)
			}
		}
		f.check(fewest == 3, "the floor was not reached: %d of 5 targets left", fewest)
		f.Network.HealAll()
		l.stopAndWait()
	})
}

// ejectedBy counts the targets that a host keeps out of its routing set.
func (f *testFleet) ejectedTargets(name string) int {
	ejected := 0
	for _, e := range f.Host(name).Events() {
		if e.Service != "prices" || e.Kind != "target-state-changed" {
			continue
		}
		if e.To == "ejected" {
			ejected++
		}
		if e.From == "ejected" {
			ejected--
		}
	}
	return ejected
}

// Promises: every caller receives the whole answer to its own request; what it
// is told was not run, was not run; a non-idempotent request runs at most
// once. All are checked at the end by Broken.
func TestResponsesAreCorrectUnderFaults(t *testing.T) {
	faults := []struct {
		name  string
		fault func(*testFleet)
	}{
		{"host killed", func(f *testFleet) { f.Kill("h01") }},
		{"host replaced", func(f *testFleet) { f.Kill("h01"); f.must(f.Start("h01")) }},
		{"target killed", func(f *testFleet) { f.Network.Kill("t1") }},
		{"target truncates", func(f *testFleet) { f.targets[0].Behave(Behaviour{Truncate: true}) }},
		{"target fails", func(f *testFleet) { f.targets[0].Behave(Behaviour{Fail: true}) }},
		{"answers of a target are late", func(f *testFleet) {
			f.Network.Cut("t1", "h02")
			time.Sleep(3 * time.Second)
			f.Network.Heal("t1", "h02")
		}},
		{"requests to a target are late", func(f *testFleet) {
			f.Network.Cut("h02", "t1")
			time.Sleep(7 * time.Second)
			f.Network.Heal("h02", "t1")
		}},
		{"host paused", func(f *testFleet) {
			f.Network.Pause("h02")
			time.Sleep(8 * time.Second)
			f.Network.Resume("h02")
		}},
		{"store away and one-way cut", func(f *testFleet) {
			f.Store.Faults.Down(true)
			f.Network.Cut("h00", "h01")
		}},
		{"two at once", func(f *testFleet) {
			f.Network.Pause("t2")
			f.Kill("h03")
			time.Sleep(6 * time.Second)
			f.Network.Resume("t2")
		}},
	}
	for _, tt := range faults {
		t.Run(tt.name, func(t *testing.T) {
			runFleetTest(t, 4, 3, func(f *testFleet) {
				l := f.startLoad(8, 30*time.Millisecond, "h00", "h01", "h02", "h03")
				time.Sleep(time.Second)
				tt.fault(f)
				time.Sleep(10 * time.Second)
				f.Network.HealAll()
				l.stopAndWait()
				f.check(len(f.callers[0].Told()) > 50, "the caller sent %d requests only", len(f.callers[0].Told()))
			})
		})
	}
}

// Promise: a non-idempotent request runs at most once, also when the caller
// repeats it at other hosts while its home host is paused, gone or replaced.
func TestRepeatedRequestRunsAtMostOnce(t *testing.T) {
	runFleetTest(t, 4, 3, func(f *testFleet) {
		c := f.newCaller("shop")
		id := func(nonce string) string { return f.Host("h01").IDPrefix() + nonce }

		f.check(f.post(c, "h01", id("a")).Result == caller.Completed, "first sending")
		for _, name := range f.Names() {
			f.post(c, name, id("a"))
		}
		f.check(f.runCount(id("a")) == 1, "ran %d times", f.runCount(id("a")))

		paused, gone := id("b"), id("c")
		f.Network.Pause("h01")
		told := f.post(c, "h02", paused)
		f.check(told.Result == caller.Unknown || told.Result == caller.NotRun, "home paused: %+v", told)
		f.Network.Resume("h01")
		time.Sleep(5 * time.Second)
		f.post(c, "h03", paused)
		f.check(f.runCount(paused) <= 1, "ran %d times", f.runCount(paused))

		f.Kill("h01")
		told = f.post(c, "h02", gone)
		f.check(told.Result == caller.Unknown, "home gone: %+v", told)
		f.must(f.Start("h01"))
		time.Sleep(5 * time.Second)
		told = f.post(c, "h01", gone)
		f.check(told.Result == caller.Unknown && f.runCount(gone) == 0, "home replaced: %+v", told)
	})
}

// Promise: a target that is leaving receives no new work after a few seconds,
// also from hosts that are cut off from the one that saw the sign.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	runFleetTest(t, 5, 4, func(f *testFleet) {
		f.Network.Cut("h00", "h03")
		f.Network.Cut("h03", "h00")
		f.Network.Cut("h04", "h01")
		l := f.startLoad(5, 50*time.Millisecond, f.Names()...)
		time.Sleep(2 * time.Second)
		f.check(len(f.targets[1].Runs()) > 0, "the target had no work before")
		f.targets[1].Behave(Behaviour{Leaving: true})
		time.Sleep(3 * time.Second)
		before := len(f.targets[1].Runs())
		time.Sleep(20 * time.Second)
		l.stopAndWait()
		f.check(len(f.targets[1].Runs()) == before, "%d requests after the sign was 3 s old", len(f.targets[1].Runs())-before)
		f.Network.HealAll()
	})
}

// Promise: a graceful shutdown cuts no request in flight. Callers keep their
// answers of the directory for as long as they may.
func TestGracefulShutdownCompletesRequestsInFlight(t *testing.T) {
	runFleetTest(t, 3, 3, func(f *testFleet) {
		for _, target := range f.targets {
			target.Behave(Behaviour{Delay: 300 * time.Millisecond})
		}
		address := f.addressOf("h01")
		c := f.newCaller("shop")
		stopped := make(chan struct{})
		go func() {
			time.Sleep(time.Second)
			f.Stop("h01")
			close(stopped)
		}()
		var callers sync.WaitGroup
		for range 4 {
			callers.Go(func() {
				for end := time.Now().Add(12 * time.Second); time.Now().Before(end); {
					told := c.Send(f.ctx, address, http.MethodPost, "/prices/orders", "")
					f.check(told.Err == nil && told.Result == caller.Completed, "told %+v", told)
				}
			})
		}
		time.Sleep(3 * time.Second)
		for _, name := range []string{"h00", "h02"} {
			for _, h := range f.Host(name).Snapshot().Directory {
				f.check(h.ID != "h01", "%s still names the leaving host", name)
			}
		}
		callers.Wait()
		<-stopped
		_, ran := len(c.Told()), 0
		for _, told := range c.Told() {
			ran += f.runCount(told.ID)
		}
		f.check(ran == len(c.Told()) && ran > 50, "%d of %d requests ran", ran, len(c.Told()))
	})
}

// A host outside the entry set passes an idempotent request on to the set, and
// serves it itself while no host of the set answers.
func TestHostOutsideTheEntrySetForwards(t *testing.T) {
	runFleetTest(t, 6, 3, func(f *testFleet) {
		outside, inside := f.splitByEntrySet()
		c := f.newCaller("shop")
		told := f.get(c, outside)
		f.check(told.Status == http.StatusOK, "%+v", told)
		f.check(f.bytesToTargets(outside) == 0, "%s went to a target itself", outside)
		for _, name := range inside {
			f.Network.Cut(outside, name)
		}
		told = f.get(c, outside)
		f.check(f.bytesToTargets(outside) > 0, "%s did not serve", outside)
		f.check(told.Status == http.StatusOK && told.Result == caller.Completed, "the set is cut off: %+v", told)
	})
}

// frontsOrNot returns a host outside the entry set of the service, and those
// inside.
func (f *testFleet) splitByEntrySet() (outside string, inside []string) {
	for _, name := range f.Names() {
		if f.Host(name).Snapshot().IsEntryHost("prices") {
			inside = append(inside, name)
		} else {
			outside = name
		}
	}
	return outside, inside
}

// carried returns the bytes that a host has sent to the targets.
func (f *testFleet) bytesToTargets(name string) uint64 {
	return f.Network.Bytes(func(from, to string) bool { return from == name && strings.HasPrefix(to, "t") })
}
