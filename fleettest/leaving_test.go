package fleettest

import (
	"testing"
	"time"
)

// signTime is how old a sign may be when a target still gets new work.
const leaveSignalTimeout = 3 * time.Second

// postToAll sends non-idempotent requests to every host, so many that each
// target would get some.
func (f *testFleet) postToAllHosts(c *Caller) {
	for _, name := range f.Names() {
		for range 12 {
			f.post(c, name, "")
		}
	}
}

// Promise: a target that is leaving receives no new work after a few seconds.
// Each case is a host that was not told of the sign when it came; run returns
// when the sign is older than signTime.
func TestHostThatMissedTheLeaveSignalSendsNoNewRequests(t *testing.T) {
	cases := []struct {
		name string
		run  func(*testFleet, *Caller)
	}{
		{"no traffic before", func(f *testFleet, _ *Caller) {
			f.targets[1].Behave(Behaviour{Leaving: true})
			time.Sleep(leaveSignalTimeout + time.Second)
		}},
		{"last traffic long ago", func(f *testFleet, c *Caller) {
			f.postToAllHosts(c)
			time.Sleep(5 * time.Minute)
			f.targets[1].Behave(Behaviour{Leaving: true})
			time.Sleep(leaveSignalTimeout + time.Second)
		}},
		{"joined after the sign", func(f *testFleet, _ *Caller) {
			f.targets[1].Behave(Behaviour{Leaving: true})
			time.Sleep(leaveSignalTimeout + time.Second)
			for _, name := range []string{"h06", "h07"} {
				f.must(f.Start(name))
			}
			f.eventually(10*time.Second, "ready", func() bool { return f.revisionInForce(f.contractVersion) })
		}},
		{"messages lost as the sign came", func(f *testFleet, c *Caller) {
			f.postToAllHosts(c)
			outside, inside := f.splitByEntrySet()
			for _, from := range inside {
				f.Network.Cut(from, outside)
			}
			f.targets[1].Behave(Behaviour{Leaving: true})
			time.Sleep(leaveSignalTimeout + time.Second)
			f.Network.HealAll()
		}},
		{"messages within the set lost as the sign came", func(f *testFleet, _ *Caller) {
			_, inside := f.splitByEntrySet()
			for _, from := range inside {
				for _, to := range inside {
					f.Network.Cut(from, to)
				}
			}
			f.targets[1].Behave(Behaviour{Leaving: true})
			time.Sleep(leaveSignalTimeout + time.Second)
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
				late := len(f.targets[1].Runs()) - before
				f.check(late == 0, "%d requests after the sign was %s old", late, leaveSignalTimeout)
				f.check(len(f.targets[0].Runs()) > 0, "no target got work")
			})
		})
	}
}
