package pool

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Candidate is a target as the choice for a request sees it.
type Candidate struct {
	Target   string `json:"target"`
	InFlight int    `json:"in_flight"`
	Slots    int    `json:"slots"`
	// Cost is in units of the service's typical latency; 0 if the target gets no request at all.
	Cost   float64      `json:"cost"`
	Reason ChoiceReason `json:"reason,omitempty"`
	// Working is set if the target is in the working set of a selective service.
	Working bool `json:"working,omitempty"`
	// Remark is why the target is out of use, or what raises its cost; it may be empty.
	Remark string `json:"remark,omitempty"`
}

// Preview is the choice that Pick would make, and what it is based on.
type Preview struct {
	// Chosen is nil if no target would get the request.
	Chosen *Candidate `json:"chosen,omitempty"`
	// Candidates are the targets in use, those of lowest cost first. OutOfUse are the others.
	Candidates []Candidate `json:"candidates"`
	OutOfUse   []Candidate `json:"out_of_use"`
}

// Preview returns the choice that Pick makes with the same random numbers. It counts no request
// and changes nothing.
func (r *Routing) Preview(rng *rand.Rand, q Request) Preview {
	s := r.readSuspicions()
	out := Preview{Candidates: []Candidate{}, OutOfUse: []Candidate{}}
	trial := r.pickTrial(rng, q, s)
	cutoff, p := s.trialCutoff(r.suspectsInUse(s)), r.costParamsFor(q, s)
	var bestSuspect *Candidate
	for i, t := range r.Targets {
		c := Candidate{Target: t.Key.Name, InFlight: t.InFlight(), Slots: t.Slots, Working: r.selective.Load() && t.working.Load()}
		available, suspect := r.available(t, q), s[i].outOfUse(cutoff)
		if available {
			c.Cost, c.Reason = r.jitteredCost(rng, t, q.Now, p)
		}
		switch {
		case !available:
			c.Remark = r.unavailable(t, q)
		case suspect:
			c.Remark, c.Reason = s[i].explain(t, q.Now), OnlySuspects
			if bestSuspect == nil || c.Cost < bestSuspect.Cost {
				bestSuspect = new(c)
			}
		default:
			c.Remark = r.remark(t, q.Now)
			out.Candidates = append(out.Candidates, c)
		}
		if !available || suspect {
			out.OutOfUse = append(out.OutOfUse, c)
		}
		if t == trial {
			c.Reason = Trial
			out.Chosen = new(c)
		}
	}
	slices.SortStableFunc(out.Candidates, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
	switch {
	case out.Chosen != nil:
	case len(out.Candidates) > 0:
		out.Chosen = &out.Candidates[0]
	case !q.NeedsRoom:
		out.Chosen = bestSuspect
	}
	return out
}

// unavailable says why a target is not available to a request.
func (r *Routing) unavailable(t *Target, q Request) string {
	in, known := t.throttle.OpensIn(q.Now, r.share())
	switch {
	case slices.Contains(q.Tried, t):
		return "the request was sent to it before"
	case t.SaysLeaving():
		return "it has announced that it is leaving"
	case !known:
		return "this host has no share of its rate limit"
	case !r.accepts(t, q.Now):
		return fmt.Sprintf("it has asked for fewer requests, the next in %v", in.Round(time.Millisecond))
	default:
		return "it has no free slot"
	}
}

// remark says what raises the cost of a target in use.
func (r *Routing) remark(t *Target, now time.Time) string {
	switch {
	case t.skipped(now):
		return "this host failed to reach it"
	case r.selective.Load() && !t.working.Load():
		return "outside of the working set"
	case t.InFlight() >= t.Slots:
		return "no free slot"
	default:
		return ""
	}
}

// explain says why a suspect is out of use, and when it is due for a trial request.
func (v *suspicionView) explain(t *Target, now time.Time) string {
	text := "suspected"
	if v.confirmed {
		text = "suspected, and a trial request failed"
	}
	if age := t.provenAge(now); age >= 0 {
		text += fmt.Sprintf("; last success %v ago", age.Round(time.Millisecond))
	}
	text += fmt.Sprintf("; %.0f%% of its requests failed", 100*math.Float64frombits(t.publishedFailureRate.Load()))
	return text + fmt.Sprintf("; trial request in %v, or %v by a request without retries",
		max(0, v.trialAt.Sub(now)).Round(time.Millisecond), max(0, v.riskyTrialAt.Sub(now)).Round(time.Millisecond))
}
