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

// Bounds of an OutcomeLog.
const (
	// flushInterval is the time between two writes of a host. A fleet of 890 hosts then
	// makes 45 writes per second.
	flushInterval = 20 * time.Second
	// batchSize is the maximum number of outcomes in one row of the table, which
	// keeps the row under 400 KB.
	batchSize = 2000
	// maxPendingOutcomes is the maximum number of outcomes that wait to be written.
	// When it is reached, the oldest outcome is dropped for each new one.
	maxPendingOutcomes = 40_000
	// lookupPageSize is the maximum number of batches per read, and
	// maxLookupPages the maximum number of reads per look-up.
	lookupPageSize = 32
	maxLookupPages = 8
	// lookupRate limits the reads of a host for look-ups, in reads per second,
	// and lookupBurst is the number of reads that it may make at once.
	lookupRate  = 0.2
	lookupBurst = 10
)

// ErrLookupLimit is returned when this host has reached its rate limit of look-ups.
var ErrLookupLimit = errors.New("too many look-ups of outcomes")

// RequestOutcome is the stored outcome of one request. Request is the request id.
type RequestOutcome struct {
	Account string        `json:"account"`
	Request string        `json:"request"`
	Result  caller.Result `json:"result"`
	Status  int           `json:"status,omitempty"`
}

// OutcomeLog writes the outcomes of the ids of one incarnation to the table in
// batches, so that other hosts can look them up when this host is gone.
type OutcomeLog struct {
	table         storage.Table
	home          *caller.HomeHost
	lookupLimiter *rate.Limiter

	mu sync.Mutex
	// pending are the outcomes that are not written yet, oldest first.
	pending []RequestOutcome
	dropped int64
}

// NewOutcomeLog returns the log for the ids that home issues. Run writes it to the
// table.
func NewOutcomeLog(table storage.Table, home *caller.HomeHost) *OutcomeLog {
	return &OutcomeLog{table: table, home: home, lookupLimiter: rate.NewLimiter(lookupRate, lookupBurst)}
}

// Add queues an outcome to be written. It doesn't wait for the table.
func (l *OutcomeLog) Add(o RequestOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) >= maxPendingOutcomes {
		l.pending = l.pending[1:]
		l.dropped++
	}
	l.pending = append(l.pending, o)
}

// Dropped returns the number of outcomes that were dropped because too many waited to
// be written.
func (l *OutcomeLog) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Run writes a batch every flushInterval until ctx ends, and then a last one.
func (l *OutcomeLog) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
			defer cancel()
			_ = l.Flush(flushCtx)
			return
		case <-ticker.C:
			flushCtx, cancel := context.WithTimeout(ctx, writeTimeout)
			_ = l.Flush(flushCtx)
			cancel()
		}
	}
}

// Flush writes one batch. After an error the outcomes of the batch are queued again. An
// outcome may thus be stored twice; look-ups ignore duplicates.
func (l *OutcomeLog) Flush(ctx context.Context) error {
	batch := l.takeBatch()
	if len(batch) == 0 {
		return nil
	}
	value, err := json.Marshal(batch)
	if err != nil {
		return errors.Wrap(err, "encode outcomes")
	}
	key := storage.Key{Partition: outcomePartition(l.home.Host, l.home.Incarnation), Sort: batchSortKey(l.home.Uptime())}
	err = l.table.Write(ctx, storage.Put{Key: key, Value: value})
	if err != nil {
		l.requeueBatch(batch)
	}
	return err
}

// takeBatch removes the oldest pending outcomes, at most batchSize of them.
func (l *OutcomeLog) takeBatch() []RequestOutcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(batchSize, len(l.pending))
	batch := l.pending[:n:n]
	l.pending = l.pending[n:]
	return batch
}

// requeueBatch puts a batch that could not be written before the pending outcomes.
func (l *OutcomeLog) requeueBatch(batch []RequestOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(batch, l.pending...)
}

// outcomePartition is the partition of the batches of one incarnation of a host.
func outcomePartition(host string, incarnation uint64) string {
	return "outcome/" + host + "/" + strconv.FormatUint(incarnation, 10)
}

// batchSortKey returns the sort key of a batch: the time since the incarnation began,
// padded with zeros so that the keys sort by time.
func batchSortKey(sinceStart time.Duration) string {
	return fmt.Sprintf("%015d", sinceStart.Microseconds())
}

// Find looks up the outcome of an account's request by its id, which may have been
// issued by any host. The result is Unknown if the table has no outcome of the request.
// Find fails with ErrLookupLimit, or with the table's error.
func (l *OutcomeLog) Find(ctx context.Context, account string, id caller.RequestID) (caller.Outcome, error) {
	outcome := caller.Outcome{Result: caller.Unknown}
	err := l.scan(ctx, id, func(o RequestOutcome) bool {
		if o.Account != account {
			return true
		}
		outcome = caller.Outcome{Result: o.Result, Status: o.Status}
		return false
	})
	return outcome, err
}

// FindAll looks up the outcomes of the requests with an id: one for each account that
// used it. It fails with ErrLookupLimit, or with the table's error.
func (l *OutcomeLog) FindAll(ctx context.Context, id caller.RequestID) ([]RequestOutcome, error) {
	var all []RequestOutcome
	err := l.scan(ctx, id, func(o RequestOutcome) bool {
		if !slices.Contains(all, o) {
			all = append(all, o)
		}
		return true
	})
	return all, err
}

// scan calls visit for each stored outcome of an id until visit returns false. It
// starts with the batches from the time at which the id was issued.
func (l *OutcomeLog) scan(ctx context.Context, id caller.RequestID, visit func(RequestOutcome) bool) error {
	after := batchSortKey(max(0, id.Expires-caller.IDLifetime))
	for range maxLookupPages {
		if !l.lookupLimiter.Allow() {
			return ErrLookupLimit
		}
		rows, err := l.table.Query(ctx, outcomePartition(id.Host, id.Incarnation), after, lookupPageSize)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if !scanBatch(row.Value, id, visit) {
				return nil
			}
			after = row.Key.Sort
		}
		if len(rows) < lookupPageSize {
			return nil
		}
	}
	return nil
}

// scanBatch calls visit for each outcome of an id in one batch until visit returns
// false. It then returns false too. A batch that cannot be decoded is skipped.
func scanBatch(value []byte, id caller.RequestID, visit func(RequestOutcome) bool) bool {
	var batch []RequestOutcome
	if json.Unmarshal(value, &batch) != nil {
		return true
	}
	for _, o := range batch {
		if o.Request == id.String() && !visit(o) {
			return false
		}
	}
	return true
}
