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

// sample holds the measurements of a number of requests.
type sample struct {
	latency *hdrhistogram.Histogram
	// startDelay is the time from when a request was due until it was sent. The
	// latency includes this wait within the bench process.
	startDelay   *hdrhistogram.Histogram
	sent, failed int64
}

func newSample() *sample { return &sample{latency: newHistogram(), startDelay: newHistogram()} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, digits)
}

func (s *sample) reset() {
	s.latency.Reset()
	s.startDelay.Reset()
	s.sent, s.failed = 0, 0
}

func (s *sample) record(latency, startDelay time.Duration, err error) {
	s.sent++
	if err != nil {
		s.failed++
	}
	_ = s.latency.RecordValue(max(lowestLatency, int64(latency)))
	_ = s.startDelay.RecordValue(max(lowestLatency, int64(startDelay)))
}

func (s *sample) merge(other *sample) {
	s.latency.Merge(other.latency)
	s.startDelay.Merge(other.startDelay)
	s.sent += other.sent
	s.failed += other.failed
}

// quantile returns a quantile of the latency. q is in percent.
func (s *sample) quantile(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q))
}

// successShare returns the share of the requests that succeeded.
func (s *sample) successShare() float64 { return 1 - float64(s.failed)/float64(max(1, s.sent)) }
