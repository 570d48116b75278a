package publish

import (
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/wire"
)

// ErrProposal is returned for a proposal that is incomplete.
var ErrProposal = errors.New("incomplete proposal")

// Proposal is one operator's wish to change one document.
type Proposal struct {
	// ID is the idempotency key: repeating a proposal never applies it twice.
	ID       string
	Operator string
	// Service is the subject: a service, or contract.AccountsSubject of an
	// accounts document.
	Service string
	// Document is the contract or accounts document as YAML; empty removes it.
	Document []byte
	// Base is the version of the document that the operator has seen; 0 for a
	// new one.
	Base uint64
}

// maxID limits the length of a proposal's id, in bytes.
const maxID = 128

func (p Proposal) check() error {
	switch {
	case p.ID == "" || len(p.ID) > maxID:
		return errors.Wrapf(ErrProposal, "the proposal's id must have 1 to %d bytes", maxID)
	case p.Service == "":
		return errors.Wrap(ErrProposal, "the service is missing")
	case p.Operator == "":
		return errors.Wrap(ErrProposal, "the operator is missing")
	}
	return nil
}

func (p Proposal) digest() [sha256.Size]byte { return sha256.Sum256(p.Document) }

// Status is what became of a proposal.
type Status string

// The states of a proposal.
const (
	Accepted Status = "accepted"
	Rejected Status = "rejected"
	// Undecided means that the write may have taken effect, or may still take
	// effect, and could not be read back. Settle decides it.
	Undecided Status = "unknown"
	// Absent means that the proposal has not taken effect so far.
	Absent Status = "absent"
)

// Reason says why a proposal was rejected.
type Reason string

// The reasons for a rejection.
const (
	// ReasonFindings: the document has faults.
	ReasonFindings Reason = "findings"
	// ReasonConflict: another change of the same document came first.
	ReasonConflict Reason = "conflict"
	// ReasonReused: the proposal's id belongs to another proposal.
	ReasonReused Reason = "id-reused"
	// ReasonAbandoned: the proposal was settled before it took effect, and
	// never will.
	ReasonAbandoned Reason = "abandoned"
)

// Conflict names the change that came first.
type Conflict struct {
	Service  string    `json:"service"`
	Version  uint64    `json:"version"`
	Revision uint64    `json:"revision"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Proposal string    `json:"proposal"`
}

// Result tells what became of a proposal.
type Result struct {
	Status   Status       `json:"status"`
	Reason   Reason       `json:"reason,omitempty"`
	Proposal string       `json:"proposal"`
	Service  string       `json:"service,omitempty"`
	Revision uint64       `json:"revision,omitempty"`
	Version  uint64       `json:"version,omitempty"`
	Operator string       `json:"operator,omitempty"`
	Findings finding.List `json:"findings,omitempty"`
	// Conflict names the other change when the reason is ReasonConflict or
	// ReasonReused.
	Conflict *Conflict `json:"conflict,omitempty"`
}

func accepted(ch contract.Change) Result {
	return Result{
		Status: Accepted, Proposal: ch.Proposal, Service: ch.Service,
		Revision: ch.Revision, Version: ch.Version, Operator: ch.Operator,
	}
}

func rejected(p Proposal, reason Reason, findings finding.List) Result {
	return Result{Status: Rejected, Reason: reason, Proposal: p.ID, Service: p.Service, Findings: findings}
}

func conflict(p Proposal, reason Reason, ch contract.Change) Result {
	r := rejected(p, reason, nil)
	r.Conflict = &Conflict{
		Service: ch.Service, Version: ch.Version, Revision: ch.Revision,
		Operator: ch.Operator, At: ch.At, Proposal: ch.Proposal,
	}
	return r
}

func undecided(p Proposal) Result {
	return Result{Status: Undecided, Proposal: p.ID, Service: p.Service}
}

// resultOf tells what the item of a proposal says to one with the same id.
func resultOf(p Proposal, sum wire.Summary) Result {
	switch {
	case sum.Abandoned:
		return rejected(p, ReasonAbandoned, nil)
	case sum.Change.Service != p.Service || sum.Digest != p.digest():
		return conflict(p, ReasonReused, sum.Change)
	default:
		return accepted(sum.Change)
	}
}
