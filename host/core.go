package host

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/route"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/zone"
)

// TickInterval is the time between two Tick events.
const TickInterval = 50 * time.Millisecond

// Config is what a Core needs to know at its start.
type Config struct {
	Self  Identity
	Zones *zone.Map
	// Seeds are fleet addresses of hosts to contact first.
	Seeds []string
	// Accounts are client accounts known without any published document.
	Accounts []caller.Account
	Timing   Timing
	// Rand is the source of all jitter; seed it to replay a run.
	Rand *rand.Rand
}

// Core is the control state of one host. It is not safe for concurrent use:
// the control thread owns it.
type Core struct {
	cfg     Config
	self    Identity
	clock   timeline.Clock
	effects []Effect

	revision uint64
	ready    bool
	services map[string]*service.Service
	// names are the names of the services, sorted.
	names []string
	// signed holds the services of which this host has told its peers that a
	// target leaves.
	signed   map[string]bool
	ticks    int
	changes  []contract.Change
	routes   *route.Table
	accounts *caller.Accounts

	peers map[ID]*Peer
	// peerIDs are the keys of peers, sorted; nil after one came or went.
	peerIDs []ID

	entrySets     map[string]EntrySet
	hostsChanged  bool
	nextEntrySets time.Time

	// started is set once the start of the host is recorded.
	started bool
	// dirty is set when the snapshot must be published again.
	dirty bool

	// rounds are the checks of peers under way.
	rounds    map[ID]*pingRound
	pingOrder []ID
	updates   updateQueue
	doubts    awareness
	// listed are addresses from the host list that may be other hosts.
	listed []string
	// replaced is set when a later process has this host's id.
	replaced bool

	// lastAnswer is when a peer last answered this host.
	lastAnswer time.Time
	lastTick   time.Time
	fetch      fetchState
	news       newsState

	nextPing      time.Time
	nextReport    time.Time
	nextSync      time.Time
	nextRecontact time.Time
	nextPoll      time.Time
	nextHostList  time.Time
	storeAway     bool
}

// New returns a core that knows nothing but its settings.
func New(cfg Config) *Core {
	return &Core{
		cfg:       cfg,
		self:      cfg.Self,
		services:  make(map[string]*service.Service),
		peers:     make(map[ID]*Peer),
		rounds:    make(map[ID]*pingRound),
		entrySets: make(map[string]EntrySet),
		signed:    make(map[string]bool),
		routes:    route.NewTable(nil),
		accounts:  caller.NewAccounts(cfg.Accounts),
		dirty:     true,
	}
}

// Revision returns the configuration revision in force on this host.
func (c *Core) Revision() uint64 { return c.revision }

// Changes returns the latest change of each service after a revision, in the
// order of their revisions.
func (c *Core) Changes(after uint64) []contract.Change {
	var out []contract.Change
	for _, ch := range c.changes {
		if ch.Revision > after {
			out = append(out, ch)
		}
	}
	return out
}

// Handle takes one event and returns what must be done because of it. The
// effects are valid until the next call.
func (c *Core) Handle(now time.Time, ev Event) []Effect {
	c.effects = c.effects[:0]
	switch ev := ev.(type) {
	case Tick:
		c.tick(now)
	case Observed:
		c.observe(now, ev.Observations)
	case ConfigurationRead:
		c.configurationRead(now, ev)
	case MessageHeard:
		c.messageHeard(now, ev.Message)
	case PingAnswered:
		c.pingAnswered(now, ev)
	case PingFailed:
		c.pingFailed(now, ev)
	case IndirectAnswered:
		c.indirectAnswered(now, ev)
	case SyncAnswered:
		c.syncAnswered(now, ev)
	case ReportsHeard:
		c.reportsHeard(now, ev)
	case HostListRead:
		c.hostListRead(now, ev)
	case ProbeAnswered:
		c.probeAnswered(now, ev)
	case RequestEnded:
		c.requestEnded(now, ev)
	case OperatorDrain:
		c.drain(now, ev)
	case ShutdownRequested:
		c.shutdown(now)
	}
	c.publish()
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// record adds an event of this host to the time line.
func (c *Core) record(now time.Time, e timeline.Event) {
	e.Stamp = c.clock.Now(now)
	e.Host = string(c.self.ID)
	e.Incarnation = c.self.Incarnation
	c.emit(Record{Event: e})
}

func (c *Core) tick(now time.Time) {
	if !c.started {
		c.started = true
		c.record(now, timeline.Event{Kind: timeline.HostStarted})
	}
	c.tickServices(now)
	c.noticePause(now)
	c.expireRounds(now)
	c.expireSuspicions(now)
	c.refreshNews(now)
	c.refreshSelf(now)
	c.refreshEntrySets(now)
	c.startPeriodic(now)
}

// idleTicks is how many ticks pass between two ticks of a service that this
// host does not front.
const idleTicks = 20

// tickServices lets time pass for the services. Those that this host does not
// front have next to no state that changes; they take turns.
func (c *Core) tickServices(now time.Time) {
	c.ticks++
	for i, name := range c.names {
		fronted := c.entrySets[name].Rank(c.self.ID) >= 0
		if !fronted && (c.ticks+i)%idleTicks != 0 {
			continue
		}
		s := c.services[name]
		c.applyTransitions(now, s.Tick(now))
		if fronted {
			c.sendProbes(now, s)
		}
	}
}

// startPeriodic starts what is due of the work that every host does all the
// time. All periods are jittered.
func (c *Core) startPeriodic(now time.Time) {
	timing, hosts := c.cfg.Timing, len(c.peers)+1
	if c.due(now, &c.nextPing, timing.PingInterval) {
		c.pingNext(now)
	}
	if c.evidenceUrgent() || c.due(now, &c.nextReport, reportInterval) {
		c.sendReports(now)
	}
	if c.due(now, &c.nextSync, timing.syncPeriod(hosts)) {
		c.syncPeers(now)
	}
	if c.due(now, &c.nextRecontact, c.recontactPeriod()) {
		c.recontact(now)
	}
	if c.due(now, &c.nextPoll, pollPeriod(timing.Poll, hosts)) {
		c.emit(ReadConfiguration{After: c.revision})
	}
	if c.due(now, &c.nextHostList, pollPeriod(timing.HostListPoll, hosts)) {
		c.emit(ReadHostList{})
	}
}

// due reports whether a time has come, and sets the next one.
func (c *Core) due(now time.Time, next *time.Time, period time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(c.jitter(period))
	return true
}

// recontactPeriod is short until the host has found another one.
func (c *Core) recontactPeriod() time.Duration {
	if len(c.peers) == 0 {
		return c.cfg.Timing.PingInterval
	}
	return c.cfg.Timing.RecontactInterval
}

// jitter spreads a period over 75% to 125% of it, so that the hosts of the
// fleet do not act in step.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(c.cfg.Rand.Int64N(int64(d)/2))
}

