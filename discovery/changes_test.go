package discovery

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/history"
)

// registered returns a target with the given revision.
func registered(id string, revision uint64, leaving bool) Target {
	return Target{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Leaving: leaving, Revision: revision}
}

// TestChangesLeadToTheSameVersion plays a history of targets that join, leave and come back. A
// registry that got only changes, at random versions, must know the same as one that got every
// list.
func TestChangesLeadToTheSameVersion(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(4, 2))
	var full, partial Registry
	rows := make(map[string]Target)
	whole := 0
	for revision := uint64(1); revision < 3000; revision++ {
		id := fmt.Sprintf("t%02d", random.IntN(40))
		if old, ok := rows[id]; ok && random.IntN(3) == 0 {
			delete(rows, id)
		} else {
			rows[id] = registered(id, revision, ok && !old.Leaving)
		}
		list := make([]Target, 0, len(rows))
		for _, row := range rows {
			list = append(list, row)
		}
		is.True(full.Merge(NewTargets(history.Reading{Revision: revision, At: int64(revision)}, list)))
		if random.IntN(20) > 0 {
			continue
		}
		if partial.Known() == nil {
			is.True(partial.Merge(full.Known()))
			continue
		}
		changes, ok := full.ChangesSince(0, partial.Known().Revision)
		if !ok {
			whole++
			is.True(partial.Merge(full.Known()))
			continue
		}
		read, err := partial.Known().Apply(changes)
		is.NoErr(err)
		is.True(partial.Merge(read))
		is.Equal(partial.Known().Digest, full.Known().Digest)
		is.Equal(partial.Known().Revision, full.Known().Revision)
	}
	is.Equal(whole, 0)
}

func TestChangesWithAMissingPartAreRefused(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Merge(NewTargets(history.Reading{Revision: 1, At: 1}, []Target{registered("a", 1, false), registered("b", 1, false)}))
	old := r.Known()
	r.Merge(NewTargets(history.Reading{Revision: 3, At: 3}, []Target{registered("a", 1, false), registered("c", 2, false), registered("d", 3, true)}))
	changes, ok := r.ChangesSince(0, 1)
	is.True(ok)
	is.Equal(len(changes.Updated), 2)
	is.Equal(changes.Removed, []string{"b"})
	_, err := old.Apply(changes)
	is.NoErr(err)
	lost := *changes
	lost.Updated = lost.Updated[:1]
	_, err = old.Apply(&lost)
	is.Equal(err, ErrChangesMismatch)
	lost = *changes
	lost.Removed = nil
	_, err = old.Apply(&lost)
	is.Equal(err, ErrChangesMismatch)
}

func TestChangesSinceAForgottenVersion(t *testing.T) {
	is := is.New(t)
	var r Registry
	_, ok := r.ChangesSince(0, 0)
	is.True(!ok) // nothing is known
	var list []Target
	for i := range maxRemovals + 10 {
		list = append(list, registered(fmt.Sprintf("t%04d", i), 5, false))
	}
	r.Merge(NewTargets(history.Reading{Revision: 5, At: 5}, list))
	_, ok = r.ChangesSince(0, 4)
	is.True(!ok) // removals before the first read are unknown
	r.Merge(NewTargets(history.Reading{Revision: 6, At: 6}, append([]Target(nil), list[:5]...)))
	_, ok = r.ChangesSince(0, 5)
	is.True(!ok) // more removals than are remembered
	_, ok = r.ChangesSince(0, 6)
	is.True(ok)
	_, ok = r.ChangesSince(0, 7)
	is.True(!ok) // newer than the known version
}
