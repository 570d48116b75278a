package target

import (
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

// Verdict is the conclusion from the pooled evidence about a target.
type Verdict int

// Possible verdicts.
const (
	// Unproved means that the evidence does not reach the threshold.
	Unproved Verdict = iota
	// Gray means that the target is impaired: several hosts observe it, or only one
	// host carries traffic to the target.
	Gray
	// Disputed means that only one host or one zone observes a fault while others carry
	// traffic to the target.
	Disputed
)

// Judge evaluates the pooled evidence. One host, or the hosts of one zone, cannot reach
// the verdict Gray alone while others carry traffic to the target.
func (p *Pool) Judge(k Suspicion, threshold Threshold, now time.Time) Verdict {
	if p.sum[k] < float64(threshold) {
		return Unproved
	}
	if p.severalHostsCarryTraffic(now) && p.sum[k]-p.largestHostContribution(k) < corroborationShare*float64(threshold) {
		return Disputed
	}
	largest, contribution := p.largestZoneContribution(k)
	if p.otherZonesCarryTraffic(largest, now) && p.sum[k]-contribution < corroborationShare*float64(threshold) {
		return Disputed
	}
	return Gray
}

// contradictionNats is the evidence against a suspicion that counts as a contradiction.
// It takes a few successful requests, so that the last ones before a fault do not
// suffice.
const contradictionNats = 2.5

// OthersDeny reports whether the peers that carry traffic to the target contradict the
// suspicion.
func (p *Pool) OthersDeny(k Suspicion, now time.Time) bool {
	sum := 0.0
	for _, e := range p.peers {
		if e.carriesTraffic(now) {
			sum += e.contribution[k]
		}
	}
	return sum <= -contradictionNats
}

// carriesTraffic reports whether the host has recently carried traffic to the target
// and does not attribute its observations to its own link.
func (e *hostEvidence) carriesTraffic(now time.Time) bool {
	return !e.excluded && e.observations > 0 && now.Sub(e.lastTraffic) < trafficWindow
}

// OthersCarry reports whether any peer carries traffic to the target.
func (p *Pool) OthersCarry(now time.Time) bool {
	for _, e := range p.peers {
		if e.carriesTraffic(now) {
			return true
		}
	}
	return false
}

// severalHostsCarryTraffic reports whether at least two hosts carry traffic to the
// target.
func (p *Pool) severalHostsCarryTraffic(now time.Time) bool {
	n := 0
	if p.own.carriesTraffic(now) {
		n++
	}
	for _, e := range p.peers {
		if e.carriesTraffic(now) {
			n++
		}
	}
	return n > 1
}

// largestHostContribution returns the largest contribution of a single host.
func (p *Pool) largestHostContribution(k Suspicion) float64 {
	largest := p.own.contribution[k]
	for _, e := range p.peers {
		largest = max(largest, e.contribution[k])
	}
	return largest
}

// largestZoneContribution returns the zone with the largest contribution, and that
// contribution. Among equal ones it returns the first zone by name.
func (p *Pool) largestZoneContribution(k Suspicion) (zone.ID, float64) {
	contributions := map[zone.ID]float64{p.own.zone: p.own.contribution[k]}
	for _, e := range p.peers {
		contributions[e.zone] += e.contribution[k]
	}
	largest := p.own.zone
	for z, contribution := range contributions {
		if contribution > contributions[largest] || contribution == contributions[largest] && z < largest {
			largest = z
		}
	}
	return largest, contributions[largest]
}

// otherZonesCarryTraffic reports whether a host of any zone except the given one
// carries traffic to the target.
func (p *Pool) otherZonesCarryTraffic(except zone.ID, now time.Time) bool {
	if p.own.zone != except && p.own.carriesTraffic(now) {
		return true
	}
	for _, e := range p.peers {
		if e.zone != except && e.carriesTraffic(now) {
			return true
		}
	}
	return false
}
