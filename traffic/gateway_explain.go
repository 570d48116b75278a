package traffic

import (
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/fleet"
)

// Explain returns where a request of an account would go now; the account's name is empty for a
// request without a key. Nothing is sent, counted or changed.
func (g *Gateway) Explain(authority, path, account string, rng *rand.Rand) fleet.Explanation {
	snap, now := g.cfg.Snapshot(), time.Now()
	return snap.Explain(fleet.Enquiry{
		Authority: authority, Path: path, Account: account,
		Now: now, Rand: rng, Quotas: g.cfg.Quotas,
		Outdated: g.outdated(snap), Accepts: g.shutdown.accepts, SendBy: g.shutdown.sendBy,
		AllowsRetry: func(service string) bool { return g.allowsRetry(service, now) },
		Queue:       g.queueForPreview, QueueLength: maxWaiting,
	})
}

// allowsRetry reports whether the retry budget of a service allows a retry. It does not create the
// budget.
func (g *Gateway) allowsRetry(service string, now time.Time) bool {
	b, ok := g.retryBudgets.Load(service)
	if !ok {
		b = caller.NewWindowRetryBudget(g.cfg.Budget.Ratio, g.cfg.Budget.Window)
	}
	return b.(*caller.WindowRetryBudget).CanWithdraw(now, g.minRetries())
}

// queueForPreview returns the queue of a service, or an empty one if it has none yet; nil if requests
// do not wait at this host.
func (g *Gateway) queueForPreview(service string) *caller.AdmissionQueue {
	if !g.cfg.QueueRequests {
		return nil
	}
	if q, ok := g.waiting.queues.Load(service); ok {
		return q.(*serviceQueue).queue
	}
	return g.newServiceQueue(service).queue
}
