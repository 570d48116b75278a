package host

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/service"
)

const (
	// reportInterval is the time between two regular messages of evidence to
	// one peer. A failed request, news of a suspected target, and a sign that
	// a target leaves do not wait for it.
	reportInterval = 500 * time.Millisecond
	// maxReports bounds the reports in one message, and so the bytes a second.
	maxReports = 64
	// carrierTime is how long a host outside an entry set that carried traffic
	// to the service exchanges reports with the set.
	carrierTime = time.Minute
)

// EvidenceKey names one incarnation of a host as the source of evidence.
func (id Identity) EvidenceKey() string { return fmt.Sprintf("%s/%d", id.ID, id.Incarnation) }

// evidenceUrgent reports whether a service that this host fronts has evidence
// that must not wait for the next regular message.
func (c *Core) evidenceUrgent() bool {
	return slices.ContainsFunc(c.fronting.own, func(i int) bool { return c.ordered[i].Urgent() })
}

// sendReports tells the other hosts of each entry set what this host has seen
// of the targets, in one message for each host.
func (c *Core) sendReports(now time.Time) {
	outbox := c.takeUnsent()
	for _, name := range c.names {
		set := c.entrySets[name]
		if !c.fronts(name) && !c.signed[name] && now.Sub(c.carried[name]) > carrierTime {
			continue
		}
		reports := c.services[name].Reports(now)
		for _, id := range c.reportTo(now, set) {
			if p := c.peers[id]; p != nil && p.State != PeerGone && len(reports) > 0 {
				outbox[id] = append(outbox[id], reports...)
			}
		}
	}
	for _, id := range c.sortedPeerIDs() {
		for batch := range slices.Chunk(outbox[id], maxReports) {
			c.emit(SendReports{To: c.peers[id].Identity, From: c.self, Reports: batch})
		}
	}
}

// reportTo returns the hosts that exchange reports about a service: its entry
// set, and hosts outside it that carried traffic to it lately.
func (c *Core) reportTo(now time.Time, set EntrySet) []ID {
	var out []ID
	for _, m := range set.Members {
		out = append(out, m.ID)
	}
	for id, at := range c.carriers[set.Service] {
		if now.Sub(at) <= carrierTime && set.Rank(id) < 0 {
			out = append(out, id)
		}
	}
	return out
}

// noteCarrier notes that a host outside the entry set reports on a service. A
// new one is told everything.
func (c *Core) noteCarrier(now time.Time, id ID, s *service.Service) {
	name := s.Contract.Service
	if c.entrySets[name].Rank(id) >= 0 || !c.fronts(name) {
		return
	}
	if c.carriers[name] == nil {
		c.carriers[name] = make(map[ID]time.Time)
	}
	if now.Sub(c.carriers[name][id]) > carrierTime {
		s.RepeatReports()
	}
	c.carriers[name][id] = now
}

// reportsHeard takes in a peer's evidence. That of an incarnation which is not
// known, or gone, does not count.
func (c *Core) reportsHeard(now time.Time, ev ReportsHeard) {
	p := c.peers[ev.From.ID]
	if p == nil || p.State == PeerGone || p.Identity.Incarnation != ev.From.Incarnation {
		return
	}
	key := ev.From.EvidenceKey()
	for _, r := range ev.Reports {
		if s, ok := c.services[r.Target.Service]; ok {
			c.noteCarrier(now, p.Identity.ID, s)
			c.applyTransitions(now, s.ObserveReport(key, r, now))
		}
	}
}

// forgetEvidence drops the evidence of a host that is gone.
func (c *Core) forgetEvidence(now time.Time, id Identity) {
	key := id.EvidenceKey()
	for _, s := range c.ordered {
		c.applyTransitions(now, s.ForgetPeer(key, now))
	}
}

// doubtsPaths reports whether this host alone sees most targets of a service
// at fault.
func (c *Core) doubtsPaths() bool {
	return slices.ContainsFunc(c.ordered, (*service.Service).SelfDoubt)
}
