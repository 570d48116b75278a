package fleettest

import (
	"testing"
	"time"
)

// Whoever watches a fleet meets hosts that end meanwhile.
func TestHostsMayEndWhileTheFleetIsObserved(t *testing.T) {
	runFleetTest(t, 3, 1, func(f *testFleet) {
		names := f.Names()
		f.Kill("h01")
		for _, name := range names {
			f.check((f.Host(name) == nil) == (name == "h01"), "host %s", name)
		}
		f.check(len(f.Snapshots()) == 2, "%d snapshots", len(f.Snapshots()))
		l := f.startLoad(1, 10*time.Millisecond, names...)
		time.Sleep(time.Second)
		l.stopAndWait()
	})
}
