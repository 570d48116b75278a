package target

import (
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

// Verdict is what the pooled evidence says of a target.
type Verdict int

// The verdicts.
const (
	// Unproved means that the evidence is not enough.
	Unproved Verdict = iota
	// Gray means that several hosts see the target at fault, or that only one
	// carries traffic to it.
	Gray
	// Disputed means that one host or one zone alone sees a fault, while
	// others carry traffic to the target.
	Disputed
)

// Judge weighs the pooled evidence. One host, or the hosts of one zone, cannot
// bring about the verdict Gray alone while others carry traffic.
func (p *Pool) Judge(k Suspicion, h Threshold, now time.Time) Verdict {
	if p.sum[k] < float64(h) {
		return Unproved
	}
	if p.manyCarry(now) && p.sum[k]-p.topHost(k) < othersShare*float64(h) {
		return Disputed
	}
	top, part := p.topZone(k)
	if p.otherZonesCarry(top, now) && p.sum[k]-part < othersShare*float64(h) {
		return Disputed
	}
	return Gray
}

// denialNats is the evidence against a suspicion that counts as a denial. It
// takes a few good answers, so that the last ones before a fault do not count.
const denialNats = 2.5

// OthersDeny reports whether the peers that carry traffic to the target deny
// the suspicion.
func (p *Pool) OthersDeny(k Suspicion, now time.Time) bool {
	rest := 0.0
	for _, s := range p.peers {
		if s.carries(now) {
			rest += s.contribution[k]
		}
	}
	return rest <= -denialNats
}

func (s *share) carries(now time.Time) bool {
	return !s.disowned && s.observations > 0 && now.Sub(s.carried) < carryTime
}

// OthersCarry reports whether a peer carries traffic to the target.
func (p *Pool) OthersCarry(now time.Time) bool {
	for _, s := range p.peers {
		if s.carries(now) {
			return true
		}
	}
	return false
}

// manyCarry reports whether at least two hosts carry traffic.
func (p *Pool) manyCarry(now time.Time) bool {
	n := 0
	if p.own.carries(now) {
		n++
	}
	for _, s := range p.peers {
		if s.carries(now) {
			n++
		}
	}
	return n > 1
}

// topHost returns the greatest part of one host.
func (p *Pool) topHost(k Suspicion) float64 {
	top := p.own.contribution[k]
	for _, s := range p.peers {
		top = max(top, s.contribution[k])
	}
	return top
}

// topZone returns the zone with the greatest part, and that part.
func (p *Pool) topZone(k Suspicion) (zone.ID, float64) {
	parts := map[zone.ID]float64{p.own.zone: p.own.contribution[k]}
	for _, s := range p.peers {
		parts[s.zone] += s.contribution[k]
	}
	top := p.own.zone
	for z, part := range parts {
		if part > parts[top] || part == parts[top] && z < top {
			top = z
		}
	}
	return top, parts[top]
}

func (p *Pool) otherZonesCarry(top zone.ID, now time.Time) bool {
	if p.own.zone != top && p.own.carries(now) {
		return true
	}
	for _, s := range p.peers {
		if s.zone != top && s.carries(now) {
			return true
		}
	}
	return false
}
