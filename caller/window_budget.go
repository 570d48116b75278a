package caller

import (
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/internal/clock"
)

// bucketsPerWindow is the number of buckets that a window is divided into. The
// window slides by one bucket at a time, so more buckets make it more exact.
const bucketsPerWindow = 20

// usableShare is the share of its budget that a host uses. The remainder is a reserve
// for requests that other hosts count in an adjacent window.
const usableShare = 0.95

// WindowRetryBudget limits the retries of a service in every time window of a given
// length, by a sliding window that is counted in buckets. Each host of a fleet has its
// own WindowRetryBudget, and so keeps to its share of the fleet's budget without
// coordination. It is safe for concurrent use.
type WindowRetryBudget struct {
	mu sync.Mutex
	// ratio is the number of retries allowed per request.
	ratio float64
	// bucketLength is the time that one bucket covers.
	bucketLength time.Duration
	// requests and retries are the counts of each bucket.
	requests, retries [bucketsPerWindow]int
	// current is the number of the current bucket, counted from the start of the
	// process.
	current int64
}

// NewWindowRetryBudget returns a budget of ratio retries per request in a window
// of the given length.
func NewWindowRetryBudget(ratio float64, window time.Duration) *WindowRetryBudget {
	return &WindowRetryBudget{ratio: ratio, bucketLength: max(window/bucketsPerWindow, time.Millisecond)}
}

// advance clears the buckets that are no longer in the window and returns the
// index of the current one.
func (b *WindowRetryBudget) advance(now time.Time) int {
	latest := clock.Nanos(now) / int64(b.bucketLength)
	if latest-b.current >= bucketsPerWindow || latest < b.current {
		b.requests, b.retries = [bucketsPerWindow]int{}, [bucketsPerWindow]int{}
		b.current = latest
	}
	for ; b.current < latest; b.current++ {
		next := bucketIndex(b.current + 1)
		b.requests[next], b.retries[next] = 0, 0
	}
	return bucketIndex(latest)
}

// bucketIndex returns the index of a bucket in the arrays requests and retries. The
// bucket's number may be negative.
func bucketIndex(number int64) int {
	return int((number%bucketsPerWindow + bucketsPerWindow) % bucketsPerWindow)
}

// Deposit counts a request, which adds to the allowed retries.
func (b *WindowRetryBudget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// CanWithdraw reports whether a retry is allowed now, without counting one. minRetries
// has the same meaning as in TryWithdraw.
func (b *WindowRetryBudget) CanWithdraw(now time.Time, minRetries float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.allowsRetry(minRetries)
}

// TryWithdraw counts one retry, or returns false when no more are allowed in the
// window. minRetries is this host's share of the retries per window that the fleet
// is allowed regardless of its requests.
func (b *WindowRetryBudget) TryWithdraw(now time.Time, minRetries float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	if !b.allowsRetry(minRetries) {
		return false
	}
	b.retries[i]++
	return true
}

// allowsRetry reports whether one more retry is allowed. The caller holds b.mu.
func (b *WindowRetryBudget) allowsRetry(minRetries float64) bool {
	requests, retries := 0, 0
	for i := range bucketsPerWindow {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return float64(retries+1) <= usableShare*(b.ratio*float64(requests)+minRetries)
}
