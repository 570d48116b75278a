package target

import (
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

// Verdict is the conclusion from the pooled evidence about a target.
type Verdict int

// Possible verdicts.
const (
	// Inconclusive means that the evidence does not reach the threshold.
	Inconclusive Verdict = iota
	// Gray means that the target is impaired: several hosts observe the fault, or the
	// only host that carries traffic to the target does.
	Gray
	// Disputed means that only one host or one zone observes a fault while others carry
	// traffic to the target.
	Disputed
)

// Evaluate evaluates the pooled evidence. One host, or the hosts of one zone, cannot
// reach the verdict Gray alone while others carry traffic to the target.
func (ev *Evidence) Evaluate(k Suspicion, threshold Threshold, now time.Time) Verdict {
	if ev.sum[k] < float64(threshold) {
		return Inconclusive
	}
	if ev.severalHostsCarryTraffic(now) && ev.sum[k]-ev.largestHostContribution(k) < corroborationShare*float64(threshold) {
		return Disputed
	}
	largest, contribution := ev.largestZoneContribution(k)
	if ev.otherZonesCarryTraffic(largest, now) && ev.sum[k]-contribution < corroborationShare*float64(threshold) {
		return Disputed
	}
	return Gray
}

// contradictionNats is the evidence against a suspicion that counts as a contradiction.
// It takes a few successful requests to reach it, so that the last requests before a
// fault do not suffice.
const contradictionNats = 2.5

// PeersContradict reports whether the peers that carry traffic to the target contradict
// the suspicion.
func (ev *Evidence) PeersContradict(k Suspicion, now time.Time) bool {
	sum := 0.0
	for _, e := range ev.peers {
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

// PeersCarryTraffic reports whether any peer carries traffic to the target.
func (ev *Evidence) PeersCarryTraffic(now time.Time) bool {
	for _, e := range ev.peers {
		if e.carriesTraffic(now) {
			return true
		}
	}
	return false
}

// severalHostsCarryTraffic reports whether at least two hosts carry traffic to the
// target.
func (ev *Evidence) severalHostsCarryTraffic(now time.Time) bool {
	n := 0
	if ev.own.carriesTraffic(now) {
		n++
	}
	for _, e := range ev.peers {
		if e.carriesTraffic(now) {
			n++
		}
	}
	return n > 1
}

// largestHostContribution returns the largest contribution of a single host.
func (ev *Evidence) largestHostContribution(k Suspicion) float64 {
	largest := ev.own.contribution[k]
	for _, e := range ev.peers {
		largest = max(largest, e.contribution[k])
	}
	return largest
}

// largestZoneContribution returns the zone with the largest contribution, and that
// contribution. Among equal ones it returns the first zone by name.
func (ev *Evidence) largestZoneContribution(k Suspicion) (zone.ID, float64) {
	contributions := map[zone.ID]float64{ev.own.zone: ev.own.contribution[k]}
	for _, e := range ev.peers {
		contributions[e.zone] += e.contribution[k]
	}
	largest := ev.own.zone
	for z, contribution := range contributions {
		if contribution > contributions[largest] || contribution == contributions[largest] && z < largest {
			largest = z
		}
	}
	return largest, contributions[largest]
}

// otherZonesCarryTraffic reports whether a host of any zone except the given one
// carries traffic to the target.
func (ev *Evidence) otherZonesCarryTraffic(except zone.ID, now time.Time) bool {
	if ev.own.zone != except && ev.own.carriesTraffic(now) {
		return true
	}
	for _, e := range ev.peers {
		if e.zone != except && e.carriesTraffic(now) {
			return true
		}
	}
	return false
}
