package host

import (
	"slices"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/route"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/zone"
)

// Snapshot is an immutable view of the control state for traffic.
type Snapshot struct {
	Self     Identity
	Revision uint64
	// History is the history of the table that the revision belongs to.
	History history.ID
	Routes  *route.Table
	// Accounts are the client accounts in force.
	Accounts *caller.Accounts
	Services map[string]*service.Routing
	// Directory lists the hosts that callers may use, including this one.
	Directory []Identity
	// Peers holds all other hosts that are not gone, by ID.
	Peers map[ID]Identity
	// EntrySets holds the entry set of each service, by the service's name.
	EntrySets map[string]EntrySet
	// Zones holds the distances between the zones.
	Zones *zone.Map
	// Ready is set once the host knows the configuration.
	Ready bool

	// usable holds the peers that are usable and that this host reaches.
	usable map[ID]bool
	// leaveSignals says until when this host knows the leaving targets of each
	// service.
	leaveSignals map[string]leaveSignalValidity
}

// Position returns the position of the configuration in force.
func (s *Snapshot) Position() history.Position {
	return history.Position{History: s.History, Revision: s.Revision}
}

// snapshotPart is a set of parts of the snapshot.
type snapshotPart uint8

// partServices and partHosts are cached while they do not change. partOther
// stands for all other parts, which are not cached.
const (
	partServices snapshotPart = 1 << iota
	partHosts
	partOther
)

// hostsView is the part of the snapshot about hosts.
type hostsView struct {
	directory []Identity
	peers     map[ID]Identity
	usable    map[ID]bool
}

// publish emits a new snapshot when something in it has changed.
func (c *Core) publish() {
	if c.staleParts == 0 {
		return
	}
	c.emit(Publish{Snapshot: c.Snapshot()})
	c.staleParts = 0
}

// Snapshot returns the current view for traffic.
func (c *Core) Snapshot() *Snapshot {
	if c.staleParts&partServices != 0 {
		c.routings = c.routingsView()
	}
	if c.staleParts&partHosts != 0 {
		c.hosts = c.hostsView()
	}
	return &Snapshot{
		Self:         c.self,
		Revision:     c.revision,
		History:      c.history,
		Routes:       c.routes,
		Accounts:     c.accounts,
		Services:     c.routings,
		Directory:    c.hosts.directory,
		Peers:        c.hosts.peers,
		Ready:        c.ready,
		EntrySets:    c.entrySets,
		Zones:        c.cfg.Zones,
		usable:       c.hosts.usable,
		leaveSignals: c.leaveSignalsView(),
	}
}

func (c *Core) leaveSignalsView() map[string]leaveSignalValidity {
	out := make(map[string]leaveSignalValidity, len(c.leaveSignals))
	for name, st := range c.leaveSignals {
		out[name] = st.validity()
	}
	return out
}

func (c *Core) routingsView() map[string]*service.Routing {
	out := make(map[string]*service.Routing, len(c.services))
	for name, s := range c.services {
		out[name] = s.Routing()
	}
	return out
}

func (c *Core) hostsView() hostsView {
	view := hostsView{
		directory: c.directory(),
		peers:     make(map[ID]Identity, len(c.peers)),
		usable:    make(map[ID]bool, len(c.peers)),
	}
	for id, p := range c.peers {
		if p.State != PeerGone {
			view.peers[id] = p.Identity
			view.usable[id] = p.Usable() && !p.Unreachable
		}
	}
	return view
}

// IsEntryHost reports whether this host is an entry host for a service.
func (s *Snapshot) IsEntryHost(service string) bool {
	return s.EntrySets[service].Rank(s.Self.ID) >= 0
}

// ForwardHosts returns the hosts to which this host may forward a request for a
// service, in the order to try them: the other entry hosts that are usable and
// reachable, sorted by distance. When it is empty, this host serves the request
// itself.
func (s *Snapshot) ForwardHosts(service string) []Identity {
	var out []Identity
	for _, m := range s.EntrySets[service].Members {
		if s.usable[m.ID] {
			out = append(out, m)
		}
	}
	s.sortByDistance(out, s.Self.Zone)
	return out
}

// sortByDistance sorts hosts by the distance of their zones from a zone. Hosts
// at equal distance keep their order.
func (s *Snapshot) sortByDistance(hosts []Identity, from zone.ID) {
	slices.SortStableFunc(hosts, func(a, b Identity) int {
		return int(s.Zones.Distance(from, a.Zone) - s.Zones.Distance(from, b.Zone))
	})
}