func (c *Core) observe(now time.Time, list []link.Observation) {
	for _, o := range list {
		if s, ok := c.services[o.Target.Service]; ok {
			c.applyTransitions(now, s.Observe(o))
		}
	}
}

// transitionKinds maps the changes of a service to the time line's events.
var transitionKinds = [...]timeline.Kind{
	service.StateChanged:     timeline.TargetStateChanged,
	service.EjectionWithheld: timeline.EjectionWithheld,
	service.LinkCut:          timeline.LinkCut,
	service.LinkRestored:     timeline.LinkRestored,
}

func (c *Core) applyTransitions(now time.Time, list []service.Transition) {
	for _, tr := range list {
		c.dirty = true
		if tr.To == target.Leaving || tr.From == target.Leaving {
			c.signed[tr.Target.Service] = true
			c.nextReport = now
		}
		c.record(now, timeline.Event{
			Kind:    transitionKinds[tr.Change],
			Service: tr.Target.Service,
			Target:  tr.Target.Name,
			From:    tr.From.String(),
			To:      tr.To.String(),
			Reason:  tr.Reason,
			LLR:     tr.LLR,
		})
	}
}

// requestEnded records how a non-idempotent request ended, so that it can be
// explained afterwards.
func (c *Core) requestEnded(now time.Time, ev RequestEnded) {
	kind := timeline.RequestEnded
	if ev.Result == caller.Unknown {
		kind = timeline.OutcomeUnknown
	}
	c.record(now, timeline.Event{
		Kind:    kind,
		Service: ev.Service,
		Target:  ev.Target,
		Request: ev.Request,
		To:      ev.Result.String(),
		Reason:  ev.Reason,
	})
}

func (c *Core) drain(now time.Time, ev OperatorDrain) {
	key := ev.Target
	if s, ok := c.services[key.Service]; ok {
		c.record(now, timeline.Event{
			Kind: timeline.OperatorDrained, Service: key.Service, Target: key.Name, Reason: "by " + ev.Operator,
		})
		c.applyTransitions(now, s.Drain(key.Name, target.SignOperator, now))
	}
}

func (c *Core) shutdown(now time.Time) {
	if c.self.Leaving {
		return
	}
	c.self.Leaving = true
	c.record(now, timeline.Event{Kind: timeline.HostLeaving})
	c.tellOfSelf(now)
}

// publish emits a new snapshot when something that traffic reads has changed.
func (c *Core) publish() {
	if !c.dirty {
		return
	}
	c.dirty = false
	c.emit(Publish{Snapshot: c.Snapshot()})
}

// Snapshot returns the present view for traffic.
func (c *Core) Snapshot() *Snapshot {
	snap := &Snapshot{
		Self:      c.self,
		Revision:  c.revision,
		Routes:    c.routes,
		Accounts:  c.accounts,
		Services:  make(map[string]*service.Routing, len(c.services)),
		Directory: c.directory(),
		Peers:     make(map[ID]Identity, len(c.peers)),
		Ready:     c.ready,
		EntrySets: c.entrySets,
		Zones:     c.cfg.Zones,
		usable:    make(map[ID]bool),
	}
	for name, s := range c.services {
		snap.Services[name] = s.Routing()
	}
	for id, p := range c.peers {
		if p.State != PeerGone {
			snap.Peers[id] = p.Identity
			snap.usable[id] = p.Usable() && !p.Unreachable
		}
	}
	return snap
}

// directory lists the hosts that callers may use, sorted by id. When fewer
// than minEntryHosts are well, it lists the sick and suspected ones too: a
// caller is better off with a doubtful choice than with none. A host that does
// not know the configuration yet lists none.
func (c *Core) directory() []Identity {
	if !c.ready {
		return nil
	}
	out := c.hostsFor(func(p *Peer) bool { return p.Usable() }, !c.self.Sick)
	if len(out) < minEntryHosts {
		out = c.hostsFor(func(p *Peer) bool { return p.State != PeerGone && !p.Identity.Leaving }, !c.news.stale)
	}
	return out
}

func (c *Core) hostsFor(include func(*Peer) bool, self bool) []Identity {
	var out []Identity
	if self && !c.self.Leaving && !c.replaced {
		out = append(out, c.self)
	}
	for _, p := range c.peers {
		if include(p) {
			out = append(out, p.Identity)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

// Self returns this host's own identity.
func (c *Core) Self() Identity { return c.self }

// Stamp returns a reading of the host's hybrid logical clock.
func (c *Core) Stamp(now time.Time) timeline.Stamp { return c.clock.Now(now) }
