package daemon

import (
	"context"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/claim"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/traffic"
)

const (
	// maxBodyMemory is the maximum total size of the request bodies held in memory,
	// in bytes.
	maxBodyMemory = 48 << 20
	// maxResponseMemory is the maximum total size of the responses of targets held in
	// memory, and maxHeadMemory that of the heads of callers' requests, in bytes.
	maxResponseMemory = 32 << 20
	maxHeadMemory     = 16 << 20
	// ledgerSweepInterval is the time between two removals of expired records.
	ledgerSweepInterval = 5 * time.Second
)

// newHandler builds the handler for callers' requests.
func (d *Daemon) newHandler(network Network) *traffic.Handler {
	return traffic.NewHandler(traffic.Config{
		Snapshot:            d.control.snapshot.Load,
		Home:                d.home,
		Ledger:              d.ledger,
		Claims:              d.claims,
		Bodies:              d.bodyBudget,
		Responses:           caller.NewMemory(maxResponseMemory),
		Observe:             d.control.Observe,
		ReportEnded:         d.control.recordRequestEnd,
		RequestLeaveSignals: d.control.requestLeaveSignals,
		Transport:           traffic.NewTargetTransport(network.DialContext),
		Peers:               d.forwardTransport(network),
		ShutdownPlan:        d.shutdownPlan.Load,
		FleetTokens:         d.credentials.fleetTokens.Load,
	})
}

// newClaims builds the storage of idempotency keys and outcomes in the metadata
// store.
func newClaims(table storage.Table, home *caller.HomeHost) traffic.Claims {
	store := &claim.Store{Table: table}
	return traffic.Claims{Store: store, Writer: claim.NewOutcomeWriter(store), Log: claim.NewOutcomeLog(table, home)}
}

const (
	// minShutdownTimeout is the minimum time that requests in flight get to finish
	// at a graceful shutdown.
	minShutdownTimeout = 30 * time.Second
	// shutdownMargin is the time that a request may take beyond its deadline.
	shutdownMargin = 5 * time.Second
	// closeTimeout limits how long a stopping host waits until callers have received
	// their last responses.
	closeTimeout = 3 * time.Second
	// claimFlushTimeout limits how long a stopping host waits until the outcomes of
	// idempotency keys are written to the metadata store.
	claimFlushTimeout = 10 * time.Second
)

// timeToKill returns how long the host may wait for something while it stops: the given
// time, or what is left of the grace period.
func (d *Daemon) timeToKill(limit time.Duration) time.Duration {
	plan := d.shutdownPlan.Load()
	if plan == nil {
		return limit
	}
	return min(limit, max(minEndTime, time.Until(plan.CutAt)))
}

// minEndTime is the least time that a stopping host gives the last responses and records. Its
// process may have been paused, so that the times of its plan have passed.
const minEndTime = 100 * time.Millisecond

// shutdownTimeout returns how long requests in flight get to finish at a graceful
// shutdown. Without a grace period it exceeds the longest deadline of any route, so
// that no request is aborted.
func (d *Daemon) shutdownTimeout() time.Duration {
	if plan := d.shutdownPlan.Load(); plan != nil {
		return max(minEndTime, time.Until(plan.CutAt))
	}
	timeout := minShutdownTimeout
	for _, s := range d.control.snapshot.Load().Services {
		for _, r := range s.Contract.Routes {
			timeout = max(timeout, r.Deadline+shutdownMargin)
		}
	}
	return timeout
}

// startRequestTasks starts the background tasks that serve callers' requests.
func (d *Daemon) startRequestTasks(ctx context.Context) {
	d.tasks.Go(func() { d.removeExpiredRecords(ctx) })
	d.tasks.Go(func() { d.notifyTraffic(ctx) })
	d.tasks.Go(func() { d.claims.Writer.Run(ctx) })
	d.tasks.Go(func() { d.claims.Log.Run(ctx) })
}

// notifyTraffic tells the request handler about each new snapshot, so that waiting
// requests use it. It returns when ctx ends.
func (d *Daemon) notifyTraffic(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.control.snapshotPublished:
			d.handler.SnapshotChanged()
		}
	}
}

// removeExpiredRecords removes expired records from the ledger at regular
// intervals until ctx ends.
func (d *Daemon) removeExpiredRecords(ctx context.Context) {
	runEvery(ctx, ledgerSweepInterval, func() { d.ledger.RemoveExpired(d.home.Uptime()) })
}

// runEvery calls f once per interval. It returns when ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
