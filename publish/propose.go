package publish

import (
	"context"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/contract/contractfile"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/wire"
)

// maxAttempts limits the attempts of Propose and Settle. Propose tries again when
// a write was ambiguous, or when a concurrent change moved the fleet-wide
// revision but left the document unchanged.
const maxAttempts = 16

// Propose checks a proposal and accepts or rejects it. The result is Undecided
// when a write may have taken effect and could not be read back. The error is
// non-nil only when nothing was written; the proposal can then be repeated.
func (s *Store) Propose(ctx context.Context, p Proposal) (Result, error) {
	if err := p.check(); err != nil {
		return Result{}, err
	}
	f, findings := s.parse(p)
	if findings.HasErrors() {
		return rejectedResult(p, ReasonFindings, findings), nil
	}
	// An ambiguous write may still take effect until a later write or read
	// rules that out.
	ambiguous := false
	for range maxAttempts {
		result, err := s.tryPropose(ctx, p, f)
		switch {
		case err == nil:
			result.Findings = append(result.Findings, findings.Warnings()...)
			return result, nil
		case errors.Is(err, storage.ErrAmbiguous):
			ambiguous = true
		case errors.Is(err, storage.ErrConflict):
		case ambiguous:
			return undecidedResult(p), nil
		default:
			return Result{}, err
		}
	}
	if ambiguous {
		return undecidedResult(p), nil
	}
	return Result{}, errors.Errorf("proposal %s: the fleet revision kept changing; repeat it", p.ID)
}

// parse parses the document of a proposal and checks its subject and zones. A
// removal has no document.
func (s *Store) parse(p Proposal) (*contractfile.File, finding.List) {
	if len(p.Document) == 0 {
		return nil, nil
	}
	f, findings := contractfile.Parse(p.Subject, p.Document)
	if f == nil {
		return nil, findings
	}
	if subject := f.Document.Subject(); subject != p.Subject {
		findings = append(findings, finding.Finding{
			File: p.Subject, Message: "the document is for " + subject, Fix: "publish it under its own name",
		})
	}
	if f.Document.Contract != nil && s.KnownZone != nil {
		for _, problem := range f.Document.Contract.CheckZones(s.KnownZone) {
			findings = append(findings, f.Finding(problem))
		}
	}
	return f, findings
}

// tryPropose makes one attempt. It fails with storage.ErrConflict when a
// concurrent change moved the fleet-wide revision.
func (s *Store) tryPropose(ctx context.Context, p Proposal, f *contractfile.File) (Result, error) {
	if r, found, err := s.findProposal(ctx, p); err != nil || found {
		return r, err
	}
	revision, err := s.Revision(ctx)
	if err != nil {
		return Result{}, err
	}
	row, err := s.Table.Get(ctx, contractKey(p.Subject))
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return Result{}, err
	}
	if row.Version != p.Base {
		return s.rejectConflict(ctx, p, row)
	}
	findings, err := s.crossCheck(ctx, revision, p, f)
	if err != nil {
		return Result{}, err
	}
	if len(findings) > 0 {
		return rejectedResult(p, ReasonFindings, findings), nil
	}
	ch := contract.Change{
		Revision: revision + 1,
		Subject:  p.Subject,
		Version:  p.Base + 1,
		Document: p.Document,
		Proposal: p.ID,
		Operator: p.Operator,
		At:       s.Now(),
	}
	return acceptedResult(ch), s.write(ctx, ch)
}

// findProposal returns the result of a proposal whose id already has a row in
// the table.
func (s *Store) findProposal(ctx context.Context, p Proposal) (r Result, found bool, err error) {
	row, err := s.Table.Get(ctx, proposalKey(p.ID))
	if errors.Is(err, storage.ErrNotFound) {
		return Result{}, false, nil
	}
	if err != nil {
		return Result{}, false, err
	}
	sum, err := wire.DecodeChangeSummary(row.Value)
	if err != nil {
		return Result{}, false, err
	}
	return resultFromSummary(p, sum), true, nil
}

// rejectConflict rejects a proposal whose base is not the current version of
// the document. It first looks the proposal up again, because the current
// version may be the proposal itself: an ambiguous write of an earlier attempt
// can take effect between the two reads of this attempt.
func (s *Store) rejectConflict(ctx context.Context, p Proposal, current storage.Item) (Result, error) {
	if r, found, err := s.findProposal(ctx, p); err != nil || found {
		return r, err
	}
	ch := contract.Change{Subject: p.Subject}
	if current.Version > 0 {
		var err error
		if ch, err = wire.DecodeChange(current.Value); err != nil {
			s.reportCorrupt(current.Key, err)
		}
		ch.Version = current.Version
	}
	return conflictResult(p, ReasonConflict, ch), nil
}

// write writes all rows of one accepted change in a transaction.
func (s *Store) write(ctx context.Context, ch contract.Change) error {
	data, err := wire.EncodeChange(ch)
	if err != nil {
		return err
	}
	summary, err := wire.EncodeChangeSummary(wire.NewChangeSummary(ch))
	if err != nil {
		return err
	}
	return s.Table.Write(ctx,
		storage.Put{Key: revisionKey(), IfVersion: ch.Revision - 1},
		storage.Put{Key: changeKey(ch.Revision), Value: data},
		storage.Put{Key: contractKey(ch.Subject), Value: data, IfVersion: ch.Version - 1},
		storage.Put{Key: historyKey(ch.Subject, ch.Revision), Value: summary},
		storage.Put{Key: proposalKey(ch.Proposal), Value: summary},
	)
}

// Resolve reads the state of a proposal: Accepted, Rejected when it was
// abandoned, or Absent when it has not taken effect yet.
func (s *Store) Resolve(ctx context.Context, id string) (Result, error) {
	row, err := s.Table.Get(ctx, proposalKey(id))
	if errors.Is(err, storage.ErrNotFound) {
		return Result{Status: Absent, Proposal: id}, nil
	}
	if err != nil {
		return Result{}, err
	}
	sum, err := wire.DecodeChangeSummary(row.Value)
	if err != nil {
		return Result{}, err
	}
	if sum.Abandoned {
		return rejectedResult(Proposal{ID: id, Subject: sum.Change.Subject}, ReasonAbandoned, nil), nil
	}
	return acceptedResult(sum.Change), nil
}

// Settle decides a proposal permanently. A proposal that has not taken effect is
// abandoned: a row for its id makes the transaction of a delayed write fail.
func (s *Store) Settle(ctx context.Context, id, operator string) (Result, error) {
	for range maxAttempts {
		r, err := s.Resolve(ctx, id)
		if err != nil || r.Status != Absent {
			return r, err
		}
		data, err := wire.EncodeChangeSummary(wire.ChangeSummary{
			Abandoned: true,
			Change:    contract.Change{Proposal: id, Operator: operator, At: s.Now()},
		})
		if err != nil {
			return Result{}, err
		}
		err = s.Table.Write(ctx, storage.Put{Key: proposalKey(id), Value: data})
		if err != nil && !errors.Is(err, storage.ErrConflict) && !errors.Is(err, storage.ErrAmbiguous) {
			return Result{}, err
		}
	}
	return Result{Status: Undecided, Proposal: id}, nil
}
