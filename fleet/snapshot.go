package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/zone"
)

// Snapshot is the immutable view of control state that traffic reads.
type Snapshot struct {
	Self Peer
	// Ready is set while this host can serve, and Leaving once it shuts down.
	Ready, Leaving bool
	// Renewing is set after a pause of this process, until its documents are up to date again.
	Renewing bool
	// Configuration is nil until the host knows one.
	Configuration *discovery.Configuration
	// NewerConfiguration is set while this host knows from a peer that a newer configuration than
	// Configuration exists.
	NewerConfiguration bool
	Services           map[string]*pool.Routing
	// StoreHistory is the latest history of the store that this host knows of.
	StoreHistory history.ID
	// LiveHosts is the number of live hosts, this one included.
	LiveHosts int
	// RetryBudgetShare is this host's share, 0 to 1, of the budget that all hosts share.
	RetryBudgetShare float64
	// Directory lists the hosts that callers may use, by zone.
	Directory map[zone.ID][]Peer
	// Zones gives the regions of the zones and the distances between them.
	Zones *zone.Map
}

func (c *Core) ready() bool {
	return !c.leaving && c.document != nil && c.registry.Known() != nil
}

// publish emits a new snapshot if the current one is stale.
func (c *Core) publish() {
	if !c.snapshotStale {
		return
	}
	c.snapshotStale = false
	share := c.rateShare()
	for _, s := range c.services {
		s.SetRateShare(share)
	}
	c.emit(Publish{Snapshot: c.Snapshot()})
}

// Snapshot returns the current view for traffic.
func (c *Core) Snapshot() *Snapshot {
	s := &Snapshot{
		Self:      c.cfg.Self,
		Ready:     c.ready(),
		Leaving:   c.leaving,
		Renewing:  c.renewing(),
		LiveHosts: len(c.liveHosts()),
		Services:  make(map[string]*pool.Routing, len(c.services)),
		Directory: c.directory(),
		Zones:     c.cfg.Zones,

		StoreHistory: c.history,

		NewerConfiguration: c.newestConfiguration.newerConfiguration(c.configurationInForce()),

		RetryBudgetShare: c.retryBudgetShare(),
	}
	if c.document != nil {
		s.Configuration = c.document.Configuration
	}
	for name, service := range c.services {
		s.Services[name] = service.Routing(c.cfg.Floor)
	}
	return s
}

// openRetryBudget lets this host spend its share of the common budget. A restarted host waits
// for a whole window, since its earlier incarnation may have spent the share in the current one.
func (c *Core) openRetryBudget(now time.Time) {
	if !c.retryBudgetOpen && (c.cfg.Bootstrap || now.Sub(c.joining.started) > c.cfg.RetryBudgetWindow) {
		c.retryBudgetOpen = true
		c.snapshotStale = true
	}
}

// retryBudgetShare divides the budget by all hosts that this one remembers. Lost hosts count,
// since they may be alive and spend their shares too. A host that has not learned of the others
// yet has no share.
func (c *Core) retryBudgetShare() float64 {
	if !c.joining.membershipKnown || !c.retryBudgetOpen {
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

// minHostsPerCaller is the minimum number of hosts that a caller is told of, if the fleet has that many. It
// keeps the failure of one host from leaving a caller without any.
const minHostsPerCaller = 3

// HostsFor returns up to limit hosts for a caller of a zone: those of the zone and, while these
// are fewer than minHostsPerCaller, those of the nearest other zones.
func (s *Snapshot) HostsFor(callerZone zone.ID, limit int) []Peer {
	out := slices.Clone(s.Directory[callerZone])
	if len(out) < minHostsPerCaller {
		var others []zone.ID
		for z := range s.Directory {
			if z != callerZone {
				others = append(others, z)
			}
		}
		slices.SortFunc(others, func(a, b zone.ID) int {
			if c := cmp.Compare(s.Zones.Distance(callerZone, a), s.Zones.Distance(callerZone, b)); c != 0 {
				return c
			}
			return cmp.Compare(a, b)
		})
		for _, z := range others {
			if len(out) >= minHostsPerCaller {
				break
			}
			out = append(out, s.Directory[z]...)
		}
	}
	return out[:min(limit, len(out))]
}

// applyTargets updates the services to the registered targets and the configuration. A target of
// a service that the configuration does not name gets no requests.
func (c *Core) applyTargets(now time.Time) {
	c.snapshotStale = true
	registered := c.registry.Known()
	if c.document == nil || registered == nil {
		return
	}
	for _, p := range c.peers {
		c.replaceLoads(p, nil)
		c.replaceWaiting(p, nil)
	}
	config := c.document.Configuration
	lists := make(map[string][]discovery.Target, len(config.Services))
	for _, t := range registered.List {
		if _, ok := config.Services[t.Service]; ok {
			if _, said := c.saidLeaving[t.Key()]; said {
				t.Leaving = true
			}
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
			s = pool.NewService(name, pool.Location{Zone: c.cfg.Self.Zone, Zones: c.cfg.Zones, Rand: c.cfg.Rand})
			c.services[name] = s
		}
		s.HasRetryable = config.HasRetryableRoute(name)
		s.Apply(lists[name])
	}
	c.indexTargets()
	c.applyEarlyNotices(now)
	for _, p := range c.peers {
		if p.alive {
			c.replaceLoads(p, p.lastReport.Loads)
			c.replaceWaiting(p, p.lastReport.Waiting)
		}
	}
}

// indexTargets indexes the services and targets by the hashes that identify them in reports. Leaving targets are
// included, since they still have requests in flight.
func (c *Core) indexTargets() {
	clear(c.byHash)
	clear(c.servicesByHash)
	for name, s := range c.services {
		c.servicesByHash[pool.NewServiceHash(name)] = s
		for _, t := range s.All() {
			c.byHash[t.Hash] = targetRef{service: s, target: t}
		}
	}
}
