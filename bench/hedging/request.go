package main

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// request is one request on its way.
type request struct {
	host    *entry
	arrived time.Duration
	open    []*attempt
	tried   map[*link.Link]bool
	done    bool
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
	// recentSize is how many latencies a host keeps.
	recentSize = 1000
	// recentStep is how many latencies pass between two estimates.
	recentStep = 50
)

// recent holds the newest latencies of one host.
type recent struct {
	latencies []time.Duration
	next      int
	sorted    []time.Duration
}

func (r *recent) add(d time.Duration) {
	if len(r.latencies) < recentSize {
		r.latencies = append(r.latencies, d)
	} else {
		r.latencies[r.next%recentSize] = d
	}
	r.next++
	if r.next%recentStep == 0 {
		r.sorted = slices.Sorted(slices.Values(r.latencies))
	}
}

// quantile returns a quantile, or 0 while too little is known.
func (r *recent) quantile(q float64) time.Duration {
	if q == 0 || len(r.sorted) < recentStep {
		return 0
	}
	return r.sorted[int(q*float64(len(r.sorted)))]
}
