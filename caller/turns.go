package caller

import (
	"slices"
	"time"
)

// accountQueue holds the queued requests of one account, oldest first.
type accountQueue struct {
	account  string
	requests []*queuedRequest
}

// accountTurns is a backlog that serves the accounts in turn, and the requests of each in order of
// arrival.
type accountTurns struct {
	// queues holds a queue for each account with queued requests. The first is
	// served next.
	queues []*accountQueue
	// count is the number of requests in all queues.
	count int
	// blockedCount is the number of consecutive accounts that got no slot in this round.
	blockedCount int
}

var _ backlog = (*accountTurns)(nil)

func (t *accountTurns) len() int { return t.count }

// find returns the queue of an account, or nil.
func (t *accountTurns) find(account string) *accountQueue {
	i := slices.IndexFunc(t.queues, func(q *accountQueue) bool { return q.account == account })
	if i < 0 {
		return nil
	}
	return t.queues[i]
}

func (t *accountTurns) add(r *queuedRequest) {
	q := t.find(r.request.Account)
	if q == nil {
		q = &accountQueue{account: r.request.Account}
		t.queues = append(t.queues, q)
	}
	q.requests = append(q.requests, r)
	t.count++
}

func (t *accountTurns) remove(r *queuedRequest) {
	q := t.find(r.request.Account)
	q.requests = slices.DeleteFunc(q.requests, func(other *queuedRequest) bool { return other == r })
	if len(q.requests) == 0 {
		t.queues = slices.DeleteFunc(t.queues, func(other *accountQueue) bool { return other == q })
	}
	t.count--
}

func (t *accountTurns) begin(time.Time) { t.blockedCount = 0 }

func (t *accountTurns) next(time.Time) *queuedRequest {
	if t.blockedCount >= len(t.queues) {
		return nil
	}
	return t.queues[0].requests[0]
}

func (t *accountTurns) granted(r *queuedRequest, _ time.Time) {
	t.blockedCount = 0
	t.moveToBack(r.request.Account)
}

func (t *accountTurns) blocked(r *queuedRequest) {
	t.blockedCount++
	t.moveToBack(r.request.Account)
}

// moveToBack moves the first queue behind the others. It does nothing if the account's queue is
// not the first, because it was empty and is removed.
func (t *accountTurns) moveToBack(account string) {
	if len(t.queues) == 0 || t.queues[0].account != account {
		return
	}
	t.queues = append(t.queues[1:], t.queues[0])
}

func (t *accountTurns) eligible(*queuedRequest, time.Time) bool { return true }

// forecast counts the requests ahead of a new one of the account. If this account has n queued
// requests, at most n+1 requests of each other account are served before the new one; further ones
// don't delay it.
func (t *accountTurns) forecast(r *queuedRequest, _ time.Time, p pace) Forecast {
	own := 0
	if q := t.find(r.request.Account); q != nil {
		own = len(q.requests)
	}
	ahead := own
	for _, q := range t.queues {
		if q.account != r.request.Account {
			ahead += min(len(q.requests), own+1)
		}
	}
	return Forecast{Wait: p.averageHold * time.Duration(ahead) / time.Duration(max(1, p.inFlight)), Ahead: ahead}
}

func (t *accountTurns) refuses(r *queuedRequest, now time.Time, p pace) (RefusalReason, bool) {
	return QueueTooSlow, now.Add(t.forecast(r, now, p).Wait).After(r.waitDeadline())
}

func (t *accountTurns) hopeless(r *queuedRequest, now time.Time, p pace) (RefusalReason, bool) {
	if r.tooLate(now) {
		return HostStops, true
	}
	return QueueTooSlow, now.Add(p.typicalMaxHold).After(r.request.Deadline)
}

// displaced returns the newest request of the account with the longest queue, unless that queue
// has fewer than two requests more than that of the new request's account.
func (t *accountTurns) displaced(r *queuedRequest) *queuedRequest {
	longest, own := &accountQueue{}, 0
	for _, q := range t.queues {
		if q.account == r.request.Account {
			own = len(q.requests)
		}
		if len(q.requests) > len(longest.requests) {
			longest = q
		}
	}
	if len(longest.requests) <= own+1 {
		return nil
	}
	return longest.requests[len(longest.requests)-1]
}

func (t *accountTurns) arrived(*queuedRequest, time.Time) {}
func (t *accountTurns) released()                         {}
