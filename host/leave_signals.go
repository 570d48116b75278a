package host

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/target"
)

const (
	// leaveResponseTTL is how long a host outside an entry set uses a response
	// to a leave query. It is less than half of the 3 s after which a leaving
	// target must get no new requests.
	leaveResponseTTL = 1400 * time.Millisecond
	// leaveQueryFanout is the number of entry hosts that are queried at once.
	leaveQueryFanout = 3
	// leaveQueryTimeout is how long a query waits for all responses. After that
	// it ends with the responses received; if there are none, the next query
	// may replace it.
	leaveQueryTimeout = 200 * time.Millisecond
	// joinQueryTimeout is how long a new entry host waits for a response before
	// it assumes that it knows all leave signals.
	joinQueryTimeout = time.Second
	// leaveResponseRetention is how long leave signals from a response are kept
	// without a newer response. By then an entry host has received all reports
	// of the others.
	leaveResponseRetention = 15 * time.Second
)

// leaveQuery is a query to several entry hosts of a service: which of its
// targets are leaving?
type leaveQuery struct {
	sentAt time.Time
	// pending holds the hosts that have not responded.
	pending     map[ID]bool
	hasResponse bool
	leaving     map[string]bool
}

// leaveSignalState holds what this host has learned from other hosts about the
// leave signals of one service.
type leaveSignalState struct {
	// query is the query in progress; nil while there is none.
	query *leaveQuery
	// lastQueried is when the last query that got a response was sent.
	lastQueried time.Time
	// joinedAt is when this host joined the entry set without knowing the leave
	// signals; zero once it knows them.
	joinedAt time.Time
	// member is set while this host is an entry host for the service.
	member bool
}

// leaveSignalValidity says until when this host knows which targets are
// leaving. On an entry host the knowledge does not expire: after one response,
// the entry host receives every later change as a report.
type leaveSignalValidity struct {
	always bool
	until  time.Time
}

func (s *leaveSignalState) validity() leaveSignalValidity {
	return leaveSignalValidity{always: s.member && s.joinedAt.IsZero(), until: s.lastQueried.Add(leaveResponseTTL)}
}

// KnowsLeaveSignals reports whether this host knows which targets of a service
// are leaving. If it does not, traffic sends the event LeaveSignalsRequested,
// which starts a query.
func (s *Snapshot) KnowsLeaveSignals(service string, now time.Time) bool {
	k := s.leaveSignals[service]
	return k.always || now.Before(k.until)
}

// ensureLeaveSignalState returns the leave signal state of a service, and
// creates it if there is none.
func (c *Core) ensureLeaveSignalState(name string) *leaveSignalState {
	st := c.leaveSignals[name]
	if st == nil {
		st = &leaveSignalState{}
		c.leaveSignals[name] = st
	}
	return st
}

// updateEntrySetMembership records whether this host is in the entry set of a
// service. An entry host queries the leave signals when it or another host has
// joined the set.
func (c *Core) updateEntrySetMembership(now time.Time, before, after EntrySet) {
	member := after.Rank(c.self.ID) >= 0
	if !member {
		if st := c.leaveSignals[after.Service]; st != nil {
			st.member = false
		}
		return
	}
	st := c.ensureLeaveSignalState(after.Service)
	if !st.member {
		st.member, st.joinedAt = true, now
	}
	if hasNewMember(before, after) {
		c.queryLeaveSignals(now, after.Service)
	}
}

// queryLeaveSignals asks entry hosts of a service which targets are leaving. If
// this host reaches no other entry host, it is taken to know all leave signals,
// because it can learn of no others.
func (c *Core) queryLeaveSignals(now time.Time, name string) {
	if c.services[name] == nil {
		return
	}
	st := c.ensureLeaveSignalState(name)
	if st.query != nil && now.Sub(st.query.sentAt) < leaveQueryTimeout {
		return
	}
	others := c.reachableMembers(name)
	if len(others) == 0 {
		if !st.joinedAt.IsZero() {
			c.staleParts |= partOther
		}
		st.joinedAt = time.Time{}
		return
	}
	c.cfg.Rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	st.query = &leaveQuery{sentAt: now, pending: make(map[ID]bool), leaving: make(map[string]bool)}
	for _, to := range others[:min(leaveQueryFanout, len(others))] {
		st.query.pending[to.ID] = true
		c.emit(SendReports{To: to, From: c.self, LeaveSignalsOf: []string{name}})
	}
}

