package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/zone"
)

// Snapshot is the immutable view of control state that traffic reads.
type Snapshot struct {
	Self Peer
	// Ready is set while this host can serve, Leaving once it shuts down.
	Ready, Leaving bool
	// Configuration is nil until the host knows one.
	Configuration *discovery.Configuration
	Services      map[string]*pool.Routing
	// Hosts is how many hosts are live, this one included.
	Hosts int
	// BudgetShare is this host's share, 0 to 1, of what all hosts may spend together.
	BudgetShare float64
	// Directory lists the hosts that callers may use, by zone.
	Directory map[zone.ID][]Peer
	// Zones gives the regions of the zones.
	Zones *zone.Map
}

func (c *Core) ready() bool {
	return !c.leaving && c.document != nil && c.registry.Known() != nil
}

// publish emits a new snapshot when something that traffic reads has changed.
func (c *Core) publish() {
	if !c.snapshotStale {
		return
	}
	c.snapshotStale = false
	c.emit(Publish{Snapshot: c.Snapshot()})
}

// Snapshot returns the present view for traffic.
func (c *Core) Snapshot() *Snapshot {
	s := &Snapshot{
		Self:      c.cfg.Self,
		Ready:     c.ready(),
		Leaving:   c.leaving,
		Hosts:     len(c.liveHosts()),
		Services:  make(map[string]*pool.Routing, len(c.services)),
		Directory: c.directory(),
		Zones:     c.cfg.Zones,

		BudgetShare: c.budgetShare(),
	}
	if c.document != nil {
		s.Configuration = c.document.Configuration
	}
	for name, service := range c.services {
		s.Services[name] = service.Routing(c.cfg.Floor)
	}
	return s
}

// openBudget lets this host spend its share of common budgets. A host that has started
// anew may have spent it before, in the same window.
func (c *Core) openBudget(now time.Time) {
	if !c.budgetOpen && (c.cfg.First || now.Sub(c.joining.started) > c.cfg.BudgetWindow) {
		c.budgetOpen = true
		c.snapshotStale = true
	}
}

// budgetShare divides by all hosts that this one remembers. Those that it does not hear
// spend their shares too. A host that has not learned of the others yet has no share.
func (c *Core) budgetShare() float64 {
	if !c.joining.membershipKnown || !c.budgetOpen {
		return 0
	}
	return 1 / float64(len(c.peers)+1)
}

// directory lists the hosts that can serve.
func (c *Core) directory() map[zone.ID][]Peer {
	out := make(map[zone.ID][]Peer)
	for _, p := range c.liveHosts() {
		if p == c.self && c.ready() || p != c.self && p.reported && p.lastReport.Ready && !p.lastReport.Leaving {
			out[p.Zone] = append(out[p.Zone], p.Peer)
		}
	}
	return out
}

// leastHosts is how many hosts a caller is told of at least, if there are as
// many: one that fails must not leave it without any.
const minHosts = 3

// HostsFor returns the hosts for a caller of a zone, up to limit: those of the
// zone, and as long as these are few, those of near zones.
func (s *Snapshot) HostsFor(of zone.ID, limit int) []Peer {
	out := slices.Clone(s.Directory[of])
	if len(out) < minHosts {
		var others []zone.ID
		for z := range s.Directory {
			if z != of {
				others = append(others, z)
			}
		}
		slices.SortFunc(others, func(a, b zone.ID) int {
			if c := cmp.Compare(s.Zones.Distance(of, a), s.Zones.Distance(of, b)); c != 0 {
				return c
			}
			return cmp.Compare(a, b)
		})
		for _, z := range others {
			if len(out) >= minHosts {
				break
			}
			out = append(out, s.Directory[z]...)
		}
	}
	return out[:min(limit, len(out))]
}

// applyTargets brings the services in line with the registered targets and the
// configuration. A target of a service that the configuration does not name
// takes no requests.
func (c *Core) applyTargets() {
	c.snapshotStale = true
	known := c.registry.Known()
	if c.document == nil || known == nil {
		return
	}
	for _, p := range c.peers {
		c.replaceLoads(p, nil)
	}
	config := c.document.Configuration
	lists := make(map[string][]discovery.Target, len(config.Services))
	for _, t := range known.List {
		if _, ok := config.Services[t.Service]; ok {
			lists[t.Service] = append(lists[t.Service], t)
		}
	}
	for name := range c.services {
		if _, ok := config.Services[name]; !ok {
			delete(c.services, name)
		}
	}
	for name := range config.Services {
		s := c.services[name]
		if s == nil {
			s = pool.NewService(name, pool.Place{Zone: c.cfg.Self.Zone, Zones: c.cfg.Zones, Rand: c.cfg.Rand})
			c.services[name] = s
		}
		s.Repeatable = config.Repeatable(name)
		s.Apply(lists[name])
	}
	c.indexTargets()
	for _, p := range c.peers {
		if p.alive {
			c.replaceLoads(p, p.lastReport.Loads)
		}
	}
}

// indexTargets lists the targets by the names of reports. Draining ones stay,
// since requests at them are still in flight.
func (c *Core) indexTargets() {
	clear(c.byHash)
	for _, s := range c.services {
		for _, t := range s.All() {
			c.byHash[t.Hash] = targetRef{service: s, target: t}
		}
	}
}
