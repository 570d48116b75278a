package quota

import (
	"iter"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/caller"
)

// Decision says what becomes of a request of a limited account.
type Decision int

// The decisions.
const (
	// Admitted requests are within the quota.
	Admitted Decision = iota
	// Exceeded requests are beyond it.
	Exceeded
	// Unknown means that this host has no share of the quotas yet, since it does not know how
	// many hosts there are.
	Unknown
)

// unknownRetryAfter is the Retry-After of a host that has no share yet.
const unknownRetryAfter = 200 * time.Millisecond

// Stats are the counters of a table since the host started, and its number of buckets.
type Stats struct {
	Admitted, Exceeded, Unknown, Returned int64
	Buckets                               int
}

// Table holds the token buckets of the accounts in use. The control thread tells it of the
// configuration, of this host's share and of the requests of other hosts; traffic takes tokens. It
// is safe for concurrent use. A nil Table admits all requests.
type Table struct {
	settings Settings
	began    time.Time

	mu  sync.Mutex
	rng *rand.Rand
	// limited holds the limited accounts by hash. Accounts with the same hash are charged
	// together for the requests of other hosts.
	limited map[caller.AccountHash][]*caller.Account
	// buckets are those of the accounts in use, by name. Others are as full as a bucket becomes
	// that was empty at emptyAt.
	buckets map[string]*bucket
	emptyAt time.Duration
	share   float64
	// heardUntil is up to when the control thread has counted the requests of the others.
	heardUntil time.Duration
	own        ownCounts
	stats      Stats
	// nextSweep is when full buckets are dropped again.
	nextSweep time.Duration
}

// NewTable returns a table whose buckets are empty, without a share; nil if no quotas apply.
func NewTable(s Settings, rng *rand.Rand, now time.Time) *Table {
	if !s.Enabled() {
		return nil
	}
	return &Table{
		settings: s,
		began:    now,
		rng:      rng,
		limited:  make(map[caller.AccountHash][]*caller.Account),
		buckets:  make(map[string]*bucket),
		own:      ownCounts{byAccount: make(map[caller.AccountHash]*ownCount)},
	}
}

