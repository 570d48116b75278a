package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// p99 is the quantile that the users bound, in percent.
const p99 = 99

// bench measures one host.
type bench struct {
	direct, host *caller
	process      process
	turn         time.Duration
}

// row is the result for one rate.
type row struct {
	rate         float64
	direct, host *sample
	// turns holds the 99th percentile through the host of each turn.
	turns []time.Duration
	// used is what the host used for all requests.
	used usage
}

// awaitHost waits until the host answers, and opens the connections.
func (b bench) awaitHost() error {
	for range 50 {
		if b.host.load(lowRate, 200*time.Millisecond).failed == 0 {
			return nil
		}
	}
	return errors.New("the host does not answer; is the contract published?")
}

// measure runs one rate by turns.
func (b bench) measure(rate float64) (row, error) {
	r := row{rate: rate, direct: newSample(), host: newSample()}
	for range turns {
		r.direct.merge(b.direct.load(rate, b.turn))
		before, err := b.process.usage()
		if err != nil {
			return r, err
		}
		turn := b.host.load(rate, b.turn)
		after, err := b.process.usage()
		if err != nil {
			return r, err
		}
		r.host.merge(turn)
		r.turns = append(r.turns, turn.quantile(p99))
		r.used.processor += after.processor - before.processor
		r.used.allocations += after.allocations - before.allocations
	}
	return r, nil
}

// run measures the fixed rates, then raises the rate until the host does not
// serve it.
func (b bench) run() error {
	rates := []float64{lowRate, highRate}
	for rate := float64(firstRate); rate <= lastRate; rate *= stepFactor {
		rates = append(rates, rate)
	}
	var found result
	for _, rate := range rates {
		r, err := b.measure(rate)
		if err != nil {
			return err
		}
		r.print()
		found.add(r)
		if !r.served() && rate > highRate {
			break
		}
	}
	found.print()
	return nil
}

// served reports whether the host answered, however late.
func (r row) served() bool {
	return r.host.answered() >= servedShare && r.host.quantile(p99) < servedP99
}

// added returns what the host added to the 99th percentile.
func (r row) added() time.Duration { return r.host.quantile(p99) - r.direct.quantile(p99) }

// withinBound reports whether the host kept to what the users allow.
func (r row) withinBound() bool {
	return r.host.answered() >= servedShare && r.added() <= addedBound
}

// result is what was found over all rates, which must rise.
type result struct {
	// within is the highest rate up to which every rate kept to the bound.
	within float64
	broken bool
	// highest is the highest rate that was served.
	highest row
}

func (f *result) add(r row) {
	f.broken = f.broken || !r.withinBound()
	if !f.broken {
		f.within = r.rate
	}
	if r.served() {
		f.highest = r
	}
}

func (f *result) print() {
	fmt.Printf("highest rate with at most %s added for 99 in 100 requests: %.0f/s; the users' mean is %d/s a host\n",
		addedBound, f.within, hostRate)
	if f.highest.host == nil {
		fmt.Println("no rate was served")
		return
	}
	verdict := "met"
	if !f.highest.withinBound() {
		verdict = "MISSED"
	}
	fmt.Printf("highest rate served at all (%.1f%% answered, p99 below %s): %.0f/s; %s added there: the bound of %s is %s\n",
		100*servedShare, servedP99, f.highest.rate, f.highest.added().Round(time.Microsecond), addedBound, verdict)
}

func (r row) print() {
	fmt.Printf("%9.0f %8d %8d", r.rate, r.host.sent, r.host.failed)
	quantiles := []float64{50, p99, 99.9}
	for _, of := range []func(q float64) time.Duration{
		r.direct.quantile,
		r.host.quantile,
		func(q float64) time.Duration { return r.host.quantile(q) - r.direct.quantile(q) },
	} {
		fmt.Print(" |")
		for _, q := range quantiles {
			fmt.Printf(" %8.3f", milliseconds(of(q)))
		}
	}
	late := time.Duration(r.host.late.ValueAtQuantile(p99))
	sent := float64(max(1, r.host.sent))
	fmt.Printf(" | %8.3f | %6.0f %6.0f |", milliseconds(late),
		float64(r.used.processor.Microseconds())/sent, float64(r.used.allocations)/sent)
	for _, turn := range r.turns {
		fmt.Printf(" %.2f", milliseconds(turn))
	}
	fmt.Println()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func printHead() {
	fmt.Println("open loop; latency from the scheduled start; direct and through the host by turns")
	fmt.Println("late: from the scheduled start to the sending, through the host; turns: p99 through the host of each turn")
	const columns = "%9s %8s %8s | %26s | %26s | %26s | %8s | %13s | %s\n"
	fmt.Printf(columns, "", "", "", "direct ms", "through the host ms", "added ms", "late ms", "host/request", "turns ms")
	names := fmt.Sprintf("%8s %8s %8s", "p50", "p99", "p99.9")
	fmt.Printf(columns, "rate /s", "sent", "failed", names, names, names, "p99", "us allocs", strings.Repeat("p99 ", turns))
}
