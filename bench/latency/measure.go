package main

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Range and precision of the histograms, in nanoseconds.
const (
	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(time.Minute)
	digits         = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, digits)
}

// bench measures one host.
type bench struct {
	direct, host *caller
	pid          int
	turn         time.Duration
}

// row is the result for one rate.
type row struct {
	rate         float64
	sent, failed int64
	direct, host *hdrhistogram.Histogram
	// cpu is the host's processor time for one request.
	cpu time.Duration
	err error
}

// awaitHost waits until the host answers, and opens the connections.
func (b bench) awaitHost() error {
	for range 50 {
		if _, failed := b.host.load(lowRate, 200*time.Millisecond, newHistogram()); failed == 0 {
			return nil
		}
	}
	return errors.New("the host does not answer; is the contract published?")
}

// measure runs one rate by turns.
func (b bench) measure(rate float64) row {
	r := row{rate: rate, direct: newHistogram(), host: newHistogram()}
	var cpu time.Duration
	for range turns {
		b.direct.load(rate, b.turn, r.direct)
		before, err := processTime(b.pid)
		if err != nil {
			r.err = err
			return r
		}
		sent, failed := b.host.load(rate, b.turn, r.host)
		after, err := processTime(b.pid)
		if err != nil {
			r.err = err
			return r
		}
		r.sent += sent
		r.failed += failed
		cpu += after - before
	}
	r.cpu = cpu / time.Duration(max(1, r.sent))
	return r
}

// search raises the rate until the host does not sustain it.
func (b bench) search() error {
	best := float64(highRate)
	for rate := float64(firstRate); rate <= lastRate; rate *= stepFactor {
		r := b.measure(rate)
		if err := r.print(); err != nil {
			return err
		}
		if !r.sustained() {
			break
		}
		best = rate
	}
	fmt.Printf("highest sustained rate: %.0f requests/s (%.1f%% answered, p99 below %s)\n",
		best, 100*sustainedShare, sustainedP99)
	return nil
}

func (r row) sustained() bool {
	answered := 1 - float64(r.failed)/float64(max(1, r.sent))
	p99 := time.Duration(r.host.ValueAtQuantile(99))
	return answered >= sustainedShare && p99 < sustainedP99
}

func (r row) print() error {
	if r.err != nil {
		return r.err
	}
	fmt.Printf("%9.0f %8d %8d", r.rate, r.sent, r.failed)
	quantiles := []float64{50, 99, 99.9}
	for _, of := range []func(q float64) int64{
		r.direct.ValueAtQuantile,
		r.host.ValueAtQuantile,
		func(q float64) int64 { return r.host.ValueAtQuantile(q) - r.direct.ValueAtQuantile(q) },
	} {
		fmt.Print(" |")
		for _, q := range quantiles {
			fmt.Printf(" %8.3f", float64(of(q))/float64(time.Millisecond))
		}
	}
	fmt.Printf(" | %9.1f\n", float64(r.cpu)/float64(time.Microsecond))
	return nil
}
