package fleet

import (
	"slices"
	"time"
)

// Timing of reads of the store.
const (
	// takeoverGrace is the margin after which the second host in rank order takes over: it reads a
	// document when the age of its copy exceeds the wait of a read by this margin. Each further
	// host waits takeoverStep longer.
	takeoverGrace = 250 * time.Millisecond
	takeoverStep  = 100 * time.Millisecond
	// firstReadStep is how much longer each host waits after its start for its first read than the
	// host before it in rank order, which thus has time to read and to report.
	firstReadStep = 40 * time.Millisecond
	// maxTakeoverSteps limits how many steps (takeoverStep or firstReadStep) a host waits. Hosts
	// further down the rank order also wait a random time before they take over, so that the fleet
	// does not overload a store that is down.
	maxTakeoverSteps = 5
	// takeoverSpread is the upper bound of that random wait for each of these hosts: on average, one
	// of them takes over in this time. A bound that does not depend on their number would make a
	// small fleet wait for long although the store is up, since few of them draw a short time.
	// maxTakeoverJitter limits it in a large fleet, and maxFirstReadJitter for the first read after a
	// start.
	takeoverSpread     = 10 * time.Millisecond
	maxTakeoverJitter  = 2 * time.Second
	maxFirstReadJitter = 3 * time.Second
)

// readStore starts the reads of the store that are due. Of two documents that are due, the one
// that was read longer ago comes first.
func (c *Core) readStore(now time.Time) {
	if !c.joining.peersRead && now.Before(c.joining.joinDeadline) {
		return // the rank order of the hosts is not known yet
	}
	rank := c.rank()
	documents := []*copyState{&c.targetsCopy, &c.configCopy}
	if c.configCopy.readBegan.Before(c.targetsCopy.readBegan) {
		slices.Reverse(documents)
	}
	for _, state := range documents {
		if c.readDue(state, now, rank) {
			c.startRead(state, now, rank)
		}
	}
}

// startRead reads a document. Only a host that reads regularly, and whose last read succeeded, lets
// the store wait for a change: a store that does not answer at all is noticed sooner without.
func (c *Core) startRead(state *copyState, now time.Time, rank int) {
	state.reading, state.readBegan = true, now
	state.probe = state.unavailable || rank > 0
	var wait time.Duration
	if !state.probe && !state.confirmedAt.IsZero() {
		wait = c.pollTimeout(state)
	}
	if state == &c.targetsCopy {
		c.emit(ReadTargets{Known: c.history, Wait: wait})
	} else {
		c.emit(ReadConfiguration{Known: c.history, Wait: wait})
	}
}

// pollTimeout returns how long the store may wait for a change of a document.
func (c *Core) pollTimeout(state *copyState) time.Duration {
	if state == &c.targetsCopy {
		return c.cfg.Timing.TargetsPollTimeout
	}
	return c.cfg.Timing.ConfigurationPollTimeout
}

// readDue reports whether this host must read a document. The first host in rank order always has a
// long poll in flight, to which the store responds after wait at the latest. The other hosts read
// only when the results of the first host do not reach them. All delays follow from the present
// rank: a host that has become the first one, for instance because it hears nothing any more, does
// not wait out those of a host that others read for.
func (c *Core) readDue(state *copyState, now time.Time, rank int) bool {
	if state.reading || state.unavailable && !c.probeDue(now, rank) {
		return false
	}
	if rank == 0 {
		return true
	}
	if state.confirmedAt.IsZero() {
		return state.unavailable || c.firstReadDue(state, now, rank)
	}
	limit := c.pollTimeout(state) + takeoverGrace + time.Duration(min(rank-1, maxTakeoverSteps))*takeoverStep
	if state.age(now) < limit {
		state.takeoverAt = time.Time{}
		return false
	}
	// The probes of hosts whose reads have failed are spread already.
	return state.unavailable || !c.probing() && c.takeoverDue(state, now, rank, c.takeoverJitter())
}

// takeoverDue reports whether this host reads in place of the first ones. Those beyond
// maxTakeoverSteps wait a random time more, of up to jitter.
func (c *Core) takeoverDue(state *copyState, now time.Time, rank int, jitter time.Duration) bool {
	if rank <= maxTakeoverSteps {
		return true
	}
	if state.takeoverAt.IsZero() {
		state.takeoverAt = now.Add(time.Duration(c.cfg.Rand.Int64N(int64(jitter))))
	}
	return !now.Before(state.takeoverAt)
}

// takeoverJitter returns the upper bound of the random wait of the hosts beyond maxTakeoverSteps
// that have a copy. At their start, these hosts wait longer: the first ones read for them.
func (c *Core) takeoverJitter() time.Duration {
	beyond := max(1, len(c.liveHosts())-maxTakeoverSteps-1)
	return min(time.Duration(beyond)*takeoverSpread, maxTakeoverJitter)
}

// firstReadDue reports whether a host that has no copy of a document yet must read it. The first
// hosts in rank order read one after the other. The others wait a random time more, in which they
// receive what the first ones have read.
func (c *Core) firstReadDue(state *copyState, now time.Time, rank int) bool {
	if c.joining.rankKnownAt.IsZero() {
		c.joining.rankKnownAt = now
	}
	if now.Before(c.joining.rankKnownAt.Add(time.Duration(min(rank, maxTakeoverSteps)) * firstReadStep)) {
		return false
	}
	return c.takeoverDue(state, now, rank, maxFirstReadJitter)
}
