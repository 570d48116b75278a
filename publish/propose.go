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

// attempts bounds how often a proposal is tried again when only the fleet
// revision, not the document, was changed by somebody else.
const attempts = 16

// Propose tries to accept a proposal. Result is Undecided when a write may have
// taken effect and could not be read back. The error is not nil only when
// nothing was written and the proposal may simply be repeated.
func (s *Store) Propose(ctx context.Context, p Proposal) (Result, error) {
	if err := p.check(); err != nil {
		return Result{}, err
	}
	f, findings := s.parse(p)
	if findings.Failed() {
		return rejected(p, ReasonFindings, findings), nil
	}
	// Once a write was ambiguous, it may take effect until a later write or
	// reading rules that out.
	ambiguous := false
	for range attempts {
		result, err := s.tryPropose(ctx, p, f)
		switch {
		case err == nil:
			result.Findings = append(result.Findings, findings.Warnings()...)
			return result, nil
		case errors.Is(err, storage.ErrAmbiguous):
			ambiguous = true
		case errors.Is(err, storage.ErrConflict):
		case ambiguous:
			return undecided(p), nil
		default:
			return Result{}, err
		}
	}
	if ambiguous {
		return undecided(p), nil
	}
	return Result{}, errors.Errorf("proposal %s: the fleet revision kept changing; repeat it", p.ID)
}

// parse reads the document of a proposal; a removal has none.
func (s *Store) parse(p Proposal) (*contractfile.File, finding.List) {
	if len(p.Document) == 0 {
		return nil, nil
	}
	f, findings := contractfile.Parse(p.Service, p.Document)
	if f == nil {
		return nil, findings
	}
	if subject := f.Document.Subject(); subject != p.Service {
		findings = append(findings, finding.Finding{
			File: p.Service, Message: "the document is of " + subject, Fix: "publish it under its own name",
		})
	}
	if f.Document.Contract != nil && s.KnownZone != nil {
		for _, fault := range f.Document.Contract.CheckZones(s.KnownZone) {
			findings = append(findings, f.Finding(fault))
		}
	}
	return f, findings
}

// tryPropose makes one attempt. It fails with storage.ErrConflict when
// somebody else moved the fleet's revision.
func (s *Store) tryPropose(ctx context.Context, p Proposal, f *contractfile.File) (Result, error) {
	if r, found, err := s.lookUp(ctx, p); err != nil || found {
		return r, err
	}
	revision, err := s.Revision(ctx)
	if err != nil {
		return Result{}, err
	}
	item, err := s.Table.Get(ctx, contractKey(p.Service))
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return Result{}, err
	}
	if item.Version != p.Base {
		return s.conflict(ctx, p, item)
	}
	findings, err := s.crossCheck(ctx, revision, p, f)
	if err != nil {
		return Result{}, err
	}
	if len(findings) > 0 {
		return rejected(p, ReasonFindings, findings), nil
	}
	ch := contract.Change{
		Revision: revision + 1,
		Service:  p.Service,
		Version:  p.Base + 1,
		Document: p.Document,
		Proposal: p.ID,
		Operator: p.Operator,
		At:       s.Now(),
	}
	return accepted(ch), s.write(ctx, ch)
}

// lookUp tells what the table already knows of a proposal.
func (s *Store) lookUp(ctx context.Context, p Proposal) (r Result, found bool, err error) {
	item, err := s.Table.Get(ctx, proposalKey(p.ID))
	if errors.Is(err, storage.ErrNotFound) {
		return Result{}, false, nil
	}
	if err != nil {
		return Result{}, false, err
	}
	sum, err := wire.DecodeSummary(item.Value)
	if err != nil {
		return Result{}, false, err
	}
	return resultOf(p, sum), true, nil
}

// conflict names the change that came first. That change may be this very
// proposal, accepted by an ambiguous write between the two readings.
func (s *Store) conflict(ctx context.Context, p Proposal, item storage.Item) (Result, error) {
	if r, found, err := s.lookUp(ctx, p); err != nil || found {
		return r, err
	}
	ch := contract.Change{Service: p.Service}
	if item.Version > 0 {
		var err error
		if ch, err = wire.DecodeChange(item.Value); err != nil {
			s.corrupt(item.Key, err)
		}
		ch.Version = item.Version
	}
	return conflict(p, ReasonConflict, ch), nil
}

// write puts one accepted change into the table as a whole.
func (s *Store) write(ctx context.Context, ch contract.Change) error {
	data, err := wire.EncodeChange(ch)
	if err != nil {
		return err
	}
	summary, err := wire.EncodeSummary(wire.NewSummary(ch))
	if err != nil {
		return err
	}
	return s.Table.Write(ctx,
		storage.Put{Key: revisionKey(), IfVersion: ch.Revision - 1},
		storage.Put{Key: changeKey(ch.Revision), Value: data},
		storage.Put{Key: contractKey(ch.Service), Value: data, IfVersion: ch.Version - 1},
		storage.Put{Key: historyKey(ch.Service, ch.Revision), Value: summary},
		storage.Put{Key: proposalKey(ch.Proposal), Value: summary},
	)
}

// Resolve reads what became of a proposal: Accepted, Rejected when it was
// abandoned, or Absent when it has not taken effect so far.
func (s *Store) Resolve(ctx context.Context, id string) (Result, error) {
	item, err := s.Table.Get(ctx, proposalKey(id))
	if errors.Is(err, storage.ErrNotFound) {
		return Result{Status: Absent, Proposal: id}, nil
	}
	if err != nil {
		return Result{}, err
	}
	sum, err := wire.DecodeSummary(item.Value)
	if err != nil {
		return Result{}, err
	}
	if sum.Abandoned {
		return rejected(Proposal{ID: id, Service: sum.Change.Service}, ReasonAbandoned, nil), nil
	}
	return accepted(sum.Change), nil
}

// Settle decides a proposal for good: one that has not taken effect is
// abandoned, so that a write still on its way can take none later.
func (s *Store) Settle(ctx context.Context, id, operator string) (Result, error) {
	for range attempts {
		r, err := s.Resolve(ctx, id)
		if err != nil || r.Status != Absent {
			return r, err
		}
		data, err := wire.EncodeSummary(wire.Summary{
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
