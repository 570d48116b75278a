package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in nanoseconds.
const (
	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(time.Minute)
	digits         = 3
)

// sample is what was seen of a number of requests.
type sample struct {
	latency *hdrhistogram.Histogram
	// late is how long after they were due requests were begun. It is the
	// waiting within the callers' process, and a part of the latency.
	late         *hdrhistogram.Histogram
	sent, failed int64
}

func newSample() *sample { return &sample{latency: newHistogram(), late: newHistogram()} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, digits)
}

func (s *sample) reset() {
	s.latency.Reset()
	s.late.Reset()
	s.sent, s.failed = 0, 0
}

func (s *sample) record(latency, late time.Duration, err error) {
	s.sent++
	if err != nil {
		s.failed++
	}
	_ = s.latency.RecordValue(max(lowestLatency, int64(latency)))
	_ = s.late.RecordValue(max(lowestLatency, int64(late)))
}

func (s *sample) merge(other *sample) {
	s.latency.Merge(other.latency)
	s.late.Merge(other.late)
	s.sent += other.sent
	s.failed += other.failed
}

// quantile returns a quantile of the latency, in percent.
func (s *sample) quantile(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q))
}

// answered returns the share of the requests that were answered.
func (s *sample) answered() float64 { return 1 - float64(s.failed)/float64(max(1, s.sent)) }
