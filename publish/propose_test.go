package publish

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/zone"
)

func TestRepeatedProposalIsAppliedOnce(t *testing.T) {
	is := is.New(t)
	s, table := newStore()
	first := mustAccept(t, s, proposal("p1", "a", 0))
	mustAccept(t, s, proposal("p2", "a", 1))
	repeated := mustAccept(t, s, proposal("p1", "a", 0))
	is.Equal(repeated, first) // although a newer change was accepted in between
	is.Equal(countChanges(t, table), 2)
}

func TestReusedIDWithDifferentProposalIsRejected(t *testing.T) {
	is := is.New(t)
	s, table := newStore()
	mustAccept(t, s, proposal("p1", "a", 0))
	for _, p := range []Proposal{proposal("p1", "b", 0), {ID: "p1", Operator: "ana", Subject: "a", Document: document("a", "/x"), Base: 1}} {
		r := mustPropose(t, s, p)
		is.Equal(r.Status, Rejected)
		is.Equal(r.Reason, ReasonReused)
		is.Equal(r.Conflict.Revision, uint64(1))
	}
	is.Equal(countChanges(t, table), 1)
}

func TestConflictNamesTheOtherChange(t *testing.T) {
	is := is.New(t)
	s, _ := newStore()
	other := proposal("p1", "a", 0)
	other.Operator = "joris"
	mustAccept(t, s, other)
	r := mustPropose(t, s, proposal("p2", "a", 0))
	is.Equal(r.Status, Rejected)
	is.Equal(r.Reason, ReasonConflict)
	is.True(r.Conflict.At.Equal(s.Now()))
	r.Conflict.At = s.Now()
	is.Equal(*r.Conflict, Conflict{Subject: "a", Version: 1, Revision: 1, Operator: "joris", At: s.Now(), Proposal: "p1"})
}

func TestIncompleteProposal(t *testing.T) {
	is := is.New(t)
	s, _ := newStore()
	for _, p := range []Proposal{{Operator: "ana", Subject: "a"}, {ID: "p", Subject: "a"}, {ID: "p", Operator: "ana"}} {
		_, err := s.Propose(context.Background(), p)
		is.True(errors.Is(err, ErrIncompleteProposal))
	}
}

func TestDocumentIsCheckedAgainstConfigurationInForce(t *testing.T) {
	is := is.New(t)
	s, table := newStore()
	mustAccept(t, s, proposal("p1", "a", 0))
	conflicting := proposal("p2", "b", 0)
	conflicting.Document = document("b", "/a")
	r := mustPropose(t, s, conflicting)
	is.Equal(r.Reason, ReasonFindings)
	is.Equal(r.Findings.Error(), "b:3:17: route any method /a belongs to service a already (take the route out of one of the two)")

	wrongSubject := proposal("p3", "c", 0)
	wrongSubject.Subject = "d"
	is.Equal(mustPropose(t, s, wrongSubject).Reason, ReasonFindings)

	s.KnownZone = func(id zone.ID) bool { return id == "lima-a" }
	r = mustPropose(t, s, proposal("p4", "c", 0))
	is.True(strings.Contains(r.Findings.Error(), "c:2:53: zone z of target one is not known"))
	is.Equal(countChanges(t, table), 1)
}

// TestCrossCheckIsRepeatedWhenTheRevisionMoves publishes another service with the
// same route between the check of a proposal and its write.
func TestCrossCheckIsRepeatedWhenTheRevisionMoves(t *testing.T) {
	is := is.New(t)
	s, table := newStore()
	other := &Store{Table: table.Platform, Now: s.Now, KnownAccounts: s.KnownAccounts}
	table.write = func(ctx context.Context, puts []storage.Put) error {
		table.write = nil
		mustAccept(t, other, proposal("p1", "a", 0))
		return table.Platform.Write(ctx, puts...)
	}
	p := proposal("p2", "b", 0)
	p.Document = document("b", "/a")
	r := mustPropose(t, s, p)
	is.Equal(r.Reason, ReasonFindings)
	is.Equal(countChanges(t, table), 1)
}

// TestCrossCheckRequiresACompleteLog hides the change that added the conflicting
// route, as a query that is not a snapshot may. The proposal must not be
// accepted.
func TestCrossCheckRequiresACompleteLog(t *testing.T) {
	is := is.New(t)
	s, table := newStore()
	ctx := context.Background()
	mustAccept(t, s, proposal("p1", "other", 0))
	changes, position, err := s.ChangesAfter(ctx, history.Position{})
	is.NoErr(err)
	s.InForce = func(context.Context) (View, error) { return View{Position: position, Changes: changes}, nil }
	mustAccept(t, s, proposal("p2", "a", 0))
	s.Table = gapTable{table, changeKey(2)}
	p := proposal("p3", "b", 0)
	p.Document = document("b", "/a")
	_, err = s.Propose(ctx, p)
	is.True(err != nil)
	is.Equal(countChanges(t, table), 2)
}

