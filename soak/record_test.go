package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/platform/platformtest"
)

// request is one attempt of a caller and what became of it.
type request struct {
	platformtest.Request
	route *discovery.Route
	host  *host
	// incarnation is that of the host's process when the request was sent.
	incarnation int
	// sent is when its last byte was sent, and ended when the answer was there or the
	// connection had ended.
	sent, ended time.Time
	answer      platformtest.Response
	err         error
	// kept is set for a connection that has carried requests before, gaveUp when the
	// caller left, and pipelined for a request behind another one.
	kept, gaveUp, pipelined bool
}

// span is a time in which something was disturbed. A zero end is open.
type span struct{ from, to time.Time }

func (s span) touches(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// version is a configuration of the operator.
type version struct {
	number discovery.Version
	routes map[string]discovery.Route
	// sent is when it was written, and acknowledged when the store had it.
	sent, acknowledged time.Time
}

// leaving is the end of a target as the store acknowledged it.
type leaving struct {
	target string
	at     time.Time
}

// record is what callers, targets and the operator saw. It is safe for concurrent
// use.
type record struct {
	began time.Time

	mu        sync.Mutex
	requests  []*request
	arrivals  []platformtest.Arrival
	versions  []version
	leavings  []leaving
	disturbed map[string][]span
	findings  []string
	notes     []string
}

func newRecord() *record { return &record{began: time.Now(), disturbed: make(map[string][]span)} }

// find notes a broken promise.
func (r *record) find(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.began).Round(time.Millisecond)
	r.findings = append(r.findings, fmt.Sprintf("%8s %s", at, fmt.Sprintf(format, args...)))
}

// note notes what the soak did.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.began).Round(time.Millisecond)
	r.notes = append(r.notes, fmt.Sprintf("%8s %s", at, fmt.Sprintf(format, args...)))
}

func (r *record) sent(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

func (r *record) arrived(a platformtest.Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

// disturb notes that a thing is disturbed until the returned function is called.
func (r *record) disturb(things ...string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := make(map[string]int, len(things))
	for _, thing := range things {
		index[thing] = len(r.disturbed[thing])
		r.disturbed[thing] = append(r.disturbed[thing], span{from: time.Now()})
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for thing, i := range index {
			r.disturbed[thing][i].to = time.Now()
		}
	}
}

// calm reports whether a thing was undisturbed in a time.
func (r *record) calm(thing string, from, to time.Time) bool {
	for _, s := range r.disturbed[thing] {
		if s.touches(from, to) {
			return false
		}
	}
	return true
}

// wasCalm reports whether a thing has been undisturbed since a time.
func (r *record) wasCalm(thing string, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calm(thing, since, time.Now())
}

// offset is a time as the notes give it.
func (r *record) offset(at time.Time) time.Duration { return at.Sub(r.began).Round(time.Millisecond) }
