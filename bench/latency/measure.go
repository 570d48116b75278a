package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// p99 is the percentile for which the users require a bound.
const p99 = 99

// bench measures one host against direct requests.
type bench struct {
	direct, host *caller
	process      process
	turnLength   time.Duration
}

// row holds the results for one rate.
type row struct {
	rate         float64
	direct, host *sample
	// turnP99s holds the 99th percentile through the host, by turn.
	turnP99s []time.Duration
	// usage is the resource use of the host for all requests through it.
	usage usage
}

// waitForHost waits until the host responds, and opens the connections to it.
func (b bench) waitForHost() error {
	for range 50 {
		if b.host.load(lowRate, 200*time.Millisecond).failed == 0 {
			return nil
		}
	}
	return errors.New("the host does not respond; is the contract published?")
}

// measure measures one rate, alternately directly and through the host.
func (b bench) measure(rate float64) (row, error) {
	r := row{rate: rate, direct: newSample(), host: newSample()}
	for range turns {
		r.direct.merge(b.direct.load(rate, b.turnLength))
		before, err := b.process.usage()
		if err != nil {
			return r, err
		}
		turn := b.host.load(rate, b.turnLength)
		after, err := b.process.usage()
		if err != nil {
			return r, err
		}
		r.host.merge(turn)
		r.turnP99s = append(r.turnP99s, turn.quantile(p99))
		r.usage.processor += after.processor - before.processor
		r.usage.allocations += after.allocations - before.allocations
	}
	return r, nil
}

// run measures the fixed rates, then raises the rate until it is no longer
// served.
func (b bench) run() error {
	rates := []float64{lowRate, highRate}
	for rate := float64(firstRate); rate <= lastRate; rate *= stepFactor {
		rates = append(rates, rate)
	}
	var total summary
	for _, rate := range rates {
		r, err := b.measure(rate)
		if err != nil {
			return err
		}
		r.print()
		total.add(r)
		if !r.served() && rate > highRate {
			break
		}
	}
	total.print()
	return nil
}

// served reports whether the host sustained the rate, by its success rate and p99
// latency. It ignores the bound on the added latency.
func (r row) served() bool {
	return r.host.successShare() >= servedShare && r.host.quantile(p99) < servedP99
}

// addedLatency returns the difference between the 99th percentiles through the
// host and directly.
func (r row) addedLatency() time.Duration { return r.host.quantile(p99) - r.direct.quantile(p99) }

// withinBound reports whether enough requests succeeded and the added latency is
// within the users' bound.
func (r row) withinBound() bool {
	return r.host.successShare() >= servedShare && r.addedLatency() <= maxAddedLatency
}

// summary aggregates the rows of all rates, which must be added in rising order.
type summary struct {
	// highestWithinBound is the highest rate up to which every rate is within
	// the bound.
	highestWithinBound float64
	boundExceeded      bool
	// highestServed is the row of the highest rate that was served.
	highestServed row
}

func (s *summary) add(r row) {
	s.boundExceeded = s.boundExceeded || !r.withinBound()
	if !s.boundExceeded {
		s.highestWithinBound = r.rate
	}
	if r.served() {
		s.highestServed = r
	}
}

func (s *summary) print() {
	fmt.Printf("highest rate with at most %s added for 99 in 100 requests: %.0f/s; the users' mean is %d/s a host\n",
		maxAddedLatency, s.highestWithinBound, expectedHostRate)
	if s.highestServed.host == nil {
		fmt.Println("no rate was served")
		return
	}
	verdict := "met"
	if !s.highestServed.withinBound() {
		verdict = "MISSED"
	}
	fmt.Printf("highest rate served at all (%.1f%% answered, p99 below %s): %.0f/s; %s added there: the bound of %s is %s\n",
		100*servedShare, servedP99, s.highestServed.rate, s.highestServed.addedLatency().Round(time.Microsecond), maxAddedLatency, verdict)
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
	startDelay := time.Duration(r.host.startDelay.ValueAtQuantile(p99))
	sent := float64(max(1, r.host.sent))
	fmt.Printf(" | %8.3f | %6.0f %6.0f |", milliseconds(startDelay),
		float64(r.usage.processor.Microseconds())/sent, float64(r.usage.allocations)/sent)
	for _, turn := range r.turnP99s {
		fmt.Printf(" %.2f", milliseconds(turn))
	}
	fmt.Println()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func printHeader() {
	fmt.Println("open loop; latency from the scheduled start; direct and through the host by turns")
	fmt.Println("late: from the scheduled start to the sending, through the host; turns: p99 through the host of each turn")
	const columns = "%9s %8s %8s | %26s | %26s | %26s | %8s | %13s | %s\n"
	fmt.Printf(columns, "", "", "", "direct ms", "through the host ms", "added ms", "late ms", "host/request", "turns ms")
	names := fmt.Sprintf("%8s %8s %8s", "p50", "p99", "p99.9")
	fmt.Printf(columns, "rate /s", "sent", "failed", names, names, names, "p99", "us allocs", strings.Repeat("p99 ", turns))
}
