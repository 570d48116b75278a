package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/quota"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/zone"
)

// Timing holds the timing of reads of the store. It follows from the time bounds that the fleet
// guarantees.
type Timing struct {
	// TargetsPollTimeout and ConfigurationPollTimeout limit one long poll of the store.
	TargetsPollTimeout, ConfigurationPollTimeout time.Duration
	// StoreReturn is how soon after an outage of the store, or of this host's path to it, this host
	// follows the store again.
	StoreReturn time.Duration
}

// DefaultStoreReturn is how soon a host follows the store again if its settings do not say.
const DefaultStoreReturn = 3 * time.Second

// TimingFor returns the timing for a fleet that guarantees three bounds: a leaving target gets no
// more requests after drain, a new configuration is in force on every host after apply, and both
// bounds hold again storeReturn after an outage of the store. A read waits for at most a third of its
// bound, which leaves time to replace one or two lost store readers. A storeReturn of 0 stands for
// DefaultStoreReturn.
func TimingFor(drain, apply, storeReturn time.Duration) Timing {
	if storeReturn <= 0 {
		storeReturn = DefaultStoreReturn
	}
	return Timing{TargetsPollTimeout: drain / 3, ConfigurationPollTimeout: apply / 3, StoreReturn: storeReturn}
}

// Config holds the settings of a Core.
type Config struct {
	Self  Peer
	Zones *zone.Map
	// Seeds are the UDP addresses of the hosts to contact first.
	Seeds  []string
	Timing Timing
	// RetryBudgetWindow is the period over which retries are counted against the budget that all
	// hosts share.
	RetryBudgetWindow time.Duration
	// Floor is the share of a service's targets that suspicion never takes out of use.
	Floor float64
	// Quotas holds the quotas of the accounts; nil if none apply.
	Quotas *quota.Table
	// Bootstrap is set when the whole fleet starts for the first time. The hosts then take
	// longer to find each other before they read the store.
	Bootstrap bool
	// Rand is the source of all randomness. A seeded source makes a run reproducible.
	Rand *rand.Rand
}

// Intervals of periodic work.
const (
	tickInterval = 50 * time.Millisecond
	// refreshInterval is the interval at which the latencies of a service's targets are
	// compared.
	refreshInterval = 250 * time.Millisecond
)

// targetRef is a target with its service.
type targetRef struct {
	service *pool.Service
	target  *pool.Target
}

// Core is the control state of one host. It is not safe for concurrent use; the control thread
// owns it.
type Core struct {
	cfg     Config
	hash    Hash
	clock   timeline.Clock
	effects []Effect

	peers map[Hash]*peerState
	// liveCache holds the live hosts, this one included, in rank order (see comparePeers). It is
	// nil after a change.
	liveCache []*peerState
	self      *peerState
	leaving   bool
	started   bool

	// history is the latest history of the store that this host knows of.
	history     history.ID
	probes      probeSchedule
	targetsCopy copyState
	registry    discovery.Registry
	configCopy  copyState
	// newestConfiguration is the newest configuration that a peer has reported.
	newestConfiguration Stamp
	document            *Document
	storeOffer          storeOffer
	services            map[string]*pool.Service
	byHash              map[pool.Hash]targetRef
	// servicesByHash holds the services by the hashes that identify them in reports.
	servicesByHash map[pool.ServiceHash]*pool.Service
	// saidLeaving holds when each target announced in a response that it is leaving. It
	// outlasts the target's registration and its service.
	saidLeaving map[discovery.Key]time.Time
	// earlyNotices are the notices of targets that this host does not know yet.
	earlyNotices map[pool.Hash]TargetNotice
	// recordedLimits are the rate limits that are in the timeline.
	recordedLimits map[pool.Hash]target.RateLimit

	pending pendingReport
	// zoneQueue and otherZonesQueue hold the reports that this host relays to its own zone and
	// to the other zones.
	zoneQueue, otherZonesQueue relayQueue
	forwarded                  forwardedReports
	relays                     map[zone.ID]*relayChoice
	fetching                   fetchState
	joining                    joinState
	// retryBudgetOpen is set once this host may spend its RetryBudgetShare.
	retryBudgetOpen bool
	repair          membershipRepair
	renewal         renewal
	push            targetsPush

	nextTick, nextRefresh time.Time
	lastTick              time.Time
	snapshotStale         bool
}

// New returns a core that knows only its settings.
func New(cfg Config, now time.Time) *Core {
	c := &Core{
		cfg:            cfg,
		hash:           NewHash(cfg.Self.ID),
		peers:          make(map[Hash]*peerState),
		services:       make(map[string]*pool.Service),
		byHash:         make(map[pool.Hash]targetRef),
		servicesByHash: make(map[pool.ServiceHash]*pool.Service),
		saidLeaving:    make(map[discovery.Key]time.Time),
		relays:         make(map[zone.ID]*relayChoice),

		earlyNotices:   make(map[pool.Hash]TargetNotice),
		recordedLimits: make(map[pool.Hash]target.RateLimit),
		forwarded:      newForwardedReports(),
		nextTick:       now,
		lastTick:       now,
		snapshotStale:  true,
	}
	c.registry.InTouchAfter = cfg.Timing.StoreReturn
	c.self = &peerState{Peer: cfg.Self, hash: c.hash, alive: true, reported: true}
	c.joining.begin(c, now)
	c.repair.restart(now)
	return c
}

