package link_test

import (
	"fmt"
	"time"

	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/target"
)

// Two hosts that tell each other of their requests keep to the rate limit that a target states.
func ExampleThrottle() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var a, b link.Throttle
	a.Observe(target.Notice{Limit: 2}, now, now) // a response of the target said so
	b.SetLimit(2, now)                           // host a has passed it on
	const share = 1                              // together they are all hosts
	sent := 0
	for i := range 40 {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		if a.Take(at, share) {
			sent++
			b.Count(1, at, share)
		}
		if b.Take(at, share) {
			sent++
			a.Count(1, at, share)
		}
	}
	fmt.Printf("%d requests in 4 s\n", sent)
	// Output: 9 requests in 4 s
}
