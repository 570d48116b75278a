package target

import (
	"slices"
	"strings"
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

const (
	// elevatedNats is the pooled evidence, in nats, from which it counts as elevated:
	// each entry host then reports all evidence that it observes of the target.
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
	// limit is the target's rate limit as last reported, and limitChanged is set if the report
	// before that said something else.
	limit        RateLimit
	limitChanged bool
}

// Evidence combines the evidence that the hosts of an entry set observe about one
// target. For each suspicion it runs a CUSUM test (Page's test) over the evidence of
// all hosts, and tracks how much each host contributed.
type Evidence struct {
	sum LLR
	own hostEvidence
	// peers is sorted by host, so that floating-point sums add up in the same order in
	// every run.
	peers []*hostEvidence
	// cusum is the CUSUM test over this host's own observations alone.
	cusum LLR
	// strongAt is when this host last observed strong evidence.
	strongAt [Suspicions]time.Time
	// frozen is set while the target takes no new requests. The evidence then stays as
	// it was when the target stopped taking requests.
	frozen bool
}

// NewEvidence returns empty evidence for a host in the given zone.
func NewEvidence(z zone.ID) *Evidence {
	return &Evidence{own: hostEvidence{zone: z}}
}

// Sum returns the pooled evidence.
func (ev *Evidence) Sum() LLR { return ev.sum }

// OwnTotal returns the running total of the evidence that this host has reported or
// will report.
func (ev *Evidence) OwnTotal() LLR { return ev.own.total }

// OwnCUSUM returns the CUSUM of this host's own observations alone.
func (ev *Evidence) OwnCUSUM() LLR { return ev.cusum }

// IsEmpty reports whether there is no evidence at all.
func (ev *Evidence) IsEmpty() bool { return ev.sum == LLR{} && ev.cusum == LLR{} }

// IsElevated reports whether the pooled evidence is elevated, so that every change is
// reported to the peers at once.
func (ev *Evidence) IsElevated() bool { return ev.sum.Max() >= elevatedNats }

// StrongAt returns when this host last observed strong evidence.
func (ev *Evidence) StrongAt(k Suspicion) time.Time { return ev.strongAt[k] }

// CountObservation counts a request that this host sent to the target.
func (ev *Evidence) CountObservation(now time.Time) {
	ev.own.observations++
	ev.own.lastTraffic = now
}

// Add adds evidence that this host observed. Normally the total to report changes only
// as much as this host's own CUSUM, which does not fall below zero, so that a host
// without suspicion has nothing to report. While the pooled evidence is elevated, the
// full evidence is added to the total.
func (ev *Evidence) Add(k Suspicion, nats float64, threshold Threshold, now time.Time) {
	if nats >= strongNats {
		ev.strongAt[k] = now
	}
	before := ev.cusum[k]
	ev.cusum[k] = min(max(0, before+nats), float64(threshold))
	step := ev.cusum[k] - before
	if ev.IsElevated() {
		step = nats
	}
	ev.own.total[k] += step
	ev.addContribution(&ev.own, k, step, threshold)
}

// addContribution changes a host's contribution to the pooled evidence. One host
// contributes at most the whole threshold in favor of the suspicion and half the
// threshold against it.
func (ev *Evidence) addContribution(e *hostEvidence, k Suspicion, nats float64, threshold Threshold) {
	if nats == 0 || e.excluded || ev.frozen {
		return
	}
	before := e.contribution[k]
	after := min(max(before+nats, -maxContradictionShare*float64(threshold)), float64(threshold))
	e.contribution[k] = after
	ev.sum[k] += after - before
	if ev.sum[k] <= 0 {
		ev.clearEvidence(k)
	}
}

// clearEvidence sets the pooled evidence for a suspicion and all contributions to it to
// zero.
func (ev *Evidence) clearEvidence(k Suspicion) {
	ev.sum[k] = 0
	ev.own.contribution[k] = 0
	for _, e := range ev.peers {
		e.contribution[k] = 0
	}
}

// Reset clears the evidence, but keeps the totals that the peers have reported: only
// what later reports add to these totals counts.
func (ev *Evidence) Reset() {
	ev.clearEvidence(Failing)
	ev.clearEvidence(Slow)
	ev.cusum = LLR{}
	ev.frozen = false
}

// Freeze keeps the pooled evidence unchanged until Reset.
func (ev *Evidence) Freeze() { ev.frozen = true }

// ScaleDown scales the pooled evidence down to the given level, so that evidence that
// accumulated without an ejection does not outlast its cause.
func (ev *Evidence) ScaleDown(k Suspicion, level float64) {
	if ev.sum[k] <= level {
		return
	}
	scale := level / ev.sum[k]
	ev.own.contribution[k] *= scale
	for _, e := range ev.peers {
		e.contribution[k] *= scale
	}
	ev.sum[k] = level
}

// findPeer returns a peer's index, or the index at which it belongs in the sorted
// peers.
func (ev *Evidence) findPeer(host string) (i int, known bool) {
	return slices.BinarySearchFunc(ev.peers, host, func(e *hostEvidence, host string) int {
		return strings.Compare(e.host, host)
	})
}

// LimitOwnCUSUM limits the CUSUM of this host's own observations to the given level.
func (ev *Evidence) LimitOwnCUSUM(k Suspicion, level float64) {
	ev.cusum[k] = min(ev.cusum[k], level)
}

// ResetOwn clears this host's own CUSUM and its contribution to the pooled evidence.
func (ev *Evidence) ResetOwn() {
	for k := range Suspicions {
		ev.cusum[k] = 0
		ev.removeContribution(&ev.own, k)
	}
}

// removeContribution removes a host's contribution from the pooled evidence.
func (ev *Evidence) removeContribution(e *hostEvidence, k Suspicion) {
	ev.sum[k] -= e.contribution[k]
	e.contribution[k] = 0
	if ev.sum[k] <= 0 {
		ev.clearEvidence(k)
	}
}

// CarriesTraffic reports whether this host has recently carried traffic to the target.
func (ev *Evidence) CarriesTraffic(now time.Time) bool { return ev.own.carriesTraffic(now) }
