package caller

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"
)

// shardCount is the number of independently locked parts of a ledger.
const shardCount = 64

// LedgerLimits bound the memory of a Ledger. A request without room for its
// record is refused as NotRun; no record is evicted to make room.
type LedgerLimits struct {
	// Records is the maximum number of records.
	Records int64
	// ResponseBytes bounds the total size of the responses kept for repeats of
	// requests. A response that does not fit is dropped, and its record is kept
	// without it.
	ResponseBytes int64
}

// DefaultLedgerLimits returns the limits of one host. The limit of records suffices for
// 200 non-idempotent requests per second over IDLifetime.
func DefaultLedgerLimits() LedgerLimits {
	return LedgerLimits{Records: 120_000, ResponseBytes: 16 << 20}
}

// Decision is the ledger's decision on whether a request may be dispatched.
type Decision int

// The decisions of Begin.
const (
	// Dispatch means that this call claimed the request. The caller of Begin may
	// dispatch it at most once, and must end its record.
	Dispatch Decision = iota
	// Repeated means that the request was claimed before. The record holds its
	// outcome, and Wait waits for it.
	Repeated
	// Mismatch means that the id belongs to a different request.
	Mismatch
	// Expired means that the id is too old to be dispatched and that the ledger
	// has no record of it.
	Expired
	// Full means that the ledger has no room for a record. The request was not
	// run.
	Full
)

// recordKey scopes an id to its account, so that no account can read another's
// outcomes or block its ids.
type recordKey struct{ account, id string }

// shard is a part of the ledger with its own lock.
type shard struct {
	mu      sync.Mutex
	records map[recordKey]*Record
	// removedUntil is the latest time that RemoveExpired was called with. Ids that
	// expired at or before that time are refused even when a goroutine that was paused
	// after it read the clock calls Begin with an earlier time.
	removedUntil time.Duration
	// refusedUntil is the latest expiry of the ids that were refused because the
	// ledger was full, and which have no record. Ids without a record that expire
	// at or before it stay refused, so that a delayed copy of a request whose
	// caller was told "not-run" cannot run.
	refusedUntil time.Duration
}

// Ledger records which non-idempotent requests one incarnation of one host has
// dispatched, and their outcomes, so that each is dispatched at most once. It is
// safe for concurrent use.
type Ledger struct {
	limits LedgerLimits
	// seed is the seed of the hash that assigns records to shards.
	seed   maphash.Seed
	shards [shardCount]shard
	// count is the number of records in all shards.
	count atomic.Int64
	// responseBytes is the total size of the responses in all records.
	responseBytes atomic.Int64
}

// NewLedger returns an empty ledger.
func NewLedger(limits LedgerLimits) *Ledger {
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
// began. The record is nil when the decision is Expired or Full.
//
// A record that ended as NotRun is final too: the caller was told "not-run", which
// would become false if another copy of the request arrived and were dispatched. To try
// again, a caller uses a new id.
func (l *Ledger) Begin(now time.Duration, account string, id RequestID, fingerprint Fingerprint) (*Record, Decision) {
	key := recordKey{account, id.String()}
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[key]; ok {
		if r.refused || r.fingerprint == fingerprint {
			return r, Repeated
		}
		return r, Mismatch
	}
	if id.Expires <= max(now, s.removedUntil) {
		return nil, Expired
	}
	if id.Expires <= s.refusedUntil {
		return nil, Full
	}
	if l.count.Add(1) > l.limits.Records {
		l.count.Add(-1)
		s.refusedUntil = max(s.refusedUntil, id.Expires)
		return nil, Full
	}
	r := &Record{ledger: l, shard: s, fingerprint: fingerprint, expires: id.Expires}
	s.records[key] = r
	return r, Dispatch
}

// Refuse makes sure that the id is never dispatched from now on, so that its caller can
// be told "not-run". If the request was already claimed for dispatch, Refuse returns
// the request's outcome instead, which is Pending until the request ends. For an
// expired id without a record it returns Unknown.
func (l *Ledger) Refuse(now time.Duration, account string, id RequestID) Outcome {
	r, decision := l.Begin(now, account, id, Fingerprint{})
	switch decision {
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

// RemoveExpired removes the ended records that expired at or before now. Their
// ids are refused from then on, so none of them can be dispatched again.
func (l *Ledger) RemoveExpired(now time.Duration) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.removedUntil = max(s.removedUntil, now)
		for key, r := range s.records {
			if r.expires <= now && r.result != Pending {
				delete(s.records, key)
				l.count.Add(-1)
				l.responseBytes.Add(-r.response.size())
			}
		}
		s.mu.Unlock()
	}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return int(l.count.Load()) }

// ResponseBytes returns the total size of the responses kept for repeats.
func (l *Ledger) ResponseBytes() int64 { return l.responseBytes.Load() }
