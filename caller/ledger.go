package caller

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"
)

// shardCount spreads the ledger over this many locks.
const shardCount = 64

// Limits bound the memory of a Ledger. What does not fit is refused with "not
// run", never forgotten early.
type Limits struct {
	// Records is the greatest number of records.
	Records int64
	// AnswerBytes bounds the answers kept for repeats, over all records. An
	// answer that does not fit is not kept; its record is.
	AnswerBytes int64
}

// DefaultLimits returns the limits of one host: 200 non-idempotent requests a
// second for the lifetime of an id.
func DefaultLimits() Limits {
	return Limits{Records: 120_000, AnswerBytes: 16 << 20}
}

// Verdict is the ledger's decision on a request that asks to be dispatched.
type Verdict int

// The verdicts of Begin.
const (
	// Dispatch means that the request was claimed now: it must be dispatched
	// once at most, and its record ended.
	Dispatch Verdict = iota
	// Repeated means that the request was claimed before; the record tells
	// how it ended or when.
	Repeated
	// Mismatch means that the id belongs to a different request.
	Mismatch
	// Expired means that the id is too old to be dispatched and that nothing
	// is known of it any more.
	Expired
	// Full means that the ledger has no room; the request was not run.
	Full
)

// recordKey scopes an id to its account, so that no account can read or block
// another's ids.
type recordKey struct{ account, id string }

// shard is a part of the ledger under one lock.
type shard struct {
	mu      sync.Mutex
	records map[recordKey]*Record
	// horizon is the latest time for which expired records were forgotten.
	// Ids that expired before it are refused whatever the time that a late
	// goroutine read before it was paused.
	horizon time.Duration
	// bar is the latest expiry of an id that was refused for want of room.
	// An id that is not known and expires no later stays refused, so that a
	// late copy of a request whose caller was told "not run" cannot run.
	bar time.Duration
}

// Ledger remembers, for one incarnation of one host, which non-idempotent
// requests it has dispatched. It is safe for concurrent use.
type Ledger struct {
	limits      Limits
	seed        maphash.Seed
	shards      [shardCount]shard
	count       atomic.Int64
	answerBytes atomic.Int64
}

// NewLedger returns an empty ledger.
func NewLedger(limits Limits) *Ledger {
	l := &Ledger{limits: limits, seed: maphash.MakeSeed()}
	for i := range l.shards {
		l.shards[i].records = make(map[recordKey]*Record)
	}
	return l
}

func (l *Ledger) shard(key recordKey) *shard {
	return &l.shards[maphash.Comparable(l.seed, key)%shardCount]
}

// Begin claims a request for dispatch. now is the time since the incarnation
// began. The record is nil for the verdicts Expired and Full.
//
// A record that ended as NotRun stays final too: an earlier copy of the
// request may still be on its way, and were it to run after the caller was
// told "not run", that answer would have been false. A caller that wants to
// try again takes a new id.
func (l *Ledger) Begin(now time.Duration, account string, id RequestID, print Fingerprint) (*Record, Verdict) {
	key := recordKey{account, id.String()}
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[key]; ok {
		if r.refused || r.print == print {
			return r, Repeated
		}
		return r, Mismatch
	}
	if id.Expires <= max(now, s.horizon) {
		return nil, Expired
	}
	if id.Expires <= s.bar {
		return nil, Full
	}
	if l.count.Add(1) > l.limits.Records {
		l.count.Add(-1)
		s.bar = max(s.bar, id.Expires)
		return nil, Full
	}
	r := &Record{ledger: l, shard: s, print: print, expires: id.Expires}
	s.records[key] = r
	return r, Dispatch
}

// Refuse makes sure that the id is never dispatched from now on, because its
// caller is about to be told that it was not run. It returns how the request
// ended when it was begun before.
func (l *Ledger) Refuse(now time.Duration, account string, id RequestID) Outcome {
	r, verdict := l.Begin(now, account, id, Fingerprint{})
	switch verdict {
	case Dispatch:
		r.refuse()
		return r.Outcome()
	case Full:
		return Outcome{Result: NotRun}
	case Expired:
		return Outcome{Result: Unknown}
	default:
		return r.Outcome()
	}
}

// Find returns the record of an id, or nil.
func (l *Ledger) Find(account string, id RequestID) *Record {
	key := recordKey{account, id.String()}
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[key]
}

// Forget drops the ended records that expired at or before now. Their ids are
// refused from then on, so none of them can be dispatched again.
func (l *Ledger) Forget(now time.Duration) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.horizon = max(s.horizon, now)
		for key, r := range s.records {
			if r.expires <= now && r.result != Pending {
				delete(s.records, key)
				l.count.Add(-1)
				l.answerBytes.Add(-r.answer.size())
			}
		}
		s.mu.Unlock()
	}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return int(l.count.Load()) }

// AnswerBytes returns the size of the answers kept for repeats.
func (l *Ledger) AnswerBytes() int64 { return l.answerBytes.Load() }
