package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/timeline"
)

// handleUnserved counts requests of this host that ended unserved, and reports them to the other
// hosts: a host's own requests are too few to judge a service by.
func (c *Core) handleUnserved(now time.Time, u Unserved) {
	c.countUnserved(u)
	i := slices.IndexFunc(c.pending.unserved, func(p Unserved) bool { return p.Service == u.Service })
	if i < 0 {
		c.pending.unserved = append(c.pending.unserved, u)
	} else {
		c.pending.unserved[i].Requests += u.Requests
	}
	c.pending.schedule(now.Add(reportDelay))
}

// countUnserved counts requests of any host that ended unserved.
func (c *Core) countUnserved(u Unserved) {
	if s := c.servicesByHash[u.Service]; s != nil {
		s.CountUnserved(u.Requests)
	}
}

// recordFloor records that a service begins or ceases to keep all its targets in use. All hosts come
// to that at about the same time, and the first in rank order records it.
func (c *Core) recordFloor(now time.Time, s *pool.Service, before, after pool.Usage) {
	if before.KeepAllInUse == after.KeepAllInUse || c.rank() != 0 {
		return
	}
	from, to := "by cost", "all"
	if !after.KeepAllInUse {
		from, to = to, from
	}
	c.record(now, timeline.Event{
		Kind: timeline.TargetsInUse, Service: s.Name, From: from, To: to,
		Reason: fmt.Sprintf("%.1f%% of %.0f requests/s unserved, %d of %d trusted targets in use",
			100*after.UnservedShare, after.RequestRate, after.InUse, after.Trusted),
	})
}
