package caller

import (
	"sync"
	"time"
)

// Result is what a caller is told of a request: a closed set.
type Result int

// The results of a request.
const (
	// Pending requests have not ended yet.
	Pending Result = iota
	// Completed requests ran once and their whole answer was received.
	Completed
	// NotRun is only said when no byte of the request can have reached the
	// application.
	NotRun
	// Unknown is said when the request may or may not have run.
	Unknown
)

var resultNames = [...]string{"pending", "completed", "not-run", "unknown"}

// String returns the result as it stands in the response header.
func (r Result) String() string { return resultNames[r] }

// Entry is the ledger's record of one request.
type Entry struct {
	Result  Result
	Status  int
	Expires time.Duration
}

// entryKey scopes an id to its account, so that no account can read or block
// another's ids.
type entryKey struct{ account, id string }

// Ledger remembers, for one incarnation of one host, which non-idempotent
// requests it has dispatched. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries map[entryKey]Entry
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: make(map[entryKey]Entry)} }

// Begin claims a request for dispatch. It returns false, with the entry that
// is there, when the request was claimed before, also when it ended as NotRun:
// an earlier copy of the request may still be on its way, and were it to run
// after the caller was told "not run", that answer would have been false. A
// caller that wants to try again takes a new id.
func (l *Ledger) Begin(account, id string, expires time.Duration) (Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := entryKey{account, id}
	if e, ok := l.entries[key]; ok {
		return e, false
	}
	e := Entry{Result: Pending, Expires: expires}
	l.entries[key] = e
	return e, true
}

// End records how a claimed request ended.
func (l *Ledger) End(account, id string, result Result, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := entryKey{account, id}
	e := l.entries[key]
	e.Result, e.Status = result, status
	l.entries[key] = e
}

// Forget drops the entries that expired before now. Their ids are refused from
// then on, so none of them can be dispatched again.
func (l *Ledger) Forget(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, e := range l.entries {
		if e.Expires < now && e.Result != Pending {
			delete(l.entries, k)
		}
	}
}

// Len returns the number of entries.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}
