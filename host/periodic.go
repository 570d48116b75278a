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
	c.tickSigns(now)
	c.noticePause(now)
	c.expireRounds(now)
	c.expireSuspicions(now)
	c.refreshNews(now)
	c.refreshSelf(now)
	c.refreshEntrySets(now)
	c.startPeriodic(now)
}

// idleTicks is how many ticks pass between two ticks of a service that this
// host does not front.
const idleTicks = 20

// tickServices lets time pass for the services. Those that this host does not
// front have next to no state that changes; they take turns.
func (c *Core) tickServices(now time.Time) {
	c.ticks++
	for _, i := range c.fronting.own {
		c.applyTransitions(now, c.ordered[i].Tick(now))
		c.sendProbes(now, c.ordered[i])
	}
	for i := c.ticks % idleTicks; i < len(c.ordered); i += idleTicks {
		if !c.frontsAt(i) {
			c.applyTransitions(now, c.ordered[i].Tick(now))
		}
	}
}

// frontsAt reports whether this host is in the entry set of the service at a
// position in names.
func (c *Core) frontsAt(position int) bool {
	_, found := slices.BinarySearch(c.fronting.own, position)
	return found
}

// startPeriodic starts what is due of the work that every host does all the
// time. All periods are jittered.
func (c *Core) startPeriodic(now time.Time) {
	timing, hosts := c.cfg.Timing, len(c.peers)+1
	if c.due(now, &c.nextPing, timing.PingInterval) {
		c.pingNext(now)
	}
	if c.evidenceUrgent() || c.due(now, &c.nextReport, reportInterval) {
		c.sendReports(now)
	}
	if c.due(now, &c.nextSync, timing.syncPeriod(hosts)) {
		c.syncPeers(now)
	}
	if c.due(now, &c.nextRecontact, c.recontactPeriod()) {
		c.recontact(now)
	}
	if c.due(now, &c.nextPoll, pollPeriod(timing.Poll, hosts)) {
		c.emit(ReadConfiguration{After: c.revision})
	}
	if c.due(now, &c.nextHostList, pollPeriod(timing.HostListPoll, hosts)) {
		c.emit(ReadHostList{})
	}
}

// due reports whether a time has come, and sets the next one.
func (c *Core) due(now time.Time, next *time.Time, period time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(c.jitter(period))
	return true
}

// recontactPeriod is short until the host has found another one.
func (c *Core) recontactPeriod() time.Duration {
	if len(c.peers) == 0 {
		return c.cfg.Timing.PingInterval
	}
	return c.cfg.Timing.RecontactInterval
}

// jitter spreads a period over 75% to 125% of it, so that the hosts of the
// fleet do not act in step.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(c.cfg.Rand.Int64N(int64(d)/2))
}
