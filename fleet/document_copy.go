package fleet

import "time"

// copyState describes the version and age of this host's copy of a document in the store, and
// the reads that keep it up to date.
type copyState struct {
	revision uint64
	digest   uint32
	// confirmedAt is the latest time at which the store confirmed this version as its newest.
	// storeTimeMs is the same time by the store's clock, in milliseconds. Stamps of peers are
	// compared by the store's clock, since an age does not include the time that a report spends in
	// transit.
	confirmedAt time.Time
	storeTimeMs int64
	// wantedSince is when this host learned of a newer version with other content; zero if it
	// has the newest.
	wantedSince time.Time

	reading  bool
	failures int
	// takeoverAt is when this host reads in place of the first ones, if it still is not one of
	// them by then; zero while it hears of reads.
	takeoverAt time.Time
}

func (s *copyState) stamp(now time.Time) Stamp {
	if s.storeTimeMs == 0 {
		return Stamp{}
	}
	return Stamp{Revision: s.revision, Digest: s.digest, Confirmed: s.storeTimeMs, Age: now.Sub(s.confirmedAt)}
}

// age returns the time since the store confirmed the copy.
func (s *copyState) age(now time.Time) time.Duration {
	if s.confirmedAt.IsZero() {
		return forgetAfter
	}
	return now.Sub(s.confirmedAt)
}

// confirm records that this version was the newest in the store at the given time, which is passed
// both by this host's clock and by the store's.
func (s *copyState) confirm(at time.Time, storeTime int64) {
	if storeTime > s.storeTimeMs {
		s.storeTimeMs = storeTime
		s.confirmedAt = at
	}
}

// mergeStamps updates the ages of this host's copies from a peer's report, and marks newer
// versions as wanted.
func (c *Core) mergeStamps(now time.Time, r Report) {
	if s := r.Targets; s.Revision > 0 && s.Confirmed > c.targetsCopy.storeTimeMs {
		if s.Digest == c.targetsCopy.digest && c.targetsCopy.revision > 0 {
			c.registry.Confirm(s.Confirmed)
			c.targetsCopy.revision = max(c.targetsCopy.revision, s.Revision)
			c.targetsCopy.confirm(now.Add(-s.Age), s.Confirmed)
			c.targetsCopy.wantedSince = time.Time{} // what was wanted has been overtaken
		} else {
			c.wantNewer(now, &c.targetsCopy)
		}
	}
	switch s := r.Configuration; {
	case s.Revision > c.configCopy.revision:
		c.wantNewer(now, &c.configCopy)
	case s.Confirmed > 0 && s.Revision == c.configCopy.revision:
		c.configCopy.confirm(now.Add(-s.Age), s.Confirmed)
	}
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
