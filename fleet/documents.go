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
	before, digest := c.targetsCopy.unchangedSince, c.targetsCopy.digest
	c.learnHistory(now, ev.Targets.History, "from the store")
	c.mergeTargets(now, ev.Targets, Stamp{}, reason)
	if before.Revision > 0 && digest != c.targetsCopy.digest {
		c.push.begin(before)
		c.pushChanges(now)
	}
}

// targetsStamp returns the stamp of this host's copy of the targets, with its coverage.
func (c *Core) targetsStamp(now time.Time) Stamp {
	stamp := c.targetsCopy.stamp(now)
	stamp.Coverage = c.registry.Coverage()
	return stamp
}

// reportedTargetsStamp returns the stamp of this host's copy of the targets for its reports. It has the
// coverage only while reads fail and in a grace period, so that all hosts learn of an outage and agree
// on the end of the grace period.
func (c *Core) reportedTargetsStamp(now time.Time) Stamp {
	stamp := c.targetsStamp(now)
	if !c.targetsCopy.unavailable && c.targetsCopy.storeTime(now) >= stamp.Coverage.GraceUntil {
		stamp.Coverage = discovery.Coverage{}
	}
	return stamp
}

// mergeTargets merges targets that this host has just read, or a peer's copy of them with its stamp. The
// reason goes into the timeline.
func (c *Core) mergeTargets(now time.Time, read *discovery.Targets, stamp Stamp, reason string) {
	if !c.registry.MergeCopy(read, stamp.Coverage) {
		return
	}
	known := c.registry.Known()
	unchanged := c.targetsCopy.digest == known.Digest && c.targetsCopy.revision > 0
	c.targetsCopy.advance(Stamp{History: known.History, Revision: known.Revision})
	c.targetsCopy.wantedSince = time.Time{}
	c.fetching.wholeTargets = false
	c.targetsCopy.confirm(now.Add(-stamp.Age), known.Reading)
	if !unchanged {
		c.useKnownTargets(now, reason)
	}
}

// dropKeptTargets takes the targets out of use that were kept without a row, at the end of the grace
// period. The first host in rank order tells the others.
func (c *Core) dropKeptTargets(now time.Time) {
	before := c.targetsCopy.unchangedSince
	if !c.registry.EndGrace(c.targetsCopy.storeTime(now)) {
		return
	}
	c.useKnownTargets(now, "the grace period after an outage has ended")
	if c.rank() == 0 {
		c.push.begin(before)
		c.pushChanges(now)
	}
}

// useKnownTargets puts changed contents of the known targets in force.
func (c *Core) useKnownTargets(now time.Time, reason string) {
	known := c.registry.Known()
	c.targetsCopy.digest = known.Digest
	c.targetsCopy.unchangedSince = known.Reading
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
