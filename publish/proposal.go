package publish

import (
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/wire"
)

// ErrIncompleteProposal is returned for a proposal without an operator or a
// subject, or with an id that is missing or too long.
var ErrIncompleteProposal = errors.New("incomplete proposal")

// Proposal is a request of an operator to change one document.
type Proposal struct {
	// ID is the idempotency key: a repeated proposal is not applied twice.
	ID       string
	Operator string
	// Subject is what the proposal changes: the name of a service,
	// contract.AccountsSubject of an accounts document, or contract.DrainSubject
	// of a drain.
	Subject string
	// Document is the new document as YAML; empty removes the document.
	Document []byte
	// Base is the version of the document that the operator has seen; 0 for a
	// new document.
	Base uint64
}

// maxIDBytes limits the length of a proposal's id.
const maxIDBytes = 128

func (p Proposal) check() error {
	switch {
	case p.ID == "" || len(p.ID) > maxIDBytes:
		return errors.Wrapf(ErrIncompleteProposal, "the proposal's id must have 1 to %d bytes", maxIDBytes)
	case p.Subject == "":
		return errors.Wrap(ErrIncompleteProposal, "the service is missing")
	case p.Operator == "":
		return errors.Wrap(ErrIncompleteProposal, "the operator is missing")
	}
	return nil
}

func (p Proposal) digest() [sha256.Size]byte { return sha256.Sum256(p.Document) }

// Status is the state of a proposal.
type Status string

// The states of a proposal.
const (
	Accepted Status = "accepted"
	Rejected Status = "rejected"
	// Undecided means that the result of the write is not known: the write may
	// have taken effect or may still take effect, and reading it back failed.
	// Settle decides the proposal.
	Undecided Status = "unknown"
	// Absent means that the proposal has not taken effect yet.
	Absent Status = "absent"
)

// Reason is the reason why a proposal was rejected.
type Reason string

// The reasons for a rejection.
const (
	// ReasonFindings means that the document has errors.
	ReasonFindings Reason = "findings"
	// ReasonConflict means that the document has changed since the version that
	// the operator has seen.
	ReasonConflict Reason = "conflict"
	// ReasonReused means that the id was used before for a different proposal.
	ReasonReused Reason = "id-reused"
	// ReasonAbandoned means that Settle decided the proposal before it took
	// effect. It can no longer take effect.
	ReasonAbandoned Reason = "abandoned"
)

// Conflict describes the earlier change that a proposal conflicts with.
type Conflict struct {
	Subject  string    `json:"service"`
	Version  uint64    `json:"version"`
	Revision uint64    `json:"revision"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Proposal string    `json:"proposal"`
}

// Result is the result of a proposal.
type Result struct {
	Status   Status       `json:"status"`
	Reason   Reason       `json:"reason,omitempty"`
	Proposal string       `json:"proposal"`
	Subject  string       `json:"service,omitempty"`
	Revision uint64       `json:"revision,omitempty"`
	Version  uint64       `json:"version,omitempty"`
	Operator string       `json:"operator,omitempty"`
	Findings finding.List `json:"findings,omitempty"`
	// Conflict is the earlier change when the reason is ReasonConflict or
	// ReasonReused.
	Conflict *Conflict `json:"conflict,omitempty"`
}

func acceptedResult(ch contract.Change) Result {
	return Result{
		Status: Accepted, Proposal: ch.Proposal, Subject: ch.Subject,
		Revision: ch.Revision, Version: ch.Version, Operator: ch.Operator,
	}
}

func rejectedResult(p Proposal, reason Reason, findings finding.List) Result {
	return Result{Status: Rejected, Reason: reason, Proposal: p.ID, Subject: p.Subject, Findings: findings}
}

func conflictResult(p Proposal, reason Reason, ch contract.Change) Result {
	r := rejectedResult(p, reason, nil)
	r.Conflict = &Conflict{
		Subject: ch.Subject, Version: ch.Version, Revision: ch.Revision,
		Operator: ch.Operator, At: ch.At, Proposal: ch.Proposal,
	}
	return r
}

func undecidedResult(p Proposal) Result {
	return Result{Status: Undecided, Proposal: p.ID, Subject: p.Subject}
}

// resultFromSummary returns the result of a proposal whose id already has a row
// in the table.
func resultFromSummary(p Proposal, sum wire.ChangeSummary) Result {
	switch {
	case sum.Abandoned:
		return rejectedResult(p, ReasonAbandoned, nil)
	case sum.Change.Subject != p.Subject || sum.Digest != p.digest():
		return conflictResult(p, ReasonReused, sum.Change)
	default:
		return acceptedResult(sum.Change)
	}
}
