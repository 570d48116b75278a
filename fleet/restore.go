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
