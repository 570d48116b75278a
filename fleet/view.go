package fleet

import (
	"fmt"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/timeline"
)

// view is how new this host's copy of a document of the store is.
type view struct {
	revision uint64
	digest   uint32
	// confirmed is when the store last had this version as its newest, and
	// storeTime the store's clock then. Stamps of peers count by the store's
	// clock: an age grows less on its way than the time does.
	confirmed time.Time
	storeTime int64
	// wantedSince is when this host heard of a newer version that says
	// something else; zero when it has the newest.
	wantedSince time.Time

	reading  bool
	failures int
	// retryAt is when this host may read again.
	retryAt time.Time
}

func (v *view) stamp(now time.Time) Stamp {
	if v.storeTime == 0 {
		return Stamp{}
	}
	return Stamp{Revision: v.revision, Digest: v.digest, Confirmed: v.storeTime, Age: now.Sub(v.confirmed)}
}

// age returns the time since the store confirmed the view.
func (v *view) age(now time.Time) time.Duration {
	if v.confirmed.IsZero() {
		return forgetAfter
	}
	return now.Sub(v.confirmed)
}

// confirm notes that the store had this version at a time of its clock.
func (v *view) confirm(at time.Time, storeTime int64) {
	if storeTime > v.storeTime {
		v.storeTime = storeTime
		v.confirmed = at
	}
}

// takeStamps learns from a peer how new its copies are.
func (c *Core) takeStamps(now time.Time, r Report) {
	if s := r.Targets; s.Revision > 0 && s.Confirmed > c.targets.storeTime {
		if s.Digest == c.targets.digest && c.targets.revision > 0 {
			c.registry.Confirm(s.Confirmed)
			c.targets.revision = max(c.targets.revision, s.Revision)
			c.targets.confirm(now.Add(-s.Age), s.Confirmed)
		} else {
			c.want(now, &c.targets)
		}
	}
	switch s := r.Configuration; {
	case s.Revision > c.config.revision:
		c.want(now, &c.config)
	case s.Confirmed > 0 && s.Revision == c.config.revision:
		c.config.confirm(now.Add(-s.Age), s.Confirmed)
	}
}

// want notes that a peer has a newer copy.
func (c *Core) want(now time.Time, v *view) {
	if v.wantedSince.IsZero() {
		v.wantedSince = now
		c.fetchNews(now)
	}
}

// Times of reading the store.
const (
	// takeOver is how much older than the first host's limit a view is before
	// the second host in order reads, and takeOverStep how much longer each
	// further one waits.
	takeOver     = 250 * time.Millisecond
	takeOverStep = 100 * time.Millisecond
	// firstStep is how much longer each further host waits for the first reading
	// after its start: time for the one before it to read and to tell.
	firstStep = 40 * time.Millisecond
	// takeOverSteps is the rank from which hosts wait a random time, so that a
	// fleet does not press a store that is away.
	takeOverSteps = 5
	// takeOverSpread is the longest of these random times.
	takeOverSpread = 3 * time.Second
	// firstRetry and longestRetry bound the pause of the first hosts in order after
	// a failed read. It doubles with every failure and is drawn from half of it to
	// one and a half.
	firstRetry   = 300 * time.Millisecond
	longestRetry = 2 * time.Second
	// eagerHosts is how many hosts try that often. The others hear from them, and
	// try after otherRetry, for the case that the store turns these away.
	eagerHosts = 3
	otherRetry = 4 * time.Second
)

// readStore reads what is too old on this host.
func (c *Core) readStore(now time.Time) {
	if !c.joining.peersRead && now.Before(c.joining.patience) {
		return // the order of the hosts is not known yet
	}
	rank := c.rank()
	if c.due(&c.targets, now, rank, c.cfg.Timing.WaitTargets) {
		c.targets.reading = true
		c.emit(ReadTargets{Wait: c.cfg.Timing.WaitTargets})
	}
	if c.due(&c.config, now, rank, c.cfg.Timing.WaitConfiguration) {
		c.config.reading = true
		c.emit(ReadConfiguration{Wait: c.cfg.Timing.WaitConfiguration})
	}
}

