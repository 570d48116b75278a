package host

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/timeline"
)

func (c *Core) tick(now time.Time) {
	if !c.started {
		c.started = true
		c.record(now, timeline.Event{Kind: timeline.HostStarted})
	}
	c.tickServices(now)
	c.expireLeaveQueries(now)
	c.detectPause(now)
	c.expireRounds(now)
	c.expireSuspicions(now)
	c.updateFreshness(now)
	c.updateSick(now)
	c.refreshEntrySets(now)
	c.startPeriodic(now)
}

// otherServiceTicks is the number of ticks between two ticks of a service for
// which this host is no entry host.
const otherServiceTicks = 20

// tickServices runs the periodic work of the services. Services for which this
// host is no entry host have almost no state that changes with time, so each of
// them is ticked only once in otherServiceTicks ticks.
func (c *Core) tickServices(now time.Time) {
	c.ticks++
	for _, i := range c.entrySetState.ownServices {
		c.applyTransitions(now, c.sortedServices[i].Tick(now))
		c.sendDueProbes(now, c.sortedServices[i])
	}
	for i := c.ticks % otherServiceTicks; i < len(c.sortedServices); i += otherServiceTicks {
		if !c.isEntryHostAt(i) {
			c.applyTransitions(now, c.sortedServices[i].Tick(now))
		}
	}
}

// isEntryHostAt reports whether this host is an entry host for the service at a
// position in serviceNames.
func (c *Core) isEntryHostAt(position int) bool {
	_, found := slices.BinarySearch(c.entrySetState.ownServices, position)
	return found
}

// startPeriodic starts the periodic work that is due. All periods are jittered.
func (c *Core) startPeriodic(now time.Time) {
	timing, hosts := c.cfg.Timing, len(c.peers)+1
	if c.due(now, &c.nextPing, timing.PingInterval) {
		c.pingNext(now)
	}
	if c.hasUrgentEvidence() || c.due(now, &c.nextReport, reportInterval) {
		c.sendReports(now)
	}
	if c.due(now, &c.nextSync, timing.syncPeriod(hosts)) {
		c.syncPeers(now)
	}
	if c.due(now, &c.nextRecontact, c.recontactPeriod()) {
		c.recontact(now)
	}
	if c.due(now, &c.nextPoll, pollPeriod(timing.PollInterval, hosts)) {
		c.emit(ReadConfiguration{After: c.position()})
	}
	if c.due(now, &c.nextHostList, pollPeriod(timing.HostListPollInterval, hosts)) {
		c.emit(ReadHostList{})
	}
}

// due reports whether the time next has come. If so, it sets next to a time one
// jittered period later.
func (c *Core) due(now time.Time, next *time.Time, period time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(c.jitter(period))
	return true
}

// recontactPeriod returns the time between two calls of recontact. It is
// shorter while this host knows no other host.
func (c *Core) recontactPeriod() time.Duration {
	if len(c.peers) == 0 {
		return c.cfg.Timing.PingInterval
	}
	return c.cfg.Timing.RecontactInterval
}

// jitter returns a random duration of 75% to 125% of d, so that the hosts of
// the fleet do not act in step.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(c.cfg.Rand.Int64N(int64(d)/2))
}
