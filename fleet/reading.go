package fleet

import (
	"time"

	"github.com/crocushinge/crocushinge/timeline"
)

// Times of reading the store.
const (
	// takeOver is how much older than the first host's limit a view is before
	// the second host in order reads, and takeOverStep how much longer each
	// further one waits.
	takeoverGrace     = 250 * time.Millisecond
	takeoverStep = 100 * time.Millisecond
	// firstStep is how much longer each further host waits for the first reading
	// after its start: time for the one before it to read and to tell.
	firstReadStep = 40 * time.Millisecond
	// takeOverSteps is the rank from which hosts wait a random time, so that a
	// fleet does not press a store that is away.
	maxTakeoverSteps = 5
	// takeOverSpread is the longest of these random times.
	takeoverJitter = 3 * time.Second
	// firstRetry and longestRetry bound the pause of the first hosts in order after
	// a failed read. It doubles with every failure and is drawn from half of it to
	// one and a half.
	minRetryDelay   = 300 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// eagerHosts is how many hosts try that often. The others hear from them, and
	// try after otherRetry, for the case that the store turns these away.
	frequentRetryHosts = 3
	otherRetryDelay = 4 * time.Second
)

// readStore reads what is too old on this host.
func (c *Core) readStore(now time.Time) {
	if !c.joining.peersRead && now.Before(c.joining.joinDeadline) {
		return // the order of the hosts is not known yet
	}
	rank := c.rank()
	if c.readDue(&c.targetsCopy, now, rank, c.cfg.Timing.WaitTargets) {
		c.targetsCopy.reading = true
		c.emit(ReadTargets{Wait: c.cfg.Timing.WaitTargets})
	}
	if c.readDue(&c.configCopy, now, rank, c.cfg.Timing.WaitConfiguration) {
		c.configCopy.reading = true
		c.emit(ReadConfiguration{Wait: c.cfg.Timing.WaitConfiguration})
	}
}

// due reports whether this host reads a document. The first host in order always
// waits for changes; the others do when its answers, which come every wait at the
// latest, stay away.
func (c *Core) readDue(v *copyState, now time.Time, rank int, wait time.Duration) bool {
	if v.reading || now.Before(v.retryAt) {
		return false
	}
	if rank == 0 {
		return true
	}
	if v.confirmedAt.IsZero() {
		return !now.Before(c.joining.started.Add(time.Duration(min(rank, maxTakeoverSteps)) * firstReadStep))
	}
	limit := wait + takeoverGrace + time.Duration(min(rank-1, maxTakeoverSteps))*takeoverStep
	if v.age(now) < limit {
		return false
	}
	if rank > maxTakeoverSteps && v.failures == 0 && v.retryAt.IsZero() {
		v.retryAt = now.Add(time.Duration(c.cfg.Rand.Int64N(int64(takeoverJitter))))
		return false
	}
	return true
}

// readEnded notes how a read ended.
func (c *Core) finishRead(now time.Time, v *copyState, err error) bool {
	v.reading = false
	v.retryAt = time.Time{}
	if err == nil {
		if v.failures > 0 {
			c.record(now, timeline.Event{Kind: timeline.StoreBack, Service: c.documentName(v)})
		}
		v.failures = 0
		return true
	}
	if v.failures == 0 {
		c.record(now, timeline.Event{Kind: timeline.StoreLost, Service: c.documentName(v), Reason: err.Error()})
	}
	v.failures++
	// A store that fails for one document is away for the other.
	at := now.Add(c.retryDelay(v.failures))
	c.targetsCopy.retryAt, c.configCopy.retryAt = later(c.targetsCopy.retryAt, at), later(c.configCopy.retryAt, at)
	return false
}

// retryPause returns the pause after a number of failed reads.
func (c *Core) retryDelay(failures int) time.Duration {
	pause := min(minRetryDelay<<min(failures-1, 8), maxRetryDelay)
	if c.rank() >= frequentRetryHosts {
		pause = otherRetryDelay
	}
	return pause/2 + time.Duration(c.cfg.Rand.Int64N(int64(pause)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *Core) documentName(v *copyState) string {
	if v == &c.targetsCopy {
		return "targets"
	}
	return "configuration"
}
