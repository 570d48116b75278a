package traffic

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
)

// hedgeFactor is how many times the usual latency a request that may be repeated
// waits before a second target gets it.
const hedgeFactor = 2.5

// maxConnects is how many targets a request may fail to connect to. A cut zone
// costs one connect timeout for each.
const maxConnects = 4

// journey is the attempts of one passage.
type journey struct {
	gateway *Gateway
	passage *passage
	ctx     context.Context
	results chan *sending
	// open is how many sendings have not ended, and sent how many targets may
	// have got the request.
	open, sent, connects int
	tried                []*pool.Target
	// mayHaveRun is set when a target got the request and did not state that
	// it was not run.
	mayHaveRun bool
	// failed is a target's own failure, passed on when nothing better comes.
	failed *sending
	last   *sending
}

// carry sends a passage to targets until there is an answer to pass on.
func (g *Gateway) carry(w http.ResponseWriter, snap *fleet.Snapshot, p *passage) {
	ctx, cancel := p.context()
	defer cancel()
	j := &journey{gateway: g, passage: p, ctx: ctx, results: make(chan *sending, p.route.Attempts+maxConnects)}
	defer j.finish()
	if routing := snap.Services[p.service]; routing != nil && !routing.Admit(p.demand()) {
		g.counters.Overload.Add(1)
		g.refuse(w, p, refuseFor(p.comeBack(), "every target's queue is too long for the objective"))
		return
	}
	if !j.start() {
		g.refuse(w, p, refuseFor(retryPause, "no target of the service is known"))
		return
	}
	hedge := j.hedge(snap)
	defer hedge.Stop()
	for j.open > 0 {
		select {
		case s := <-j.results:
			if answer := j.take(s); answer != nil {
				g.log(p, answer, j.sent, Answered)
				g.deliver(w, answer)
				return
			}
			if j.open == 0 && j.again() {
				j.start()
			}
		case <-hedge.C:
			if j.mayRepeat() && j.spare() && j.spend() {
				j.start()
			}
		case <-ctx.Done():
			j.expired(w)
			return
		}
	}
	j.conclude(w)
}

// hedge returns the timer of a second sending. It never fires for a request that
// may not be repeated.
func (j *journey) hedge(snap *fleet.Snapshot) *time.Timer {
	routing := snap.Services[j.passage.service]
	if !j.passage.repeatable() || routing == nil || routing.Typical() == 0 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(time.Duration(hedgeFactor * float64(routing.Typical())))
}

// start sends the request to the best target that was not tried. It returns
// false when there is none.
func (j *journey) start() bool {
	g, p := j.gateway, j.passage
	routing := g.cfg.Snapshot().Services[p.service]
	if routing == nil {
		return false
	}
	t := routing.Pick(random, g.pick(p, j.tried))
	if t == nil {
		return false
	}
	j.tried = append(j.tried, t)
	p.tried = append(p.tried, t.Key.Name)
	j.sent++
	j.open++
	go func() { j.results <- g.send(j.ctx, p, t) }()
	return true
}

// take counts a sending and returns it when its answer is passed on.
func (j *journey) take(s *sending) *sending {
	j.open--
	j.last = s
	if s.err == nil && s.success() {
		return s
	}
	if s.err == nil && !j.passage.repeatable() {
		return s
	}
	if !s.arrived() {
		j.sent--
		j.connects++
	}
	if !s.notRun() {
		j.mayHaveRun = true
	}
	if s.err == nil {
		if j.failed != nil {
			j.gateway.discard(j.failed)
		}
		j.failed = s
	}
	if s.outcome != link.Succeeded {
		j.gateway.log(j.passage, s, j.sent, AttemptFailed)
	}
	return nil
}

// mayRepeat reports whether another target may get the request now.
func (j *journey) mayRepeat() bool {
	return j.sent < j.passage.route.Attempts && j.connects < maxConnects
}

// again reports whether the request is sent to another target, none having it.
func (j *journey) again() bool {
	if j.ctx.Err() != nil || !j.mayRepeat() || j.mayHaveRun && !j.passage.repeatable() {
		return false
	}
	return j.sent == 0 || j.spend()
}

// spareShare is the share of a service's slots that must be free for a second copy
// of a request that is only slow: under load copies make all slower.
const spareShare = 0.2

// spare reports whether the service has slots for a second copy.
func (j *journey) spare() bool {
	routing := j.gateway.cfg.Snapshot().Services[j.passage.service]
	return routing != nil && float64(routing.Free()) >= spareShare*float64(routing.Slots)
}

// spend takes a retry from the budget. A first sending needs none.
func (j *journey) spend() bool {
	g := j.gateway
	if g.budget(j.passage.service).Spend(time.Now(), g.slack()) {
		g.counters.Retries.Add(1)
		return true
	}
	g.counters.BudgetSpent.Add(1)
	return false
}

// expired ends a passage whose time is up or whose caller has gone.
func (j *journey) expired(w http.ResponseWriter) {
	g, p := j.gateway, j.passage
	if !errors.Is(j.ctx.Err(), context.DeadlineExceeded) {
		g.counters.Gone.Add(1)
		panic(http.ErrAbortHandler)
	}
	if j.failed != nil {
		j.passFailure(w)
		return
	}
	g.refuse(w, p, answer(http.StatusGatewayTimeout, caller.Unknown, "no answer in time"))
}

// passFailure passes a target's own failure on.
func (j *journey) passFailure(w http.ResponseWriter) {
	s := j.failed
	j.failed = nil
	j.gateway.log(j.passage, s, j.sent, FailurePassedOn)
	j.gateway.deliver(w, s)
}

// conclude answers a passage all of whose sendings have ended.
func (j *journey) conclude(w http.ResponseWriter) {
	g, p := j.gateway, j.passage
	switch {
	case j.failed != nil:
		j.passFailure(w)
	case !j.mayHaveRun:
		g.refuse(w, p, refuseFor(p.comeBack(), "no target took the request: "+j.last.err.Error()))
	case j.ctx.Err() != nil:
		j.expired(w)
	default:
		g.refuse(w, p, answer(http.StatusBadGateway, caller.Unknown, j.last.err.Error()))
	}
}

// demand returns what decides whether the passage is taken.
func (p *passage) demand() pool.Demand {
	return pool.Demand{Objective: p.route.Objective, Priority: p.route.Priority, Late: p.returning}
}

// comeBack returns after what time a refused caller may find a free slot: a random
// time around the objective, so that callers spread.
func (p *passage) comeBack() time.Duration {
	pause := max(p.route.Objective, retryPause)
	return pause/2 + time.Duration(random.Int64N(int64(pause)))
}

// finish lets go of the sendings that are still open.
func (j *journey) finish() {
	if j.failed != nil {
		j.gateway.discard(j.failed)
	}
	if j.open == 0 {
		return
	}
	open := j.open
	go func() {
		for range open {
			if s := <-j.results; s.err == nil {
				j.gateway.discard(s)
			}
		}
	}()
}
