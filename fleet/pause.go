package fleet

import (
	"time"

	"github.com/crocushinge/crocushinge/timeline"
)

const (
	// pauseThreshold is the gap between two ticks above which the process is taken to have been
	// suspended.
	pauseThreshold = time.Second
	// renewalTimeout limits how long a host waits for newer documents after a pause. If neither a
	// peer nor the store responds, the host goes on with the copies that it has, as it does in any
	// outage.
	renewalTimeout = time.Second
)

// renewal is the state after a pause of this process. Targets may have left and the configuration
// may have changed during the pause. Datagrams that waited for the process may be as old as the
// pause, so that only a response to a request sent after it counts.
type renewal struct {
	// deadline is when the host stops waiting; zero if it does not wait.
	deadline time.Time
	// requested is set once the documents were requested from a peer.
	requested bool
}

// resumeAfterPause is called when the process was suspended. It restarts the timeout for silence of
// all live hosts, because the process received no reports while it did not run, and lets traffic
// refuse requests until the documents are renewed.
func (c *Core) resumeAfterPause(now time.Time, pause time.Duration) {
	for _, p := range c.peers {
		if p.alive {
			p.reportReceived = now
		}
	}
	c.forgetAdmitted(now)
	c.probes = probeSchedule{} // the store may have come back meanwhile
	if !c.ready() {
		return
	}
	c.renewal = renewal{deadline: now.Add(renewalTimeout)}
	c.snapshotStale = true
	c.record(now, timeline.Event{Kind: timeline.HostResumed, Reason: "paused for " + pause.Round(time.Millisecond).String()})
}

// renewing reports whether this host waits for newer documents after a pause.
func (c *Core) renewing() bool { return !c.renewal.deadline.IsZero() }

// renewDocuments requests the documents after a pause. A fetch that was in flight before does not
// count: it may have been answered before the pause.
func (c *Core) renewDocuments(now time.Time) {
	if !c.renewing() {
		return
	}
	if !now.Before(c.renewal.deadline) {
		c.endRenewal()
		return
	}
	source := c.randomPeer()
	if c.renewal.requested || c.fetching.inFlight || source == nil {
		return
	}
	c.renewal.requested = true
	c.fetch(now, source, Fetch{Targets: true, Configuration: true})
}

// finishRenewal is called with the result of a fetch.
func (c *Core) finishRenewal(err error) {
	if !c.renewal.requested {
		return
	}
	if err != nil {
		c.renewal.requested = false // another peer is asked
		return
	}
	c.endRenewal()
}

func (c *Core) endRenewal() {
	c.renewal = renewal{}
	c.snapshotStale = true
}
