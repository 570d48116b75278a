package host

import (
	"fmt"
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/timeline"
)

// A table that was restored to an earlier point in time has lost changes that are in force. The host
// follows its new history, but keeps those documents until their operators publish them again: a
// change that was confirmed does not come back older. Which of two documents of a subject is
// newer is decided by when they were accepted, since versions are given out again.

// firstHistory is the history of a table that was never restored.
const firstHistory history.ID = 1

// adoptHistory follows a later history of the table, of which all changes were read.
func (c *Core) adoptHistory(now time.Time, ev ConfigurationRead) {
	before := c.position()
	c.history, c.revision = ev.History, ev.Revision
	read := make(map[string]contract.Change, len(ev.Changes))
	for _, ch := range ev.Changes {
		read[ch.Subject] = ch
	}
	c.kept = make(map[string]bool)
	for i, own := range c.changes {
		ch, found := read[own.Subject]
		if found && !ch.At.Before(own.At) {
			continue
		}
		delete(read, own.Subject)
		// Operators base the next version on the table's.
		c.changes[i].Revision, c.changes[i].Version = ev.Revision, ch.Version
		c.kept[own.Subject] = true
	}
	c.record(now, timeline.Event{
		Kind: timeline.StoreRestored, Revision: ev.Revision,
		From:   fmt.Sprintf("history %d", before.History),
		To:     fmt.Sprintf("history %d", ev.History),
		Reason: fmt.Sprintf("revision %d before; %d documents in force are not in the table", before.Revision, len(c.kept)),
	})
	c.sortChanges()
	for _, ch := range ev.Changes {
		if _, ok := read[ch.Subject]; ok {
			c.applyChange(now, ch)
		}
	}
	c.refreshConfiguration(now, ev)
}

// adoptKept takes over documents of a peer that the table has lost: those that were accepted later
// than this host's, though the table's position is no later.
func (c *Core) adoptKept(now time.Time, ev ConfigurationRead) {
	if ev.FromStore || c.history <= firstHistory {
		return
	}
	adopted := false
	for _, ch := range ev.Changes {
		if ch.Revision > c.revision || !c.isNewer(ch) {
			continue
		}
		c.applyChange(now, ch)
		if c.kept == nil {
			c.kept = make(map[string]bool)
		}
		c.kept[ch.Subject] = true
		adopted = true
	}
	if adopted {
		c.refreshConfiguration(now, ev)
	}
}

// isNewer reports whether a change was accepted later than this host's of the same subject.
func (c *Core) isNewer(ch contract.Change) bool {
	for _, own := range c.changes {
		if own.Subject == ch.Subject {
			return ch.At.After(own.At)
		}
	}
	return true
}
