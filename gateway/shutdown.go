package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/internal/wait"
)

// Steps of a shutdown, as shares of the grace period.
const (
	// acceptAllShare is the longest time for which a stopping host accepts every request.
	acceptAllShare = 0.5
	// closeAfterShare is when the listeners are closed, and cutAfterShare when requests
	// still in flight are aborted, so that the process exits before it is killed. With a
	// sixth of a core, ending a busy process takes half a second.
	closeAfterShare = 0.8
	cutAfterShare   = 0.9
)

// cachedAddressFactor is the multiple of the directory's TTL after which callers no longer use
// the address of a host that the directory has left out. Some keep a response longer than told.
const cachedAddressFactor = 3

// shutdownPlan holds the times of a shutdown.
type shutdownPlan struct {
	// acceptAllUntil is when callers have other addresses. A request that comes later is
	// accepted only if its deadline passes before cutAt.
	acceptAllUntil time.Time
	// closeAt is when the listeners are closed, and cutAt when requests in flight are
	// aborted.
	closeAt, cutAt time.Time
}

func newShutdownPlan(began time.Time, grace, directoryTTL time.Duration) *shutdownPlan {
	share := func(s float64) time.Duration { return time.Duration(s * float64(grace)) }
	return &shutdownPlan{
		acceptAllUntil: began.Add(min(cachedAddressFactor*directoryTTL, share(acceptAllShare))),
		closeAt:        began.Add(share(closeAfterShare)),
		cutAt:          began.Add(share(cutAfterShare)),
	}
}

// accepts reports whether a request that arrives now is accepted, if it may take until the
// deadline.
func (p *shutdownPlan) accepts(now, deadline time.Time) bool {
	return now.Before(p.acceptAllUntil) || now.Before(p.closeAt) && deadline.Before(p.cutAt)
}

// accepts reports whether a request with the given deadline is accepted at present.
func (g *Gateway) accepts(deadline time.Time) bool {
	plan := g.shutdownPlan.Load()
	return plan == nil || plan.accepts(time.Now(), deadline)
}

// shutdown leaves the fleet and ends the servers. Callers are directed to other hosts at once.
func (g *Gateway) shutdown(ctx context.Context) {
	settings := g.settings.Load()
	plan := newShutdownPlan(time.Now(), settings.GracePeriod, settings.DirectoryTTL)
	g.shutdownPlan.Store(plan)
	g.log.Info().Dur("grace", settings.GracePeriod).Msg("stopping")
	g.control.Send(ctx, fleet.ShutdownRequested{})
	wait.For(ctx, time.Until(plan.closeAt))
	shutdownCtx, cancel := context.WithDeadline(ctx, plan.cutAt)
	defer cancel()
	var servers sync.WaitGroup
	for _, s := range g.servers {
		servers.Go(func() {
			if err := s.http.Shutdown(shutdownCtx); err != nil {
				g.log.Warn().Err(err).Str("server", s.name).Msg("shutdown timed out; in-flight requests were aborted")
				_ = s.http.Close() // the error of Shutdown is logged above
			}
		})
	}
	servers.Wait()
	g.callers.AwaitClosed(shutdownCtx)
}