// Update applies the accounts of a new configuration. Tokens are capped at the new limits, and an
// account that is no longer limited loses its bucket.
func (t *Table) Update(accounts iter.Seq[*caller.Account], now time.Time) {
	if t == nil {
		return
	}
	limited := make(map[caller.AccountHash][]*caller.Account)
	for a := range accounts {
		if a.Quota.Limited() {
			hash := caller.NewAccountHash(a.Name)
			limited[hash] = append(limited[hash], a)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limited = limited
	at := now.Sub(t.began)
	for name, b := range t.buckets {
		a := t.find(name)
		if a == nil {
			delete(t.buckets, name)
			continue
		}
		b.advance(at, t.share)
		b.limits = t.settings.limitsOf(a.Quota)
		b.add(0, t.share)
	}
}

// find returns the limited account with a name; nil if there is none.
func (t *Table) find(name string) *caller.Account {
	for _, a := range t.limited[caller.NewAccountHash(name)] {
		if a.Name == name {
			return a
		}
	}
	return nil
}

// emptyAbove is the growth of the share above which this host has not counted the requests of the
// others: buckets keep the tokens that they have, and those of accounts not in use start empty. One
// lost datagram may carry the reports of a whole zone, so that the share often falls to a third and
// rises again while datagrams are lost.
const emptyAbove = 4

// maxLead is for how long buckets refill while the control thread does not run, which calls SetShare
// every 50 ms. A host that was paused for a moment must not admit the requests that waited for it
// before it has counted those of the others.
const maxLead = 250 * time.Millisecond

// SetShare sets the share of the quotas that this host and the hosts which it hears from use
// together; 0 if it is not known.
func (t *Table) SetShare(share float64, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Sub(t.began)
	t.heardUntil = at
	t.sweep(at)
	if share == t.share {
		return
	}
	for _, b := range t.buckets {
		b.advance(at, t.share)
		b.rescale(t.share, share)
	}
	if share > emptyAbove*t.share {
		t.emptyAt = at
	}
	t.share = share
}

// Empty empties all buckets. It is called when this host has missed what the others admitted.
func (t *Table) Empty(now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.emptyAt = now.Sub(t.began)
	for _, b := range t.buckets {
		b.advance(t.emptyAt, t.share)
		b.tokens = min(b.tokens, 0)
	}
}

// sweepInterval is how often full buckets are dropped.
const sweepInterval = 5 * time.Second

// sweep drops the buckets that are full.
func (t *Table) sweep(at time.Duration) {
	if at < t.nextSweep {
		return
	}
	t.nextSweep = at + sweepInterval
	for name, b := range t.buckets {
		if b.advance(at, t.share); b.tokens >= b.cap(t.share) && t.isFull(b.limits, at) {
			delete(t.buckets, name)
		}
	}
}

// isFull reports whether an account without a bucket counts as having a full one.
func (t *Table) isFull(l limits, at time.Duration) bool {
	return (at-t.emptyAt).Seconds()*t.share*l.rate >= t.share*l.depth
}

// bucket returns the bucket of an account, brought up to date.
func (t *Table) bucket(a *caller.Account, now time.Time) *bucket {
	at := min(now.Sub(t.began), t.heardUntil+maxLead)
	b := t.buckets[a.Name]
	if b == nil {
		b = t.unusedBucket(a, at)
		t.buckets[a.Name] = b
	}
	b.advance(at, t.share)
	return b
}

// unusedBucket returns the bucket of an account that is not in use.
func (t *Table) unusedBucket(a *caller.Account, at time.Duration) *bucket {
	if known := t.find(a.Name); known != nil {
		a = known // the account of a request may be from an earlier configuration
	}
	return &bucket{limits: t.settings.limitsOf(a.Quota), at: min(at, t.emptyAt)}
}

// Preview is what Take would decide, and on which tokens.
type Preview struct {
	Decision   Decision
	RetryAfter time.Duration
	// Limited is set if a quota applies to the account. Tokens are those that its bucket holds,
	// and Depth is how many it may hold at this host's Share of the quota.
	Limited              bool
	Tokens, Depth, Share float64
}

// Preview returns what Take would decide. It takes no token, counts nothing and creates no bucket.
func (t *Table) Preview(a *caller.Account, rng *rand.Rand, now time.Time) Preview {
	if t == nil || a == nil || !a.Quota.Limited() {
		return Preview{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.share <= 0 {
		return Preview{Limited: true, Decision: Unknown, RetryAfter: unknownRetryAfter}
	}
	at := min(now.Sub(t.began), t.heardUntil+maxLead)
	var b bucket
	if known := t.buckets[a.Name]; known != nil {
		b = *known
	} else {
		b = *t.unusedBucket(a, at)
	}
	b.advance(at, t.share)
	p := Preview{Limited: true, Tokens: b.tokens, Depth: b.cap(t.share), Share: t.share}
	if !b.take(t.share, rng) {
		b.refused++
		p.Decision, p.RetryAfter = Exceeded, b.retryAfter(t.share, rng)
	}
	return p
}

// Take takes a token for a request of an account. For a request that is not admitted it returns
// when the caller may come back.
func (t *Table) Take(a *caller.Account, now time.Time) (Decision, time.Duration) {
	if t == nil || a == nil || !a.Quota.Limited() {
		return Admitted, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.share <= 0 {
		t.stats.Unknown++
		return Unknown, unknownRetryAfter
	}
	b := t.bucket(a, now)
	if !b.take(t.share, t.rng) {
		b.refused++
		t.stats.Exceeded++
		return Exceeded, b.retryAfter(t.share, t.rng)
	}
	b.own++
	t.stats.Admitted++
	t.own.add(caller.NewAccountHash(a.Name), 1)
	return Admitted, 0
}

// Return gives back the token of an admitted request that certainly did not run.
func (t *Table) Return(a *caller.Account, now time.Time) {
	if t == nil || a == nil || !a.Quota.Limited() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(a, now)
	b.add(1, t.share)
	b.own = max(0, b.own-1)
	t.stats.Returned++
	t.own.add(caller.NewAccountHash(a.Name), -1)
}

// CountOthers takes the tokens of requests that another host has admitted; fewer than none if it
// returned some.
func (t *Table) CountOthers(account caller.AccountHash, requests int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.limited[account] {
		t.bucket(a, now).takeOthers(float64(requests), t.share, t.settings.Window)
	}
}

// Counts returns what this host's next report states of its own requests.
func (t *Table) Counts() []Count {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own.next()
}

// Stats returns the counters and the number of buckets.
func (t *Table) Stats() Stats {
	if t == nil {
		return Stats{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Buckets = len(t.buckets)
	return s
}
