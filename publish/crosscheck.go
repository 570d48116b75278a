package publish

import (
	"context"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/contract/contractfile"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/storage"
)

// crossCheck compares a proposal with what is in force at exactly the given
// revision. The write that follows has the condition that the revision has not
// moved, so no other change can make the findings untrue. It fails with
// storage.ErrConflict when the revision moved already.
func (s *Store) crossCheck(ctx context.Context, revision uint64, p Proposal, f *contractfile.File) (finding.List, error) {
	view, err := s.viewAt(ctx, revision)
	if err != nil {
		return nil, err
	}
	before := documents(view.Changes, "")
	known := make(map[string]bool)
	for _, fault := range contract.CrossCheck(before, s.KnownAccounts) {
		known[faultKey(fault)] = true
	}
	after := documents(view.Changes, p.Service)
	kept := len(after)
	if f != nil {
		after = append(after, f.Document)
	}
	var out finding.List
	for _, fault := range contract.CrossCheck(after, s.KnownAccounts) {
		switch {
		case fault.Index >= kept:
			out = append(out, f.Finding(fault.Fault))
		case !known[faultKey(fault)]:
			out = append(out, finding.Finding{Message: fault.Subject + ": " + fault.Message, Fix: fault.Fix})
		}
	}
	return out, nil
}

func faultKey(f contract.CrossFault) string { return f.Subject + "\n" + f.Message }

// viewAt returns what is in force at a revision.
func (s *Store) viewAt(ctx context.Context, revision uint64) (View, error) {
	var view View
	if s.InForce != nil {
		var err error
		if view, err = s.InForce(ctx); err != nil {
			return View{}, err
		}
	}
	if view.Revision < revision {
		changes, last, err := s.ChangesAfter(ctx, view.Revision)
		if err != nil {
			return View{}, err
		}
		view = View{Revision: last, Changes: merge(view.Changes, changes)}
	}
	if view.Revision != revision {
		return View{}, errors.Wrapf(storage.ErrConflict, "revision %d, now %d", revision, view.Revision)
	}
	return view, nil
}

// merge replaces the changes of each subject by the newer ones.
func merge(old, newer []contract.Change) []contract.Change {
	found := make(map[string]contract.Change, len(old)+len(newer))
	for _, ch := range old {
		found[ch.Service] = ch
	}
	for _, ch := range newer {
		found[ch.Service] = ch
	}
	return sorted(found)
}

// documents returns the documents in force but for one subject.
func documents(changes []contract.Change, without string) []contract.Document {
	var out []contract.Document
	for _, ch := range changes {
		if ch.Service != without && (ch.Contract != nil || ch.Accounts != nil) {
			out = append(out, contract.Document{Contract: ch.Contract, Accounts: ch.Accounts})
		}
	}
	return out
}
