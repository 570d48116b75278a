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

// load sends requests through hosts until it is stopped.
type load struct {
	cancel  context.CancelFunc
	senders sync.WaitGroup
}

// stopAndWait stops the load and waits for its requests in flight.
func (l *load) stopAndWait() {
	l.cancel()
	l.senders.Wait()
}

// startLoad starts callers, each at a node of its own, that send requests through
// the given hosts in turn. Every second request is non-idempotent.
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

// sendRequest sends an idempotent or a non-idempotent request.
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
			response := f.get(c, name)
			f.check(response.Status == http.StatusOK && response.Result == caller.Completed, "%s: %+v", name, response)
			response = f.post(c, name, "")
			f.check(response.Status == http.StatusOK && f.runCount(response.ID) == 1, "%s: %+v", name, response)
		}
	})
}

// Guarantee: on no host does ejection reduce a service's healthy capacity below its
// declared floor.
func TestFloorHoldsInEveryHostsView(t *testing.T) {
	runFleetTest(t, 5, 5, func(f *testFleet) {
		l := f.startLoad(6, 20*time.Millisecond, f.Names()...)
		f.Network.Cut("h01", "h02")
		f.Network.Cut("h03", "t4")
		fewest := len(f.targets)
		for i := range 600 {
			// The targets start to fail one after the other: simultaneous
			// failures of most targets count as a disturbance of the whole
			// service.
			if i%100 == 0 && i < 400 {
				f.targets[i/100].SetBehavior(Behavior{Fail: true})
			}
			time.Sleep(50 * time.Millisecond)
			for _, name := range f.Names() {
				ejected := f.ejectedTargets(name)
				fewest = min(fewest, len(f.targets)-ejected)
				f.check(len(f.targets)-ejected >= 3, "%s ejected %d of 5 targets at a floor of 60%%", name, ejected)
			}
		}
		f.check(fewest == 3, "the test did not reach the floor of 3: %d of 5 targets were left", fewest)
		f.Network.HealAll()
		l.stopAndWait()
	})
}

// ejectedTargets returns how many targets a host has ejected, by its events.
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

// Guarantees: every caller receives the complete response to its own request; a
// request reported as not run did not run; a non-idempotent request runs at most
// once. CheckGuarantees checks them all at the end.
func TestResponsesAreCorrectUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		inject func(*testFleet)
	}{
		{"host killed", func(f *testFleet) { f.Kill("h01") }},
		{"host replaced", func(f *testFleet) { f.Kill("h01"); f.must(f.Start("h01")) }},
		{"target killed", func(f *testFleet) { f.Network.Kill("t1") }},
		{"target truncates", func(f *testFleet) { f.targets[0].SetBehavior(Behavior{Truncate: true}) }},
		{"target fails", func(f *testFleet) { f.targets[0].SetBehavior(Behavior{Fail: true}) }},
		{"responses of a target are late", func(f *testFleet) {
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
		{"store down and one-way cut", func(f *testFleet) {
			f.Store.Faults.SetDown(true)
			f.Network.Cut("h00", "h01")
		}},
		{"target paused and host killed", func(f *testFleet) {
			f.Network.Pause("t2")
			f.Kill("h03")
			time.Sleep(6 * time.Second)
			f.Network.Resume("t2")
		}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			runFleetTest(t, 4, 3, func(f *testFleet) {
				l := f.startLoad(8, 30*time.Millisecond, "h00", "h01", "h02", "h03")
				time.Sleep(time.Second)
				tt.inject(f)
				time.Sleep(10 * time.Second)
				f.Network.HealAll()
				l.stopAndWait()
				f.check(len(f.callers[0].Responses()) > 50, "the caller sent only %d requests", len(f.callers[0].Responses()))
			})
		})
	}
}

