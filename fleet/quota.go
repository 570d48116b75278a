package fleet

import "time"

const (
	// quotaTimeout is the longest silence of a host that still counts for the quotas, in fleets of
	// up to some hundred hosts: two intervals of reports, so that one datagram may be lost, and
	// their delays on the way. Until then each part of a divided fleet admits requests by the
	// share of all.
	quotaTimeout = 500 * time.Millisecond
	// tickGap is the time between two ticks above which this host was kept from running, and may
	// have datagrams that it has not processed.
	tickGap = 100 * time.Millisecond
	// lateTickDelay is when a late tick is followed by another one. The datagrams that waited have
	// been processed by then. Without it, a slow host whose ticks are all late would have no tokens.
	lateTickDelay = 10 * time.Millisecond
)

// shareQuotas sets the share of the quotas that this host uses together with the hosts it hears
// from. All others may be alive and use theirs. gap is the time since the last tick.
func (c *Core) shareQuotas(now time.Time, gap time.Duration) {
	switch {
	case gap <= tickGap:
		c.cfg.Quotas.SetShare(c.quotaShare(now), now)
	case c.cfg.Quotas != nil:
		c.nextTick = now.Add(lateTickDelay)
	}
}

// quotaShare is like rateShare, but a host counts only while its reports arrive in time.
func (c *Core) quotaShare(now time.Time) float64 {
	if !c.joining.membershipKnown {
		return 0
	}
	// In large fleets relays hold reports back for longer.
	timeout := min(max(quotaTimeout, maxReportInterval+2*c.scaleDelay(otherZonesDelay)), hostTimeout)
	inTouch, all := 1, 1
	for _, p := range c.peers {
		if p.alive || !p.lastReport.Leaving {
			all++
		}
		if p.alive && p.reported && now.Sub(p.reportReceived) <= timeout {
			inTouch++
		}
	}
	return float64(inTouch) / float64(all)
}

// countAdmitted counts the requests of limited accounts that a host has admitted since its last
// report. Those of an earlier process of the host do not count: the report was late.
func (c *Core) countAdmitted(now time.Time, p *peerState, r Report) {
	if r.Incarnation >= p.Incarnation {
		p.admitted.Receive(c.cfg.Quotas, r.Incarnation, r.Sequence, r.Admitted, now)
	}
}

// forgetAdmitted is called when this host has not run for a while, and has missed what the others
// admitted.
func (c *Core) forgetAdmitted(now time.Time) {
	c.cfg.Quotas.Empty(now)
	for _, p := range c.peers {
		p.admitted.Forget()
	}
}
