package publish

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/history"
)

// TestChangesAfterARestoreOfTheTableAreRead covers a table whose revisions go back and are given out
// again with other changes.
func TestChangesAfterARestoreOfTheTableAreRead(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, table := newStore()
	mustAccept(t, s, proposal("p1", "a", 0))
	saved := table.CopyTable()
	mustAccept(t, s, proposal("p2", "a", 1))
	mustAccept(t, s, proposal("p3", "b", 0))
	changes, before, err := s.ChangesAfter(ctx, history.Position{})
	is.NoErr(err)
	is.Equal(formatChanges(changes), []string{"a@2", "b@3"})

	table.RestoreTable(saved)
	changes, after, err := s.ChangesAfter(ctx, before)
	is.NoErr(err)
	is.Equal(formatChanges(changes), []string{"a@1"})
	is.True(before.Before(after) && !after.Before(before))

	// Another host that knew the old position learns the same history.
	_, other, err := s.ChangesAfter(ctx, before)
	is.NoErr(err)
	is.Equal(other, after)

	mustAccept(t, s, proposal("p4", "c", 0))
	changes, last, err := s.ChangesAfter(ctx, after)
	is.NoErr(err)
	is.Equal(formatChanges(changes), []string{"c@2"})
	// A host that was away finds revisions that have passed the ones it knows.
	mustAccept(t, s, proposal("p5", "d", 0))
	mustAccept(t, s, proposal("p6", "e", 0))
	changes, _, err = s.ChangesAfter(ctx, before)
	is.NoErr(err)
	is.Equal(formatChanges(changes), []string{"a@1", "c@2", "d@3", "e@4"})

	s.Now = func() time.Time { return time.UnixMilli(1_700_000_005_000) }
	table.RestoreTable(saved) // the same copy again
	_, again, err := s.ChangesAfter(ctx, last)
	is.NoErr(err)
	is.True(last.Before(again))
}

// TestPublishingAfterARestoreOfTheTable covers a host whose configuration in force is ahead of the
// restored table.
func TestPublishingAfterARestoreOfTheTable(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, table := newStore()
	mustAccept(t, s, proposal("p1", "a", 0))
	saved := table.CopyTable()
	mustAccept(t, s, proposal("p2", "b", 0))
	changes, position, err := s.ChangesAfter(ctx, history.Position{})
	is.NoErr(err)
	s.InForce = func(context.Context) (View, error) { return View{Position: position, Changes: changes}, nil }
	table.RestoreTable(saved)
	mustAccept(t, s, proposal("p3", "b", 0))
}
