package caller

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// QueueLimits bound the requests that wait at a Gate.
type QueueLimits struct {
	// Length is the greatest number of waiting requests.
	Length int
	// Wait is the longest time that a request waits.
	Wait time.Duration
}

// Entry is a request that asks a Gate for a slot.
type Entry struct {
	Account string
	Now     time.Time
	// Deadline is when the caller stops waiting for its answer.
	Deadline time.Time
	Limits   QueueLimits
	// Take tries to take a slot without blocking. Another goroutine may call
	// it while the request waits.
	Take func() bool
}

// Reason tells why a Gate refused a request.
type Reason int

// The reasons of a refusal.
const (
	// QueueFull means that too many requests wait.
	QueueFull Reason = iota
	// QueueTooSlow means that the answer would come after the deadline, or
	// the wait would be longer than allowed.
	QueueTooSlow
	// Displaced means that the request made room for one of an account that
	// uses less.
	Displaced
)

var reasonTexts = [...]string{"the queue is full", "the queue is too slow", "the account's share of the queue is used up"}

// Refusal is the error of a request that a Gate refused. It was not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a slot may be expected.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no target has a free slot and %s", reasonTexts[r.Reason])
}

// waiter is a request in the queue.
type waiter struct {
	entry Entry
	since time.Time
	// done is closed once the request has a slot or is refused.
	done    chan struct{}
	refusal *Refusal
}

// line is the waiting requests of one account, oldest first.
type line struct {
	account string
	waiters []*waiter
}

// Gate admits the requests of one service on one host: at once while there are
// slots, and from a bounded queue after that, one account after the other, so
// that an account that floods the service waits behind itself. A freed slot is
// handed to a waiting request by the goroutine that frees it. Gate is safe for
// concurrent use.
type Gate struct {
	mu sync.Mutex
	// lines are the accounts with waiting requests; the first is next.
	lines    []*line
	waiting  int
	inFlight int
	// hold is the moving average of how long a slot is held, and deviation
	// that of the distance from it.
	hold, deviation time.Duration
	// pace adapts how many slots are used at once.
	pace pace
}

// Enter waits for a slot. The error is a *Refusal; then no slot is held.
func (g *Gate) Enter(ctx context.Context, e Entry) error {
	w, refusal := g.join(e)
	if refusal != nil {
		return refusal
	}
	if w == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, w.giveUp())
	defer cancel()
	select {
	case <-w.done:
	case <-ctx.Done():
		g.leave(w)
	}
	if w.refusal != nil {
		return w.refusal
	}
	return nil
}

// join takes a slot at once, in which case the waiter is nil, or lines up.
func (g *Gate) join(e Entry) (*waiter, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting == 0 && g.take(e) {
		return nil, nil
	}
	w := &waiter{entry: e, since: e.Now, done: make(chan struct{})}
	if wait := g.expectedWait(e.Account); e.Now.Add(wait).After(w.giveUp()) {
		return nil, &Refusal{Reason: QueueTooSlow, RetryAfter: wait}
	}
	if g.waiting >= e.Limits.Length && !g.displace(e.Account) {
		return nil, &Refusal{Reason: QueueFull, RetryAfter: g.expectedWait(e.Account)}
	}
	l := g.line(e.Account)
	l.waiters = append(l.waiters, w)
	g.waiting++
	g.serve(e.Now)
	return w, nil
}

// giveUp returns when the request leaves the queue.
func (w *waiter) giveUp() time.Time {
	latest := w.since.Add(w.entry.Limits.Wait)
	if w.entry.Deadline.Before(latest) {
		return w.entry.Deadline
	}
	return latest
}

func (g *Gate) take(e Entry) bool {
	if g.pace.full(g.inFlight) || !e.Take() {
		g.pace.pressed = e.Now
		return false
	}
	g.inFlight++
	return true
}

// expectedWait estimates how long a new request of an account would wait: each
// account is served in turn, so what another account has waiting beyond the
// account's own number does not count.
func (g *Gate) expectedWait(account string) time.Duration {
	own := 0
	for _, l := range g.lines {
		if l.account == account {
			own = len(l.waiters)
		}
	}
	ahead := own
	for _, l := range g.lines {
		if l.account != account {
			ahead += min(len(l.waiters), own+1)
		}
	}
	return g.hold * time.Duration(ahead) / time.Duration(max(1, g.inFlight))
}

// displace refuses the newest request of the account with the most waiting, if
// that has more than one beyond the given account.
func (g *Gate) displace(account string) bool {
	longest, own := &line{}, 0
	for _, l := range g.lines {
		if l.account == account {
			own = len(l.waiters)
		}
		if len(l.waiters) > len(longest.waiters) {
			longest = l
		}
	}
	if len(longest.waiters) <= own+1 {
		return false
	}
	last := longest.waiters[len(longest.waiters)-1]
	g.refuse(last, Displaced)
	return true
}

func (g *Gate) line(account string) *line {
	for _, l := range g.lines {
		if l.account == account {
			return l
		}
	}
	l := &line{account: account}
	g.lines = append(g.lines, l)
	return l
}

// leave removes a request whose time is up, unless it was decided meanwhile.
func (g *Gate) leave(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.done:
	default:
		g.refuse(w, QueueTooSlow)
	}
}

// refuse ends a waiting request without a slot.
func (g *Gate) refuse(w *waiter, reason Reason) {
	w.refusal = &Refusal{Reason: reason, RetryAfter: g.expectedWait(w.entry.Account)}
	g.remove(w)
}

// remove takes a request out of its line and wakes it.
func (g *Gate) remove(w *waiter) {
	for i, l := range g.lines {
		if l.account != w.entry.Account {
			continue
		}
		for j, other := range l.waiters {
			if other == w {
				l.waiters = append(l.waiters[:j], l.waiters[j+1:]...)
				break
			}
		}
		if len(l.waiters) == 0 {
			g.lines = append(g.lines[:i], g.lines[i+1:]...)
		}
		break
	}
	g.waiting--
	close(w.done)
}

// Leave frees a slot that was held for some time, and hands it on.
func (g *Gate) Leave(now time.Time, held time.Duration, end SlotEnd) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pace.observe(now, g.inFlight, g.hold, held, end)
	g.inFlight--
	g.deviation += ((held - g.hold).Abs() - g.deviation) / holdDecay
	g.hold += (held - g.hold) / holdDecay
	g.serve(now)
}

const (
	// holdDecay is the number of requests over which the hold time is averaged.
	holdDecay = 16
	// holdMargin is how many mean deviations above the average most requests
	// stay.
	holdMargin = 2
)

// usualHold returns the time in which most requests free their slot.
func (g *Gate) usualHold() time.Duration { return g.hold + holdMargin*g.deviation }

// Kick lets waiting requests try again, after slots were added or enabled.
func (g *Gate) Kick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serve(now)
}

// serve hands free slots to waiting requests, one account after the other.
func (g *Gate) serve(now time.Time) {
	for blocked := 0; blocked < len(g.lines); {
		l := g.lines[0]
		w := l.waiters[0]
		if now.Add(g.usualHold()).After(w.entry.Deadline) {
			g.refuse(w, QueueTooSlow)
			continue
		}
		if g.take(w.entry) {
			g.remove(w)
			blocked = 0
		} else {
			blocked++
		}
		g.rotate(l)
	}
}

// rotate puts an account behind the others, if it still waits.
func (g *Gate) rotate(l *line) {
	if len(g.lines) == 0 || g.lines[0] != l {
		return
	}
	g.lines = append(g.lines[1:], l)
}

// Waiting returns the number of requests in the queue.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting
}

// InFlight returns the number of slots held.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}
