package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/host"
)

// shutdownPlans holds the plan of a shutdown. A shorter grace period replaces it.
type shutdownPlans struct {
	mu sync.Mutex
	// current is nil until the shutdown begins.
	current *host.ShutdownPlan
	// changed is closed when current is replaced.
	changed chan struct{}
}

// load returns the plan, and a channel that is closed when another one replaces it.
func (p *shutdownPlans) load() (*host.ShutdownPlan, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current, p.changed
}

// plan returns the plan; nil unless the host shuts down.
func (p *shutdownPlans) plan() *host.ShutdownPlan {
	plan, _ := p.load()
	return plan
}

// begin sets the plan of a shutdown that begins.
func (p *shutdownPlans) begin(plan *host.ShutdownPlan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current, p.changed = plan, make(chan struct{})
}

// shorten replaces the plan if it ends later than with the given grace period. It returns false
// without a shutdown, and if the plan stays: who stops the host may go by the earlier period.
func (p *shutdownPlans) shorten(grace, directoryTTL time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return false
	}
	plan := host.NewShutdownPlan(p.current.Began, grace, directoryTTL)
	if !plan.CutAt.Before(p.current.CutAt) {
		return false
	}
	p.current = plan
	close(p.changed)
	p.changed = make(chan struct{})
	return true
}

// await waits for a time of the plan in force. It returns early when done is closed.
func (p *shutdownPlans) await(done <-chan struct{}, at func(*host.ShutdownPlan) time.Time) {
	for {
		plan, changed := p.load()
		timer := time.NewTimer(time.Until(at(plan)))
		select {
		case <-timer.C:
			return
		case <-changed:
			timer.Stop()
		case <-done:
			timer.Stop()
			return
		}
	}
}

// minEndTime is the least time that requests get to end before their connections are closed. A
// process that was paused may find that the times of its plan have passed.
const minEndTime = 100 * time.Millisecond

// shutdown leaves the fleet and ends the servers. Callers are directed to other hosts at once.
func (g *Gateway) shutdown(ctx context.Context) {
	settings := g.settings.Load()
	g.shutdownPlans.begin(host.NewShutdownPlan(time.Now(), settings.GracePeriod, settings.DirectoryTTL))
	g.handler.ShutdownPlanned()
	g.log.Info().Dur("grace", settings.GracePeriod).Msg("stopping")
	g.control.Send(ctx, fleet.ShutdownRequested{})
	g.shutdownPlans.await(ctx.Done(), func(p *host.ShutdownPlan) time.Time { return p.CloseAt })
	shutdownCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		g.closeServers(shutdownCtx)
		close(ended)
	}()
	g.shutdownPlans.await(ended, func(p *host.ShutdownPlan) time.Time { return p.EndAt })
	g.handler.EndRequests()
	began := time.Now()
	g.shutdownPlans.await(ended, func(p *host.ShutdownPlan) time.Time {
		if least := began.Add(minEndTime); p.CutAt.Before(least) {
			return least
		}
		return p.CutAt
	})
	cancel()
	<-ended
}

// closeServers closes the listeners and waits until the requests in flight have ended and callers
// have their last responses. When ctx ends, it closes the connections that remain.
func (g *Gateway) closeServers(ctx context.Context) {
	var servers sync.WaitGroup
	for _, s := range g.servers {
		servers.Go(func() {
			if err := s.http.Shutdown(ctx); err != nil {
				g.log.Warn().Err(err).Str("server", s.name).Msg("shutdown timed out; in-flight requests were aborted")
				_ = s.http.Close() // the error of Shutdown is logged above
			}
		})
	}
	servers.Wait()
	g.callers.AwaitClosed(ctx)
}
