package fleet

import "time"

// view is how new this host's copy of a document of the store is.
type copyState struct {
	revision uint64
	digest   uint32
	// confirmed is when the store last had this version as its newest, and
	// storeTime the store's clock then. Stamps of peers count by the store's
	// clock: an age grows less on its way than the time does.
	confirmedAt time.Time
	storeTimeMs int64
	// wantedSince is when this host heard of a newer version that says
	// something else; zero when it has the newest.
	wantedSince time.Time

	reading  bool
	failures int
	// retryAt is when this host may read again.
	retryAt time.Time
}

func (v *copyState) stamp(now time.Time) Stamp {
	if v.storeTimeMs == 0 {
		return Stamp{}
	}
	return Stamp{Revision: v.revision, Digest: v.digest, Confirmed: v.storeTimeMs, Age: now.Sub(v.confirmedAt)}
}

// age returns the time since the store confirmed the view.
func (v *copyState) age(now time.Time) time.Duration {
	if v.confirmedAt.IsZero() {
		return forgetAfter
	}
	return now.Sub(v.confirmedAt)
}

// confirm notes that the store had this version at a time of its clock.
func (v *copyState) confirm(at time.Time, storeTime int64) {
	if storeTime > v.storeTimeMs {
		v.storeTimeMs = storeTime
		v.confirmedAt = at
	}
}

// takeStamps learns from a peer how new its copies are.
func (c *Core) mergeStamps(now time.Time, r Report) {
	if s := r.Targets; s.Revision > 0 && s.Confirmed > c.targetsCopy.storeTimeMs {
		if s.Digest == c.targetsCopy.digest && c.targetsCopy.revision > 0 {
			c.registry.Confirm(s.Confirmed)
			c.targetsCopy.revision = max(c.targetsCopy.revision, s.Revision)
			c.targetsCopy.confirm(now.Add(-s.Age), s.Confirmed)
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

// want notes that a peer has a newer copy.
func (c *Core) wantNewer(now time.Time, v *copyState) {
	if v.wantedSince.IsZero() {
		v.wantedSince = now
		c.fetchWanted(now)
	}
}

// Ages are the times since the store confirmed the documents.
type Ages struct{ Targets, Configuration time.Duration }

// Ages returns how old this host's documents are.
func (c *Core) Ages(now time.Time) Ages {
	return Ages{Targets: c.targetsCopy.age(now), Configuration: c.configCopy.age(now)}
}
