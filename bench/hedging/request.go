package main

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// request is a request and its attempts.
type request struct {
	host     *entryHost
	arrived  time.Duration
	attempts []*attempt
	tried    map[*link.Link]bool
	done     bool
}

// attempt is one dispatch of a request.
type attempt struct {
	request          *request
	link             *link.Link
	slot             int
	started, latency time.Duration
}

// event is the end of an attempt, or the time to hedge a request.
type event struct {
	at      time.Duration
	attempt *attempt
	hedge   *request
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	// windowSize is how many latencies a host keeps.
	windowSize = 1000
	// estimateInterval is how many latencies are added between two updates of
	// the quantiles.
	estimateInterval = 50
)

// latencyWindow holds the latest latencies of one host.
type latencyWindow struct {
	latencies []time.Duration
	count     int
	sorted    []time.Duration
}

func (w *latencyWindow) add(d time.Duration) {
	if len(w.latencies) < windowSize {
		w.latencies = append(w.latencies, d)
	} else {
		w.latencies[w.count%windowSize] = d
	}
	w.count++
	if w.count%estimateInterval == 0 {
		w.sorted = slices.Sorted(slices.Values(w.latencies))
	}
}

// quantile returns a quantile of the window, or 0 before the first estimate.
func (w *latencyWindow) quantile(q float64) time.Duration {
	if q == 0 || len(w.sorted) < estimateInterval {
		return 0
	}
	return w.sorted[int(q*float64(len(w.sorted)))]
}
