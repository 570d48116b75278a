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

// twoRegionZones are the seven zones of two regions that the users expect.
var twoRegionZones = []daemon.ZoneSettings{
	{ID: "lima-a", Region: "lima"}, {ID: "lima-b", Region: "lima"}, {ID: "lima-c", Region: "lima"}, {ID: "lima-d", Region: "lima"},
	{ID: "cusco-a", Region: "cusco"}, {ID: "cusco-b", Region: "cusco"}, {ID: "cusco-c", Region: "cusco"},
}

const (
	// hostCount is the number of hosts of the fleet, two in each zone.
	hostCount = 14
	// referenceHosts is the size of the reference fleet. The next two
	// constants are its maximum rates at the table.
	referenceHosts           = 890
	referenceReadsPerSecond  = 200
	referenceWritesPerSecond = 50
	// usageWindow is the time over which usage is compared.
	usageWindow = 20 * time.Second
)

// usage counts the table reads and writes, probes and connections of the fleet.
type usage struct{ reads, writes, probes, dials int }

func (f *testFleet) totalUsage() usage {
	u := usage{reads: int(f.Reads()), writes: int(f.Writes()), dials: int(f.Network.Dials())}
	for _, t := range f.targets {
		u.probes += t.Probes()
	}
	return u
}

// usageInWindow waits for one usageWindow and returns the usage in it.
func (f *testFleet) usageInWindow() usage {
	before := f.totalUsage()
	time.Sleep(usageWindow)
	after := f.totalUsage()
	return usage{
		reads: after.reads - before.reads, writes: after.writes - before.writes,
		probes: after.probes - before.probes, dials: after.dials - before.dials,
	}
}

// checkNoLoadSpike compares the usage in a window with a window without faults. The
// rates at the table may rise by this fleet's share of the reference fleet's maximum,
// probes may double, and each host may open one more connection per second.
func (f *testFleet) checkNoLoadSpike(phase string, baseline, current usage) {
	f.t.Helper()
	seconds := int(usageWindow / time.Second)
	f.check(current.reads <= baseline.reads+referenceReadsPerSecond*hostCount*seconds/referenceHosts, "%s: reads %+v, without faults %+v", phase, current, baseline)
	f.check(current.writes <= baseline.writes+referenceWritesPerSecond*hostCount*seconds/referenceHosts, "%s: writes %+v, without faults %+v", phase, current, baseline)
	f.check(current.probes <= 2*baseline.probes, "%s: probes %+v, without faults %+v", phase, current, baseline)
	f.check(current.dials <= baseline.dials+hostCount*seconds, "%s: connections %+v, without faults %+v", phase, current, baseline)
}

// nodesOfRegion returns the hosts and the targets of a region. There are two hosts
// and one target in each zone.
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

// partitionRegions cuts all traffic between two regions. The store is in the first
// one.
func (f *testFleet) partitionRegions(first, second string) {
	hosts, targets := f.nodesOfRegion(first)
	others, otherTargets := f.nodesOfRegion(second)
	for _, near := range append(append([]string{StoreNode}, hosts...), targets...) {
		for _, far := range append(append([]string{}, others...), otherTargets...) {
			f.Network.Cut(near, far)
			f.Network.Cut(far, near)
		}
	}
}

// checkHostsServe checks that each of the hosts completes a GET and a POST request.
func (f *testFleet) checkHostsServe(c *Caller, hosts []string) {
	f.t.Helper()
	for _, name := range hosts {
		for _, send := range []func() Response{
			func() Response { return f.get(c, name) }, func() Response { return f.post(c, name, "") },
		} {
			response := send()
			f.check(response.Status == http.StatusOK && response.Result == caller.Completed, "%s: %+v", name, response)
		}
	}
}

// completedShare sends requests through hosts, the given number through each, and
// returns the share that completed.
func (f *testFleet) completedShare(c *Caller, hosts []string, requestsPerHost int) float64 {
	completed := 0
	for _, name := range hosts {
		for range requestsPerHost {
			if f.get(c, name).Result == caller.Completed {
				completed++
			}
		}
	}
	return float64(completed) / float64(requestsPerHost*len(hosts))
}

// allTargetsRouted reports whether every host routes requests to every target.
func (f *testFleet) allTargetsRouted() bool {
	for _, s := range f.Snapshots() {
		if len(s.Services["prices"].Links) != len(f.targets) {
			return false
		}
	}
	return true
}

