package target

import (
	"slices"
	"strings"
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

const (
	// hotLevel is the pooled evidence from which every host of the entry set
	// tells all that it sees of the target, in nats.
	hotLevel = 5
	// strongNats is the evidence of one request that counts as strong, in nats.
	strongNats = 2.5
	// carryTime is how long after its last news a host counts as one that
	// carries traffic to the target.
	carryTime = 15 * time.Second
)

// share is what one host brings to the evidence about a target.
type share struct {
	host string
	zone zone.ID
	// contribution is the host's part of the pooled evidence.
	contribution LLR
	// total is the host's running total as last reported.
	total        LLR
	sequence     uint64
	observations uint64
	// carried is when the host was last known to carry traffic.
	carried time.Time
	// disowned is set while the host says that its own path is at fault.
	disowned bool
	leaving  bool
}

// Pool joins what the hosts of an entry set see of one target. For each
// suspicion it runs Page's CUSUM over the increments of all hosts, and
// remembers which host brought how much.
type Pool struct {
	sum LLR
	own share
	// peers is sorted by host, so that sums add up in the same order in
	// every run.
	peers []*share
	// cusum is the test over this host's own observations alone.
	cusum LLR
	// badAt is when this host last observed strong evidence.
	badAt [Suspicions]time.Time
	// frozen is set while the target takes no work, so that the evidence
	// stays as it was when work ended.
	frozen bool
}

// NewPool returns an empty pool of a host in the given zone.
func NewPool(z zone.ID) *Pool {
	return &Pool{own: share{zone: z}}
}

// Sum returns the pooled evidence.
func (p *Pool) Sum() LLR { return p.sum }

// Total returns the running total of what this host has reported or will
// report.
func (p *Pool) Total() LLR { return p.own.total }

// Own returns the evidence of this host's own observations alone.
func (p *Pool) Own() LLR { return p.cusum }

// Quiet reports whether there is no evidence at all.
func (p *Pool) Quiet() bool { return p.sum == LLR{} && p.cusum == LLR{} }

// Hot reports whether the evidence is worth telling the peers of at once.
func (p *Pool) Hot() bool { return p.sum.Max() >= hotLevel }

// BadAt returns when this host last observed strong evidence.
func (p *Pool) BadAt(k Suspicion) time.Time { return p.badAt[k] }

// CountObservation notes that this host carried a request to the target.
func (p *Pool) CountObservation(now time.Time) {
	p.own.observations++
	p.own.carried = now
}

// Add counts evidence that this host observed at a time. A host with nothing to report
// tells no more than its own CUSUM, which does not fall below zero; while the
// pool is hot it tells all.
func (p *Pool) Add(k Suspicion, nats float64, h Threshold, now time.Time) {
	if nats >= strongNats {
		p.badAt[k] = now
	}
	before := p.cusum[k]
	p.cusum[k] = min(max(0, before+nats), float64(h))
	step := p.cusum[k] - before
	if p.Hot() {
		step = nats
	}
	p.own.total[k] += step
	p.contribute(&p.own, k, step, h)
}

// contribute changes a host's part of the pooled evidence. It lies between
// half the threshold against and the whole threshold for.
func (p *Pool) contribute(s *share, k Suspicion, nats float64, h Threshold) {
	if nats == 0 || s.disowned || p.frozen {
		return
	}
	before := s.contribution[k]
	after := min(max(before+nats, -denialShare*float64(h)), float64(h))
	s.contribution[k] = after
	p.sum[k] += after - before
	if p.sum[k] <= 0 {
		p.clear(k)
	}
}

func (p *Pool) clear(k Suspicion) {
	p.sum[k] = 0
	p.own.contribution[k] = 0
	for _, s := range p.peers {
		s.contribution[k] = 0
	}
}

// Reset forgets the evidence, but not what the peers have reported so far.
func (p *Pool) Reset() {
	p.clear(Failing)
	p.clear(Slow)
	p.cusum = LLR{}
	p.frozen = false
}

// Freeze keeps the evidence as it is until Reset.
func (p *Pool) Freeze() { p.frozen = true }

// Limit scales the evidence down to the given level, so that a long excess
// that led to no ejection does not outlast its cause.
func (p *Pool) Limit(k Suspicion, level float64) {
	if p.sum[k] <= level {
		return
	}
	scale := level / p.sum[k]
	p.own.contribution[k] *= scale
	for _, s := range p.peers {
		s.contribution[k] *= scale
	}
	p.sum[k] = level
}

// peer returns the share of a peer, or where it belongs among the peers.
func (p *Pool) peer(host string) (i int, known bool) {
	return slices.BinarySearchFunc(p.peers, host, func(s *share, host string) int {
		return strings.Compare(s.host, host)
	})
}

// LimitOwn bounds the evidence of this host's own observations, like Limit.
func (p *Pool) LimitOwn(k Suspicion, level float64) {
	p.cusum[k] = min(p.cusum[k], level)
}

// ResetOwn forgets what this host itself has brought.
func (p *Pool) ResetOwn() {
	for k := range Suspicions {
		p.cusum[k] = 0
		p.drop(&p.own, k)
	}
}

// drop removes a host's part of the pooled evidence.
func (p *Pool) drop(s *share, k Suspicion) {
	p.sum[k] -= s.contribution[k]
	s.contribution[k] = 0
	if p.sum[k] <= 0 {
		p.clear(k)
	}
}

// Carries reports whether this host carried traffic to the target lately.
func (p *Pool) Carries(now time.Time) bool { return p.own.carries(now) }
