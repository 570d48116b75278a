package caller

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const testWindow = 10 * time.Second

func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	is := is.New(t)
	const ratio, slack = 0.2, 1.5
	b := NewWindowBudget(ratio, testWindow)
	type event struct {
		at      time.Time
		retries int
		request bool
	}
	var events []event
	now := time.Unix(1_000, 0)
	// A calm time, a storm of retries, and a calm time again.
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		if i%10 == 0 && (i < 1000 || i > 3000) {
			b.Earn(now)
			events = append(events, event{at: now, request: true})
		}
		if b.Spend(now, slack) {
			events = append(events, event{at: now, retries: 1})
		}
	}
	for i := range events {
		requests, retries := 0, 0
		for _, e := range events[i:] {
			if e.at.Sub(events[i].at) >= testWindow {
				break
			}
			retries += e.retries
		}
		// A window's requests may be counted in the one before it.
		for _, e := range events {
			if age := events[i].at.Add(testWindow).Sub(e.at); e.request && age > 0 && age <= 2*testWindow {
				requests++
			}
		}
		is.True(float64(retries) <= ratio*float64(requests)+slack)
	}
}

func TestWindowBudgetGivesTheSlackToAHostWithoutRequests(t *testing.T) {
	is := is.New(t)
	b := NewWindowBudget(0.2, testWindow)
	now := time.Unix(1_000, 0)
	is.True(b.Left(now, 2.2))
	is.True(b.Spend(now, 2.2))
	is.True(b.Spend(now, 2.2))
	is.True(!b.Spend(now, 2.2))
	is.True(!b.Left(now, 2.2))
	is.True(b.Spend(now.Add(testWindow+time.Second), 2.2))
}