// reachableMembers returns the other entry hosts of a service that this host
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

// LeavingTargets returns the leaving targets of the given services. It omits
// targets whose leave signals this host knows only from responses of other
// hosts.
func (c *Core) LeavingTargets(services []string) []service.TargetReport {
	var out []service.TargetReport
	for _, name := range services {
		if s, ok := c.services[name]; ok {
			out = append(out, s.LeavingReports()...)
		}
	}
	return out
}

// handleReportResponse processes the result of SendReports. Leave signals whose
// message was lost are sent again.
func (c *Core) handleReportResponse(now time.Time, ev SendReportsEnded) {
	if ev.Err != nil {
		c.keepUndelivered(ev)
	}
	for _, name := range ev.LeaveSignalsOf {
		st := c.leaveSignals[name]
		if st == nil || st.query == nil || !st.query.pending[ev.From] {
			continue
		}
		delete(st.query.pending, ev.From)
		st.query.add(name, ev)
		if len(st.query.pending) == 0 {
			c.endLeaveQuery(now, name, st)
		}
	}
}

// add adds one host's response about a service.
func (q *leaveQuery) add(name string, ev SendReportsEnded) {
	if ev.Err != nil {
		return
	}
	q.hasResponse = true
	for _, report := range ev.Leaving {
		if report.Target.Service == name {
			q.leaving[report.Target.Name] = true
		}
	}
}

// endLeaveQuery applies the combined responses of all hosts that responded.
func (c *Core) endLeaveQuery(now time.Time, name string, st *leaveSignalState) {
	query := st.query
	st.query = nil
	s, ok := c.services[name]
	if !ok || !query.hasResponse {
		return
	}
	st.lastQueried, st.joinedAt = query.sentAt, time.Time{}
	c.staleParts |= partOther
	for _, t := range s.Contract.Targets {
		if query.leaving[t.Name] {
			c.applyTransitions(now, s.AddLeaveSignal(t.Name, target.SignalFromEntrySet, now))
		} else {
			c.applyTransitions(now, s.WithdrawLeaveSignal(t.Name, target.SignalFromEntrySet, now))
		}
	}
}

// expireLeaveQueries ends queries that have timed out, and withdraws leave
// signals that no newer response confirmed.
func (c *Core) expireLeaveQueries(now time.Time) {
	for _, name := range c.serviceNames {
		st := c.leaveSignals[name]
		if st == nil {
			continue
		}
		if st.query != nil && now.Sub(st.query.sentAt) >= leaveQueryTimeout && st.query.hasResponse {
			c.endLeaveQuery(now, name, st)
		}
		if !st.joinedAt.IsZero() && now.Sub(st.joinedAt) >= joinQueryTimeout {
			st.joinedAt = time.Time{}
			c.staleParts |= partOther
		}
		if !st.lastQueried.IsZero() && now.Sub(st.lastQueried) >= leaveResponseRetention {
			st.lastQueried = time.Time{}
			for _, t := range c.services[name].Contract.Targets {
				c.applyTransitions(now, c.services[name].WithdrawLeaveSignal(t.Name, target.SignalFromEntrySet, now))
			}
		}
	}
}

// keepUndelivered keeps the leave signals of a message that was lost.
func (c *Core) keepUndelivered(ev SendReportsEnded) {
	for _, r := range ev.Reports {
		if r.Report.Leaving {
			c.undelivered[ev.From] = append(c.undelivered[ev.From], r)
		}
	}
}

// takeUndelivered returns, by recipient, the undelivered reports of targets for
// which this host still has a leave signal of its own.
func (c *Core) takeUndelivered() map[ID][]service.TargetReport {
	out := make(map[ID][]service.TargetReport)
	for id, reports := range c.undelivered {
		p := c.peers[id]
		if p == nil || p.State == PeerGone {
			continue
		}
		out[id] = slices.DeleteFunc(reports, func(r service.TargetReport) bool {
			s, ok := c.services[r.Target.Service]
			return !ok || !s.HasOwnLeaveSignal(r.Target.Name)
		})
	}
	clear(c.undelivered)
	return out
}
