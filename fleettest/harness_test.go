package fleettest

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushinge/crocushinge/daemon"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/publish"
)

// seed is the seed of the random network delays:
//
//	go test ./fleettest -args -seed 7
var seed = flag.Uint64("seed", 1, "seed of the random network delays")

// testFleet is a fleet with targets and callers on a virtual clock.
type testFleet struct {
	*Fleet
	t       *testing.T
	ctx     context.Context
	targets []*Target
	callers []*Caller
	// contractVersion is the version of the contract published last. It equals the
	// configuration's revision while there are no drains.
	contractVersion uint64
}

// runFleetTest runs a test in a synctest bubble, on a virtual clock, with hosts
// h00, h01 ... and targets t0, t1 ..., and finally checks the guarantees to callers
// with CheckGuarantees.
func runFleetTest(t *testing.T, hosts, targets int, test func(*testFleet)) {
	t.Helper()
	runFleetTestInZones(t, nil, hosts, targets, test)
}

// runFleetTestInZones is like runFleetTest, with the hosts and targets assigned
// to the given zones round-robin.
func runFleetTestInZones(t *testing.T, zones []daemon.ZoneSettings, hosts, targets int, test func(*testFleet)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		network := NewMemory(*seed)
		network.Delay(2 * time.Millisecond)
		f := &testFleet{
			Fleet: New(Config{Network: network, Zones: zones, Log: zerolog.Nop()}),
			t:     t, ctx: t.Context(),
		}
		// A failed test doesn't stop its load and watchers; canceling f.ctx does.
		var cancel context.CancelFunc
		f.ctx, cancel = context.WithCancel(f.ctx)
		defer f.close()
		defer cancel()
		for i := range targets {
			target, err := StartTarget(network, fmt.Sprint("t", i))
			f.must(err)
			f.targets = append(f.targets, target)
		}
		for i := range hosts {
			f.must(f.Start(fmt.Sprintf("h%02d", i)))
		}
		time.Sleep(5 * time.Second)
		f.publish("h00", f.targets...)
		time.Sleep(5 * time.Second)
		test(f)
		f.must(CheckGuarantees(f.targets, f.callers))
	})
}

// close ends everything. A goroutine left in the bubble would fail the test.
func (f *testFleet) close() {
	f.Network.HealAll()
	for _, c := range f.callers {
		c.Close()
	}
	if err := f.Close(); err != nil {
		f.t.Error(err)
	}
	for _, target := range f.targets {
		_ = target.Close()
	}
	time.Sleep(2 * time.Minute) // until idle connections have expired
}

func (f *testFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *testFleet) check(condition bool, format string, args ...any) {
	f.t.Helper()
	if !condition {
		f.t.Fatalf(format, args...)
	}
}

// publish replaces the contract of the service "prices".
func (f *testFleet) publish(through string, targets ...*Target) {
	f.t.Helper()
	result, err := f.Publish(f.ctx, through, fmt.Sprint("p", f.contractVersion), "prices", ContractInZones(f.cfg.Zones, "prices", targets...), f.contractVersion)
	f.must(err)
	f.check(result.Status == publish.Accepted, "proposal not accepted: %+v", result)
	f.contractVersion = result.Version
}

func (f *testFleet) newCaller(node string) *Caller {
	c := NewCaller(f.Network, node, Key)
	f.callers = append(f.callers, c)
	return c
}

func (f *testFleet) addressOf(name string) string { return f.Host(name).Self().Address }

func (f *testFleet) get(c *Caller, name string) Response {
	return c.Send(f.ctx, f.addressOf(name), http.MethodGet, "/prices/1", "")
}

func (f *testFleet) post(c *Caller, name, id string) Response {
	return c.Send(f.ctx, f.addressOf(name), http.MethodPost, "/prices/orders", id)
}

// revisionInForce reports whether every host is ready with at least a revision.
func (f *testFleet) revisionInForce(revision uint64) bool {
	return f.AllHosts(func(s *host.Snapshot) bool { return s.Ready && s.Revision >= revision })
}

// eventually waits until a condition holds, and fails the test after a timeout.
func (f *testFleet) eventually(timeout time.Duration, description string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(timeout); !condition(); time.Sleep(50 * time.Millisecond) {
		f.check(time.Now().Before(end), "timeout after %s: %s", timeout, description)
	}
}

// runCount returns how often the targets ran a request.
func (f *testFleet) runCount(id string) int {
	count := 0
	for _, t := range f.targets {
		for _, r := range t.Runs() {
			if r.ID == id {
				count++
			}
		}
	}
	return count
}
