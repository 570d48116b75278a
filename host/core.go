package host

import (
	"math/rand/v2"
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
	// names are the names of the services, sorted, and ordered the services in
	// that order.
	names   []string
	ordered []*service.Service
	// signed holds the services of which this host has told its peers that a
	// target leaves.
	signed map[string]bool
	// carried is when this host last carried traffic to a service, and carriers
	// who else did outside its entry set.
	carried  map[string]time.Time
	carriers map[string]map[ID]time.Time
	// signs is what this host was told of the signs of each service, and unsent
	// the signs that a peer was not told because the message was lost.
	signs  map[string]*signState
	unsent map[ID][]service.Report
	// unkept holds the drains of operators that are not in force.
	unkept   map[target.Key]OperatorDrain
	ticks    int
	changes  []contract.Change
	routes   *route.Table
	accounts *caller.Accounts

	peers map[ID]*Peer
	// peerIDs are the keys of peers, sorted; nil after one came or went.
	peerIDs []ID
	// census is nil after a host moved.
	census *census

	entrySets map[string]EntrySet
	fronting  frontingState

	// started is set once the start of the host is recorded.
	started bool
	// outdated are the parts of the published snapshot that have changed.
	outdated viewPart
	// routings and hosts are the parts of the last snapshot.
	routings map[string]*service.Routing
	hosts    hostsView

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
	c := &Core{
		cfg:       cfg,
		self:      cfg.Self,
		services:  make(map[string]*service.Service),
		peers:     make(map[ID]*Peer),
		rounds:    make(map[ID]*pingRound),
		entrySets: make(map[string]EntrySet),
		signed:    make(map[string]bool),
		carried:   make(map[string]time.Time),
		carriers:  make(map[string]map[ID]time.Time),
		signs:     make(map[string]*signState),
		unsent:    make(map[ID][]service.Report),
		unkept:    make(map[target.Key]OperatorDrain),
		routes:    route.NewTable(nil),
		accounts:  caller.NewAccounts(cfg.Accounts),
		outdated:  viewServices | viewHosts,
		fronting: frontingState{
			hosts: &candidates{},
			plans: make(map[string]*setPlan),
			moved: make(map[ID]bool),
		},
	}
	c.hostMoved(c.self.ID)
	return c
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
	case SignsWanted:
		c.askSigns(now, ev.Service)
	case HostListRead:
		c.hostListRead(now, ev)
	case ProbeAnswered:
		c.probeAnswered(now, ev)
	case RequestEnded:
		c.requestEnded(now, ev)
	case OperatorDrain:
		c.drain(now, ev)
	case OperatorUndrain:
		c.undrain(now, ev)
	case ShutdownRequested:
		c.shutdown(now)
	default:
		c.handlePeer(now, ev)
	}
	c.publish()
	return c.effects
}

// handlePeer takes one event that came from another host.
func (c *Core) handlePeer(now time.Time, ev Event) {
	switch ev := ev.(type) {
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
	case ReportsAnswered:
		c.reportsAnswered(now, ev)
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// record adds an event of this host to the time line.
func (c *Core) record(now time.Time, e timeline.Event) {
	e.Stamp = c.clock.Now(now)
	e.Host = string(c.self.ID)
	e.Incarnation = c.self.Incarnation
	c.emit(Record{Event: e})
}

func (c *Core) observe(now time.Time, list []link.Observation) {
	for _, o := range list {
		if s, ok := c.services[o.Target.Service]; ok {
			c.carried[o.Target.Service] = now
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
		c.outdated |= viewServices
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

func (c *Core) shutdown(now time.Time) {
	if c.self.Leaving {
		return
	}
	c.self.Leaving = true
	c.record(now, timeline.Event{Kind: timeline.HostLeaving})
	c.tellOfSelf(now)
}

// Self returns this host's own identity.
func (c *Core) Self() Identity { return c.self }

// Stamp returns a reading of the host's hybrid logical clock.
func (c *Core) Stamp(now time.Time) timeline.Stamp { return c.clock.Now(now) }
