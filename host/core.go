package host

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/route"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/zone"
)

// TickInterval is the time between two Tick events.
const TickInterval = 50 * time.Millisecond

// Config holds the settings of a Core.
type Config struct {
	Self  Identity
	Zones *zone.Map
	// Seeds are the fleet addresses of the hosts to contact first.
	Seeds []string
	// Accounts are the client accounts from the host's settings. They are valid
	// without any published document.
	Accounts []caller.Account
	Timing   Timing
	// Rand is the source of all randomness, jitter included. The same seed and
	// the same events give the same run.
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
	// history is the history of the table that the revision belongs to. kept are the subjects
	// whose documents in force the table has lost in a restore.
	history  history.ID
	kept     map[string]bool
	ready    bool
	services map[string]*service.Service
	// serviceNames are the names of the services, sorted; sortedServices holds
	// the services in the same order.
	serviceNames   []string
	sortedServices []*service.Service
	// reportedLeaving holds each service with a target that has entered or left
	// the state leaving on this host. This host sends reports on such a service
	// to the entry set even if it is not an entry host for the service.
	reportedLeaving map[string]bool
	// lastTraffic is when this host last sent traffic to each service.
	// outsideReporters holds, for each service, the hosts outside its entry set
	// that report on it, with the time of their last report.
	lastTraffic      map[string]time.Time
	outsideReporters map[string]map[ID]time.Time
	// leaveSignals holds, for each service, what entry hosts responded about
	// its leave signals. undelivered holds, by recipient, the reports with
	// leave signals that could not be delivered.
	leaveSignals map[string]*leaveSignalState
	undelivered  map[ID][]service.TargetReport
	// localDrains holds the operators' drains that are not in the configuration
	// in force.
	localDrains map[target.Key]OperatorDrain
	ticks       int
	changes     []contract.Change
	routes      *route.Table
	accounts    *caller.Accounts

	peers map[ID]*Peer
	// peerIDs caches the sorted keys of peers; nil after a peer was added or
	// removed.
	peerIDs []ID
	// summary caches the result of summarizePeers; nil after a host changed.
	summary *peerSummary

	entrySets     map[string]EntrySet
	entrySetState entrySetState

	// started is set once the start of the host is recorded on the timeline.
	started bool
	// staleParts are the parts of the published snapshot that must be rebuilt.
	staleParts snapshotPart
	// routings and hosts cache the parts of the last snapshot.
	routings map[string]*service.Routing
	hosts    hostsView

	// pingRounds holds the checks in progress, by the ID of the checked peer.
	pingRounds    map[ID]*pingRound
	pingOrder     []ID
	updates       updateQueue
	selfSuspicion selfSuspicion
	// listedAddresses are the addresses from the host list that may belong to
	// other hosts.
	listedAddresses []string
	// replaced is set once a later process uses this host's ID.
	replaced bool

	// lastPeerResponse is when a peer last responded to this host.
	lastPeerResponse time.Time
	lastTick         time.Time
	fetch            fetchState
	freshness        freshnessState

	nextPing         time.Time
	nextReport       time.Time
	nextSync         time.Time
	nextRecontact    time.Time
	nextPoll         time.Time
	nextHostList     time.Time
	storeUnavailable bool
}

// New returns a Core with the given settings, without peers or configuration.
func New(cfg Config) *Core {
	c := &Core{
		cfg:              cfg,
		self:             cfg.Self,
		services:         make(map[string]*service.Service),
		peers:            make(map[ID]*Peer),
		pingRounds:       make(map[ID]*pingRound),
		entrySets:        make(map[string]EntrySet),
		reportedLeaving:  make(map[string]bool),
		lastTraffic:      make(map[string]time.Time),
		outsideReporters: make(map[string]map[ID]time.Time),
		leaveSignals:     make(map[string]*leaveSignalState),
		undelivered:      make(map[ID][]service.TargetReport),
		localDrains:      make(map[target.Key]OperatorDrain),
		routes:           route.NewTable(nil),
		staleParts:       partServices | partHosts,
		entrySetState: entrySetState{
			candidates: &candidates{},
			plans:      make(map[string]*entrySetPlan),
			changed:    make(map[ID]bool),
		},
	}
	c.rebuildAccounts()
	c.hostChanged(c.self.ID)
	return c
}

// Revision returns the configuration revision in force on this host.
func (c *Core) Revision() uint64 { return c.revision }

func (c *Core) position() history.Position {
	return history.Position{History: c.history, Revision: c.revision}
}

// Position returns the position in force on this host.
func (c *Core) Position() history.Position { return c.position() }

