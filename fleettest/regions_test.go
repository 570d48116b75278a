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
var sevenZones = []daemon.ZoneSettings{
	{ID: "lima-a", Region: "lima"}, {ID: "lima-b", Region: "lima"}, {ID: "lima-c", Region: "lima"}, {ID: "lima-d", Region: "lima"},
	{ID: "cusco-a", Region: "cusco"}, {ID: "cusco-b", Region: "cusco"}, {ID: "cusco-c", Region: "cusco"},
}

const (
	// regionHosts are two hosts in each zone.
	regionHosts = 14
	// fleetHosts, fleetReads and fleetWrites are the size of the fleet and its
	// greatest rates at the table, a second.
	fleetHosts  = 890
	fleetReads  = 200
	fleetWrites = 50
	// window is the time over which rates are compared.
	window = 20 * time.Second
)

// load of the fleet on the platform, the targets and the network.
type usage struct{ reads, writes, probes, dials int }

func (f *testFleet) usage() usage {
	u := usage{reads: int(f.Reads()), writes: int(f.Writes()), dials: int(f.Network.Dials())}
	for _, t := range f.targets {
		u.probes += t.Probes()
	}
	return u
}

// spend returns what the fleet uses in one window.
func (f *testFleet) spend() usage {
	before := f.usage()
	time.Sleep(window)
	after := f.usage()
	return usage{
		reads: after.reads - before.reads, writes: after.writes - before.writes,
		probes: after.probes - before.probes, dials: after.dials - before.dials,
	}
}

// checkNoStorm compares a window with an ordinary one. The table's rates may
// rise by this fleet's share of the greatest, probes may double, and each host
// may open one connection a second more.
func (f *testFleet) checkNoStorm(what string, ordinary, now usage) {
	f.t.Helper()
	seconds := int(window / time.Second)
	f.check(now.reads <= ordinary.reads+fleetReads*regionHosts*seconds/fleetHosts, "%s: reads %+v, before %+v", what, now, ordinary)
	f.check(now.writes <= ordinary.writes+fleetWrites*regionHosts*seconds/fleetHosts, "%s: writes %+v, before %+v", what, now, ordinary)
	f.check(now.probes <= 2*ordinary.probes, "%s: probes %+v, before %+v", what, now, ordinary)
	f.check(now.dials <= ordinary.dials+regionHosts*seconds, "%s: connections %+v, before %+v", what, now, ordinary)
}

// region returns the places of one region: its hosts, and its targets, which
// are one in each zone.
func (f *testFleet) region(name string) (hosts, targets []string) {
	for i, z := range sevenZones {
		if z.Region != name {
			continue
		}
		targets = append(targets, fmt.Sprint("t", i))
		hosts = append(hosts, fmt.Sprintf("h%02d", i), fmt.Sprintf("h%02d", i+len(sevenZones)))
	}
	return hosts, targets
}

// loseEachOther cuts two regions off from each other. The store is in the
// first.
func (f *testFleet) loseEachOther(first, second string) {
	hosts, targets := f.region(first)
	others, otherTargets := f.region(second)
	for _, a := range append(append([]string{Store}, hosts...), targets...) {
		for _, b := range append(append([]string{}, others...), otherTargets...) {
			f.Network.Cut(a, b)
			f.Network.Cut(b, a)
		}
	}
}

// checkServed checks that each of the hosts serves.
func (f *testFleet) checkServed(c *Caller, hosts []string) {
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
func (f *testFleet) servedShare(c *Caller, hosts []string, each int) float64 {
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
func (f *testFleet) allTakeWork() bool {
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
func TestRegionsLoseEachOtherAndMeetAgain(t *testing.T) {
	inZones(t, sevenZones, regionHosts, len(sevenZones), func(f *testFleet) {
		stop := f.watchRevisions()
		lima, _ := f.region("lima")
		cusco, _ := f.region("cusco")
		c := f.caller("shop")
		time.Sleep(time.Minute)
		l := f.start(2, 200*time.Millisecond, f.Names()...)
		f.spend() // links and ledgers warm up
		ordinary := f.spend()

		id := f.Host(lima[0]).IDPrefix() + "across"
		f.loseEachOther("lima", "cusco")
		f.post(c, cusco[0], id)
		f.post(c, lima[0], id)
		f.checkNoStorm("regions lost", ordinary, f.spend())
		old := f.version
		f.publish(lima[1], f.targets...)
		time.Sleep(time.Minute)
		f.checkNoStorm("regions apart", ordinary, f.spend())
		f.checkServed(c, lima)
		for name, s := range f.Snapshots() {
			want := f.version
			if strings.Contains(strings.Join(cusco, " "), name) {
				want = old
			}
			f.check(s.Revision == want, "%s serves revision %d, not %d", name, s.Revision, want)
		}

		f.Network.HealAll()
		f.checkNoStorm("regions met", ordinary, f.spend())
		f.check(f.inForce(f.version), "the change is not in force after %s", window)
		f.checkNoStorm("after the meeting", ordinary, f.spend())
		for _, name := range []string{cusco[1], lima[0], lima[1]} {
			f.post(c, name, id)
		}
		f.check(f.runs(id) <= 1, "ran %d times", f.runs(id))
		f.within(3*time.Minute, "all targets take work", f.allTakeWork)
		l.end()
		stop()
	})
}

// A region that has lost the other one has targets enough for every request.
func TestRegionWithoutTheStoreServesEveryRequest(t *testing.T) {
	inZones(t, sevenZones, regionHosts, len(sevenZones), func(f *testFleet) {
		cusco, _ := f.region("cusco")
		c := f.caller("shop")
		time.Sleep(time.Minute)
		l := f.start(2, 200*time.Millisecond, f.Names()...)
		f.loseEachOther("lima", "cusco")
		time.Sleep(80 * time.Second)
		served := f.servedShare(c, cusco, 20)
		f.check(served == 1, "the region without the store serves %.1f%% at the first try", 100*served)
		l.end()
	})
}

// A zone whose hosts and targets are all lost at once, and back at once.
func TestZoneIsLostAndBack(t *testing.T) {
	inZones(t, sevenZones, regionHosts, len(sevenZones), func(f *testFleet) {
		stop := f.watchRevisions()
		c := f.caller("shop")
		time.Sleep(time.Minute)
		l := f.start(2, 200*time.Millisecond, f.Names()...)
		f.spend()
		ordinary := f.spend()

		lost := []string{"h01", "h08"} // of zone lima-b, like t1
		f.Network.Kill("t1")
		for _, name := range lost {
			f.Kill(name)
		}
		f.checkNoStorm("zone lost", ordinary, f.spend())
		f.checkNoStorm("zone away", ordinary, f.spend())
		f.checkServed(c, f.Names())

		f.Network.Revive("t1")
		for _, name := range lost {
			f.must(f.Start(name))
		}
		f.checkNoStorm("zone back", ordinary, f.spend())
		f.check(f.inForce(f.version), "the hosts are not ready after %s", window)
		f.checkServed(c, f.Names())
		f.within(3*time.Minute, "all targets take work", f.allTakeWork)
		l.end()
		stop()
	})
}
