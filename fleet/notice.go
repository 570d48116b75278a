package fleet

import (
	"fmt"
	"time"

	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/timeline"
)

// TargetNotice is what a target has said in its responses that concerns all hosts: that it is
// leaving, and the rate at which it accepts requests.
type TargetNotice struct {
	Target  pool.Hash
	Leaving bool
	Limit   target.RateLimit
}

// noticeOf returns what is known from the responses of a target.
func (c *Core) noticeOf(t *pool.Target) TargetNotice {
	_, left := c.saidLeaving[t.Registration]
	return TargetNotice{Target: t.Hash, Leaving: left || t.SaysLeaving(), Limit: t.RateLimit()}
}

// handleNotice passes on the notice in a response that this host's traffic has received, and
// which it already keeps to.
func (c *Core) handleNotice(now time.Time, t *pool.Target) {
	ref, ok := c.byHash[t.Hash]
	if !ok || ref.target != t {
		return
	}
	notice := c.noticeOf(t)
	if before := c.recordedLimits[t.Hash]; before != notice.Limit {
		c.recordedLimits[t.Hash] = notice.Limit
		c.record(now, timeline.Event{
			Kind: timeline.TargetLimited, Service: t.Key.Service, Target: t.Key.Name,
			From: rateText(before), To: rateText(notice.Limit), Reason: "said in a response",
		})
	}
	if notice.Leaving && c.leave(now, ref) {
		c.record(now, timeline.Event{
			Kind: timeline.TargetStateChanged, Service: t.Key.Service, Target: t.Key.Name,
			To: "leaving", Reason: "said in a response",
		})
	}
	c.pending.notices = append(c.pending.notices, notice)
	c.pending.schedule(now)
	c.sendReport(now)
}

// applyNotices keeps to the notices that another host has passed on. Those of targets that this
// host does not know yet are kept for later.
func (c *Core) applyNotices(now time.Time, notices []TargetNotice) {
	for _, n := range notices {
		ref, ok := c.byHash[n.Target]
		if !ok {
			if len(c.earlyNotices) < maxEarlyNotices {
				c.earlyNotices[n.Target] = n
			}
			continue
		}
		ref.target.SetRateLimit(n.Limit, now)
		if n.Leaving {
			c.leave(now, ref)
		}
	}
}

// maxEarlyNotices bounds the notices that are kept of targets that this host does not know. It is
// about the number of targets of a large fleet.
const maxEarlyNotices = 8192

// applyEarlyNotices keeps to the notices of targets that this host has learned of since.
func (c *Core) applyEarlyNotices(now time.Time) {
	var known []TargetNotice
	for hash, n := range c.earlyNotices {
		if _, ok := c.byHash[hash]; ok {
			known = append(known, n)
			delete(c.earlyNotices, hash)
		}
	}
	c.applyNotices(now, known)
}

// leave takes a target out of use that has said that it is leaving. The target may be
// registered as ready for a while, or again after its row has lapsed. It reports whether that
// is new.
func (c *Core) leave(now time.Time, ref targetRef) bool {
	if _, known := c.saidLeaving[ref.target.Registration]; known {
		return false
	}
	c.saidLeaving[ref.target.Registration] = now
	ref.service.Leave(ref.target)
	c.snapshotStale = true
	return true
}

// notices returns what the targets have said, for a host that fetches documents.
func (c *Core) notices() []TargetNotice {
	var out []TargetNotice
	for hash, ref := range c.byHash {
		if n := c.noticeOf(ref.target); n != (TargetNotice{Target: hash}) {
			out = append(out, n)
		}
	}
	return out
}

// forgetNotices forgets the notices of targets that were last heard of long ago.
func (c *Core) forgetNotices(now time.Time) {
	for registration, at := range c.saidLeaving {
		if now.Sub(at) > forgetAfter {
			delete(c.saidLeaving, registration)
		}
	}
	for hash := range c.recordedLimits {
		if _, ok := c.byHash[hash]; !ok {
			delete(c.recordedLimits, hash)
		}
	}
}

// rateShare returns the share of the targets' rate limits that this host and the hosts which
// it hears of use together: their share of all hosts. The hosts that it does not hear of may
// be alive and use theirs. A host that has not learned of the others yet has no share.
func (c *Core) rateShare() float64 {
	if !c.joining.membershipKnown {
		return 0
	}
	all := 1
	for _, p := range c.peers {
		if p.alive || !p.lastReport.Leaving {
			all++
		}
	}
	return float64(len(c.liveHosts())) / float64(all)
}

// countRequests counts the requests that a host has sent since its last report against the
// rate limits of their targets: those that are in flight now and were not before, and those
// that have ended.
func (c *Core) countRequests(now time.Time, before []Load, r Report) {
	sent := make(map[pool.Hash]int)
	count := func(h pool.Hash, requests int) {
		if ref, ok := c.byHash[h]; ok && ref.target.RateLimit() != target.Unlimited {
			sent[h] += requests
		}
	}
	for _, l := range before {
		count(l.Target, -l.Requests)
	}
	for _, l := range r.Loads {
		count(l.Target, l.Requests)
	}
	for _, e := range r.Endings {
		if e.Outcome != link.Overdue && e.Outcome != link.ConnectFailed {
			count(e.Target, 1)
		}
	}
	for h, requests := range sent {
		if requests > 0 {
			c.byHash[h].service.CountOthers(c.byHash[h].target, requests, now)
		}
	}
}

// rateText formats a rate limit for the timeline.
func rateText(limit target.RateLimit) string {
	if limit == target.Unlimited {
		return "unlimited"
	}
	return fmt.Sprintf("%.3g requests/s", float64(limit))
}
