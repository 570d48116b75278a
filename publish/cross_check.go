package publish

import (
	"context"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/contract/contractfile"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/storage"
)

// crossCheck checks a proposal against the configuration in force at exactly
// the given revision. The write that follows is conditional on that revision
// being unchanged, so no concurrent change can invalidate the result. A problem
// between other documents is not reported if it existed before the proposal.
// crossCheck fails with storage.ErrConflict when the revision has changed
// already.
func (s *Store) crossCheck(ctx context.Context, revision uint64, p Proposal, f *contractfile.File) (finding.List, error) {
	view, err := s.viewAt(ctx, revision)
	if err != nil {
		return nil, err
	}
	before := documentsExcept(view.Changes, "")
	existing := make(map[string]bool)
	for _, problem := range contract.CrossCheck(before, s.KnownAccounts) {
		existing[problemKey(problem)] = true
	}
	after := documentsExcept(view.Changes, p.Subject)
	unchanged := len(after)
	if f != nil {
		after = append(after, f.Document)
	}
	var out finding.List
	for _, problem := range contract.CrossCheck(after, s.KnownAccounts) {
		switch {
		case problem.Index >= unchanged:
			out = append(out, f.Finding(problem.Problem))
		case !existing[problemKey(problem)]:
			out = append(out, finding.Finding{Message: problem.Subject + ": " + problem.Message, Fix: problem.Fix})
		}
	}
	return out, nil
}

func problemKey(p contract.CrossProblem) string { return p.Subject + "\n" + p.Message }

// viewAt returns the configuration in force at a revision. It starts from the
// view of InForce and reads only newer changes from the table. It fails with
// storage.ErrConflict when it cannot return exactly this revision.
func (s *Store) viewAt(ctx context.Context, revision uint64) (View, error) {
	var view View
	if s.InForce != nil {
		var err error
		if view, err = s.InForce(ctx); err != nil {
			return View{}, err
		}
	}
	if view.Revision > revision {
		view = View{} // the table was restored, or has changed since the revision was read
	}
	if view.Revision < revision {
		changes, last, err := s.ChangesAfter(ctx, view.Position)
		if err != nil {
			return View{}, err
		}
		if view.History.Before(last.History) {
			view.Changes = nil // the changes are all there are
		}
		view = View{Position: last, Changes: mergeChanges(view.Changes, changes)}
	}
	if view.Revision != revision {
		return View{}, errors.Wrapf(storage.ErrConflict, "configuration needed at revision %d, read at %d", revision, view.Revision)
	}
	return view, nil
}

// mergeChanges returns the newest change of each subject, sorted by revision.
func mergeChanges(old, newer []contract.Change) []contract.Change {
	bySubject := make(map[string]contract.Change, len(old)+len(newer))
	for _, ch := range old {
		bySubject[ch.Subject] = ch
	}
	for _, ch := range newer {
		bySubject[ch.Subject] = ch
	}
	return sortByRevision(bySubject)
}

// documentsExcept returns the contracts and accounts documents of the changes,
// except the document of one subject.
func documentsExcept(changes []contract.Change, excluded string) []contract.Document {
	var out []contract.Document
	for _, ch := range changes {
		if ch.Subject != excluded && (ch.Contract != nil || ch.Accounts != nil) {
			out = append(out, contract.Document{Contract: ch.Contract, Accounts: ch.Accounts})
		}
	}
	return out
}
