// Package soak runs the real programs as separate processes on one machine, against
// stand-ins of all that is around them, and injects faults from outside: signals,
// links that are delayed, reset, cut one way or silenced, a store and targets that
// misbehave. It checks the promises by what callers and targets see. docs/SOAK.md
// says how to run it.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocushinge/crocushinge/platform/platformtest"
)

var (
	firstSeed = flag.Uint64("seed", 1, "the first seed; 0 draws one")
	seeds     = flag.Int("seeds", 2, "how many seeds to run")
	length    = flag.Duration("length", 4*time.Second, "how long faults begin")
	hostCount = flag.Int("hosts", 6, "hosts of a deployment")
	callers   = flag.Int("callers", 12, "callers of a deployment")
	keep      = flag.String("keep", "", "directory for the notes and lines of each run")
)

// Times of a run besides the faults.
const (
	// startTimeout is how long the hosts of a new deployment may take to be ready.
	startTimeout = 8 * time.Second
	// warmUp is how long callers send before the first fault.
	warmUp = 1500 * time.Millisecond
	// recovery is the time after the last fault within which all is served again, and
	// proof how long that is observed.
	recovery = 4 * time.Second
	proof    = 2 * time.Second
	// callerPause is the mean time between two requests of a caller.
	callerPause = 60 * time.Millisecond
)

// servedAfterwards is the share of requests that is served once the deployment has
// recovered.
const servedAfterwards = 0.95

// failedSeeds are seeds that failed once, with the cause. Each runs in every run of
// the tests.
var failedSeeds = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{3, 6 * time.Second, "two hosts of a zone that missed each other's first datagrams never met"},
}

// buildProgram builds the program under test.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "crocushinge-gateway")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/crocushinge-gateway").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

func TestSoak(t *testing.T) {
	program := buildProgram(t)
	first := *firstSeed
	if first == 0 {
		first = rand.Uint64N(1 << 32)
	}
	for i := range *seeds {
		seed := first + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, program, seed, i, *length)
		})
	}
	for i, f := range failedSeeds {
		t.Run(fmt.Sprintf("failed-seed-%d", f.seed), func(t *testing.T) {
			t.Parallel()
			t.Log(f.cause)
			soak(t, program, f.seed, *seeds+i, f.length)
		})
	}
}

// soak runs one deployment through the faults of a seed.
func soak(t *testing.T, program string, seed uint64, slot int, length time.Duration) {
	w := newWorld(t, program, seed, slot, size{hosts: *hostCount, catalogue: 5, checkout: 3, callers: *callers})
	w.awaitReady(startTimeout)
	stop := w.startCallers(*callers, seed)
	time.Sleep(warmUp)
	w.play(schedule(w.rng, length))
	recovered := time.Now().Add(recovery)
	w.awaitReady(recovery)
	time.Sleep(time.Until(recovered.Add(proof)))
	w.checkDirectory()
	stop()
	w.record.check()
	w.record.checkRecovery(recovered)
	w.report(t, seed)
}

// startCallers lets callers send requests until the returned function is called.
func (w *world) startCallers(n int, seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range n {
		c := &caller{
			world: w, name: fmt.Sprintf("c%d", i), zone: zones[i%len(zones)],
			rng: rand.New(rand.NewPCG(seed, uint64(i))), pause: callerPause,
		}
		all.Go(func() { c.run(ctx) })
	}
	return func() {
		cancel()
		all.Wait()
	}
}

// awaitReady waits until all hosts are ready.
func (w *world) awaitReady(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for _, h := range w.hosts {
		for !h.ready() {
			if time.Now().After(deadline) {
				w.record.find("%s: not ready after %s", h.Name, timeout)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// checkDirectory: every host tells callers of all hosts of their zone.
func (w *world) checkDirectory() {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	for _, h := range w.hosts {
		addresses, _, err := platformtest.Resolve(ctx, h.address(ports.Directory), authority, string(h.Zone.ID), h.Zone.Region)
		if err != nil {
			w.record.find("%s: directory: %v", h.Name, err)
			continue
		}
		for _, other := range w.hosts {
			if other.Zone.ID == h.Zone.ID && !contains(addresses, other) {
				w.record.find("%s: the directory does not name %s after the recovery", h.Name, other.Name)
			}
		}
	}
}

// checkRecovery: requests are served again after the last fault.
func (r *record) checkRecovery(from time.Time) {
	sent, served := 0, 0
	for _, q := range r.requests {
		if q.sent.Before(from) || q.gaveUp || q.pipelined {
			continue
		}
		sent++
		if q.err == nil && (q.answer.Success() || q.answer.Status == 404) {
			served++
		}
	}
	if float64(served) < servedAfterwards*float64(sent) || sent == 0 {
		r.find("recovery: %d of %d requests served after the last fault", served, sent)
	}
}

// report fails the test with what was found, and keeps the notes and lines.
func (w *world) report(t *testing.T, seed uint64) {
	r := w.record
	served := 0
	for _, q := range r.requests {
		if q.err == nil && q.answer.Success() {
			served++
		}
	}
	t.Logf("seed %d: %d requests, %d served, %d findings", seed, len(r.requests), served, len(r.findings))
	for _, f := range r.findings {
		t.Error(f)
	}
	text := strings.Join(append(append([]string{}, r.notes...), r.findings...), "\n") + "\n"
	if len(r.findings) > 0 {
		t.Log("what the soak did:\n" + strings.Join(r.notes, "\n"))
	}
	if *keep == "" {
		return
	}
	dir := filepath.Join(*keep, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Error(err)
		return
	}
	if err := os.WriteFile(filepath.Join(dir, "notes.txt"), []byte(text), 0o600); err != nil {
		t.Error(err)
	}
	for _, h := range w.hosts {
		if err := os.Rename(filepath.Join(h.dir, "lines.log"), filepath.Join(dir, h.Name+".log")); err != nil {
			t.Error(err)
		}
	}
}
