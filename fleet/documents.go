package fleet

import (
	"fmt"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/timeline"
)

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