func TestAccountInUseCannotBeRemoved(t *testing.T) {
	is := is.New(t)
	s, _ := newStore()
	shops := []byte("kind: accounts\nname: shops\naccounts: [{name: notary, key-sha256: " + strings.Repeat("ab", 32) + "}]\n")
	mustAccept(t, s, Proposal{ID: "p1", Operator: "ana", Subject: "accounts/shops", Document: shops})
	p := proposal("p2", "a", 0)
	p.Document = []byte(strings.Replace(string(p.Document), "[bookshop]", "[notary]", 1))
	mustAccept(t, s, p)
	removal := Proposal{ID: "p3", Operator: "ana", Subject: "accounts/shops", Base: 1}
	r := mustPropose(t, s, removal)
	is.Equal(r.Findings.Error(), "a: account notary is not defined anywhere (correct the name, or add the account to an accounts document)")
	mustAccept(t, s, Proposal{ID: "p4", Operator: "ana", Subject: "a", Base: 1})
	mustAccept(t, s, removal)
}

func TestAmbiguousWriteIsReadBack(t *testing.T) {
	tests := []struct {
		name          string
		lostResponses int
		lostWrites    int
	}{{"took effect", 1, 0}, {"took no effect", 0, 1}, {"both", 1, 3}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, table := newStore()
			table.Faults.LoseResponses(tt.lostResponses)
			table.Faults.LoseWrites(tt.lostWrites)
			r := mustAccept(t, s, proposal("p1", "a", 0))
			is.Equal(r.Revision, uint64(1))
			is.Equal(countChanges(t, table), 1)
		})
	}
}

// ambiguousThenUnavailable makes the first write ambiguous, with or without
// effect, and the table unavailable afterwards.
func ambiguousThenUnavailable(table *hookedTable, takesEffect bool) {
	table.write = func(ctx context.Context, puts []storage.Put) error {
		table.write = nil
		if takesEffect {
			_ = table.Platform.Write(ctx, puts...)
		}
		table.Faults.SetDown(true)
		return storage.ErrAmbiguous
	}
}

func TestAmbiguousWriteThatCannotBeReadBackIsUndecided(t *testing.T) {
	for _, takesEffect := range []bool{true, false} {
		is := is.New(t)
		s, table := newStore()
		ambiguousThenUnavailable(table, takesEffect)
		r := mustPropose(t, s, proposal("p1", "a", 0))
		is.Equal(r.Status, Undecided)
		is.Equal(r.Proposal, "p1")

		table.Faults.SetDown(false)
		r = mustAccept(t, s, proposal("p1", "a", 0)) // repeating it applies it once
		is.Equal(r.Revision, uint64(1))
		is.Equal(countChanges(t, table), 1)
	}
}

// TestAbandonedProposalNeverTakesEffect delivers an ambiguous write after Settle
// has reported the proposal as abandoned. The late write must fail.
func TestAbandonedProposalNeverTakesEffect(t *testing.T) {
	is := is.New(t)
	s, table := newStore()
	var delayed []storage.Put
	table.write = func(_ context.Context, puts []storage.Put) error {
		delayed, table.write = puts, nil
		table.Faults.SetDown(true)
		return storage.ErrAmbiguous
	}
	is.Equal(mustPropose(t, s, proposal("p1", "a", 0)).Status, Undecided)
	table.Faults.SetDown(false)

	ctx := context.Background()
	r, err := s.Resolve(ctx, "p1")
	is.NoErr(err)
	is.Equal(r.Status, Absent)
	table.Faults.LoseResponses(1) // the write of Settle is ambiguous too
	r, err = s.Settle(ctx, "p1", "ana")
	is.NoErr(err)
	is.Equal(r.Reason, ReasonAbandoned)

	is.True(errors.Is(table.Platform.Write(ctx, delayed...), storage.ErrConflict))
	is.Equal(mustPropose(t, s, proposal("p1", "a", 0)).Reason, ReasonAbandoned)
	is.Equal(countChanges(t, table), 0)
}

func TestSettleKeepsAnAcceptedProposal(t *testing.T) {
	is := is.New(t)
	s, _ := newStore()
	want := mustAccept(t, s, proposal("p1", "a", 0))
	r, err := s.Settle(context.Background(), "p1", "ana")
	is.NoErr(err)
	is.Equal(r, want)
}

// TestConflictWithOwnAmbiguousWriteIsAccepted delivers an ambiguous write between
// the two reads of the next attempt, which then finds the document changed by
// the proposal itself.
func TestConflictWithOwnAmbiguousWriteIsAccepted(t *testing.T) {
	is := is.New(t)
	s, table := newStore()
	ctx := context.Background()
	var delayed []storage.Put
	table.write = func(_ context.Context, puts []storage.Put) error {
		delayed, table.write = puts, nil
		return storage.ErrAmbiguous
	}
	table.afterGet = func(key storage.Key) {
		if key == proposalKey("p1") && delayed != nil {
			puts := delayed
			delayed = nil
			is.NoErr(table.Platform.Write(ctx, puts...))
		}
	}
	r := mustAccept(t, s, proposal("p1", "a", 0))
	is.Equal(r.Revision, uint64(1))
	is.Equal(countChanges(t, table), 1)
}

func TestUnavailableTable(t *testing.T) {
	is := is.New(t)
	s, table := newStore()
	table.Faults.SetDown(true)
	_, err := s.Propose(context.Background(), proposal("p1", "a", 0))
	is.True(errors.Is(err, storage.ErrUnavailable))
	_, _, err = s.ChangesAfter(context.Background(), history.Position{})
	is.True(errors.Is(err, storage.ErrUnavailable))
	table.Faults.Reset()
	is.Equal(countChanges(t, table), 0)
}
