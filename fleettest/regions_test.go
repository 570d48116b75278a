package fleettest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/daemon"
)

// sevenZones are those of two regions, as many as the users expect.
var twoRegionZones = []daemon.ZoneSettings{
	{ID: "lima-a", Region: "lima"}, {ID: "lima-b", Region: "lima"}, {ID: "lima-c", Region: "lima"}, {ID: "lima-d", Region: "lima"},
	{ID: "cusco-a", Region: "cusco"}, {ID: "cusco-b", Region: "cusco"}, {ID: "cusco-c", Region: "cusco"},
}

const (
	// regionHosts are two hosts in each zone.
	hostCount = 14
	// fleetHosts, fleetReads and fleetWrites are the size of the fleet and its
	// greatest rates at the table, a second.
	referenceHosts           = 890
	referenceReadsPerSecond  = 200
	referenceWritesPerSecond = 50
	// window is the time over which rates are compared.
	usageWindow = 20 * time.Second
)

// load of the fleet on the platform, the targets and the network.
type usage struct{ reads, writes, probes, dials int }

func (f *testFleet) totalUsage() usage {
	u := usage{reads: int(f.Reads()), writes: int(f.Writes()), dials: int(f.Network.Dials())}
	for _, t := range f.targets {
		u.probes += t.Probes()
	}
	return u
}

// spend returns what the fleet uses in one window.
func (f *testFleet) usageInWindow() usage {
	before := f.totalUsage()
	time.Sleep(usageWindow)
	after := f.totalUsage()
	return usage{
		reads: after.reads - before.reads, writes: after.writes - before.writes,
		probes: after.probes - before.probes, dials: after.dials - before.dials,
	}
}

// checkNoStorm compares a window with an ordinary one. The table's rates may
// rise by this fleet's share of the greatest, probes may double, and each host
// may open one connection a second more.
func (f *testFleet) checkNoLoadSpike(what string, ordinary, now usage) {
	f.t.Helper()
	seconds := int(usageWindow / time.Second)
	f.check(now.reads <= ordinary.reads+referenceReadsPerSecond*hostCount*seconds/referenceHosts, "%s: reads %+v, before %+v", what, now, ordinary)
	f.check(now.writes <= ordinary.writes+referenceWritesPerSecond*hostCount*seconds/referenceHosts, "%s: writes %+v, before %+v", what, now, ordinary)
	f.check(now.probes <= 2*ordinary.probes, "%s: probes %+v, before %+v", what, now, ordinary)
	f.check(now.dials <= ordinary.dials+hostCount*seconds, "%s: connections %+v, before %+v", what, now, ordinary)
}

// region returns the places of one region: its hosts, and its targets, which
// are one in each zone.
func (f *testFleet) nodesOfRegion(name string) (hosts, targets []string) {
	for i, z := range twoRegionZones {
		if z.Region != name {
			continue
		}
		targets = append(targets, fmt.Sprint("t", i))
		hosts = append(hosts, fmt.Sprintf("h%02d", i), fmt.Sprintf("h%02d", i+len(twoRegionZones)))
	}
	return hosts, targets
}

// loseEachOther cuts two regions off from each other. The store is in the
// first.
func (f *testFleet) partitionRegions(first, second string) {
	hosts, targets := f.nodesOfRegion(first)
	others, otherTargets := f.nodesOfRegion(second)
	for _, a := range append(append([]string{Store}, hosts...), targets...) {
		for _, b := range append(append([]string{}, others...), otherTargets...) {
			f.Network.Cut(a, b)
			f.Network.Cut(b, a)
		}
	}
}

// checkServed checks that each of the hosts serves.
func (f *testFleet) checkHostsServe(c *Caller, hosts []string) {
	f.t.Helper()
	for _, name := range hosts {
		for _, send := range []func() Told{
			func() Told { return f.get(c, name) }, func() Told { return f.post(c, name, "") },
		} {
			told := send()
			f.check(told.Status == http.StatusOK && told.Result == caller.Completed, "%s: %+v", name, told)
		}
	}
}

// servedShare returns how many of the requests through hosts were served.
func (f *testFleet) completedShare(c *Caller, hosts []string, each int) float64 {
	served := 0
	for _, name := range hosts {
		for range each {
			if f.get(c, name).Result == caller.Completed {
				served++
			}
		}
	}
	return float64(served) / float64(each*len(hosts))
}