// Kept returns the subjects whose documents in force the table has lost in a restore.
func (c *Core) Kept() map[string]bool { return maps.Clone(c.kept) }

// ChangesFrom returns the changes that lead a peer from its position to this host's: all, if the
// peer is in another history or lacks documents that the table has lost.
func (c *Core) ChangesFrom(after history.Position) []contract.Change {
	if !after.History.Comparable(c.history) || len(c.kept) > 0 {
		return c.ChangesAfter(0)
	}
	return c.ChangesAfter(after.Revision)
}

// ChangesAfter returns the latest change of each subject if it is newer than
// the given revision, sorted by revision.
func (c *Core) ChangesAfter(after uint64) []contract.Change {
	var out []contract.Change
	for _, ch := range c.changes {
		if ch.Revision > after {
			out = append(out, ch)
		}
	}
	return out
}

// Handle processes one event and returns the effects to carry out. The returned
// slice is valid until the next call.
func (c *Core) Handle(now time.Time, ev Event) []Effect {
	c.effects = c.effects[:0]
	switch ev := ev.(type) {
	case Tick:
		c.tick(now)
	case Observed:
		c.handleObservations(now, ev.Observations)
	case ConfigurationRead:
		c.handleConfiguration(now, ev)
	case LeaveSignalsRequested:
		c.queryLeaveSignals(now, ev.Service)
	case HostListRead:
		c.handleHostList(now, ev)
	case ProbeEnded:
		c.handleProbeResult(now, ev)
	case RequestEnded:
		c.recordRequestEnded(now, ev)
	case OperatorDrain:
		c.handleDrain(now, ev)
	case OperatorUndrain:
		c.handleUndrain(now, ev)
	case ShutdownRequested:
		c.startLeaving(now)
	default:
		c.handlePeerEvent(now, ev)
	}
	c.publish()
	return c.effects
}

// handlePeerEvent processes a message from another host, or the result of a
// call to one.
func (c *Core) handlePeerEvent(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case MessageReceived:
		c.handleMessage(now, ev.Message)
	case PingSucceeded:
		c.handlePingResponse(now, ev)
	case PingFailed:
		c.handlePingFailure(now, ev)
	case IndirectPingEnded:
		c.handleIndirectPingResult(now, ev)
	case SyncSucceeded:
		c.handleSyncResponse(now, ev)
	case ReportsReceived:
		c.handleReports(now, ev)
	case SendReportsEnded:
		c.handleReportResponse(now, ev)
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// record adds an event of this host to the timeline.
func (c *Core) record(now time.Time, e timeline.Event) {
	e.Stamp = c.clock.Now(now)
	e.Host = string(c.self.ID)
	e.Incarnation = c.self.Incarnation
	c.emit(Record{Event: e})
}

func (c *Core) handleObservations(now time.Time, observations []link.Observation) {
	for _, o := range observations {
		if s, ok := c.services[o.Target.Service]; ok {
			c.lastTraffic[o.Target.Service] = now
			c.applyTransitions(now, s.Observe(o))
		}
	}
}

// transitionKinds maps the kinds of a service's transitions to kinds of
// timeline events.
var transitionKinds = [...]timeline.Kind{
	service.StateChanged:     timeline.TargetStateChanged,
	service.EjectionWithheld: timeline.EjectionWithheld,
	service.LinkCut:          timeline.LinkCut,
	service.LinkRestored:     timeline.LinkRestored,
}

func (c *Core) applyTransitions(now time.Time, transitions []service.Transition) {
	for _, tr := range transitions {
		c.staleParts |= partServices
		if tr.To == target.Leaving || tr.From == target.Leaving {
			c.reportedLeaving[tr.Target.Service] = true
			c.nextReport = now
		}
		c.record(now, timeline.Event{
			Kind:    transitionKinds[tr.Kind],
			Service: tr.Target.Service,
			Target:  tr.Target.Name,
			From:    tr.From.String(),
			To:      tr.To.String(),
			Reason:  tr.Reason,
			LLR:     tr.LLR,
		})
	}
}

// recordRequestEnded records the outcome of a non-idempotent request, so that
// it can be explained later.
func (c *Core) recordRequestEnded(now time.Time, ev RequestEnded) {
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

func (c *Core) startLeaving(now time.Time) {
	if c.self.Leaving {
		return
	}
	c.self.Leaving = true
	c.record(now, timeline.Event{Kind: timeline.HostLeaving})
	c.announceSelf(now)
}

// Self returns this host's own identity.
func (c *Core) Self() Identity { return c.self }

// Stamp returns a reading of the host's hybrid logical clock.
func (c *Core) Stamp(now time.Time) timeline.Stamp { return c.clock.Now(now) }
