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

// seed is the seed of the networks' delays:
//
//	go test ./fleettest -args -seed 7
var seed = flag.Uint64("seed", 1, "seed of the networks' delays")

// testFleet is a fleet with targets and callers on a virtual clock.
type testFleet struct {
	*Fleet
	t               *testing.T
	ctx             context.Context
	targets         []*Target
	callers         []*Caller
	contractVersion uint64
}

// inBubble runs a test of a fleet of hosts h00, h01 ... before targets t0, t1
// ... on a virtual clock, and checks at its end that no promise to a caller
// was broken.
func runFleetTest(t *testing.T, hosts, targets int, test func(*testFleet)) {
	t.Helper()
	runFleetTestInZones(t, nil, hosts, targets, test)
}

// inZones is inBubble with the hosts and targets dealt over the given zones.
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
		// A test that fails leaves its load and watchers running.
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
		f.must(Broken(f.targets, f.callers))
	})
}

// close ends everything, so that no goroutine is left in the bubble.
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
	time.Sleep(2 * time.Minute) // idle connections end
}

func (f *testFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *testFleet) check(holds bool, what string, args ...any) {
	f.t.Helper()
	if !holds {
		f.t.Fatalf(what, args...)
	}
}

// publish replaces the contract of the service "prices".
func (f *testFleet) publish(through string, targets ...*Target) {
	f.t.Helper()
	result, err := f.Publish(f.ctx, through, fmt.Sprint("p", f.contractVersion), "prices", ContractIn(f.cfg.Zones, "prices", targets...), f.contractVersion)
	f.must(err)
	f.check(result.Status == publish.Accepted, "proposal: %+v", result)
	f.contractVersion = result.Version
}

func (f *testFleet) newCaller(place string) *Caller {
	c := NewCaller(f.Network, place, Key)
	f.callers = append(f.callers, c)
	return c
}

func (f *testFleet) addressOf(name string) string { return f.Host(name).Self().Address }

func (f *testFleet) get(c *Caller, name string) Told {
	return c.Send(f.ctx, f.addressOf(name), http.MethodGet, "/prices/1", "")
}

func (f *testFleet) post(c *Caller, name, id string) Told {
	return c.Send(f.ctx, f.addressOf(name), http.MethodPost, "/prices/orders", id)
}

// inForce reports whether every host has at least a revision.
func (f *testFleet) revisionInForce(revision uint64) bool {
	return f.All(func(s *host.Snapshot) bool { return s.Ready && s.Revision >= revision })
}

// within waits until a condition holds, and fails after a time.
func (f *testFleet) eventually(limit time.Duration, what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(50 * time.Millisecond) {
		f.check(time.Now().Before(end), "not within %s: %s", limit, what)
	}
}

// runs returns how often the targets ran a request.
func (f *testFleet) runCount(id string) int {
	n := 0
	for _, t := range f.targets {
		for _, r := range t.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}
