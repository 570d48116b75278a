package caller

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const windowLength = 10 * time.Second

func TestWindowRetryBudgetLimitsRetriesInEveryWindow(t *testing.T) {
	is := is.New(t)
	const ratio, minRetries = 0.2, 1.5
	b := NewWindowRetryBudget(ratio, windowLength)
	type event struct {
		at      time.Time
		retries int
		request bool
	}
	var events []event
	now := time.Unix(1_000, 0)
	// Retries are attempted all the time. Requests arrive in the first and the last
	// 10 s, but not in the 20 s in between.
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		if i%10 == 0 && (i < 1000 || i > 3000) {
			b.Deposit(now)
			events = append(events, event{at: now, request: true})
		}
		if b.TryWithdraw(now, minRetries) {
			events = append(events, event{at: now, retries: 1})
		}
	}
	for i := range events {
		requests, retries := 0, 0
		for _, e := range events[i:] {
			if e.at.Sub(events[i].at) >= windowLength {
				break
			}
			retries += e.retries
		}
		// The requests that allow the retries of a window may have been counted up
		// to one window earlier.
		for _, e := range events {
			if age := events[i].at.Add(windowLength).Sub(e.at); e.request && age > 0 && age <= 2*windowLength {
				requests++
			}
		}
		is.True(float64(retries) <= ratio*float64(requests)+minRetries)
	}
}

func TestWindowRetryBudgetAllowsMinRetriesWithoutRequests(t *testing.T) {
	is := is.New(t)
	b := NewWindowRetryBudget(0.2, windowLength)
	now := time.Unix(1_000, 0)
	is.True(b.CanWithdraw(now, 2.2))
	is.True(b.TryWithdraw(now, 2.2))
	is.True(b.TryWithdraw(now, 2.2))
	is.True(!b.TryWithdraw(now, 2.2))
	is.True(!b.CanWithdraw(now, 2.2))
	is.True(b.TryWithdraw(now.Add(windowLength+time.Second), 2.2))
}
