package publish

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/storage"
)

// formatChanges formats the changes as "service@revision".
func formatChanges(changes []contract.Change) []string {
	var out []string
	for _, ch := range changes {
		out = append(out, fmt.Sprintf("%s@%d", ch.Subject, ch.Revision))
	}
	return out
}

// TestFullLoadIsAConsistentSnapshot changes two documents during the scan, one
// that the scan has already read and one that it has not.
func TestFullLoadIsAConsistentSnapshot(t *testing.T) {
	is := is.New(t)
	s, table := newStore()
	for i := range pageSize + 1 { // two pages
		p := proposal(fmt.Sprintf("p%d", i), fmt.Sprintf("s%04d", i), 0)
		is.NoErr(s.write(context.Background(), contract.Change{
			Revision: uint64(i) + 1, Subject: p.Subject, Version: 1, Document: p.Document, Proposal: p.ID,
		}))
	}
	first, last := "s0000", fmt.Sprintf("s%04d", pageSize)
	queries := 0
	table.beforeQuery = func(string) {
		if queries++; queries != 2 {
			return
		}
		other := &Store{Table: table.Platform, Now: s.Now, KnownAccounts: s.KnownAccounts}
		mustAccept(t, other, proposal("n1", first, 1))
		mustAccept(t, other, proposal("n2", last, 1))
		mustAccept(t, other, proposal("n3", first, 2))
	}
	changes, position, err := s.ChangesAfter(context.Background(), history.Position{})
	is.NoErr(err)
	is.Equal(position.Revision, uint64(pageSize+4))
	is.Equal(len(changes), pageSize+1)
	got := formatChanges(changes)
	is.Equal(got[len(got)-2:], []string{fmt.Sprintf("%s@%d", last, pageSize+3), fmt.Sprintf("%s@%d", first, pageSize+4)})
}

// TestLogStopsAtAGap covers a query that misses a change and returns a later one.
func TestLogStopsAtAGap(t *testing.T) {
	is := is.New(t)
	s, table := newStore()
	for i := range uint64(4) {
		mustAccept(t, s, proposal(fmt.Sprintf("p%d", i), "a", i))
	}
	changes, position, err := (&Store{Table: gapTable{table, changeKey(3)}}).ChangesAfter(context.Background(), history.Position{Revision: 1})
	is.NoErr(err)
	is.Equal(formatChanges(changes), []string{"a@2"})
	is.Equal(position.Revision, uint64(2))
}

// gapTable omits one row from the results of queries.
type gapTable struct {
	storage.Table
	hidden storage.Key
}

func (g gapTable) Query(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	rows, err := g.Table.Query(ctx, partition, after, limit)
	var out []storage.Item
	for _, row := range rows {
		if row.Key != g.hidden {
			out = append(out, row)
		}
	}
	return out, err
}

func TestCorruptRowDoesNotStopTheOthers(t *testing.T) {
	is := is.New(t)
	s, table := newStore()
	mustAccept(t, s, proposal("p1", "a", 0))
	mustAccept(t, s, proposal("p2", "b", 0))
	mustAccept(t, s, proposal("p3", "c", 0))
	ctx := context.Background()
	is.NoErr(table.Write(ctx,
		storage.Put{Key: contractKey("b"), Value: []byte(`{"revision":2,"service":"b","document":"floor: ["}`), IfVersion: 1},
		storage.Put{Key: changeKey(2), Value: []byte("?"), IfVersion: 1}))
	var reported []storage.Key
	s.OnCorruptRow = func(key storage.Key, _ error) { reported = append(reported, key) }

	changes, position, err := s.ChangesAfter(ctx, history.Position{})
	is.NoErr(err)
	is.Equal(position.Revision, uint64(3))
	is.Equal(formatChanges(changes), []string{"a@1", "b@2", "c@3"})
	is.True(changes[1].Contract == nil) // the document is kept for hosts that can parse it
	is.Equal(string(changes[1].Document), "floor: [")
	changes, position, err = s.ChangesAfter(ctx, history.Position{Revision: 1})
	is.NoErr(err)
	is.Equal(position.Revision, uint64(3))
	is.Equal(formatChanges(changes), []string{"c@3"})
	is.Equal(reported, []storage.Key{contractKey("b"), changeKey(2)})

	mustAccept(t, s, proposal("p4", "b", 2)) // publishing the document again repairs it
	changes, _, err = s.ChangesAfter(ctx, history.Position{})
	is.NoErr(err)
	is.Equal(formatChanges(changes), []string{"a@1", "c@3", "b@4"})
}

func TestHistoryIsPagedAndSurvivesRemoval(t *testing.T) {
	is := is.New(t)
	s, _ := newStore()
	ctx := context.Background()
	mustAccept(t, s, proposal("p1", "a", 0))
	mustAccept(t, s, proposal("p2", "b", 0))
	mustAccept(t, s, Proposal{ID: "p3", Operator: "joris", Subject: "a", Base: 1})
	mustAccept(t, s, proposal("p4", "a", 2))

	page, next, err := s.History(ctx, "a", 0, 2)
	is.NoErr(err)
	is.Equal(next, uint64(3))
	is.Equal(page[0].Revision, uint64(1))
	is.Equal(page[1].Revision, uint64(3))
	is.Equal(page[1].Operator, "joris")
	is.True(page[1].Removed)
	page, next, err = s.History(ctx, "a", next, 2)
	is.NoErr(err)
	is.Equal(next, uint64(0))
	is.Equal(len(page), 1)
	is.Equal(page[0].Revision, uint64(4))
	is.True(!page[0].Removed)

	ch, err := s.Change(ctx, 1)
	is.NoErr(err)
	is.Equal(string(ch.Document), string(document("a", "/a")))
	ch, err = s.Change(ctx, 3)
	is.NoErr(err)
	is.Equal(len(ch.Document), 0)
}