// Guarantee: a non-idempotent request runs at most once, also when the caller
// repeats it at other hosts while its home host is paused, killed or replaced.
func TestRepeatedRequestRunsAtMostOnce(t *testing.T) {
	runFleetTest(t, 4, 3, func(f *testFleet) {
		c := f.newCaller("shop")
		id := func(nonce string) string { return f.Host("h01").IDPrefix() + nonce }

		f.check(f.post(c, "h01", id("a")).Result == caller.Completed, "the first request did not complete")
		for _, name := range f.Names() {
			f.post(c, name, id("a"))
		}
		f.check(f.runCount(id("a")) == 1, "the request ran %d times", f.runCount(id("a")))

		pausedID, killedID := id("b"), id("c")
		f.Network.Pause("h01")
		response := f.post(c, "h02", pausedID)
		f.check(response.Result == caller.Unknown || response.Result == caller.NotRun, "home host paused: %+v", response)
		f.Network.Resume("h01")
		time.Sleep(5 * time.Second)
		f.post(c, "h03", pausedID)
		f.check(f.runCount(pausedID) <= 1, "the request ran %d times", f.runCount(pausedID))

		f.Kill("h01")
		response = f.post(c, "h02", killedID)
		f.check(response.Result == caller.Unknown, "home host killed: %+v", response)
		f.must(f.Start("h01"))
		time.Sleep(5 * time.Second)
		response = f.post(c, "h01", killedID)
		f.check(response.Result == caller.Unknown && f.runCount(killedID) == 0, "home host replaced: %+v", response)
	})
}

// Guarantee: a leaving target receives no new requests after a few seconds, also
// from hosts that are cut off from the one that received the leave signal.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	runFleetTest(t, 5, 4, func(f *testFleet) {
		f.Network.Cut("h00", "h03")
		f.Network.Cut("h03", "h00")
		f.Network.Cut("h04", "h01")
		l := f.startLoad(5, 50*time.Millisecond, f.Names()...)
		time.Sleep(2 * time.Second)
		f.check(len(f.targets[1].Runs()) > 0, "the target received no requests before it was leaving")
		f.targets[1].SetBehavior(Behavior{Leaving: true})
		time.Sleep(3 * time.Second)
		before := len(f.targets[1].Runs())
		time.Sleep(20 * time.Second)
		l.stopAndWait()
		f.check(len(f.targets[1].Runs()) == before, "%d requests when the leave signal was older than 3 s", len(f.targets[1].Runs())-before)
		f.Network.HealAll()
	})
}

// Guarantee: a graceful shutdown interrupts no request in flight. The callers here
// use the leaving host for 12 s, as callers with a cached directory response do.
func TestGracefulShutdownCompletesRequestsInFlight(t *testing.T) {
	runFleetTest(t, 3, 3, func(f *testFleet) {
		for _, target := range f.targets {
			target.SetBehavior(Behavior{Delay: 300 * time.Millisecond})
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
					response := c.Send(f.ctx, address, http.MethodPost, "/prices/orders", "")
					f.check(response.Err == nil && response.Result == caller.Completed, "response: %+v", response)
				}
			})
		}
		time.Sleep(3 * time.Second)
		for _, name := range []string{"h00", "h02"} {
			for _, h := range f.Host(name).Snapshot().Directory {
				f.check(h.ID != "h01", "the directory of %s still lists the leaving host", name)
			}
		}
		callers.Wait()
		<-stopped
		_, ran := len(c.Responses()), 0
		for _, response := range c.Responses() {
			ran += f.runCount(response.ID)
		}
		f.check(ran == len(c.Responses()) && ran > 50, "%d of %d requests ran", ran, len(c.Responses()))
	})
}

// A host outside the entry set forwards an idempotent request to an entry host. If
// no entry host responds, it sends the request to a target itself.
func TestHostOutsideTheEntrySetForwards(t *testing.T) {
	runFleetTest(t, 6, 3, func(f *testFleet) {
		outside, entryHosts := f.splitByEntrySet()
		c := f.newCaller("shop")
		response := f.get(c, outside)
		f.check(response.Status == http.StatusOK, "response: %+v", response)
		f.check(f.bytesToTargets(outside) == 0, "%s sent the request to a target itself", outside)
		for _, name := range entryHosts {
			f.Network.Cut(outside, name)
		}
		response = f.get(c, outside)
		f.check(f.bytesToTargets(outside) > 0, "%s did not send the request to a target", outside)
		f.check(response.Status == http.StatusOK && response.Result == caller.Completed, "entry set cut off: %+v", response)
	})
}

// splitByEntrySet returns a host outside the entry set of the service, and the
// entry hosts.
func (f *testFleet) splitByEntrySet() (outside string, entryHosts []string) {
	for _, name := range f.Names() {
		if f.Host(name).Snapshot().IsEntryHost("prices") {
			entryHosts = append(entryHosts, name)
		} else {
			outside = name
		}
	}
	return outside, entryHosts
}

// bytesToTargets returns the number of bytes that a host has sent to targets.
func (f *testFleet) bytesToTargets(name string) uint64 {
	return f.Network.Bytes(func(from, to string) bool { return from == name && strings.HasPrefix(to, "t") })
}
