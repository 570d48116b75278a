package quota

import (
	"math"
	"math/rand/v2"
	"time"
)

// demandMemory is the time constant of the averages over an account's recent requests.
const demandMemory = 2 * time.Second

// Limits on a Retry-After.
const (
	minRetryAfter = 10 * time.Millisecond
	// maxRetrySpread is the longest time over which the returns of refused requests are spread,
	// and maxRetryAfter the longest Retry-After.
	maxRetrySpread = 3 * time.Second
	maxRetryAfter  = 4 * time.Second
)

// bucket is the token bucket of one account as this host sees it. The table's lock protects it.
type bucket struct {
	limits
	// tokens is negative when the requests that other hosts reported exceed the quota.
	tokens float64
	// at is when tokens was last brought up to date, as the time since the start of the table.
	at time.Duration
	// own, others and refused are the requests that this host admitted, that other hosts admitted
	// and that this host refused, as sums that decay with demandMemory.
	own, others, refused float64
}

// cap returns how many tokens the bucket holds at a share of the quota.
func (b *bucket) cap(share float64) float64 { return share * b.depth }

// advance refills the bucket up to the given time.
func (b *bucket) advance(at time.Duration, share float64) {
	elapsed := (at - b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = at
	b.add(elapsed*share*b.rate, share)
	decay := math.Exp(-elapsed / demandMemory.Seconds())
	b.own, b.others, b.refused = b.own*decay, b.others*decay, b.refused*decay
}

func (b *bucket) add(tokens, share float64) {
	b.tokens = min(b.tokens+tokens, b.cap(share))
}

// rescale divides the tokens when the share falls, since the hosts that are out of touch have the
// same tokens in their buckets. Small changes are undone when the share rises again.
func (b *bucket) rescale(from, to float64) {
	if b.tokens > 0 && to < emptyAbove*from {
		b.tokens *= to / from
	}
	b.add(0, to)
}

// take takes a token and returns false if there is none. A bucket that holds less than one token
// admits a request with the probability that its content states, and is empty afterwards in any
// case, so that the mean of the requests it admits is that of the tokens.
func (b *bucket) take(share float64, rng *rand.Rand) bool {
	if b.cap(share) < 1 && b.tokens > 0 {
		admitted := rng.Float64() < b.tokens
		b.tokens = 0
		return admitted
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// takeOthers takes the tokens of requests that other hosts have admitted. The debt is limited to
// what the bucket refills in a window: requests before that no longer count.
func (b *bucket) takeOthers(requests, share float64, window time.Duration) {
	b.add(-requests, share)
	b.tokens = max(b.tokens, -share*b.rate*window.Seconds())
	b.others += max(0, requests)
}

// retryAfter returns when a refused request is likely to find a token: once there is one, plus a
// random part of the time that the quota takes to serve all requests that were refused recently,
// at all hosts, so that their callers do not return together.
func (b *bucket) retryAfter(share float64, rng *rand.Rand) time.Duration {
	rate := share * b.rate
	next := (min(1, b.cap(share)) - b.tokens) / rate
	// The share of the account's requests that come to this host. The constants stand for a
	// few requests elsewhere while none are known.
	here := (b.own + 0.1) / (b.own + b.others + 1)
	spread := min(max(0, b.refused-1)/here/rate, maxRetrySpread.Seconds())
	wait := min(next+spread*rng.Float64(), maxRetryAfter.Seconds())
	return max(minRetryAfter, time.Duration(wait*float64(time.Second)))
}
