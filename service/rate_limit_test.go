package service

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/target"
)

// limitedArrivals lets each host of an entry set send requests to a target that states a rate
// limit in each response, and returns when they arrive.
func (e *entrySet) limitedArrivals(name string, limit target.RateLimit, length time.Duration) []time.Time {
	random := rand.New(rand.NewPCG(5, 6))
	var arrivals []time.Time
	for end := e.now.Add(length); e.now.Before(end); e.now = e.now.Add(20 * time.Millisecond) {
		for _, h := range e.hosts {
			if random.IntN(4) > 0 {
				continue
			}
			l := h.Link(name)
			if slot, ok := l.Acquire(e.now); ok {
				arrivals = append(arrivals, e.now)
				l.ObserveNotice(target.Notice{Limit: limit}, e.now, e.now)
				l.Release(slot)
			}
		}
		e.exchangeReports()
	}
	return arrivals
}

func TestEntryHostsTogetherKeepToARateLimit(t *testing.T) {
	is := is.New(t)
	const hosts, limit, window = 4, 1.5, 4 * time.Second
	e := newEntrySet(testContract(6, 12), hosts)
	for rank, h := range e.hosts {
		h.SetSlotShare(hosts, rank)
		h.SetRateShare(RateShare(hosts, rank, 50))
	}
	arrivals := e.limitedArrivals("checkout-2", limit, 30*time.Second)
	is.True(len(arrivals) > 30) // the hosts make use of what the target accepts
	for i, first := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		is.True(float64(n) <= 1.5*limit*window.Seconds()+5)
	}
}

func TestSharesOfARateLimitAddUpToNoMoreThanAll(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{1, 4, 48, 890} {
		members, sum := min(4, hosts), 0.0
		for host := range hosts {
			rank := host
			if rank >= members {
				rank = -1
			}
			sum += RateShare(members, rank, hosts)
		}
		is.True(sum > 0.89 && sum < 1.0001)
	}
}

func TestRateLimitIsReportedToTheEntrySetAtOnce(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 3)
	e.runSecond(allSucceed)
	is.True(!e.hosts[0].HasUrgentReport())
	e.hosts[0].Link("checkout-2").ObserveNotice(target.Notice{Limit: 2}, e.now, e.now)
	is.True(e.hosts[0].HasUrgentReport())
	e.exchangeReports()
	is.Equal(e.hosts[2].Link("checkout-2").RateLimit(), target.RateLimit(2))
	e.now = e.now.Add(time.Second)
	e.hosts[1].Link("checkout-2").ObserveNotice(target.Notice{}, e.now, e.now) // the limit is lifted
	e.exchangeReports()
	e.exchangeReports()
	for _, h := range e.hosts {
		is.Equal(h.Link("checkout-2").RateLimit(), target.Unlimited)
	}
	// A report that repeats the earlier limit does not bring it back.
	e.hosts[0].ResendReports()
	e.exchangeReports()
	is.Equal(e.hosts[1].Link("checkout-2").RateLimit(), target.Unlimited)
}

func TestNoticeOfLeavingIsWithdrawnWithTheSignal(t *testing.T) {
	is := is.New(t)
	e := newEntrySet(testContract(6, 12), 1)
	s := e.hosts[0]
	s.Link("checkout-2").ObserveNotice(target.Notice{Leaving: true}, e.now, e.now)
	is.True(!s.Link("checkout-2").Accepts(e.now))
	s.Tick(e.now)
	is.Equal(s.State("checkout-2"), target.Leaving)
	s.WithdrawLeaveSignal("checkout-2", target.SignalFromHeader, e.now)
	is.True(s.Link("checkout-2").Accepts(e.now))
}
