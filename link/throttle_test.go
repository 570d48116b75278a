package link

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/target"
)

var throttleEpoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// takenPerSecond takes as many requests as a throttle lets pass, and returns them by second.
func takenPerSecond(t *Throttle, share float64, seconds int) []int {
	out := make([]int, seconds)
	for ms := range seconds * 1000 {
		if t.Take(throttleEpoch.Add(time.Duration(ms)*time.Millisecond), share) {
			out[ms/1000]++
		}
	}
	return out
}

func TestThrottleKeepsToItsShareOfTheRate(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		limit target.RateLimit
		share float64
		want  []int
	}{
		{4, 1, []int{5, 4, 4, 4}}, // one request may be sent an interval early
		{4, 0.5, []int{3, 2, 2, 2}},
		{0.5, 1, []int{2, 0, 1, 0}},
		{4, 0, []int{0, 0, 0, 0}},
	} {
		var throttle Throttle
		throttle.SetLimit(test.limit, throttleEpoch)
		is.Equal(takenPerSecond(&throttle, test.share, 4), test.want)
	}
}

func TestThrottleCountsRequestsOfOtherHosts(t *testing.T) {
	is := is.New(t)
	var throttle Throttle
	throttle.SetLimit(4, throttleEpoch)
	throttle.Count(8, throttleEpoch, 1)
	is.Equal(takenPerSecond(&throttle, 1, 4), []int{0, 1, 4, 4})
	in, ok := throttle.OpensIn(throttleEpoch, 0)
	is.True(!ok) // without a share, no time is known
	is.Equal(in, time.Duration(0))
}

func TestLimitIsLiftedOnlyByAResponseToALaterRequest(t *testing.T) {
	is := is.New(t)
	var throttle Throttle
	earlier, stated := throttleEpoch, throttleEpoch.Add(time.Second)
	is.True(throttle.Observe(target.Notice{Limit: 2}, earlier, stated))
	is.True(!throttle.Observe(target.Notice{}, earlier, stated.Add(time.Millisecond))) // written before the limit was stated
	is.Equal(throttle.Limit(), target.RateLimit(2))
	is.True(!throttle.Observe(target.Notice{LimitUnreadable: true}, stated.Add(time.Second), stated.Add(2*time.Second)))
	is.Equal(throttle.Limit(), target.RateLimit(2))
	is.True(throttle.Observe(target.Notice{}, stated.Add(time.Second), stated.Add(2*time.Second)))
	is.Equal(throttle.Limit(), target.Unlimited)
}

func TestUnchangedLimitIsAnnouncedOnceInAWhile(t *testing.T) {
	is := is.New(t)
	var throttle Throttle
	announced := 0
	for ms := range 3000 {
		now := throttleEpoch.Add(time.Duration(ms) * time.Millisecond)
		if throttle.Observe(target.Notice{Limit: 2}, now, now) {
			announced++
		}
	}
	is.Equal(announced, 3)
}

// TestConcurrentRequestsDoNotExceedTheRate runs under the race detector, too.
func TestConcurrentRequestsDoNotExceedTheRate(t *testing.T) {
	is := is.New(t)
	var throttle Throttle
	throttle.SetLimit(3, throttleEpoch)
	var taken atomic.Int64
	var hosts sync.WaitGroup
	for range 8 {
		hosts.Go(func() {
			for range 1000 {
				if throttle.Take(throttleEpoch, 1) {
					taken.Add(1)
				}
			}
		})
	}
	hosts.Wait()
	is.Equal(taken.Load(), int64(2))
}
