package caller

import (
	"math"
	"sync"
	"time"
)

// Parameters of a RetryBudget.
const (
	// retriesPerRequest is the number of retries that each request adds to the
	// budget. Together with maxSavedRetries it limits the attempts to 1.1 times
	// the requests, over any 1,000 requests.
	retriesPerRequest = 0.09
	// maxSavedRetries is the maximum number of retries in the budget.
	maxSavedRetries = 10
)

// RetryBudget is a token bucket that limits the retries of one service on one
// host, so that retries cannot multiply the load of a service that is down. It
// is safe for concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// available is the number of retries left; it may be a fraction.
	available float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{available: maxSavedRetries} }

// Deposit counts a request, which adds retriesPerRequest to the budget.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = math.Min(b.available+retriesPerRequest, maxSavedRetries)
}

// TryWithdraw takes one retry from the budget, or returns false when less than
// one is available.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Bounds of the backoff before a retry.
const (
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// Backoff returns the delay before a retry: exponential backoff with full
// jitter. The first retry is number 0. random is uniform in [0, 1).
func Backoff(retry int, random float64) time.Duration {
	bound := maxBackoff
	if retry < 16 {
		bound = min(bound, initialBackoff<<retry)
	}
	return time.Duration(random * float64(bound))
}
