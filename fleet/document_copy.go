package fleet

import (
	"time"

	"github.com/crocushinge/crocushinge/history"
)

// copyState describes the version and age of this host's copy of a document in the store, and
// the reads that keep it up to date.
type copyState struct {
	history  history.ID
	revision uint64
	digest   uint32
	// unchangedSince is the first reading of the targets with these contents. Other hosts may have them
	// from this reading, since a confirmation leaves the revision of a copy as it is.
	unchangedSince history.Reading
	// confirmedAt is the latest time at which the store confirmed this version as its newest.
	// storeTimeMs is the same time by the store's clock, in milliseconds. Stamps of peers are
	// compared by the store's clock, since an age does not include the time that a report spends in
	// transit.
	confirmedAt time.Time
	storeTimeMs int64
	// wantedSince is when this host learned of a newer version with other content; zero if it
	// has the newest.
	wantedSince time.Time

	// reading is set while a read of the store is in flight, and readBegan is when the last one
	// began. probe is set if that one is a probe.
	reading, probe bool
	readBegan      time.Time
	// readAt is when this host last read the document from the store.
	readAt time.Time
	// unavailable is set after a failed read, until a read succeeds. failures is the number of
	// failed reads in a row; the first of them failed at lostAt, the last one began at
	// failedReadBegan.
	unavailable             bool
	failures                int
	lostAt, failedReadBegan time.Time
	// takeoverAt is when this host reads in place of the first ones, if it still is not one of
	// them by then; zero while it hears of reads.
	takeoverAt time.Time
}

func (s *copyState) stamp(now time.Time) Stamp {
	if s.storeTimeMs == 0 {
		return Stamp{}
	}
	return Stamp{History: s.history, Revision: s.revision, Digest: s.digest, Confirmed: s.storeTimeMs, Age: now.Sub(s.confirmedAt)}
}

// storeTime returns the store's clock at a time by this host's clock, in milliseconds. It is 0 if the
// store was never read.
func (s *copyState) storeTime(at time.Time) int64 {
	if s.storeTimeMs == 0 {
		return 0
	}
	return s.storeTimeMs + at.Sub(s.confirmedAt).Milliseconds()
}

// age returns the time since the store confirmed the copy.
func (s *copyState) age(now time.Time) time.Duration {
	if s.confirmedAt.IsZero() {
		return forgetAfter
	}
	return now.Sub(s.confirmedAt)
}

// confirmed returns the reading that last confirmed this copy.
func (s *copyState) confirmed() history.Reading {
	return history.Reading{History: s.history, Revision: s.revision, At: s.storeTimeMs}
}

// confirm records that this version was the newest in the store at the given reading, at the given
// time by this host's clock.
func (s *copyState) confirm(at time.Time, reading history.Reading) {
	if s.confirmed().ConfirmedBefore(reading) {
		s.history = reading.Or(s.history).History
		s.storeTimeMs = reading.At
		s.confirmedAt = at
	}
}

// mergeStamps updates the ages of this host's copies from a peer's report, and marks newer
// versions as wanted.
func (c *Core) mergeStamps(now time.Time, r Report) {
	c.learnHistory(now, r.Targets.History, "from a peer")
	c.learnHistory(now, r.Configuration.History, "from a peer")
	if s := r.Targets; s.History.Comparable(c.targetsCopy.history) {
		c.registry.NoteUnavailable(s.Coverage.UnavailableAt)
	}
	if s := r.Targets; s.Revision > 0 && c.targetsCopy.confirmed().ConfirmedBefore(s.reading()) {
		if s.Digest == c.targetsCopy.digest && c.targetsCopy.revision > 0 {
			c.registry.ConfirmCopy(s.reading(), s.Coverage)
			c.targetsCopy.advance(s)
			c.targetsCopy.confirm(now.Add(-s.Age), s.reading())
			c.targetsCopy.wantedSince = time.Time{} // what was wanted has been overtaken
		} else {
			c.wantNewer(now, &c.targetsCopy)
		}
	}
	c.learnConfiguration(r.Configuration)
	switch s := r.Configuration; {
	case s.newerConfiguration(c.configurationInForce()):
		c.wantNewer(now, &c.configCopy)
	case s.Confirmed > 0 && s.Revision == c.configCopy.revision && (s.Digest == 0 || s.Digest == c.configCopy.digest):
		c.configCopy.confirm(now.Add(-s.Age), s.reading())
	}
}

// learnConfiguration records which configuration a peer has. It is not forgotten when that peer is
// lost: the configuration may be in force at others.
func (c *Core) learnConfiguration(s Stamp) {
	if s.newerConfiguration(c.newestConfiguration) {
		c.newestConfiguration = s
		c.snapshotStale = true
	}
}

// advance sets the revision to that of a copy with the same contents.
func (s *copyState) advance(same Stamp) {
	if s.history.Before(same.History) {
		s.revision = same.Revision
	}
	s.revision = max(s.revision, same.Revision)
}

// newerConfiguration reports whether a peer's configuration is newer than this host's. The version
// decides, which rises over all histories of the store: a restored store has an older one for a
// while. A version that was written again with other contents counts from its later history.
func (s Stamp) newerConfiguration(own Stamp) bool {
	if s.Revision != own.Revision {
		return s.Revision > own.Revision
	}
	return s.Revision > 0 && own.History.Before(s.History) && s.Digest != 0 && s.Digest != own.Digest
}

// wantNewer records that a peer has a newer version, and fetches it.
func (c *Core) wantNewer(now time.Time, state *copyState) {
	if state.wantedSince.IsZero() {
		state.wantedSince = now
		c.fetchWanted(now)
	}
}

// Ages holds the times since the store last confirmed a host's copies of the two documents.
type Ages struct{ Targets, Configuration time.Duration }

// Ages returns the ages of this host's documents.
func (c *Core) Ages(now time.Time) Ages {
	return Ages{Targets: c.targetsCopy.age(now), Configuration: c.configCopy.age(now)}
}
