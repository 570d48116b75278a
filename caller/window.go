package caller

import (
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/internal/clock"
)

// windowBuckets is how many parts a window is counted in. More follow a sliding
// window more closely.
const windowBuckets = 20

// budgetMargin is the share of a window's budget that one host uses. The rest
// covers requests that other hosts count into a neighboring window.
const budgetMargin = 0.95

// WindowBudget bounds the retries of a service over any window of time. Each host
// of a fleet keeps one and stays within its share of the fleet's budget by itself.
// It is safe for concurrent use.
type WindowBudget struct {
	mu sync.Mutex
	// ratio is how many retries each request earns.
	ratio float64
	// bucket is the length of a part of the window.
	bucket            time.Duration
	requests, retries [windowBuckets]int
	at                int64
}

// NewWindowBudget returns a budget of ratio retries a request over a window.
func NewWindowBudget(ratio float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, bucket: max(window/windowBuckets, time.Millisecond)}
}

// advance clears the parts that the window has left.
func (b *WindowBudget) advance(now time.Time) int {
	at := clock.Nanos(now) / int64(b.bucket)
	if at-b.at >= windowBuckets || at < b.at {
		b.requests, b.retries = [windowBuckets]int{}, [windowBuckets]int{}
		b.at = at
	}
	for ; b.at < at; b.at++ {
		next := slot(b.at + 1)
		b.requests[next], b.retries[next] = 0, 0
	}
	return slot(at)
}

// slot returns the part of the window at a number of parts since the process started.
func slot(at int64) int { return int((at%windowBuckets + windowBuckets) % windowBuckets) }

// Earn counts a request.
func (b *WindowBudget) Earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// Left reports whether the window has a retry left.
func (b *WindowBudget) Left(now time.Time, slack float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.left(slack)
}

// Spend takes one retry, or returns false when the window has none left. slack is
// this host's share of the retries that the fleet has without any request.
func (b *WindowBudget) Spend(now time.Time, slack float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	if !b.left(slack) {
		return false
	}
	b.retries[i]++
	return true
}

func (b *WindowBudget) left(slack float64) bool {
	requests, retries := 0, 0
	for k := range windowBuckets {
		requests += b.requests[k]
		retries += b.retries[k]
	}
	return float64(retries+1) <= budgetMargin*(b.ratio*float64(requests)+slack)
}
