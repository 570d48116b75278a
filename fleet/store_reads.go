package fleet

import (
	"time"

	"github.com/crocushinge/crocushinge/timeline"
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
	// maxTakeoverJitter limits it in a large fleet.
	takeoverSpread    = 10 * time.Millisecond
	maxTakeoverJitter = 3 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay of the first hosts in rank order after a
	// failed read. The delay doubles with every failure, and is then multiplied by a random factor
	// between 0.5 and 1.5.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// frequentRetryHosts is how many hosts retry that often. The other hosts receive what these
	// hosts read. They retry after about otherRetryDelay, in case only the first hosts cannot reach
	// the store.
	frequentRetryHosts = 3
	otherRetryDelay    = 4 * time.Second
)

// readStore starts the reads of the store that are due.
func (c *Core) readStore(now time.Time) {
	if !c.joining.peersRead && now.Before(c.joining.joinDeadline) {
		return // the rank order of the hosts is not known yet
	}
	rank := c.rank()
	if c.readDue(&c.targetsCopy, now, rank, c.cfg.Timing.TargetsPollTimeout) {
		c.targetsCopy.reading = true
		c.emit(ReadTargets{Known: c.history, Wait: c.cfg.Timing.TargetsPollTimeout})
	}
	if c.readDue(&c.configCopy, now, rank, c.cfg.Timing.ConfigurationPollTimeout) {
		c.configCopy.reading = true
		c.emit(ReadConfiguration{Known: c.history, Wait: c.cfg.Timing.ConfigurationPollTimeout})
	}
}

// readDue reports whether this host must read a document. The first host in rank order always has a
// long poll in flight, to which the store responds after wait at the latest. The other hosts read
// only when the results of the first host do not reach them. All delays follow from the present
// rank: a host that has become the first one, for instance because it hears nothing any more, does
// not wait out those of a host that others read for.
func (c *Core) readDue(state *copyState, now time.Time, rank int, wait time.Duration) bool {
	if state.reading || now.Before(c.storeRetry.due(rank)) {
		return false
	}
	if rank == 0 {
		return true
	}
	if state.confirmedAt.IsZero() {
		return c.firstReadDue(state, now, rank)
	}
	limit := wait + takeoverGrace + time.Duration(min(rank-1, maxTakeoverSteps))*takeoverStep
	if state.age(now) < limit {
		state.takeoverAt = time.Time{}
		return false
	}
	return c.takeoverDue(state, now, rank, c.takeoverJitter())
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
	return c.takeoverDue(state, now, rank, maxTakeoverJitter)
}

// finishRead records the end of a read and reports whether it succeeded.
func (c *Core) finishRead(now time.Time, state *copyState, err error) bool {
	state.reading = false
	state.takeoverAt = time.Time{}
	if err == nil {
		if state.failures > 0 {
			c.record(now, timeline.Event{Kind: timeline.StoreBack, Service: c.documentName(state)})
		}
		state.failures = 0
		c.storeRetry = storeRetry{}
		return true
	}
	if state.failures == 0 {
		c.record(now, timeline.Event{Kind: timeline.StoreLost, Service: c.documentName(state), Reason: err.Error()})
	}
	state.failures++
	c.storeRetry = storeRetry{failedAt: now, failures: state.failures, factor: 0.5 + c.cfg.Rand.Float64()}
	return false
}

// storeRetry is the delay of reads after a failed one. A failure for one document delays the reads
// of both: they come from the same store.
type storeRetry struct {
	// failedAt is when the last read failed; zero if it succeeded.
	failedAt time.Time
	// failures is the number of failed reads in a row, and factor the random factor of the delay.
	failures int
	factor   float64
}

// due returns when a host of the given rank may read again.
func (r storeRetry) due(rank int) time.Time {
	if r.failedAt.IsZero() {
		return time.Time{}
	}
	delay := min(minRetryDelay<<min(r.failures-1, 8), maxRetryDelay)
	if rank >= frequentRetryHosts {
		delay = otherRetryDelay
	}
	return r.failedAt.Add(time.Duration(r.factor * float64(delay)))
}

func (c *Core) documentName(state *copyState) string {
	if state == &c.targetsCopy {
		return "targets"
	}
	return "configuration"
}