// allTakeWork reports whether every host sends work to every target.
func (f *testFleet) allTargetsLinked() bool {
	for _, s := range f.Snapshots() {
		if len(s.Services["prices"].Links) != len(f.targets) {
			return false
		}
	}
	return true
}

// Two regions that lose each other both serve, the one without the store under
// the configuration that it has; no request runs in both; and nothing storms
// when they meet again.
func TestRegionPartitionAndRecovery(t *testing.T) {
	runFleetTestInZones(t, twoRegionZones, hostCount, len(twoRegionZones), func(f *testFleet) {
		stop := f.watchRevisions()
		lima, _ := f.nodesOfRegion("lima")
		cusco, _ := f.nodesOfRegion("cusco")
		c := f.newCaller("shop")
		time.Sleep(time.Minute)
		l := f.startLoad(2, 200*time.Millisecond, f.Names()...)
		f.usageInWindow() // links and ledgers warm up
		ordinary := f.usageInWindow()

		id := f.Host(lima[0]).IDPrefix() + "across"
		f.partitionRegions("lima", "cusco")
		f.post(c, cusco[0], id)
		f.post(c, lima[0], id)
		f.checkNoLoadSpike("regions lost", ordinary, f.usageInWindow())
		old := f.contractVersion
		f.publish(lima[1], f.targets...)
		time.Sleep(time.Minute)
		f.checkNoLoadSpike("regions apart", ordinary, f.usageInWindow())
		f.checkHostsServe(c, lima)
		for name, s := range f.Snapshots() {
			want := f.contractVersion
			if strings.Contains(strings.Join(cusco, " "), name) {
				want = old
			}
			f.check(s.Revision == want, "%s serves revision %d, not %d", name, s.Revision, want)
		}

		f.Network.HealAll()
		f.checkNoLoadSpike("regions met", ordinary, f.usageInWindow())
		f.check(f.revisionInForce(f.contractVersion), "the change is not in force after %s", usageWindow)
		f.checkNoLoadSpike("after the meeting", ordinary, f.usageInWindow())
		for _, name := range []string{cusco[1], lima[0], lima[1]} {
			f.post(c, name, id)
		}
		f.check(f.runCount(id) <= 1, "ran %d times", f.runCount(id))
		f.eventually(3*time.Minute, "all targets take work", f.allTargetsLinked)
		l.stopAndWait()
		stop()
	})
}

// A region that has lost the other one has targets enough for every request.
func TestRegionWithoutTheStoreServesEveryRequest(t *testing.T) {
	runFleetTestInZones(t, twoRegionZones, hostCount, len(twoRegionZones), func(f *testFleet) {
		cusco, _ := f.nodesOfRegion("cusco")
		c := f.newCaller("shop")
		time.Sleep(time.Minute)
		l := f.startLoad(2, 200*time.Millisecond, f.Names()...)
		f.partitionRegions("lima", "cusco")
		time.Sleep(80 * time.Second)
		served := f.completedShare(c, cusco, 20)
		f.check(served == 1, "the region without the store serves %.1f%% at the first try", 100*served)
		l.stopAndWait()
	})
}

// A zone whose hosts and targets are all lost at once, and back at once.
func TestZoneLossAndRecovery(t *testing.T) {
	runFleetTestInZones(t, twoRegionZones, hostCount, len(twoRegionZones), func(f *testFleet) {
		stop := f.watchRevisions()
		c := f.newCaller("shop")
		time.Sleep(time.Minute)
		l := f.startLoad(2, 200*time.Millisecond, f.Names()...)
		f.usageInWindow()
		ordinary := f.usageInWindow()

		lost := []string{"h01", "h08"} // of zone lima-b, like t1
		f.Network.Kill("t1")
		for _, name := range lost {
			f.Kill(name)
		}
		f.checkNoLoadSpike("zone lost", ordinary, f.usageInWindow())
		f.checkNoLoadSpike("zone away", ordinary, f.usageInWindow())
		f.checkHostsServe(c, f.Names())

		f.Network.Revive("t1")
		for _, name := range lost {
			f.must(f.Start(name))
		}
		f.checkNoLoadSpike("zone back", ordinary, f.usageInWindow())
		f.check(f.revisionInForce(f.contractVersion), "the hosts are not ready after %s", usageWindow)
		f.checkHostsServe(c, f.Names())
		f.eventually(3*time.Minute, "all targets take work", f.allTargetsLinked)
		l.stopAndWait()
		stop()
	})
}
