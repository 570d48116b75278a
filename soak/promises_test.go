package soak

import (
	"slices"
	"sort"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/platform/platformtest"
)

// Margins of the checks, from the rules of the users' platform.
const (
	// answerMargin is how much later than its limit an answer may come.
	answerMargin = 500 * time.Millisecond
	// lossSlack is the time after which a request that was sent counts as read.
	lossSlack = 200 * time.Millisecond
)

// judge checks the promises against what callers, targets and the operator saw.
type judge struct {
	*record
	arrived map[string][]platformtest.Arrival
	known   map[string]*request
}

// check finds broken promises after a run.
func (r *record) check() {
	j := &judge{record: r, arrived: make(map[string][]platformtest.Arrival), known: make(map[string]*request)}
	for _, a := range r.arrivals {
		j.arrived[a.Request] = append(j.arrived[a.Request], a)
	}
	for _, q := range r.requests {
		j.known[q.ID] = q
	}
	for _, a := range r.arrivals {
		if j.known[a.Request] == nil {
			r.find("unasked: target %s got request %q, which nobody sent", a.Target, a.Request)
		}
	}
	for _, q := range r.requests {
		j.checkAnswer(q)
		j.checkRuns(q)
		j.checkRouting(q)
		j.checkLoss(q)
		j.checkTime(q)
	}
	j.checkLeaving()
	j.checkBudget()
}

// complain finds a broken promise to a request.
func (j *judge) complain(q *request, format string, args ...any) {
	args = append([]any{q.ID, q.Method, q.Path, q.host.Name, q.incarnation, j.offset(q.sent), j.offset(q.ended), q.answer.Status, q.err, j.places(q)}, args...)
	j.find("request %s %s %s at %s/%d, sent %s, ended %s with %d (%v), at targets %v: "+format, args...)
}

// places lists the targets that a request arrived at, with the times.
func (j *judge) places(q *request) []string {
	var out []string
	for _, a := range j.arrived[q.ID] {
		text := a.Target + " " + j.offset(a.At).String()
		if a.Refused {
			text += " refused"
		}
		out = append(out, text)
	}
	return out
}

// runs returns the arrivals that a target worked on.
func (j *judge) runs(q *request) []platformtest.Arrival {
	return slices.DeleteFunc(slices.Clone(j.arrived[q.ID]), func(a platformtest.Arrival) bool { return a.Refused })
}

// checkAnswer: callers get whole answers to their own requests, and "not run" is
// true.
func (j *judge) checkAnswer(q *request) {
	if q.gaveUp || q.err != nil {
		return
	}
	if err := q.answer.Check(q.Request); err != nil {
		j.complain(q, "mixed: %v", err)
	}
	if runs := j.runs(q); q.answer.GuaranteesNotRun() && len(runs) > 0 {
		j.complain(q, "refused as not run, and has run")
	}
}

// checkRuns: what may run once runs once at most, nothing is sent to more targets
// than the route allows, and it arrives as it was sent.
func (j *judge) checkRuns(q *request) {
	runs := j.runs(q)
	if !q.route.Idempotent && len(runs) > 1 {
		j.complain(q, "runs more than once")
	}
	if len(runs) > q.route.Attempts {
		j.complain(q, "runs at more targets than the %d allowed", q.route.Attempts)
	}
	for _, a := range runs {
		if a.Method != q.Method || a.Path != q.Path || a.Body != q.Body {
			j.complain(q, "changed on its way: %s %s, %d bytes", a.Method, a.Path, len(a.Body))
		}
		if a.Timeout > patience+answerMargin {
			j.complain(q, "the target was given %s", a.Timeout)
		}
	}
}

// versionsFor returns the configurations that may decide a request: those in force
// when it was sent or later, and any earlier one at a host that is out of touch.
func (j *judge) versionsFor(q *request) []version {
	oldest := 0
	for i, v := range j.versions {
		if !v.acknowledged.IsZero() && q.sent.Sub(v.acknowledged) > bounds.Apply {
			oldest = i
		}
	}
	if !j.inTouch(q.host, q.sent, q.ended) {
		oldest = 0
	}
	var out []version
	for _, v := range j.versions[oldest:] {
		if v.sent.Before(q.ended) {
			out = append(out, v)
		}
	}
	return out
}

// inTouch reports whether a host was undisturbed for long enough, and could reach a
// sound store.
func (j *judge) inTouch(h *host, from, to time.Time) bool {
	from = from.Add(-stable)
	return j.calm(h.Name, from, to) && j.calm(planName(h), from, to) && j.calm(h.Name+" store", from, to) && j.calm(placeStore, from, to)
}

