package target

import (
	"slices"
	"strings"
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

const (
	// elevatedNats is the pooled evidence, in nats, from which each entry host reports
	// all evidence that it observes of the target.
	elevatedNats = 5
	// strongNats is the evidence of a single request that counts as strong, in nats.
	strongNats = 2.5
	// trafficWindow is how long a host counts as carrying traffic to the target after
	// its latest request, or, for a peer, after the report of that request.
	trafficWindow = 15 * time.Second
)

// hostEvidence is the evidence of one host about a target.
type hostEvidence struct {
	host string
	zone zone.ID
	// contribution is the host's part of the pooled evidence.
	contribution LLR
	// total is the host's running total as last reported; for this host, the total to
	// report.
	total        LLR
	sequence     uint64
	observations uint64
	// lastTraffic is when the host was last known to carry traffic to the target.
	lastTraffic time.Time
	// excluded is set while the host reports that its own link is at fault.
	excluded bool
	leaving  bool
}

// Pool combines the evidence that the hosts of an entry set observe about one target.
// For each suspicion it runs a CUSUM test (Page) over the increments of all hosts, and
// tracks the contribution of each host.
type Pool struct {
	sum LLR
	own hostEvidence
	// peers is sorted by host, so that floating-point sums add up in the same order in
	// every run.
	peers []*hostEvidence
	// cusum is the CUSUM test over this host's own observations alone.
	cusum LLR
	// strongAt is when this host last observed strong evidence.
	strongAt [Suspicions]time.Time
	// frozen is set while the target takes no new requests, so that the evidence stays
	// as it was when they stopped.
	frozen bool
}

// NewPool returns an empty pool for a host in the given zone.
func NewPool(z zone.ID) *Pool {
	return &Pool{own: hostEvidence{zone: z}}
}

// Sum returns the pooled evidence.
func (p *Pool) Sum() LLR { return p.sum }

// Total returns the running total of the evidence that this host has reported or will
// report.
func (p *Pool) Total() LLR { return p.own.total }

// Own returns the CUSUM of this host's own observations alone.
func (p *Pool) Own() LLR { return p.cusum }

// Quiet reports whether there is no evidence at all.
func (p *Pool) Quiet() bool { return p.sum == LLR{} && p.cusum == LLR{} }

// Hot reports whether the pooled evidence is elevated, so that every change is reported
// to the peers at once.
func (p *Pool) Hot() bool { return p.sum.Max() >= elevatedNats }

// BadAt returns when this host last observed strong evidence.
func (p *Pool) BadAt(k Suspicion) time.Time { return p.strongAt[k] }

// CountObservation counts a request that this host sent to the target.
func (p *Pool) CountObservation(now time.Time) {
	p.own.observations++
	p.own.lastTraffic = now
}

// Add adds evidence that this host observed. Normally the reported total follows this
// host's own CUSUM, which does not fall below zero, so that a host without suspicion
// has nothing to report. While the pooled evidence is elevated, the full evidence is
// added.
func (p *Pool) Add(k Suspicion, nats float64, threshold Threshold, now time.Time) {
	if nats >= strongNats {
		p.strongAt[k] = now
	}
	before := p.cusum[k]
	p.cusum[k] = min(max(0, before+nats), float64(threshold))
	step := p.cusum[k] - before
	if p.Hot() {
		step = nats
	}
	p.own.total[k] += step
	p.addContribution(&p.own, k, step, threshold)
}

// addContribution changes a host's contribution to the pooled evidence. One host
// contributes at most half the threshold against the suspicion and the whole threshold
// for it.
func (p *Pool) addContribution(e *hostEvidence, k Suspicion, nats float64, threshold Threshold) {
	if nats == 0 || e.excluded || p.frozen {
		return
	}
	before := e.contribution[k]
	after := min(max(before+nats, -maxContradictionShare*float64(threshold)), float64(threshold))
	e.contribution[k] = after
	p.sum[k] += after - before
	if p.sum[k] <= 0 {
		p.clearEvidence(k)
	}
}

// clearEvidence sets the pooled evidence for a suspicion and all contributions to it to
// zero.
func (p *Pool) clearEvidence(k Suspicion) {
	p.sum[k] = 0
	p.own.contribution[k] = 0
	for _, e := range p.peers {
		e.contribution[k] = 0
	}
}

// Reset clears the evidence, but keeps the totals that the peers have reported, from
// which later reports count.
func (p *Pool) Reset() {
	p.clearEvidence(Failing)
	p.clearEvidence(Slow)
	p.cusum = LLR{}
	p.frozen = false
}

// Freeze keeps the pooled evidence unchanged until Reset.
func (p *Pool) Freeze() { p.frozen = true }

// Limit scales the pooled evidence down to the given level, so that evidence that
// accumulated without an ejection does not outlast its cause.
func (p *Pool) Limit(k Suspicion, level float64) {
	if p.sum[k] <= level {
		return
	}
	scale := level / p.sum[k]
	p.own.contribution[k] *= scale
	for _, e := range p.peers {
		e.contribution[k] *= scale
	}
	p.sum[k] = level
}

// findPeer returns a peer's index, or the index at which it belongs in the sorted
// peers.
func (p *Pool) findPeer(host string) (i int, known bool) {
	return slices.BinarySearchFunc(p.peers, host, func(e *hostEvidence, host string) int {
		return strings.Compare(e.host, host)
	})
}

// LimitOwn limits the CUSUM of this host's own observations to the given level.
func (p *Pool) LimitOwn(k Suspicion, level float64) {
	p.cusum[k] = min(p.cusum[k], level)
}

// ResetOwn clears this host's own CUSUM and its contribution to the pooled evidence.
func (p *Pool) ResetOwn() {
	for k := range Suspicions {
		p.cusum[k] = 0
		p.removeContribution(&p.own, k)
	}
}

// removeContribution removes a host's contribution from the pooled evidence.
func (p *Pool) removeContribution(e *hostEvidence, k Suspicion) {
	p.sum[k] -= e.contribution[k]
	e.contribution[k] = 0
	if p.sum[k] <= 0 {
		p.clearEvidence(k)
	}
}

// Carries reports whether this host has recently carried traffic to the target.
func (p *Pool) Carries(now time.Time) bool { return p.own.carriesTraffic(now) }
