package fleet

import (
	"fmt"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/timeline"
)

func (c *Core) handleTargetsRead(now time.Time, ev TargetsRead) {
	if !c.finishRead(now, &c.targetsCopy, ev.Err) {
		return
	}
	defer c.readAfterProbe(now, &c.targetsCopy)
	reason := fmt.Sprintf("read from the store, last confirmed %s ago", c.targetsCopy.age(now).Round(time.Millisecond))
	before := c.registry.Known()
	c.learnHistory(now, ev.Targets.History, "from the store")
	c.mergeTargets(now, ev.Targets, now, reason)
	if before != nil && before.Digest != c.targetsCopy.digest {
		c.push.begin(before.Reading)
		c.pushChanges(now)
	}
}

// mergeTargets merges targets that the store confirmed at the given time. The reason goes into
// the timeline.
func (c *Core) mergeTargets(now time.Time, read *discovery.Targets, confirmed time.Time, reason string) {
	if !c.registry.Merge(read) {
		return
	}
	known := c.registry.Known()
	unchanged := c.targetsCopy.digest == known.Digest && c.targetsCopy.revision > 0
	c.targetsCopy.advance(Stamp{History: known.History, Revision: known.Revision})
	c.targetsCopy.digest = known.Digest
	c.targetsCopy.wantedSince = time.Time{}
	c.fetching.wholeTargets = false
	c.targetsCopy.confirm(confirmed, known.Reading)
	if unchanged {
		return
	}
	c.record(now, timeline.Event{
		Kind:     timeline.TargetsInForce,
		Revision: known.Revision,
		Reason:   fmt.Sprintf("%s: %d targets, %d draining", reason, len(known.List), known.LeavingCount()),
	})
	c.applyTargets(now)
	c.pending.schedule(now)
}

func (c *Core) handleConfigurationRead(now time.Time, ev ConfigurationRead) {
	if !c.finishRead(now, &c.configCopy, ev.Err) {
		return
	}
	defer c.readAfterProbe(now, &c.configCopy)
	c.learnHistory(now, ev.Reading.History, "from the store")
	if ev.Document != nil {
		reason := fmt.Sprintf("read from the store, last confirmed %s ago", c.configCopy.age(now).Round(time.Millisecond))
		c.believeStore(now, ev.Document, reason)
	}
	c.configCopy.confirm(now, ev.Reading)
}

// putInForce applies a configuration unless the same or a later version is in force. The reason
// goes into the timeline.
func (c *Core) putInForce(now time.Time, d *Document, reason string) {
	version := d.Configuration.Version
	offered := Stamp{History: d.History, Revision: uint64(version), Digest: d.digest()}
	if c.document != nil && !offered.newerConfiguration(c.configurationInForce()) {
		c.recordOlderConfiguration(now, d, reason)
		return
	}
	c.document = d
	c.cfg.Quotas.Update(d.Configuration.Accounts.All(), now)
	c.configCopy.revision, c.configCopy.digest = offered.Revision, offered.Digest
	c.configCopy.wantedSince = time.Time{}
	c.record(now, timeline.Event{Kind: timeline.ConfigurationInForce, Revision: uint64(version), Reason: reason})
	c.applyTargets(now)
	c.pending.schedule(now)
}

// configurationInForce identifies the configuration in force and the history that it is from. The
// history in which it was last confirmed may be later.
func (c *Core) configurationInForce() Stamp {
	if c.document == nil {
		return Stamp{}
	}
	return Stamp{History: c.document.History, Revision: uint64(c.document.Configuration.Version), Digest: c.configCopy.digest}
}

// recordOlderConfiguration records that an older configuration than the one in force was offered by
// a later history of the store. It stays out of force until the operator writes again.
func (c *Core) recordOlderConfiguration(now time.Time, d *Document, reason string) {
	if !c.document.History.Before(d.History) || d.Configuration.Version >= c.document.Configuration.Version {
		return
	}
	c.record(now, timeline.Event{
		Kind: timeline.ConfigurationIgnored, Revision: uint64(d.Configuration.Version),
		Reason: fmt.Sprintf("%s: version %d is in force and newer", reason, c.document.Configuration.Version),
	})
}
