package caller_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/crocushinge/crocushinge/caller"
)

// slots is the capacity behind a gate.
type slots struct{ free atomic.Int64 }

func newSlots(n int) *slots {
	s := &slots{}
	s.free.Store(int64(n))
	return s
}

func (s *slots) take() bool {
	if s.free.Add(-1) >= 0 {
		return true
	}
	s.free.Add(1)
	return false
}

const hold = 100 * time.Millisecond

var limits = caller.QueueLimits{Length: 8, Wait: time.Second}

// request enters, holds its slot, and leaves. It returns the error of Enter.
func request(g *caller.Gate, s *slots, account string, deadline time.Duration) error {
	now := time.Now()
	err := g.Enter(context.Background(), caller.Entry{
		Account: account, Now: now, Deadline: now.Add(deadline), Limits: limits, Take: s.take,
	})
	if err != nil {
		return err
	}
	time.Sleep(hold)
	s.free.Add(1)
	g.Leave(time.Now(), hold, caller.SlotUsed)
	return nil
}

func reason(err error) caller.Reason {
	var r *caller.Refusal
	if !errors.As(err, &r) {
		return -1
	}
	return r.Reason
}

func TestGateQueuesAndHandsSlotsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var g caller.Gate
		s := newSlots(1)
		ended := make(chan error, 5)
		for range cap(ended) {
			go func() { ended <- request(&g, s, "shop", time.Second) }()
		}
		synctest.Wait()
		is.Equal(g.Waiting(), 4)
		began := time.Now()
		for range cap(ended) {
			is.NoErr(<-ended)
		}
		is.Equal(time.Since(began), 5*hold)
		is.Equal(g.Waiting(), 0)
		is.Equal(g.InFlight(), 0)
	})
}

func TestGateRefusesWhatCannotBeServedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var g caller.Gate
		s := newSlots(1)
		for range 64 {
			is.NoErr(request(&g, s, "shop", time.Second)) // the gate learns the hold time
		}
		for range 4 {
			go func() { _ = request(&g, s, "shop", 2*time.Second) }()
		}
		synctest.Wait()
		began := time.Now()
		is.Equal(reason(request(&g, s, "shop", hold)), caller.QueueTooSlow)
		is.Equal(time.Since(began), time.Duration(0)) // refused at once
		time.Sleep(time.Minute)
	})
}

// A slot that comes too late for the oldest request goes to the next.
func TestGateSpendsNoSlotOnALateRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var g caller.Gate
		s := newSlots(1)
		for range 64 {
			is.NoErr(request(&g, s, "shop", time.Second))
		}
		go func() { _ = request(&g, s, "shop", time.Second) }()
		synctest.Wait()
		late := make(chan error, 1)
		go func() { late <- request(&g, s, "shop", 3*hold/2) }()
		synctest.Wait()
		began := time.Now()
		is.NoErr(request(&g, s, "shop", time.Second))
		is.Equal(time.Since(began), 2*hold)
		is.Equal(reason(<-late), caller.QueueTooSlow)
	})
}

// A request gives up at the moment at which it gets a slot.
func TestGateGivesUpAndServesAtOnce(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			var g caller.Gate
			s := newSlots(1)
			go func() { _ = request(&g, s, "shop", time.Second) }()
			synctest.Wait()
			for range 4 {
				go func() { _ = request(&g, s, "shop", hold) }()
			}
			time.Sleep(time.Minute)
			if s.free.Load() != 1 || g.InFlight() != 0 || g.Waiting() != 0 {
				t.Fatalf("%d slots free, %d in flight, %d waiting", s.free.Load(), g.InFlight(), g.Waiting())
			}
		})
	}
}

func TestGateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var g caller.Gate
		s := newSlots(0)
		ended := make(chan error, 9)
		for range cap(ended) {
			go func() { ended <- request(&g, s, "shop", time.Minute) }()
		}
		synctest.Wait()
		is.Equal(g.Waiting(), limits.Length)
		is.Equal(reason(<-ended), caller.QueueFull)
		began := time.Now()
		for range limits.Length {
			is.Equal(reason(<-ended), caller.QueueTooSlow)
		}
		is.Equal(time.Since(began), limits.Wait)
	})
}

// An account that floods the service waits behind itself.
func TestGateSharesTheOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var g caller.Gate
		s := newSlots(1)
		go func() { _ = request(&g, s, "flood", time.Minute) }()
		synctest.Wait()
		flood := make(chan error, limits.Length)
		for range cap(flood) {
			go func() { flood <- request(&g, s, "flood", time.Minute) }()
		}
		synctest.Wait()
		is.Equal(g.Waiting(), limits.Length)
		began := time.Now()
		is.NoErr(request(&g, s, "notary", time.Minute))
		is.Equal(time.Since(began), 3*hold) // one in flight, one of the flood, its own
		is.Equal(reason(<-flood), caller.Displaced)
		time.Sleep(time.Minute)
	})
}

func TestGateUsesSlotsThatAreAdded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var g caller.Gate
		s := newSlots(0)
		ended := make(chan error)
		go func() { ended <- request(&g, s, "shop", time.Second) }()
		synctest.Wait()
		s.free.Store(1)
		g.Kick(time.Now())
		is.NoErr(<-ended)
	})
}

// A target that sheds load has fewer slots than it declares.
func TestGatePacesItselfWhenTargetsShed(t *testing.T) {
	is := is.New(t)
	var g caller.Gate
	s := newSlots(100)
	now := time.Unix(0, 0)
	enter := func() error {
		e := caller.Entry{Account: "shop", Now: now, Deadline: now.Add(time.Second), Take: s.take}
		return g.Enter(context.Background(), e)
	}
	for range 20 {
		is.NoErr(enter())
	}
	g.Leave(now, hold, caller.SlotShed)
	is.True(enter() != nil) // 19 in flight, limit 14
	for range 6 {
		g.Leave(now, hold, caller.SlotUsed)
	}
	is.NoErr(enter())
}

