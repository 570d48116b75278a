package discovery

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/history"
)

// Changes lead from one version of the registered targets to a later one of the same history.
type Changes struct {
	// Since is the revision of the version that the changes apply to.
	Since uint64
	// Updated are the targets that are new or have changed, and Removed the ids of those
	// that are gone. An id can be in both: a target that left and came back.
	Updated []Target
	Removed []string
	// Reading and Digest are those of the version that the changes lead to.
	history.Reading
	Digest uint32
}

// ErrChangesMismatch means that changes did not lead to the version that they stand for. The
// whole list must be read instead.
var ErrChangesMismatch = errors.New("the changes of the targets do not lead to the announced version")

// AppliesTo reports whether the changes apply to a version: they are of its history and begin no
// later than it.
func (c *Changes) AppliesTo(version history.Reading) bool {
	return c.History.Comparable(version.History) && c.Since <= version.Revision
}

// OlderThan reports whether the changes lead to an earlier version than the given one. Targets that are
// kept without a row are dropped at a later time of the same revision.
func (c *Changes) OlderThan(version *Targets) bool {
	if !c.History.Comparable(version.History) {
		return c.History.Before(version.History)
	}
	return c.Revision < version.Revision || c.Revision == version.Revision && c.At < version.At
}

// Apply returns the targets with the changes applied. It fails if the result is not the
// version that the changes stand for, for instance because a part of them is missing.
func (t *Targets) Apply(c *Changes) (*Targets, error) {
	byID := t.byID()
	for _, id := range c.Removed {
		delete(byID, id)
	}
	for _, target := range c.Updated {
		byID[target.ID] = target
	}
	out := NewTargets(c.Reading, slices.Collect(maps.Values(byID)))
	if out.Digest != c.Digest {
		return nil, ErrChangesMismatch
	}
	return out, nil
}

// maxRemovals is how many removed targets are remembered. A host that lacks more of them
// reads the whole list.
const maxRemovals = 512

// removals remembers the targets that were removed lately.
type removals struct {
	list []removal
	// completeFrom is the revision from which no removal is missing.
	completeFrom uint64
}

// removal is a target that a read at the given revision no longer had.
type removal struct {
	id       string
	revision uint64
}

// record remembers the targets of the old version that the new one lacks.
func (r *removals) record(old, current *Targets) {
	if old == nil || old.History.Before(current.History) {
		*r = removals{completeFrom: current.Revision}
		return
	}
	kept := current.byID()
	for _, t := range old.List {
		if _, ok := kept[t.ID]; !ok {
			r.list = append(r.list, removal{id: t.ID, revision: current.Revision})
		}
	}
	if excess := len(r.list) - maxRemovals; excess > 0 {
		r.completeFrom = r.list[excess-1].revision
		r.list = append(r.list[:0:0], r.list[excess:]...)
	}
}

// ChangesSince returns the changes from an earlier version to the known one. It returns
// false if that version is of another history, too old or not older than the known one.
func (r *Registry) ChangesSince(h history.ID, revision uint64) (*Changes, bool) {
	if r.known == nil || !h.Comparable(r.known.History) || revision < r.removals.completeFrom || revision > r.known.Revision {
		return nil, false
	}
	c := &Changes{Since: revision, Reading: r.known.Reading, Digest: r.known.Digest}
	unchanged := make(map[string]bool, len(r.known.List))
	for _, t := range r.known.List {
		if t.Revision > revision {
			c.Updated = append(c.Updated, t)
		} else {
			unchanged[t.ID] = true
		}
	}
	for _, gone := range r.removals.list {
		// A target that was kept without a row is dropped at the revision at which it was kept.
		if gone.revision >= revision && !unchanged[gone.id] {
			c.Removed = append(c.Removed, gone.id)
		}
	}
	return c, true
}
