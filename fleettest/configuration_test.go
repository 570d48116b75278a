package fleettest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/crocushinge/crocushinge/publish"
)

// watchRevisions fails the test when a ready host has a revision older than one
// that has been in force on every host.
func (f *testFleet) watchRevisions() (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	var watcher sync.WaitGroup
	highest := uint64(0)
	watcher.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			lowest := ^uint64(0)
			for name, s := range f.Snapshots() {
				if s.Ready && s.Revision < highest {
					f.t.Errorf("%s serves revision %d after %d was in force on every host", name, s.Revision, highest)
					return
				}
				lowest = min(lowest, s.Revision)
			}
			highest = max(highest, lowest)
		}
	})
	return func() { cancel(); watcher.Wait() }
}

// Guarantee: an accepted configuration is in force on every host within seconds,
// whichever host accepted it.
func TestChangeIsInForceEverywhereWithinSeconds(t *testing.T) {
	runFleetTest(t, 24, 2, func(f *testFleet) {
		for i := range 10 {
			f.publish(f.Names()[i*2], f.targets...)
			f.eventually(2*time.Second, "accepted revision in force on every host", func() bool { return f.revisionInForce(f.contractVersion) })
		}
	})
}

// Guarantee: no host goes back to an older configuration. Each case ends with the
// newest accepted revision in force on every host.
func TestConfigurationNeverReverts(t *testing.T) {
	cases := []struct {
		name string
		run  func(*testFleet)
	}{
		{"host replaced during a store outage", func(f *testFleet) {
			f.Store.Faults.SetDown(true)
			f.Kill("h02")
			f.must(f.Start("h02"))
		}},
		{"all hosts but one replaced during a store outage", func(f *testFleet) {
			f.Store.Faults.SetDown(true)
			for _, name := range f.Names()[:5] {
				f.Kill(name)
			}
			for i := range 5 {
				f.must(f.Start(fmt.Sprintf("h%02d", i)))
			}
		}},
		{"one-way partition while a change spreads", func(f *testFleet) {
			f.Network.Cut("h00", "h01")
			f.Network.Cut("h00", "h02")
			f.Network.Cut("h03", "h00")
			f.publish("h00", f.targets...)
		}},
		{"accepting host killed at once", func(f *testFleet) {
			f.publish("h04", f.targets...)
			f.Kill("h04")
			f.must(f.Start("h04"))
		}},
		{"host paused while changes spread", func(f *testFleet) {
			f.Network.Pause("h05")
			f.publish("h00", f.targets[:2]...)
			f.publish("h01", f.targets...)
			time.Sleep(20 * time.Second)
			f.Network.Resume("h05")
		}},
		{"service removed, then host replaced in an outage", func(f *testFleet) {
			result, err := f.Publish(f.ctx, "h00", "gone", "prices", "", f.contractVersion)
			f.must(err)
			f.check(result.Status == publish.Accepted, "removal not accepted: %+v", result)
			f.contractVersion = result.Revision
			f.eventually(2*time.Second, "removal in force on every host", func() bool { return f.revisionInForce(f.contractVersion) })
			f.Store.Faults.SetDown(true)
			f.Kill("h03")
			f.must(f.Start("h03"))
			time.Sleep(5 * time.Second)
			f.check(f.Host("h03").Snapshot().Services["prices"] == nil, "h03 serves the removed service after its restart")
		}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			runFleetTest(t, 6, 3, func(f *testFleet) {
				stop := f.watchRevisions()
				tt.run(f)
				f.eventually(15*time.Second, "accepted revision in force on every host", func() bool { return f.revisionInForce(f.contractVersion) })
				stop()
			})
		})
	}
}

// A proposal whose store write gets no response is reported as accepted or unknown.
// Its repetition is not applied as a second change, and the change is in force on
// every host.
func TestAmbiguousWriteIsResolved(t *testing.T) {
	runFleetTest(t, 4, 2, func(f *testFleet) {
		stop := f.watchRevisions()
		f.Store.Faults.LoseResponses(1)
		document := Contract("prices", f.targets...)
		first, err := f.Publish(f.ctx, "h00", "lost", "prices", document, f.contractVersion)
		f.must(err)
		f.check(first.Status == publish.Accepted || first.Status == publish.Undecided, "proposal without a response of the store: %+v", first)
		again, err := f.Publish(f.ctx, "h01", "lost", "prices", document, f.contractVersion)
		f.must(err)
		f.check(again.Status == publish.Accepted && again.Version == f.contractVersion+1, "repeated proposal: %+v", again)
		f.eventually(5*time.Second, "accepted revision in force on every host", func() bool { return f.revisionInForce(again.Revision) })
		stop()
	})
}

// Of two operators who change the same service concurrently, exactly one is
// accepted.
func TestConcurrentProposalsConflict(t *testing.T) {
	runFleetTest(t, 4, 2, func(f *testFleet) {
		stop := f.watchRevisions()
		for round := range 10 {
			var results [2]publish.Result
			var operators sync.WaitGroup
			for i := range results {
				operators.Go(func() {
					proposal := fmt.Sprintf("r%d-%d", round, i)
					result, err := f.Publish(f.ctx, f.Names()[i], proposal, "prices", Contract("prices", f.targets...), f.contractVersion)
					if err != nil {
						f.t.Error(err)
					}
					results[i] = result
				})
			}
			operators.Wait()
			a, b := results[0], results[1]
			f.check((a.Status == publish.Accepted) != (b.Status == publish.Accepted), "round %d: want one accepted proposal, got %+v, %+v", round, a, b)
			f.contractVersion = max(a.Version, b.Version)
			f.eventually(2*time.Second, "accepted revision in force on every host", func() bool { return f.revisionInForce(f.contractVersion) })
		}
		stop()
	})
}
