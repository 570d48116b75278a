package host

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/target"
)

const (
	// signsTime is how long a host outside an entry set relies on an answer
	// about signs: less than half of the 3 s after which a leaving target gets
	// no new work.
	signsTime = 1400 * time.Millisecond
	// signsAsked is how many hosts of the set are asked at once.
	signsAsked = 3
	// signsPatience is how long a round waits for the rest of its answers.
	signsPatience = 200 * time.Millisecond
	// signsGiveUp is how long a new member of a set waits for an answer.
	signsGiveUp = time.Second
	// signsKept is how long signs of an answer stay without a new one. By then
	// a member has heard all reports of the others.
	signsKept = 15 * time.Second
)

// signRound is one question to hosts of an entry set: which targets leave?
type signRound struct {
	at time.Time
	// pending holds the hosts that have not answered.
	pending  map[ID]bool
	answered bool
	leaving  map[string]bool
}

// signState is what this host was told of the signs of one service.
type signState struct {
	// round is the question under way, nil while there is none.
	round *signRound
	// told is when the last answered question was asked.
	told time.Time
	// joined is when this host joined the entry set without knowing the signs;
	// zero once it knows them.
	joined time.Time
	// member is set while this host is in the entry set.
	member bool
}

// signsKnown tells until when this host knows which targets leave. A member
// that was told once hears of every change.
type signsKnown struct {
	always bool
	until  time.Time
}

func (s *signState) known() signsKnown {
	return signsKnown{always: s.member && s.joined.IsZero(), until: s.told.Add(signsTime)}
}

// KnowsSigns reports whether this host knows which targets of a service leave.
// One that does not asks by SignsWanted.
func (s *Snapshot) KnowsSigns(service string, now time.Time) bool {
	k := s.signs[service]
	return k.always || now.Before(k.until)
}

// signsOf returns the state of the signs of a service.
func (c *Core) signsOf(name string) *signState {
	st := c.signs[name]
	if st == nil {
		st = &signState{}
		c.signs[name] = st
	}
	return st
}

// noteMembership asks for the signs when this host, or another one, has joined
// the entry set of a service.
func (c *Core) noteMembership(now time.Time, before, after EntrySet) {
	member := after.Rank(c.self.ID) >= 0
	if !member {
		if st := c.signs[after.Service]; st != nil {
			st.member = false
		}
		return
	}
	st := c.signsOf(after.Service)
	if !st.member {
		st.member, st.joined = true, now
	}
	if joined(before, after) {
		c.askSigns(now, after.Service)
	}
}

// askSigns asks hosts of a service's entry set which targets leave. A member
// that reaches no other knows as much as anybody.
func (c *Core) askSigns(now time.Time, name string) {
	if c.services[name] == nil {
		return
	}
	st := c.signsOf(name)
	if st.round != nil && now.Sub(st.round.at) < signsPatience {
		return
	}
	others := c.reachableMembers(name)
	if len(others) == 0 {
		if !st.joined.IsZero() {
			c.outdated |= viewOther
		}
		st.joined = time.Time{}
		return
	}
	c.cfg.Rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	st.round = &signRound{at: now, pending: make(map[ID]bool), leaving: make(map[string]bool)}
	for _, to := range others[:min(signsAsked, len(others))] {
		st.round.pending[to.ID] = true
		c.emit(SendReports{To: to, From: c.self, SignsOf: []string{name}})
	}
}

// reachableMembers returns the other hosts of an entry set that this host
// reaches.
func (c *Core) reachableMembers(name string) []Identity {
	var out []Identity
	for _, m := range c.entrySets[name].Members {
		if p := c.peers[m.ID]; p != nil && p.State == PeerAlive && !p.Unreachable {
			out = append(out, p.Identity)
		}
	}
	return out
}

// Leaving returns the targets of services that leave, as this host knows from
// any sign but the answers of other hosts.
func (c *Core) Leaving(services []string) []service.Report {
	var out []service.Report
	for _, name := range services {
		if s, ok := c.services[name]; ok {
			out = append(out, s.Leaving()...)
		}
	}
	return out
}

// reportsAnswered takes in the answer to SendReports. Signs that were lost on
// the way are told again.
func (c *Core) reportsAnswered(now time.Time, ev ReportsAnswered) {
	if ev.Err != nil {
		c.keepUnsent(ev)
	}
	for _, name := range ev.SignsOf {
		st := c.signs[name]
		if st == nil || st.round == nil || !st.round.pending[ev.From] {
			continue
		}
		delete(st.round.pending, ev.From)
		st.round.take(name, ev)
		if len(st.round.pending) == 0 {
			c.endSignRound(now, name, st)
		}
	}
}

// take notes one host's answer about a service.
func (r *signRound) take(name string, ev ReportsAnswered) {
	if ev.Err != nil {
		return
	}
	r.answered = true
	for _, report := range ev.Leaving {
		if report.Target.Service == name {
			r.leaving[report.Target.Name] = true
		}
	}
}

// endSignRound takes over what the hosts that answered know together.
func (c *Core) endSignRound(now time.Time, name string, st *signState) {
	round := st.round
	st.round = nil
	s, ok := c.services[name]
	if !ok || !round.answered {
		return
	}
	st.told, st.joined = round.at, time.Time{}
	c.outdated |= viewOther
	for _, t := range s.Contract.Targets {
		if round.leaving[t.Name] {
			c.applyTransitions(now, s.Drain(t.Name, target.SignAnswer, now))
		} else {
			c.applyTransitions(now, s.Withdraw(t.Name, target.SignAnswer, now))
		}
	}
}

// tickSigns ends rounds that have waited long enough, and signs that were not
// told again.
func (c *Core) tickSigns(now time.Time) {
	for _, name := range c.names {
		st := c.signs[name]
		if st == nil {
			continue
		}
		if st.round != nil && now.Sub(st.round.at) >= signsPatience && st.round.answered {
			c.endSignRound(now, name, st)
		}
		if !st.joined.IsZero() && now.Sub(st.joined) >= signsGiveUp {
			st.joined = time.Time{}
			c.outdated |= viewOther
		}
		if !st.told.IsZero() && now.Sub(st.told) >= signsKept {
			st.told = time.Time{}
			for _, t := range c.services[name].Contract.Targets {
				c.applyTransitions(now, c.services[name].Withdraw(t.Name, target.SignAnswer, now))
			}
		}
	}
}

// keepUnsent keeps the signs of a message that was lost.
func (c *Core) keepUnsent(ev ReportsAnswered) {
	for _, r := range ev.Reports {
		if r.News.Leaving {
			c.unsent[ev.From] = append(c.unsent[ev.From], r)
		}
	}
}

// takeUnsent returns the lost signs of targets that still leave, by the hosts
// to tell.
func (c *Core) takeUnsent() map[ID][]service.Report {
	out := make(map[ID][]service.Report)
	for id, reports := range c.unsent {
		p := c.peers[id]
		if p == nil || p.State == PeerGone {
			continue
		}
		out[id] = slices.DeleteFunc(reports, func(r service.Report) bool {
			s, ok := c.services[r.Target.Service]
			return !ok || !s.SignedHere(r.Target.Name)
		})
	}
	clear(c.unsent)
	return out
}
