package caller

import (
	"math"
	"sync"
	"time"
)

// Parameters of a RetryBudget.
const (
	// retryRatio is how many retries each request earns. With retrySavings it
	// keeps attempts at most 1.1 times the requests in any 1,000 requests.
	retryRatio = 0.09
	// retrySavings is the greatest number of retries saved up.
	retrySavings = 10
)

// RetryBudget bounds the retries of one service on one host, so that retries
// cannot multiply the load of a service that is down. It is safe for
// concurrent use.
type RetryBudget struct {
	mu    sync.Mutex
	saved float64
}

// NewRetryBudget returns a budget with all its savings.
func NewRetryBudget() *RetryBudget { return &RetryBudget{saved: retrySavings} }

// Earn counts a request.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = math.Min(b.saved+retryRatio, retrySavings)
}

// Spend takes one retry, or returns false when none was earned.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Bounds of the pause before a retry.
const (
	firstBackoff   = 5 * time.Millisecond
	longestBackoff = 200 * time.Millisecond
)

// Backoff returns the pause before a retry, from 0 for the first: exponential
// with full jitter. random is uniform in [0, 1).
func Backoff(retry int, random float64) time.Duration {
	bound := longestBackoff
	if retry < 16 {
		bound = min(bound, firstBackoff<<retry)
	}
	return time.Duration(random * float64(bound))
}
