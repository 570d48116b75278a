package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/storage"
)

// Bounds of a Log.
const (
	// flushInterval is the time between two writes. With 890 hosts it makes
	// 45 writes a second for the whole fleet.
	flushInterval = 20 * time.Second
	// batchSize is how many outcomes one item of the table holds, which keeps
	// it under 400 KB.
	batchSize = 2000
	// maxWaiting is how many outcomes wait for the table at most; the oldest
	// make room for newer ones.
	maxWaiting = 40_000
	// lookupPage is how many batches one read returns at most, and
	// lookupPages how many reads one look-up makes.
	lookupPage  = 32
	lookupPages = 8
	// lookupRate and lookupBurst bound the look-ups of one host, in reads a
	// second.
	lookupRate  = 0.2
	lookupBurst = 10
)

// ErrBusy is returned when this host has looked up too many outcomes lately.
var ErrBusy = errors.New("too many look-ups of outcomes")

// Ended is how one request under a home-host id ended.
type Ended struct {
	Account string        `json:"account"`
	Request string        `json:"request"`
	Result  caller.Result `json:"result"`
	Status  int           `json:"status,omitempty"`
}

// Log keeps the outcomes of the ids of one incarnation in the table, in
// batches, so that they are known after the host is gone.
type Log struct {
	table   storage.Table
	home    *caller.Home
	lookups *rate.Limiter

	mu      sync.Mutex
	waiting []Ended
	dropped int64
}

// NewLog returns the log of a home. Run carries it out.
func NewLog(table storage.Table, home *caller.Home) *Log {
	return &Log{table: table, home: home, lookups: rate.NewLimiter(lookupRate, lookupBurst)}
}

// Add hands an outcome over without waiting for the table.
func (l *Log) Add(e Ended) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= maxWaiting {
		l.waiting = l.waiting[1:]
		l.dropped++
	}
	l.waiting = append(l.waiting, e)
}

// Dropped returns how many outcomes were given up while the table was away.
func (l *Log) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Run writes the batches until ctx ends, and the last one then.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
			defer cancel()
			_ = l.Flush(last)
			return
		case <-ticker.C:
			try, cancel := context.WithTimeout(ctx, settleTimeout)
			_ = l.Flush(try)
			cancel()
		}
	}
}

// Flush writes one batch. After an error its outcomes wait for the next one;
// an outcome written twice is harmless.
func (l *Log) Flush(ctx context.Context) error {
	batch := l.take()
	if len(batch) == 0 {
		return nil
	}
	value, err := json.Marshal(batch)
	if err != nil {
		return errors.Wrap(err, "encode outcomes")
	}
	key := storage.Key{Partition: partition(l.home.Host, l.home.Incarnation), Sort: sortKey(l.home.Since())}
	err = l.table.Write(ctx, storage.Put{Key: key, Value: value})
	if err != nil {
		l.putBack(batch)
	}
	return err
}

func (l *Log) take() []Ended {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(batchSize, len(l.waiting))
	batch := l.waiting[:n:n]
	l.waiting = l.waiting[n:]
	return batch
}

func (l *Log) putBack(batch []Ended) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = append(batch, l.waiting...)
}

func partition(host string, incarnation uint64) string {
	return "outcome/" + host + "/" + strconv.FormatUint(incarnation, 10)
}

// sortKey orders batches by their time since the incarnation began.
func sortKey(since time.Duration) string { return fmt.Sprintf("%015d", since.Microseconds()) }

// Find looks up how the request of an id ended, on whichever host. The outcome
// is Unknown when the table knows nothing of it. It fails when the table is
// away or this host has asked too often.
func (l *Log) Find(ctx context.Context, account string, id caller.RequestID) (caller.Outcome, error) {
	outcome := caller.Outcome{Result: caller.Unknown}
	err := l.scan(ctx, id, func(e Ended) bool {
		if e.Account != account {
			return true
		}
		outcome = caller.Outcome{Result: e.Result, Status: e.Status}
		return false
	})
	return outcome, err
}

// All returns the ends of the requests of an id, one for each account that used
// it. It fails when the table is away or this host has asked too often.
func (l *Log) All(ctx context.Context, id caller.RequestID) ([]Ended, error) {
	var out []Ended
	err := l.scan(ctx, id, func(e Ended) bool {
		if !slices.Contains(out, e) {
			out = append(out, e)
		}
		return true
	})
	return out, err
}

// scan hands the ends of an id over until f returns false.
func (l *Log) scan(ctx context.Context, id caller.RequestID, f func(Ended) bool) error {
	after := sortKey(max(0, id.Expires-caller.IDLifetime))
	for range lookupPages {
		if !l.lookups.Allow() {
			return ErrBusy
		}
		items, err := l.table.Query(ctx, partition(id.Host, id.Incarnation), after, lookupPage)
		if err != nil {
			return err
		}
		for _, item := range items {
			if !search(item.Value, id, f) {
				return nil
			}
			after = item.Key.Sort
		}
		if len(items) < lookupPage {
			return nil
		}
	}
	return nil
}

// search hands the ends of an id in one batch over until f returns false. A
// batch that cannot be read holds nothing.
func search(value []byte, id caller.RequestID, f func(Ended) bool) bool {
	var batch []Ended
	if json.Unmarshal(value, &batch) != nil {
		return true
	}
	for _, e := range batch {
		if e.Request == id.String() && !f(e) {
			return false
		}
	}
	return true
}
