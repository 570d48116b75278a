package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/timeline"
)

// fetchState is the state of fetches from peers. At most one fetch is in flight.
type fetchState struct {
	inFlight bool
	source   Hash
	retryAt  time.Time
	// nextTargets is when the targets may be fetched again.
	nextTargets time.Time
	// wholeTargets is set when changes of the targets did not fit, so that the whole list
	// is to be fetched.
	wholeTargets bool
}

// Timing of fetches from peers.
const (
	// sameZoneTimeout is how long a host waits for a peer of its own zone to have a document, so
	// that only one copy crosses between zones.
	sameZoneTimeout = 60 * time.Millisecond
	// fetchRetryDelay is the delay after a failed fetch.
	fetchRetryDelay = 100 * time.Millisecond
	// firstFetchDelay is how long a host that has just started collects the stamps of several
	// peers before it fetches the documents. The first peer to respond may have been cut off, and
	// its documents may name targets that have left.
	firstFetchDelay = 80 * time.Millisecond
	// staleAfter is how much older than the newest known copy a peer's copy may be for a fetch.
	// Peers in touch with the fleet learn of a read of the store within a fraction of that.
	staleAfter = time.Second
	// targetsFetchInterval is the shortest interval between fetches of the targets. While a
	// service is replaced, its targets change many times a second.
	targetsFetchInterval = 100 * time.Millisecond
)

// fetchWanted requests the wanted documents from a peer that has them.
func (c *Core) fetchWanted(now time.Time) {
	if c.fetching.inFlight || now.Before(c.fetching.retryAt) {
		return
	}
	wanted := Fetch{
		Peers:         c.joining.wantPeers && !now.Before(c.joining.nextPeerFetch),
		Targets:       c.targetsWanted(now),
		Configuration: !c.configCopy.wantedSince.IsZero(),
	}
	documents := wanted.Targets || wanted.Configuration
	if !documents && !wanted.Peers || documents && !c.ready() && now.Before(c.joining.started.Add(firstFetchDelay)) {
		return
	}
	source, wanted := c.chooseSource(now, wanted)
	if source == nil {
		return
	}
	if wanted.Peers {
		c.joining.wantPeers = false
		c.joining.nextPeerFetch = now.Add(peerFetchInterval)
	}
	c.fetch(now, source, wanted)
}

// chooseSource returns the peer to fetch from, or nil, and what of the wanted it has. If no peer has
// both documents, the one does not wait for the other: nobody may have that any more.
func (c *Core) chooseSource(now time.Time, wanted Fetch) (*peerState, Fetch) {
	source := c.fetchSource(now, wanted.Targets, wanted.Configuration)
	if source != nil || !wanted.Targets || !wanted.Configuration {
		return source, wanted
	}
	if source = c.fetchSource(now, false, true); source != nil {
		wanted.Targets = false
		return source, wanted
	}
	wanted.Configuration = false
	return c.fetchSource(now, true, false), wanted
}

// targetsWanted reports whether the targets are to be fetched now. Changes that the reader of the
// store pushes arrive a little after the first report of the newer version.
func (c *Core) targetsWanted(now time.Time) bool {
	since := c.targetsCopy.wantedSince
	if since.IsZero() || now.Before(c.fetching.nextTargets) {
		return false
	}
	return c.registry.Known() == nil || c.fetching.wholeTargets || now.Sub(since) >= pushTimeout
}

// fetch requests documents from a peer. Of the targets it asks for what has changed, if this host
// has a version of them.
func (c *Core) fetch(now time.Time, source *peerState, f Fetch) {
	c.fetching.inFlight = true
	c.fetching.source = source.hash
	f.From = source.RPCAddress
	if f.Targets {
		c.fetching.nextTargets = now.Add(targetsFetchInterval)
		if known := c.registry.Known(); known != nil && !c.fetching.wholeTargets {
			f.TargetsHistory, f.TargetsSince = known.History, known.Revision
		}
	}
	c.emit(f)
}

