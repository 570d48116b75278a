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
	reason := fmt.Sprintf("read from the store, last confirmed %s ago", c.targetsCopy.age(now).Round(time.Millisecond))
	before := c.registry.Known()
	c.mergeTargets(now, ev.Targets, now, reason)
	if before != nil && before.Digest != c.targetsCopy.digest {
		c.push.begin(before.Revision)
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
	c.targetsCopy.revision = max(c.targetsCopy.revision, known.Revision)
	c.targetsCopy.digest = known.Digest
	c.targetsCopy.wantedSince = time.Time{}
	c.fetching.wholeTargets = false
	c.targetsCopy.confirm(confirmed, known.At)
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
	if ev.Document != nil {
		reason := fmt.Sprintf("read from the store, last confirmed %s ago", c.configCopy.age(now).Round(time.Millisecond))
		c.putInForce(now, ev.Document, reason)
	}
	c.configCopy.confirm(now, ev.At)
}

// putInForce applies a configuration unless the same or a later version is in force. The reason
// goes into the timeline.
func (c *Core) putInForce(now time.Time, d *Document, reason string) {
	version := d.Configuration.Version
	if c.document != nil && version <= c.document.Configuration.Version {
		return
	}
	c.document = d
	c.configCopy.revision = uint64(version)
	c.configCopy.wantedSince = time.Time{}
	c.record(now, timeline.Event{Kind: timeline.ConfigurationInForce, Revision: uint64(version), Reason: reason})
	c.applyTargets(now)
	c.pending.schedule(now)
}
