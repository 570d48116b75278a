// Package publish keeps the configuration in the platform's table: it accepts
// proposals by compare-and-set under one fleet-wide revision, and reads what
// has been accepted.
package publish

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/contract/contractfile"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/platform"
	"github.com/crocushinge/crocushinge/wire"
)

// Partitions of the table.
const (
	partitionRevision = "revision"
	partitionChange   = "change"
	partitionContract = "contract"
	partitionProposal = "proposal"
)

// revisionSort is the sort key of the one item that holds the revision.
const revisionSort = "fleet"

// pageSize is how many items one query reads at most.
const pageSize = 500

// attempts bounds how often a proposal is tried again when only the fleet
// revision, not the service, was changed by somebody else.
const attempts = 8

// Status is what became of a proposal.
type Status string

// The states of a proposal.
const (
	Accepted Status = "accepted"
	Rejected Status = "rejected"
	// Undecided means that the write may have taken effect and could not be
	// read back.
	Undecided Status = "unknown"
)

// Proposal is one operator's wish to change one contract.
type Proposal struct {
	// ID is the idempotency key: repeating a proposal never applies it twice.
	ID       string
	Operator string
	Service  string
	// Document is the contract as YAML; empty removes the service.
	Document []byte
	// Base is the version of the service's contract that the operator has
	// seen; 0 for a new service.
	Base uint64
}

// Result tells what became of a proposal.
type Result struct {
	Status   Status       `json:"status"`
	Proposal string       `json:"proposal"`
	Revision uint64       `json:"revision,omitempty"`
	Version  uint64       `json:"version,omitempty"`
	Findings finding.List `json:"findings,omitempty"`
	// Conflict names the change that came first.
	Conflict string `json:"conflict,omitempty"`
}

// Store reads and writes the configuration in the table.
type Store struct {
	Table platform.Table
	// Now is the wall clock.
	Now func() time.Time
}

func revisionKey() platform.Key {
	return platform.Key{Partition: partitionRevision, Sort: revisionSort}
}

func changeKey(revision uint64) platform.Key {
	return platform.Key{Partition: partitionChange, Sort: revisionText(revision)}
}

// revisionText pads a revision so that its text sorts like its number.
func revisionText(revision uint64) string { return fmt.Sprintf("%020d", revision) }

// Revision reads the fleet-wide revision; 0 before the first change.
func (s *Store) Revision(ctx context.Context) (uint64, error) {
	item, err := s.Table.Get(ctx, revisionKey())
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	// The item is written once for each revision, so its version is the
	// revision.
	return item.Version, err
}

// ChangesAfter reads the changes after a revision and the revision that they
// lead to. After 0 it reads the newest contract of each service.
func (s *Store) ChangesAfter(ctx context.Context, after uint64) ([]contract.Change, uint64, error) {
	revision, err := s.Revision(ctx)
	if err != nil || revision <= after {
		return nil, after, err
	}
	partition, sort := partitionChange, revisionText(after)
	if after == 0 {
		partition, sort = partitionContract, ""
	}
	var out []contract.Change
	for {
		items, err := s.Table.Query(ctx, partition, sort, pageSize)
		if err != nil {
			return nil, after, err
		}
		for _, item := range items {
			ch, err := wire.DecodeChange(item.Value)
			if err != nil {
				return nil, after, err
			}
			out = append(out, ch)
			sort = item.Key.Sort
		}
		if len(items) < pageSize {
			return out, revision, nil
		}
	}
}

// Propose tries to accept a proposal. The error is not nil only when nothing
// was written and the proposal may simply be repeated.
func (s *Store) Propose(ctx context.Context, p Proposal) (Result, error) {
	if len(p.Document) > 0 {
		if f, findings := contractfile.Parse(p.Service, p.Document); f == nil {
			return Result{Status: Rejected, Proposal: p.ID, Findings: findings}, nil
		}
	}
	for range attempts {
		result, retry, err := s.tryPropose(ctx, p)
		if !retry {
			return result, err
		}
	}
	return Result{}, errors.Errorf("proposal %s: the fleet revision kept changing", p.ID)
}

func (s *Store) tryPropose(ctx context.Context, p Proposal) (result Result, retry bool, err error) {
	if r, err := s.Resolve(ctx, p.ID); err != nil || r.Status == Accepted {
		return r, false, err
	}
	revision, err := s.Revision(ctx)
	if err != nil {
		return Result{}, false, err
	}
	contractKey := platform.Key{Partition: partitionContract, Sort: p.Service}
	item, err := s.Table.Get(ctx, contractKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return Result{}, false, err
	}
	if item.Version != p.Base {
		return s.conflict(p, item), false, nil
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
	data, err := wire.EncodeChange(ch)
	if err != nil {
		return Result{}, false, err
	}
	err = s.Table.Write(ctx,
		platform.Put{Key: revisionKey(), IfVersion: revision},
		platform.Put{Key: changeKey(ch.Revision), Value: data},
		platform.Put{Key: contractKey, Value: data, IfVersion: p.Base},
		platform.Put{Key: platform.Key{Partition: partitionProposal, Sort: p.ID}, Value: data},
	)
	switch {
	case err == nil:
		return accepted(ch), false, nil
	case errors.Is(err, platform.ErrConflict):
		return Result{}, true, nil
	case errors.Is(err, platform.ErrAmbiguous):
		r, retry := s.readBack(ctx, p.ID)
		return r, retry, nil
	default:
		return Result{}, false, err
	}
}

// readBack resolves an ambiguous write. It asks for a retry when the write has
// not taken effect.
func (s *Store) readBack(ctx context.Context, id string) (result Result, retry bool) {
	r, err := s.Resolve(ctx, id)
	if err != nil {
		return Result{Status: Undecided, Proposal: id}, false
	}
	return r, r.Status != Accepted
}

// Resolve reads back what became of a proposal: Accepted, or Rejected when it
// has not taken effect.
func (s *Store) Resolve(ctx context.Context, id string) (Result, error) {
	item, err := s.Table.Get(ctx, platform.Key{Partition: partitionProposal, Sort: id})
	if errors.Is(err, platform.ErrNotFound) {
		return Result{Status: Rejected, Proposal: id}, nil
	}
	if err != nil {
		return Result{}, err
	}
	ch, err := wire.DecodeChange(item.Value)
	if err != nil {
		return Result{}, err
	}
	return accepted(ch), nil
}

func accepted(ch contract.Change) Result {
	return Result{Status: Accepted, Proposal: ch.Proposal, Revision: ch.Revision, Version: ch.Version}
}

func (s *Store) conflict(p Proposal, item platform.Item) Result {
	r := Result{Status: Rejected, Proposal: p.ID, Version: item.Version}
	if ch, err := wire.DecodeChange(item.Value); err == nil {
		r.Conflict = fmt.Sprintf("version %s of %s, published by %s at revision %d",
			strconv.FormatUint(ch.Version, 10), ch.Service, ch.Operator, ch.Revision)
	}
	return r
}
