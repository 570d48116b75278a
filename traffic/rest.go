package traffic

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of how long a connection to a target rests before it is closed here. A request
// that is sent on a connection which the target has given up is lost where it may not be
// repeated.
const (
	// statedMargin is how much sooner than stated a connection is closed: the target's
	// close is on its way for some milliseconds, and its time is in whole seconds.
	statedMargin = time.Second
	// staleWithin is the time in which a reset shows that the connection was given up
	// before: two regions are at most some 60 ms apart one way.
	staleWithin = 150 * time.Millisecond
	// staleTargets is how many targets must have given connections up lately before
	// all connections rest less: one may have crashed. staleMemory is how long this
	// is remembered.
	staleTargets = 3
	staleMemory  = 10 * time.Second
	// staleShare is the share of the shortest rest that was too long which connections
	// may rest then, and shortestRest the least time.
	staleShare   = 0.5
	shortestRest = 50 * time.Millisecond
)

// restLimits learns how long connections to targets may rest. It is safe for concurrent
// use.
type restLimits struct {
	mu sync.Mutex
	// stale are the connections that were found given up, the latest by address.
	stale map[string]staleRest
	// resting are the connections that rest now.
	resting map[*trackedConn]bool
}

// staleRest is a rest that was too long.
type staleRest struct {
	rested time.Duration
	at     time.Time
}

func newRestLimits() *restLimits {
	return &restLimits{stale: make(map[string]staleRest), resting: make(map[*trackedConn]bool)}
}

// statedRest returns how long a connection may rest by what its target states in an
// answer; 0 if that states nothing.
func statedRest(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); name == "timeout" && err == nil && seconds > 0 {
			return max(time.Duration(seconds)*time.Second-statedMargin, statedMargin)
		}
	}
	return 0
}

// add notes a connection that rests, and remove one that does not any more.
func (l *restLimits) add(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resting[c] = true
}

func (l *restLimits) remove(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.resting, c)
}

// foundStale notes that a connection had been given up after a rest. What rests now may
// have been given up too.
func (l *restLimits) foundStale(address string, rested time.Duration, now time.Time) {
	l.mu.Lock()
	l.stale[address] = staleRest{rested: rested, at: now}
	resting := slices.Collect(maps.Keys(l.resting))
	l.mu.Unlock()
	for _, c := range resting {
		c.shortenRest(now)
	}
}

// learned returns how long a connection may rest by what was found; 0 if nothing was found
// lately.
func (l *restLimits) learned(address string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	shortest := time.Duration(0)
	for a, s := range l.stale {
		if now.Sub(s.at) > staleMemory {
			delete(l.stale, a)
			continue
		}
		if shortest == 0 || s.rested < shortest {
			shortest = s.rested
		}
	}
	if _, here := l.stale[address]; !here && len(l.stale) < staleTargets {
		return 0
	}
	return max(time.Duration(staleShare*float64(shortest)), shortestRest)
}