// checkRouting: requests run only where a configuration in force sends them, and
// are denied only where one has no route for them.
func (j *judge) checkRouting(q *request) {
	allowed := j.versionsFor(q)
	for _, a := range j.runs(q) {
		if !slices.ContainsFunc(allowed, func(v version) bool { return v.sends(q.route.Name, a.Service) }) {
			j.complain(q, "run by service %s, to which no configuration in force sends it", a.Service)
		}
	}
	if q.gaveUp || q.err != nil || q.answer.Status < 400 || q.answer.Status >= 500 || q.answer.GuaranteesNotRun() {
		return
	}
	if !slices.ContainsFunc(allowed, func(v version) bool { return !v.has(q.route.Name) }) {
		j.complain(q, "denied though every configuration in force has its route")
	}
}

func (v version) has(route string) bool {
	_, ok := v.routes[route]
	return ok
}

// sends reports whether the configuration sends requests of a route to a service.
func (v version) sends(route, service string) bool {
	r := v.routes[route]
	return slices.ContainsFunc(r.Services, func(p discovery.WeightedService) bool { return p.Service == service })
}

// checkLoss: a process that has read a request answers it, also while it ends.
func (j *judge) checkLoss(q *request) {
	if q.err == nil || q.gaveUp || q.pipelined {
		return
	}
	if !j.calm(q.host.Name, q.sent.Add(-stable), q.ended) {
		return
	}
	arrivals := j.arrived[q.ID]
	for _, a := range arrivals {
		if !j.calm(a.Target, q.sent.Add(-stable), q.ended) {
			return
		}
	}
	if len(arrivals) > 0 || q.ended.Sub(q.sent) > lossSlack {
		j.complain(q, "lost")
	}
}

// checkTime: a request is answered within its route's time and its caller's.
func (j *judge) checkTime(q *request) {
	if q.gaveUp || q.pipelined || !j.calm(q.host.Name, q.sent.Add(-stable), q.ended) {
		return
	}
	limit := time.Duration(0)
	for _, v := range j.versionsFor(q) {
		limit = max(limit, v.routes[q.route.Name].Timeout)
	}
	if limit = min(limit, patience); limit > 0 && q.ended.Sub(q.sent) > limit+answerMargin {
		j.complain(q, "not answered within %s", limit)
	}
}

// checkLeaving: a target that is leaving gets no requests after the time to drain.
func (j *judge) checkLeaving() {
	left := make(map[string]time.Time)
	for _, l := range j.leavings {
		if at, ok := left[l.target]; !ok || l.at.Before(at) {
			left[l.target] = l.at
		}
	}
	for _, q := range j.requests {
		for _, a := range j.arrived[q.ID] {
			at, leaves := left[a.Target]
			if !leaves || a.At.Sub(at) <= bounds.Drain {
				continue
			}
			if j.inTouch(q.host, at, a.At) && j.calm(a.Target, a.At.Add(-stable), a.At) {
				j.complain(q, "reached target %s %s after it began to leave", a.Target, a.At.Sub(at))
			}
		}
	}
}

// checkBudget: the arrivals beyond the first of each request stay within the retry
// budget of all hosts, in every window.
func (j *judge) checkBudget() {
	type event struct {
		at    time.Time
		retry bool
	}
	events := make(map[string][]event)
	for _, q := range j.requests {
		for _, p := range q.route.Services {
			events[p.Service] = append(events[p.Service], event{at: q.sent})
		}
		for i, a := range j.arrived[q.ID] {
			if i > 0 {
				events[a.Service] = append(events[a.Service], event{at: a.At, retry: true})
			}
		}
	}
	for service, list := range events {
		sort.Slice(list, func(a, b int) bool { return list[a].at.Before(list[b].at) })
		for i, e := range list {
			if !e.retry {
				continue
			}
			requests, retries := 0.0, 0.0
			for _, o := range list[:i+1] {
				switch age := e.at.Sub(o.at); {
				case o.retry && age <= bounds.RetryWindow:
					retries++
				case !o.retry && age <= bounds.RetryWindow:
					requests++
				}
			}
			if allowed := bounds.RetryRatio*requests + bounds.MinRetries; retries > allowed {
				j.find("budget: service %s had %.0f retries in the window up to %s, %.1f allowed", service, retries, j.offset(e.at), allowed)
				break
			}
		}
	}
}
