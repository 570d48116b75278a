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
			c.keep(ch.Subject, ev.Kept[ch.Subject])
		}
	}
	c.refreshConfiguration(now, ev)
}

// adoptKept takes over the documents that a peer in the same history keeps.
func (c *Core) adoptKept(now time.Time, ev ConfigurationRead) {
	adopted := false
	for _, ch := range ev.Changes {
		if !ev.Kept[ch.Subject] || c.acceptedAt(ch.Subject).After(ch.At) {
			continue
		}
		if c.acceptedAt(ch.Subject).Before(ch.At) {
			c.applyChange(now, ch)
			adopted = true
		}
		c.keep(ch.Subject, true)
	}
	if adopted {
		c.refreshConfiguration(now, ev)
	}
}

func (c *Core) keep(subject string, kept bool) {
	if !kept {
		return
	}
	if c.kept == nil {
		c.kept = make(map[string]bool)
	}
	c.kept[subject] = true
}

// acceptedAt returns when this host's change of a subject was accepted; the zero time if it has
// none.
func (c *Core) acceptedAt(subject string) time.Time {
	for _, own := range c.changes {
		if own.Subject == subject {
			return own.At
		}
	}
	return time.Time{}
}
