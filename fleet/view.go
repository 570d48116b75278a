package fleet

import "time"

// view is how new this host's copy of a document of the store is.
type view struct {
	revision uint64
	digest   uint32
	// confirmed is when the store last had this version as its newest, and
	// storeTime the store's clock then. Stamps of peers count by the store's
	// clock: an age grows less on its way than the time does.
	confirmed time.Time
	storeTime int64
	// wantedSince is when this host heard of a newer version that says
	// something else; zero when it has the newest.
	wantedSince time.Time

	reading  bool
	failures int
	// retryAt is when this host may read again.
	retryAt time.Time
}

func (v *view) stamp(now time.Time) Stamp {
	if v.storeTime == 0 {
		return Stamp{}
	}
	return Stamp{Revision: v.revision, Digest: v.digest, Confirmed: v.storeTime, Age: now.Sub(v.confirmed)}
}

// age returns the time since the store confirmed the view.
func (v *view) age(now time.Time) time.Duration {
	if v.confirmed.IsZero() {
		return forgetAfter
	}
	return now.Sub(v.confirmed)
}

// confirm notes that the store had this version at a time of its clock.
func (v *view) confirm(at time.Time, storeTime int64) {
	if storeTime > v.storeTime {
		v.storeTime = storeTime
		v.confirmed = at
	}
}

// takeStamps learns from a peer how new its copies are.
func (c *Core) takeStamps(now time.Time, r Report) {
	if s := r.Targets; s.Revision > 0 && s.Confirmed > c.targets.storeTime {
		if s.Digest == c.targets.digest && c.targets.revision > 0 {
			c.registry.Confirm(s.Confirmed)
			c.targets.revision = max(c.targets.revision, s.Revision)
			c.targets.confirm(now.Add(-s.Age), s.Confirmed)
		} else {
			c.want(now, &c.targets)
		}
	}
	switch s := r.Configuration; {
	case s.Revision > c.config.revision:
		c.want(now, &c.config)
	case s.Confirmed > 0 && s.Revision == c.config.revision:
		c.config.confirm(now.Add(-s.Age), s.Confirmed)
	}
}

// want notes that a peer has a newer copy.
func (c *Core) want(now time.Time, v *view) {
	if v.wantedSince.IsZero() {
		v.wantedSince = now
		c.fetchNews(now)
	}
}

// Ages are the times since the store confirmed the documents.
type Ages struct{ Targets, Configuration time.Duration }

// Ages returns how old this host's documents are.
func (c *Core) Ages(now time.Time) Ages {
	return Ages{Targets: c.targets.age(now), Configuration: c.config.age(now)}
}
