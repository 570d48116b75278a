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

// Limits on how long a connection to a target stays idle before this host closes it. A
// request that is sent on a connection that the target has already dropped fails. It
// cannot be retried if it is not idempotent.
const (
	// advertisedMargin is subtracted from the timeout in the target's Keep-Alive header.
	// The header has a resolution of whole seconds, and the target's close takes some
	// milliseconds to arrive.
	advertisedMargin = time.Second
	// staleResetWindow limits the time between sending a request and a reset. A reset
	// within it means that the target had dropped the connection before the request was
	// sent. The one-way delay between two regions is at most about 60 ms.
	staleResetWindow = 150 * time.Millisecond
	// staleTargetThreshold is how many targets must have dropped connections
	// within staleRetention before the limit applies to all targets. A single
	// target may have crashed instead.
	staleTargetThreshold = 3
	staleRetention       = 10 * time.Second
	// The learned limit is staleIdleFactor times the shortest idle time after which a
	// connection was dropped, but at least minIdleLimit.
	staleIdleFactor = 0.5
	minIdleLimit    = 50 * time.Millisecond
)

// idleLimits learns from failed requests how long connections to targets may stay
// idle. It is safe for concurrent use.
type idleLimits struct {
	mu sync.Mutex
	// stale holds the latest dropped connection of each address.
	stale map[string]staleConn
	// idle holds the connections that are idle now.
	idle map[*trackedConn]bool
}

// staleConn describes a connection that its target dropped while it was idle.
type staleConn struct {
	idleTime time.Duration
	at       time.Time
}

func newIdleLimits() *idleLimits {
	return &idleLimits{stale: make(map[string]staleConn), idle: make(map[*trackedConn]bool)}
}

// advertisedIdleLimit returns how long a connection may stay idle according to
// the Keep-Alive header of a response; 0 if the header gives no timeout.
func advertisedIdleLimit(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); name == "timeout" && err == nil && seconds > 0 {
			return max(time.Duration(seconds)*time.Second-advertisedMargin, advertisedMargin)
		}
	}
	return 0
}

// add registers an idle connection.
func (l *idleLimits) add(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle[c] = true
}

// remove unregisters a connection that is in use or closed.
func (l *idleLimits) remove(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.idle, c)
}

// recordStale records that a connection had been dropped by its target while it
// was idle, and updates the deadlines of all idle connections, which may have been
// dropped as well.
func (l *idleLimits) recordStale(address string, idleTime time.Duration, now time.Time) {
	l.mu.Lock()
	l.stale[address] = staleConn{idleTime: idleTime, at: now}
	idle := slices.Collect(maps.Keys(l.idle))
	l.mu.Unlock()
	for _, c := range idle {
		c.refreshIdleDeadline(now)
	}
}

// learnedLimit returns how long a connection to an address may stay idle according
// to the connections dropped within staleRetention; 0 for no limit.
func (l *idleLimits) learnedLimit(address string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	shortest := time.Duration(0)
	for staleAddress, s := range l.stale {
		if now.Sub(s.at) > staleRetention {
			delete(l.stale, staleAddress)
			continue
		}
		if shortest == 0 || s.idleTime < shortest {
			shortest = s.idleTime
		}
	}
	if _, dropped := l.stale[address]; !dropped && len(l.stale) < staleTargetThreshold {
		return 0
	}
	return max(time.Duration(staleIdleFactor*float64(shortest)), minIdleLimit)
}