// canProvide reports whether a peer has the wanted documents and is not the peer from which a fetch
// just failed. If there is only one other live host, that host is tried again.
func (c *Core) canProvide(p *peerState, targets, config bool) bool {
	justFailed := p.hash == c.fetching.source && len(c.liveCache) > 2 && !c.fetching.retryAt.IsZero()
	return p != c.self && !justFailed &&
		(!targets || c.hasOtherTargets(p)) &&
		(!config || p.lastReport.Configuration.newerConfiguration(c.configurationInForce()))
}

// hasOtherTargets reports whether a peer's copy of the targets is newer than this host's and has other
// contents: a peer that has not received the wanted version either may have been confirmed later.
func (c *Core) hasOtherTargets(p *peerState) bool {
	s := p.lastReport.Targets
	return c.targetsCopy.confirmed().ConfirmedBefore(s.reading()) && s.Digest != c.targetsCopy.digest
}

// randomPeer returns one of the other live hosts, or nil if there is none.
func (c *Core) randomPeer() *peerState {
	others := slices.DeleteFunc(slices.Clone(c.liveHosts()), func(p *peerState) bool { return p == c.self })
	if len(others) == 0 {
		return nil
	}
	return others[c.cfg.Rand.IntN(len(others))]
}

// peerListSource returns the peer to fetch the list of hosts from: the one that has forwarded a
// report of an unknown host, if there was one.
func (c *Core) peerListSource() *peerState {
	if p := c.peers[c.joining.peersFrom]; p != nil && p.alive {
		c.joining.peersFrom = 0
		return p
	}
	return c.randomPeer()
}

// fetchSource returns the peer to fetch from, or nil if there is none yet. Peers of the same zone
// come first. The relay of the zone may fetch from other zones at once, the other hosts only after
// sameZoneTimeout. If nothing but the list of hosts is wanted, it is fetched from a peer of any
// zone, since all hosts of this zone may lack the same hosts.
func (c *Core) fetchSource(now time.Time, targets, config bool) *peerState {
	if !targets && !config {
		return c.peerListSource()
	}
	var sameZone, otherZones []*peerState
	newest := c.newestStamps()
	for _, p := range c.liveHosts() {
		if !c.canProvide(p, targets, config) || targets && newest.targetsStale(p) || config && newest.configStale(p) {
			continue
		}
		if p.Zone == c.cfg.Self.Zone {
			sameZone = append(sameZone, p)
		} else {
			otherZones = append(otherZones, p)
		}
	}
	if len(sameZone) > 0 {
		return sameZone[c.cfg.Rand.IntN(len(sameZone))]
	}
	if len(otherZones) == 0 {
		return nil
	}
	waited := now.Sub(earlier(c.targetsCopy.wantedSince, c.configCopy.wantedSince)) >= sameZoneTimeout
	if !waited && c.relayOf(c.cfg.Self.Zone, now) != c.self {
		return nil
	}
	return otherZones[c.cfg.Rand.IntN(len(otherZones))]
}

// newestStamps holds the latest readings by which the store confirmed the copies of any live host.
type newestStamps struct{ targets, configuration history.Reading }

func (c *Core) newestStamps() newestStamps {
	var n newestStamps
	for _, p := range c.liveHosts() {
		n.targets = later(n.targets, p.lastReport.Targets.reading())
		n.configuration = later(n.configuration, p.lastReport.Configuration.reading())
	}
	return n
}

// later returns the later of two confirmations.
func later(a, b history.Reading) history.Reading {
	if a.ConfirmedBefore(b) {
		return b.Or(a.History)
	}
	return a
}

// targetsStale reports whether a host's copy of the targets is older than staleAfter.
func (n newestStamps) targetsStale(p *peerState) bool {
	return stale(p.lastReport.Targets.reading(), n.targets)
}

// configStale reports whether a host's copy of the configuration is older than staleAfter.
func (n newestStamps) configStale(p *peerState) bool {
	return stale(p.lastReport.Configuration.reading(), n.configuration)
}

