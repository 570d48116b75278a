package fleet

import (
	"fmt"
	"time"

	"github.com/crocushinge/crocushinge/timeline"
)

// StoreResponseTimeout is how long a read waits for the store beyond the time for which the store may
// wait for a change. A store that is fifty times slower than usual still responds within it.
const StoreResponseTimeout = 450 * time.Millisecond

// minProbeSpread is the least random factor of the interval between probes. It keeps hosts that have
// lost the store at the same moment from probing it at the same moments.
const minProbeSpread = 0.9

// probeInterval returns the longest time between the beginnings of two probes by a host of the given
// rank. The first hosts probe more often: the others usually learn from them that the store is back.
// All others must follow the store in time as well: they may be the only ones that reach it.
func (t Timing) probeInterval(rank int) time.Duration {
	first := max(t.StoreReturn/5-tickInterval, 2*tickInterval)
	return min(first+time.Duration(rank)*t.StoreReturn/12, t.StoreReturn*4/5)
}

// probeSchedule decides when the next probe of the store begins. A document is unavailable after a failed
// read of it, and is then read by probes: reads that do not wait for a change. One probe is in flight at
// a time, and the unavailable documents take turns. The time between the beginnings of two probes is
// bounded, so that neither a response that never comes nor the number of failures delays the notice
// that the store is back.
type probeSchedule struct {
	// began is when the last failed read began; zero if the next probe is due at once.
	began time.Time
	// factor is the random factor of the interval, at most 1.
	factor float64
}

// probing reports whether a probe is in flight.
func (c *Core) probing() bool {
	return c.targetsCopy.reading && c.targetsCopy.probe || c.configCopy.reading && c.configCopy.probe
}

// probeDue reports whether a host of the given rank may probe the store.
func (c *Core) probeDue(now time.Time, rank int) bool {
	if c.probing() {
		return false
	}
	interval := time.Duration(c.probes.factor * float64(c.cfg.Timing.probeInterval(rank)))
	return c.probes.began.IsZero() || !now.Before(c.probes.began.Add(interval))
}

// finishRead records the end of a read and reports whether it succeeded.
func (c *Core) finishRead(now time.Time, state *copyState, err error) bool {
	state.reading = false
	state.takeoverAt = time.Time{}
	if err != nil {
		c.recordFailedRead(now, state, err)
		return false
	}
	if state.failures > 0 {
		c.record(now, timeline.Event{
			Kind: timeline.StoreBack, Service: c.documentName(state),
			Reason: fmt.Sprintf("lost for %s, %d failed reads, the last began %s ago", now.Sub(state.lostAt).Round(time.Millisecond),
				state.failures, now.Sub(state.failedReadBegan).Round(time.Millisecond)),
		})
	}
	state.failures = 0
	state.readAt = now
	if state.unavailable {
		state.unavailable = false
		c.probes = probeSchedule{} // the other document is probed at once
	}
	return true
}

// readAfterProbe starts what a successful probe has made due, instead of at the next tick.
func (c *Core) readAfterProbe(now time.Time, state *copyState) {
	if state.probe {
		c.readStore(now)
	}
}

// recordFailedRead makes a document unavailable. The other one becomes unavailable with it unless the
// store has lately returned it or is being asked for it: the store may be down in part only.
func (c *Core) recordFailedRead(now time.Time, state *copyState, err error) {
	if state.failures == 0 {
		state.lostAt = now
		c.record(now, timeline.Event{Kind: timeline.StoreLost, Service: c.documentName(state), Reason: err.Error()})
	}
	state.failures++
	state.failedReadBegan = state.readBegan
	state.unavailable = true
	other := &c.targetsCopy
	if state == other {
		other = &c.configCopy
	}
	if !other.reading && now.Sub(other.readAt) > c.pollTimeout(other) {
		other.unavailable = true
	}
	if c.targetsCopy.unavailable {
		c.registry.NoteUnavailable(c.targetsCopy.storeTime(state.readBegan))
	}
	c.probes = probeSchedule{began: state.readBegan, factor: minProbeSpread + (1-minProbeSpread)*c.cfg.Rand.Float64()}
}

func (c *Core) documentName(state *copyState) string {
	if state == &c.targetsCopy {
		return "targets"
	}
	return "configuration"
}
