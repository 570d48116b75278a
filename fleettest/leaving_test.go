package fleettest

import (
	"testing"
	"time"
)

// maxLeaveSignalDelay is the maximum time from a target's leave signal until no
// host sends it new requests.
const maxLeaveSignalDelay = 3 * time.Second

// postToAllHosts sends non-idempotent requests to every host, enough for each
// target to receive some.
func (f *testFleet) postToAllHosts(c *Caller) {
	for _, name := range f.Names() {
		for range 12 {
			f.post(c, name, "")
		}
	}
}

// Guarantee: a leaving target receives no new requests after a few seconds. In
// each case some hosts did not learn of the leave signal when it was first sent;
// run returns when the signal is older than maxLeaveSignalDelay.
func TestHostThatMissedTheLeaveSignalSendsNoNewRequests(t *testing.T) {
	cases := []struct {
		name string
		run  func(*testFleet, *Caller)
	}{
		{"no traffic before", func(f *testFleet, _ *Caller) {
			f.targets[1].SetBehavior(Behavior{Leaving: true})
			time.Sleep(maxLeaveSignalDelay + time.Second)
		}},
		{"last traffic long ago", func(f *testFleet, c *Caller) {
			f.postToAllHosts(c)
			time.Sleep(5 * time.Minute)
			f.targets[1].SetBehavior(Behavior{Leaving: true})
			time.Sleep(maxLeaveSignalDelay + time.Second)
		}},
		{"joined after the leave signal", func(f *testFleet, _ *Caller) {
			f.targets[1].SetBehavior(Behavior{Leaving: true})
			time.Sleep(maxLeaveSignalDelay + time.Second)
			for _, name := range []string{"h06", "h07"} {
				f.must(f.Start(name))
			}
			f.eventually(10*time.Second, "host ready", func() bool { return f.revisionInForce(f.contractVersion) })
		}},
		{"messages from the entry set lost at the leave signal", func(f *testFleet, c *Caller) {
			f.postToAllHosts(c)
			outside, entryHosts := f.splitByEntrySet()
			for _, from := range entryHosts {
				f.Network.Cut(from, outside)
			}
			f.targets[1].SetBehavior(Behavior{Leaving: true})
			time.Sleep(maxLeaveSignalDelay + time.Second)
			f.Network.HealAll()
		}},
		{"messages within the entry set lost at the leave signal", func(f *testFleet, _ *Caller) {
			_, entryHosts := f.splitByEntrySet()
			for _, from := range entryHosts {
				for _, to := range entryHosts {
					f.Network.Cut(from, to)
				}
			}
			f.targets[1].SetBehavior(Behavior{Leaving: true})
			time.Sleep(maxLeaveSignalDelay + time.Second)
			f.Network.HealAll()
			time.Sleep(3 * time.Second)
		}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			runFleetTest(t, 6, 4, func(f *testFleet) {
				c := f.newCaller("shop")
				tt.run(f, c)
				before := len(f.targets[1].Runs())
				f.postToAllHosts(c)
				received := len(f.targets[1].Runs()) - before
				f.check(received == 0, "%d requests when the leave signal was older than %s", received, maxLeaveSignalDelay)
				f.check(len(f.targets[0].Runs()) > 0, "target t0 received no requests")
			})
		})
	}
}