// stale reports whether a copy was confirmed longer than staleAfter before the newest one, or in an
// earlier history.
func stale(confirmed, newest history.Reading) bool {
	if !confirmed.History.Comparable(newest.History) {
		return confirmed.History.Before(newest.History)
	}
	return newest.At-confirmed.At > staleAfter.Milliseconds()
}

// earlier returns the earlier of two times, ignoring one that is zero.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// membershipKnownAfter returns the time after this host's start from which a peer's list of hosts
// counts as complete. At the first start of the fleet, peers know only few hosts until then.
func (c *Core) membershipKnownAfter() time.Duration {
	if c.cfg.Bootstrap {
		return bootstrapTimeout
	}
	return 0
}

func (c *Core) handleFetched(now time.Time, ev Fetched) {
	c.fetching.inFlight = false
	if ev.Err != nil {
		c.record(now, timeline.Event{Kind: timeline.FetchFailed, Reason: ev.Err.Error()})
		c.finishRenewal(ev.Err)
		c.fetching.retryAt = now.Add(fetchRetryDelay)
		return
	}
	c.fetching.retryAt = time.Time{}
	c.addPeers(now, ev.Peers)
	if len(ev.Peers) > 0 && now.Sub(c.joining.started) > c.membershipKnownAfter() {
		c.markMembershipKnown()
	}
	targets, err := c.fetchedTargets(ev)
	c.fetching.wholeTargets = err != nil
	if targets != nil {
		c.mergeTargets(now, targets, ev.TargetsStamp, "fetched from a peer")
	}
	if ev.Document != nil {
		c.putInForce(now, ev.Document, c.fetchReason(now))
		if uint64(ev.Document.Configuration.Version) == c.configCopy.revision {
			c.configCopy.confirm(now.Add(-ev.DocumentStamp.Age), ev.DocumentStamp.reading())
		}
	}
	c.applyNotices(now, ev.Notices)
	// If the peer did not have the newer version after all, a later report leads to another
	// fetch.
	c.configCopy.wantedSince = time.Time{}
	if err == nil {
		c.targetsCopy.wantedSince = time.Time{}
	}
	c.finishRenewal(err)
}

// fetchReason says how long ago this host learned of the newer version of the configuration that
// it has just fetched.
func (c *Core) fetchReason(now time.Time) string {
	if c.configCopy.wantedSince.IsZero() {
		return "fetched from a peer"
	}
	return fmt.Sprintf("fetched from a peer, known of for %s", now.Sub(c.configCopy.wantedSince).Round(time.Millisecond))
}

// fetchedTargets returns the targets that were fetched; nil if there are none. It fails if changes
// do not lead from this host's version to the peer's.
func (c *Core) fetchedTargets(ev Fetched) (*discovery.Targets, error) {
	if ev.TargetChanges == nil {
		return ev.Targets, nil
	}
	known := c.registry.Known()
	if known == nil || !ev.TargetChanges.AppliesTo(known.Reading) {
		return nil, discovery.ErrChangesMismatch
	}
	return known.Apply(ev.TargetChanges)
}

// Documents returns the documents of this host with their stamps, for a peer that fetches them and
// has the targets of a revision (0 for none) of a history.
func (c *Core) Documents(now time.Time, targetsHistory history.ID, targetsSince uint64) Fetched {
	out := Fetched{
		Peers:         c.Peers(),
		Targets:       c.registry.Known(),
		TargetsStamp:  c.targetsStamp(now),
		Document:      c.document,
		DocumentStamp: c.configCopy.stamp(now),
		Notices:       c.notices(),
	}
	if targetsSince == 0 {
		return out
	}
	if changes, ok := c.registry.ChangesSince(targetsHistory, targetsSince); ok {
		// The stamp may be later than the list: the store has confirmed it since.
		changes.Reading = out.TargetsStamp.reading()
		out.Targets, out.TargetChanges = nil, changes
	}
	return out
}
