package fleet

import (
	"cmp"
	"slices"
)

// maxWaitingServices is how many services a report lists at most, so that one with many short
// services still fits in a datagram. Those with the most waiting requests are listed.
const maxWaitingServices = 16

// ownWaiting returns the requests that wait at this host.
func (c *Core) ownWaiting() []Waiting {
	var out []Waiting
	for hash, s := range c.servicesByHash {
		if w := s.Waiting(); w.Total() > 0 {
			out = append(out, Waiting{Service: hash, Requests: w})
		}
	}
	slices.SortFunc(out, func(a, b Waiting) int {
		if by := cmp.Compare(b.Requests.Total(), a.Requests.Total()); by != 0 {
			return by
		}
		return cmp.Compare(a.Service, b.Service)
	})
	return out[:min(len(out), maxWaitingServices)]
}

// replaceWaiting replaces a host's contribution to the requests that wait elsewhere.
func (c *Core) replaceWaiting(p *peerState, waiting []Waiting) {
	for _, w := range p.waiting {
		if s := c.servicesByHash[w.Service]; s != nil {
			s.RemoveWaitingElsewhere(w.Requests)
		}
	}
	p.waiting = p.waiting[:0]
	for _, w := range waiting[:min(len(waiting), maxWaitingServices)] {
		if s := c.servicesByHash[w.Service]; s != nil {
			s.AddWaitingElsewhere(w.Requests)
			p.waiting = append(p.waiting, w)
		}
	}
}