// NextTick returns when the next Tick is due.
func (c *Core) NextTick() time.Time {
	next := c.nextTick
	for _, at := range []time.Time{
		c.pending.due, c.zoneQueue.urgent.due, c.zoneQueue.others.due, c.otherZonesQueue.urgent.due, c.otherZonesQueue.others.due,
	} {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

// Handle processes one event and returns the effects to carry out. The effects are valid until the
// next call.
func (c *Core) Handle(now time.Time, ev Event) []Effect {
	c.effects = c.effects[:0]
	if !c.started {
		c.started = true
		c.record(now, timeline.Event{Kind: timeline.HostStarted})
	}
	switch ev := ev.(type) {
	case Tick:
		c.handleTick(now, ev.Suspended)
	case Observed:
		c.handleObservations(now, ev.Observations)
	case NoticeReceived:
		c.handleNotice(now, ev.Target)
	case RequestsStarted:
		c.pending.schedule(now.Add(reportDelay))
	case DatagramReceived:
		c.handleDatagram(now, ev.Datagram)
	case TargetsRead:
		c.handleTargetsRead(now, ev)
	case ConfigurationRead:
		c.handleConfigurationRead(now, ev)
	case PeersRead:
		c.handlePeersRead(now, ev)
	case Registered:
		c.handleRegistered(now, ev)
	case Fetched:
		c.handleFetched(now, ev)
	case SettingsChanged:
		c.cfg.Timing, c.cfg.Floor, c.cfg.Seeds = ev.Timing, ev.Floor, ev.Seeds
		c.registry.InTouchAfter = ev.Timing.StoreReturn
		c.snapshotStale = true
	case ShutdownRequested:
		c.handleShutdown(now)
	}
	c.publish()
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) record(now time.Time, e timeline.Event) {
	e.Stamp = c.clock.Now(now)
	e.Host = string(c.cfg.Self.ID)
	e.Incarnation = c.cfg.Self.Incarnation
	c.emit(Record{Event: e})
}

// handleTick does the periodic work that is due.
func (c *Core) handleTick(now time.Time, suspended time.Duration) {
	if pause := now.Sub(c.lastTick) + suspended; pause > pauseThreshold {
		c.resumeAfterPause(now, pause)
	}
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	c.sendReport(now)
	c.flushRelay(now)
	if now.Before(c.nextTick) {
		return
	}
	c.nextTick = now.Add(tickInterval)
	c.joining.tick(c, now)
	c.repair.tick(c, now)
	c.expirePeers(now)
	c.shareQuotas(now, gap)
	c.openRetryBudget(now)
	c.readStore(now)
	c.dropKeptTargets(now)
	c.reviewStoreOffer(now)
	c.pushChanges(now)
	c.renewDocuments(now)
	c.fetchWanted(now)
	c.refreshServices(now)
}

func (c *Core) refreshServices(now time.Time) {
	if now.Before(c.nextRefresh) {
		return
	}
	c.nextRefresh = now.Add(refreshInterval)
	c.forgetNotices(now)
	for _, s := range c.services {
		before := s.Usage(now)
		s.Refresh(refreshInterval, now)
		c.recordFloor(now, s, before, s.Usage(now))
	}
}

func (c *Core) handleObservations(now time.Time, observations []Observation) {
	for _, o := range observations {
		if o.Unserved != "" {
			c.handleUnserved(now, Unserved{Service: pool.NewServiceHash(o.Unserved), Requests: 1})
			continue
		}
		ending := Ending{Target: o.Target.Hash, Ending: pool.Ending{
			Host: string(c.cfg.Self.ID), Outcome: o.Outcome, Latency: o.Latency, Retryable: o.Retryable,
		}}
		c.pending.endings = append(c.pending.endings, ending)
		delay := reportDelay
		if urgent(o.Outcome) {
			delay = 0
		}
		c.pending.schedule(now.Add(delay))
		c.countEnding(now, ending)
	}
	if !c.pending.due.After(now) {
		c.sendReport(now)
	}
}

// countEnding records the end of a request of any host.
func (c *Core) countEnding(now time.Time, e Ending) {
	ref, ok := c.byHash[e.Target]
	if !ok {
		return
	}
	if ref.service.Observe(ref.target, e.Ending, now) {
		c.recordSuspicion(now, ref, e, ref.target.IsSuspect())
	}
}

// recordSuspicion records a change of a target's state, if this host saw the response that led to
// it. All hosts come to the same belief, and in a large fleet one record for each of them would be
// most of the log.
func (c *Core) recordSuspicion(now time.Time, ref targetRef, e Ending, suspect bool) {
	if e.Host != string(c.cfg.Self.ID) {
		return
	}
	from, to := "trusted", "suspect"
	if !suspect {
		from, to = to, from
	}
	c.record(now, timeline.Event{
		Kind:    timeline.TargetStateChanged,
		Service: ref.target.Key.Service,
		Target:  ref.target.Key.Name,
		From:    from,
		To:      to,
		Reason:  e.Outcome.String() + " after " + e.Latency.Round(time.Millisecond).String() + " at host " + e.Host,
	})
}

func (c *Core) handleShutdown(now time.Time) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.snapshotStale = true
	c.record(now, timeline.Event{Kind: timeline.HostLeaving})
	c.pending.schedule(now)
	c.sendReport(now)
	c.flushRelay(now)
}