// due reports whether this host reads a document. The first host in order always
// waits for changes; the others do when its answers, which come every wait at the
// latest, stay away.
func (c *Core) due(v *view, now time.Time, rank int, wait time.Duration) bool {
	if v.reading || now.Before(v.retryAt) {
		return false
	}
	if rank == 0 {
		return true
	}
	if v.confirmed.IsZero() {
		return !now.Before(c.joining.started.Add(time.Duration(min(rank, takeOverSteps)) * firstStep))
	}
	limit := wait + takeOver + time.Duration(min(rank-1, takeOverSteps))*takeOverStep
	if v.age(now) < limit {
		return false
	}
	if rank > takeOverSteps && v.failures == 0 && v.retryAt.IsZero() {
		v.retryAt = now.Add(time.Duration(c.cfg.Rand.Int64N(int64(takeOverSpread))))
		return false
	}
	return true
}

// readEnded notes how a read ended.
func (c *Core) readEnded(now time.Time, v *view, err error) bool {
	v.reading = false
	v.retryAt = time.Time{}
	if err == nil {
		if v.failures > 0 {
			c.record(now, timeline.Event{Kind: timeline.StoreBack, Service: c.documentName(v)})
		}
		v.failures = 0
		return true
	}
	if v.failures == 0 {
		c.record(now, timeline.Event{Kind: timeline.StoreLost, Service: c.documentName(v), Reason: err.Error()})
	}
	v.failures++
	// A store that fails for one document is away for the other.
	at := now.Add(c.retryPause(v.failures))
	c.targets.retryAt, c.config.retryAt = later(c.targets.retryAt, at), later(c.config.retryAt, at)
	return false
}