// Two regions that are partitioned both serve requests, the one without the store
// with its last configuration. A request that is sent in both regions runs at most
// once, and neither the partition nor its end causes a load spike.
func TestRegionPartitionAndRecovery(t *testing.T) {
	runFleetTestInZones(t, twoRegionZones, hostCount, len(twoRegionZones), func(f *testFleet) {
		stop := f.watchRevisions()
		lima, _ := f.nodesOfRegion("lima")
		cusco, _ := f.nodesOfRegion("cusco")
		c := f.newCaller("shop")
		time.Sleep(time.Minute)
		l := f.startLoad(2, 200*time.Millisecond, f.Names()...)
		f.usageInWindow() // warm-up of links and ledgers
		baseline := f.usageInWindow()

		id := f.Host(lima[0]).IDPrefix() + "across"
		f.partitionRegions("lima", "cusco")
		f.post(c, cusco[0], id)
		f.post(c, lima[0], id)
		f.checkNoLoadSpike("partition starts", baseline, f.usageInWindow())
		oldVersion := f.contractVersion
		f.publish(lima[1], f.targets...)
		time.Sleep(time.Minute)
		f.checkNoLoadSpike("partition lasts", baseline, f.usageInWindow())
		f.checkHostsServe(c, lima)
		for name, s := range f.Snapshots() {
			want := f.contractVersion
			if strings.Contains(strings.Join(cusco, " "), name) {
				want = oldVersion
			}
			f.check(s.Revision == want, "%s serves revision %d, want %d", name, s.Revision, want)
		}

		f.Network.HealAll()
		f.checkNoLoadSpike("partition ends", baseline, f.usageInWindow())
		f.check(f.revisionInForce(f.contractVersion), "the change is not in force on every host %s after the partition", usageWindow)
		f.checkNoLoadSpike("after the partition", baseline, f.usageInWindow())
		for _, name := range []string{cusco[1], lima[0], lima[1]} {
			f.post(c, name, id)
		}
		f.check(f.runCount(id) <= 1, "the request ran %d times", f.runCount(id))
		f.eventually(3*time.Minute, "all hosts route to all targets", f.allTargetsRouted)
		l.stopAndWait()
		stop()
	})
}

// A region that is cut off from the other one and from the store has enough
// routable targets for every request.
func TestRegionWithoutTheStoreServesEveryRequest(t *testing.T) {
	runFleetTestInZones(t, twoRegionZones, hostCount, len(twoRegionZones), func(f *testFleet) {
		cusco, _ := f.nodesOfRegion("cusco")
		c := f.newCaller("shop")
		time.Sleep(time.Minute)
		l := f.startLoad(2, 200*time.Millisecond, f.Names()...)
		f.partitionRegions("lima", "cusco")
		time.Sleep(80 * time.Second)
		share := f.completedShare(c, cusco, 20)
		f.check(share == 1, "the region without the store completes %.1f%% of requests at the first attempt", 100*share)
		l.stopAndWait()
	})
}

// All hosts and targets of a zone fail at once and return at once. The remaining
// hosts serve requests, and neither event causes a load spike.
func TestZoneLossAndRecovery(t *testing.T) {
	runFleetTestInZones(t, twoRegionZones, hostCount, len(twoRegionZones), func(f *testFleet) {
		stop := f.watchRevisions()
		c := f.newCaller("shop")
		time.Sleep(time.Minute)
		l := f.startLoad(2, 200*time.Millisecond, f.Names()...)
		f.usageInWindow()
		baseline := f.usageInWindow()

		lost := []string{"h01", "h08"} // in zone lima-b, like t1
		f.Network.Kill("t1")
		for _, name := range lost {
			f.Kill(name)
		}
		f.checkNoLoadSpike("zone lost", baseline, f.usageInWindow())
		f.checkNoLoadSpike("zone still lost", baseline, f.usageInWindow())
		f.checkHostsServe(c, f.Names())

		f.Network.Revive("t1")
		for _, name := range lost {
			f.must(f.Start(name))
		}
		f.checkNoLoadSpike("zone back", baseline, f.usageInWindow())
		f.check(f.revisionInForce(f.contractVersion), "the restarted hosts are not ready after %s", usageWindow)
		f.checkHostsServe(c, f.Names())
		f.eventually(3*time.Minute, "all hosts route to all targets", f.allTargetsRouted)
		l.stopAndWait()
		stop()
	})
}
