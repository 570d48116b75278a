package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/timeline"
)

// learnHistory records that this host has learned of a history of the store, and lets the rows of
// the hosts be checked if it is a later one: those written since the copy are lost.
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
	c.joining.checkRows = true
	c.record(now, timeline.Event{
		Kind: timeline.StoreRestored, From: historyText(before), To: historyText(h),
		Reason: fmt.Sprintf("%s; targets at revision %d of history %d, configuration %d", source,
			c.targetsCopy.revision, c.targetsCopy.history, c.configCopy.revision),
	})
}

func historyText(h history.ID) string { return fmt.Sprintf("history %d", h) }

// checkRowsOfHosts reads the rows of the hosts after a restore of the store. One host does that for
// the fleet: the first in rank order.
func (c *Core) checkRowsOfHosts() {
	j := &c.joining
	if !j.checkRows || j.readingPeers || j.registering || c.rank() != 0 {
		return
	}
	j.peersRead = false
}

// restoreRows writes the rows of the live hosts that a read of the rows lacks, or has of an earlier
// incarnation.
func (c *Core) restoreRows(read []Peer) {
	c.joining.checkRows = false
	if c.rank() != 0 {
		return
	}
	var missing []Peer
	for _, p := range c.liveHosts() {
		if (p == c.self || p.reported) && !slices.Contains(read, p.Peer) {
			missing = append(missing, p.Peer)
		}
	}
	for chunk := range slices.Chunk(missing, maxRowsPerWrite) {
		c.joining.registering = true
		c.emit(Register{Peers: chunk})
	}
}

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