// Whatever happens, no slot is lost and nobody waits beside a free slot.
// fill enters until the gate refuses, and returns how many requests entered.
func fill(g *caller.Gate, s *slots, now time.Time) int {
	for n := 0; ; n++ {
		e := caller.Entry{Account: "shop", Now: now, Deadline: now.Add(time.Second), Take: s.take}
		if g.Enter(context.Background(), e) != nil {
			return n
		}
	}
}

func TestGatePacesItselfWhenRequestsAreLate(t *testing.T) {
	const capacity = 20
	cases := []struct {
		name string
		// ends are those of the requests in flight, in their order.
		late, used int
		// full lets a request find no free slot before.
		full bool
		// taken is how many slots can be taken again.
		taken int
	}{
		{"late while every slot is in use", 4, 0, true, 0},
		{"one late request says nothing", 1, 0, true, 1},
		{"late while slots are free", 4, 0, false, 4},
		{"a target that hangs among healthy ones", 1, 15, true, 16},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var g caller.Gate
			s := newSlots(capacity)
			now := time.Unix(0, 0)
			is.Equal(fill(&g, s, now), capacity)
			if !c.full {
				now = now.Add(time.Hour)
			}
			end := func(n int, how caller.SlotEnd) {
				for range n {
					s.free.Add(1)
					g.Leave(now, hold, how)
				}
			}
			end(c.late, caller.SlotLate)
			end(c.used, caller.SlotUsed)
			is.Equal(fill(&g, s, now), c.taken)
		})
	}
}

func TestGateIsNotPacedTwiceByOneBurst(t *testing.T) {
	for _, c := range []struct {
		name  string
		held  time.Duration
		limit int
	}{
		{"sent before the decrease", 3 * hold, 15},
		{"sent after the decrease", hold / 2, 14},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var g caller.Gate
			s := newSlots(20)
			now := time.Unix(0, 0)
			fill(&g, s, now)
			end := func(n int, held time.Duration, how caller.SlotEnd) {
				for range n {
					s.free.Add(1)
					g.Leave(now, held, how)
				}
			}
			end(1, hold, caller.SlotShed) // limit 14
			now = now.Add(hold)
			end(1, c.held, caller.SlotShed)
			end(8, hold, caller.SlotUsed)
			is.Equal(10+fill(&g, s, now), c.limit)
		})
	}
}

// Most requests take longer than the average when times vary: one whose
// deadline lies just beyond the average is not worth a slot.
func TestGateLeavesAMarginWhenTimesVary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var g caller.Gate
		s := newSlots(1)
		for i := range 100 {
			is.Equal(fill(&g, s, time.Now()), 1)
			s.free.Add(1)
			g.Leave(time.Now(), hold/2+hold*time.Duration(i%2), caller.SlotUsed)
		}
		is.Equal(fill(&g, s, time.Now()), 1)
		wait := func(left time.Duration) error {
			now := time.Now()
			done := make(chan error)
			go func() {
				done <- g.Enter(context.Background(), caller.Entry{
					Account: "shop", Now: now, Deadline: now.Add(left), Limits: limits, Take: s.take,
				})
			}()
			synctest.Wait()
			s.free.Store(1)
			g.Leave(now, hold, caller.SlotUsed)
			return <-done
		}
		is.True(wait(hold+hold/2) != nil)
		is.NoErr(wait(4 * hold))
	})
}

func TestGateLosesNoSlot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "requests")
		accounts := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), n, n).Draw(rt, "accounts")
		delays := rapid.SliceOfN(rapid.IntRange(0, 500), n, n).Draw(rt, "delays in ms")
		deadlines := rapid.SliceOfN(rapid.IntRange(1, 800), n, n).Draw(rt, "deadlines in ms")
		capacity := rapid.IntRange(1, 4).Draw(rt, "slots")
		synctest.Test(t, func(t *testing.T) {
			var g caller.Gate
			s := newSlots(capacity)
			for i := range n {
				go func() {
					time.Sleep(time.Duration(delays[i]) * time.Millisecond)
					_ = request(&g, s, accounts[i], time.Duration(deadlines[i])*time.Millisecond)
				}()
			}
			for range 40 {
				time.Sleep(hold / 4)
				synctest.Wait()
				if s.free.Load() > 0 && g.Waiting() > 0 {
					t.Fatalf("%d wait beside %d free slots", g.Waiting(), s.free.Load())
				}
			}
			time.Sleep(time.Minute)
			if s.free.Load() != int64(capacity) || g.InFlight() != 0 || g.Waiting() != 0 {
				t.Fatalf("%d of %d slots free, %d in flight, %d waiting", s.free.Load(), capacity, g.InFlight(), g.Waiting())
			}
		})
	})
}

func TestRetryBudgetBoundsAttempts(t *testing.T) {
	is := is.New(t)
	const requests = 1000
	b := caller.NewRetryBudget()
	attempts := 0
	for range requests {
		b.Earn()
		attempts++
		for b.Spend() {
			attempts++
		}
	}
	is.True(attempts <= requests*11/10)
	is.True(attempts > requests)
}

func TestBackoffIsBoundedAndSpread(t *testing.T) {
	is := is.New(t)
	is.Equal(caller.Backoff(0, 0), time.Duration(0))
	is.Equal(caller.Backoff(0, 0.5), 2500*time.Microsecond)
	is.Equal(caller.Backoff(1, 0.5), 5*time.Millisecond)
	is.Equal(caller.Backoff(1000, 0.5), 100*time.Millisecond)
}
