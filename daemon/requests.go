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
	// bodyMemory bounds the request bodies held in memory, in bytes.
	bodyMemory = 48 << 20
	// sweepInterval is the time between two sweeps of the ledger.
	sweepInterval = 5 * time.Second
)

// newHandler builds the handler of callers' requests.
func (d *Daemon) newHandler(network Network) *traffic.Handler {
	return traffic.NewHandler(traffic.Config{
		Snapshot:    d.control.snapshot.Load,
		Home:        d.home,
		Ledger:      d.ledger,
		Claims:      d.claims,
		Bodies:      d.bodies,
		Observe:     d.control.Observe,
		Ended:       d.control.ended,
		WantSigns:   d.control.wantSigns,
		Transport:   traffic.NewTargetTransport(network.DialContext),
		Peers:       d.peerTraffic(network),
		FleetTokens: d.credentials.fleet.Load,
	})
}

// newClaims builds the store of keys and outcomes in the platform's table.
func newClaims(table storage.Table, home *caller.HomeHost) traffic.Claims {
	store := &claim.Store{Table: table}
	return traffic.Claims{Store: store, Writer: claim.NewOutcomeWriter(store), Log: claim.NewOutcomeLog(table, home)}
}

const (
	// minDrainTime is the least time for the work in flight at a graceful
	// shutdown.
	minDrainTime = 30 * time.Second
	// drainMargin is what a request may take beyond its deadline.
	drainMargin = 5 * time.Second
	// settleTime is how long a host that stops waits for the table to take
	// the outcomes of callers' keys.
	settleTime = 10 * time.Second
)

// drainTime limits the work in flight at a graceful shutdown. It is longer
// than any request may take, so that none is cut.
func (d *Daemon) drainTime() time.Duration {
	limit := minDrainTime
	for _, s := range d.control.snapshot.Load().Services {
		for _, r := range s.Contract.Routes {
			limit = max(limit, r.Deadline+drainMargin)
		}
	}
	return limit
}

// startRequests starts the background work of callers' requests.
func (d *Daemon) startRequests(ctx context.Context) {
	d.background.Go(func() { d.sweepLedger(ctx) })
	d.background.Go(func() { d.tellTraffic(ctx) })
	d.background.Go(func() { d.claims.Writer.Run(ctx) })
	d.background.Go(func() { d.claims.Log.Run(ctx) })
}

// tellTraffic lets waiting requests use each new snapshot, until ctx ends.
func (d *Daemon) tellTraffic(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.control.published:
			d.handler.SnapshotChanged()
		}
	}
}

// sweepLedger forgets expired records until ctx ends.
func (d *Daemon) sweepLedger(ctx context.Context) {
	every(ctx, sweepInterval, func() { d.ledger.RemoveExpired(d.home.Uptime()) })
}

// every calls f once each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
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
