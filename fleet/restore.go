package fleet

import (
	"fmt"
	"time"

	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/timeline"
)

// learnHistory records that this host has learned of a history of the store.
func (c *Core) learnHistory(now time.Time, h history.ID, source string) {
	if h <= c.history {
		return
	}
	before := c.history
	c.history = h
	c.snapshotStale = true
	if before == 0 {
		return
	}
	c.record(now, timeline.Event{
		Kind: timeline.StoreRestored, From: historyText(before), To: historyText(h),
		Reason: fmt.Sprintf("%s; targets at revision %d of history %d, configuration %d", source,
			c.targetsCopy.revision, c.targetsCopy.history, c.configCopy.revision),
	})
}

func historyText(h history.ID) string { return fmt.Sprintf("history %d", h) }

const (
	// believeStoreAfter is how long a starting host waits for what its peers have before it believes
	// the store: a restored store has an older configuration until the operator writes again.
	// All hosts report within a third of that.
	believeStoreAfter = 600 * time.Millisecond
	// minStartPeers is the number of peers from which a starting host must have heard if it does
	// not wait that long.
	minStartPeers = 3
)

// storeOffer is a configuration that a starting host has read from the store and does not believe
// yet.
type storeOffer struct {
	document *Document
	reason   string
}

// believeStore puts a configuration of the store in force, once no peer can be expected to have a
// newer one.
func (c *Core) believeStore(now time.Time, d *Document, reason string) {
	if c.document == nil && c.peersMayHaveNewer(now, d) {
		c.storeOffer = storeOffer{document: d, reason: reason}
		return
	}
	c.storeOffer = storeOffer{}
	c.putInForce(now, d, reason)
}

// reviewStoreOffer puts the configuration of the store in force if the reason to wait is gone.
func (c *Core) reviewStoreOffer(now time.Time) {
	if c.storeOffer.document != nil {
		c.believeStore(now, c.storeOffer.document, c.storeOffer.reason)
	}
}

// peersMayHaveNewer reports whether a starting host has yet to learn whether a peer has a newer
// configuration than the store's.
func (c *Core) peersMayHaveNewer(now time.Time, d *Document) bool {
	if c.cfg.Bootstrap || !now.Before(c.joining.started.Add(believeStoreAfter)) {
		return false
	}
	offered := Stamp{History: d.History, Revision: uint64(d.Configuration.Version), Digest: d.digest()}
	live, heard := 0, 0
	for _, p := range c.liveHosts() {
		if p == c.self {
			continue
		}
		live++
		if p.reported {
			heard++
		}
		if p.lastReport.Configuration.newerConfiguration(offered) {
			return true
		}
	}
	return heard < min(minStartPeers, live)
}
