package host

import (
	"slices"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/route"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/zone"
)

// Snapshot is the immutable view of control state that traffic reads.
type Snapshot struct {
	Self     Identity
	Revision uint64
	Routes   *route.Table
	// Accounts are the client accounts in force.
	Accounts *caller.Accounts
	Services map[string]*service.Routing
	// Directory lists the hosts that callers may use, this host included.
	Directory []Identity
	// Peers holds every other host that is not gone, by id.
	Peers map[ID]Identity
	// EntrySets holds the hosts that front each service.
	EntrySets map[string]EntrySet
	// Zones gives the distances between the zones.
	Zones *zone.Map
	// Ready is set once the host knows the configuration.
	Ready bool

	// usable holds the peers that are well and that this host reaches.
	usable map[ID]bool
	// signs tells until when this host knows the leaving targets of a service.
	signs map[string]signsKnown
}

// viewPart is a set of parts of the snapshot.
type viewPart uint8

// The parts of the snapshot that are kept between publications while they do
// not change, and the rest.
const (
	viewServices viewPart = 1 << iota
	viewHosts
	viewOther
)

// hostsView is what the snapshot tells of hosts.
type hostsView struct {
	directory []Identity
	peers     map[ID]Identity
	usable    map[ID]bool
}

// publish emits a new snapshot when something that traffic reads has changed.
func (c *Core) publish() {
	if c.outdated == 0 {
		return
	}
	c.emit(Publish{Snapshot: c.Snapshot()})
	c.outdated = 0
}

// Snapshot returns the present view for traffic.
func (c *Core) Snapshot() *Snapshot {
	if c.outdated&viewServices != 0 {
		c.routings = c.viewServices()
	}
	if c.outdated&viewHosts != 0 {
		c.hosts = c.viewHosts()
	}
	return &Snapshot{
		Self:      c.self,
		Revision:  c.revision,
		Routes:    c.routes,
		Accounts:  c.accounts,
		Services:  c.routings,
		Directory: c.hosts.directory,
		Peers:     c.hosts.peers,
		Ready:     c.ready,
		EntrySets: c.entrySets,
		Zones:     c.cfg.Zones,
		usable:    c.hosts.usable,
		signs:     c.viewSigns(),
	}
}

func (c *Core) viewSigns() map[string]signsKnown {
	out := make(map[string]signsKnown, len(c.signs))
	for name, st := range c.signs {
		out[name] = st.known()
	}
	return out
}

func (c *Core) viewServices() map[string]*service.Routing {
	out := make(map[string]*service.Routing, len(c.services))
	for name, s := range c.services {
		out[name] = s.Routing()
	}
	return out
}

func (c *Core) viewHosts() hostsView {
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

// Fronts reports whether this host is in the entry set of a service.
func (s *Snapshot) Fronts(service string) bool {
	return s.EntrySets[service].Rank(s.Self.ID) >= 0
}

// Forwards returns the hosts to which this host may forward a request of a
// service, in the order to try them: the other hosts of its entry set that are
// believed to be well, those of near zones first. It is empty when none is
// known; this host then serves the request itself.
func (s *Snapshot) Forwards(service string) []Identity {
	var out []Identity
	for _, m := range s.EntrySets[service].Members {
		if s.usable[m.ID] {
			out = append(out, m)
		}
	}
	s.sortByDistance(out, s.Self.Zone)
	return out
}

// sortByDistance sorts hosts by the distance of their zones from a zone,
// keeping the order among those of equal distance.
func (s *Snapshot) sortByDistance(hosts []Identity, from zone.ID) {
	slices.SortStableFunc(hosts, func(a, b Identity) int {
		return int(s.Zones.Distance(from, a.Zone) - s.Zones.Distance(from, b.Zone))
	})
}
