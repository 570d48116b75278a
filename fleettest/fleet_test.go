package fleettest

import (
	"testing"
	"time"
)

// Tests and their load list the hosts of a fleet and then look them up by name. A
// host that was killed in between is nil there and missing from the snapshots.
func TestHostsMayEndWhileTheFleetIsObserved(t *testing.T) {
	runFleetTest(t, 3, 1, func(f *testFleet) {
		names := f.Names()
		f.Kill("h01")
		for _, name := range names {
			f.check((f.Host(name) == nil) == (name == "h01"), "unexpected state of host %s", name)
		}
		f.check(len(f.Snapshots()) == 2, "%d snapshots, want 2", len(f.Snapshots()))
		l := f.startLoad(1, 10*time.Millisecond, names...)
		time.Sleep(time.Second)
		l.stopAndWait()
	})
}