// retryPause returns the pause after a number of failed reads.
func (c *Core) retryPause(failures int) time.Duration {
	pause := min(firstRetry<<min(failures-1, 8), longestRetry)
	if c.rank() >= eagerHosts {
		pause = otherRetry
	}
	return pause/2 + time.Duration(c.cfg.Rand.Int64N(int64(pause)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *Core) documentName(v *view) string {
	if v == &c.targets {
		return "targets"
	}
	return "configuration"
}

func (c *Core) targetsRead(now time.Time, ev TargetsRead) {
	if !c.readEnded(now, &c.targets, ev.Err) {
		return
	}
	how := fmt.Sprintf("read from the store, last confirmed %s ago", c.targets.age(now).Round(time.Millisecond))
	c.mergeTargets(now, ev.Targets, now, how)
}

// mergeTargets takes a reading over that the store confirmed at a time.
func (c *Core) mergeTargets(now time.Time, read *discovery.Targets, confirmed time.Time, how string) {
	if !c.registry.Merge(read) {
		return
	}
	known := c.registry.Known()
	same := c.targets.digest == known.Digest && c.targets.revision > 0
	c.targets.revision = max(c.targets.revision, known.Revision)
	c.targets.digest = known.Digest
	c.targets.wantedSince = time.Time{}
	c.targets.confirm(confirmed, known.At)
	if same {
		return
	}
	c.record(now, timeline.Event{
		Kind:     timeline.TargetsInForce,
		Revision: known.Revision,
		Reason:   fmt.Sprintf("%s: %d targets, %d draining", how, len(known.List), known.Draining()),
	})
	c.applyTargets()
	c.out.schedule(now)
}

func (c *Core) configurationRead(now time.Time, ev ConfigurationRead) {
	if !c.readEnded(now, &c.config, ev.Err) {
		return
	}
	if ev.Document != nil {
		c.putInForce(now, ev.Document)
	}
	c.config.confirm(now, ev.At)
}

// putInForce puts a configuration in force unless a later one is.
func (c *Core) putInForce(now time.Time, d *Document) {
	v := d.Configuration.Version
	if c.document != nil && v <= c.document.Configuration.Version {
		return
	}
	c.document = d
	c.config.revision = uint64(v)
	c.config.wantedSince = time.Time{}
	c.record(now, timeline.Event{Kind: timeline.ConfigurationInForce, Revision: uint64(v)})
	c.applyTargets()
	c.out.schedule(now)
}

// fetchState is the fetch under way.
type fetchState struct {
	busy    bool
	from    Hash
	retryAt time.Time
}

// Times of fetching documents from peers.
const (
	// fetchNearby is how long a host waits for a peer of its own zone to have
	// what it wants, so that one copy crosses between zones.
	fetchNearby = 60 * time.Millisecond
	// fetchRetry is the pause after a failed fetch.
	fetchRetry = 100 * time.Millisecond
)

// fetchNews asks a peer for what is newer there.
func (c *Core) fetchNews(now time.Time) {
	wantPeers := c.joining.wantPeers && !now.Before(c.joining.nextWant)
	if c.fetching.busy || now.Before(c.fetching.retryAt) {
		return
	}
	targets, config := !c.targets.wantedSince.IsZero(), !c.config.wantedSince.IsZero()
	if !targets && !config && !wantPeers {
		return
	}
	source := c.source(now, targets, config)
	if source == nil {
		return
	}
	if wantPeers {
		c.joining.wantPeers = false
		c.joining.nextWant = now.Add(rejoinInterval)
	}
	c.fetching.busy = true
	c.fetching.from = source.hash
	c.emit(Fetch{From: source.Documents, Peers: wantPeers, Targets: targets, Configuration: config})
}

// source chooses the peer to fetch from, near ones first.
func (c *Core) source(now time.Time, targets, config bool) *peerState {
	var near, far []*peerState
	for _, p := range c.live() {
		if p == c.self || p.hash == c.fetching.from && len(c.order) > 2 && !c.fetching.retryAt.IsZero() {
			continue
		}
		if targets && p.last.Targets.Confirmed <= c.targets.storeTime || config && p.last.Configuration.Revision <= c.config.revision {
			continue
		}
		if p.Zone == c.cfg.Self.Zone {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	if len(near) > 0 {
		return near[c.cfg.Rand.IntN(len(near))]
	}
	if len(far) == 0 {
		return nil
	}
	waited := now.Sub(earlier(c.targets.wantedSince, c.config.wantedSince)) >= fetchNearby
	if !waited && c.contact(c.cfg.Self.Zone, now) != c.self {
		return nil
	}
	return far[c.cfg.Rand.IntN(len(far))]
}

// earlier returns the earlier of two times that are set.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (c *Core) fetched(now time.Time, ev Fetched) {
	c.fetching.busy = false
	if ev.Err != nil {
		c.fetching.retryAt = now.Add(fetchRetry)
		return
	}
	c.fetching.retryAt = time.Time{}
	c.meet(now, ev.Peers)
	if ev.Targets != nil {
		c.mergeTargets(now, ev.Targets, now.Add(-ev.TargetsStamp.Age), "fetched from a peer")
	}
	if ev.Document != nil {
		c.putInForce(now, ev.Document)
		if uint64(ev.Document.Configuration.Version) == c.config.revision {
			c.config.confirm(now.Add(-ev.DocumentStamp.Age), ev.DocumentStamp.Confirmed)
		}
	}
	// What the peer no longer had newer is asked for again when a report tells
	// of it.
	c.targets.wantedSince, c.config.wantedSince = time.Time{}, time.Time{}
}

// Documents returns what this host has for another one, with the ages.
func (c *Core) Documents(now time.Time) Fetched {
	return Fetched{
		Peers:         c.Peers(),
		Targets:       c.registry.Known(),
		TargetsStamp:  c.targets.stamp(now),
		Document:      c.document,
		DocumentStamp: c.config.stamp(now),
	}
}

// Ages are the times since the store confirmed the documents.
type Ages struct{ Targets, Configuration time.Duration }

// Ages returns how old this host's documents are.
func (c *Core) Ages(now time.Time) Ages {
	return Ages{Targets: c.targets.age(now), Configuration: c.config.age(now)}
}
