// Package wire holds the encodings of what the processes of the fleet, the
// table and the tools exchange. Decisions stand elsewhere.
package wire

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/contract/contractfile"
)

// changeRecord is a contract.Change in the table.
type changeRecord struct {
	Revision uint64    `json:"revision"`
	Service  string    `json:"service"`
	Version  uint64    `json:"version"`
	Document string    `json:"document,omitempty"`
	Proposal string    `json:"proposal"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}

// EncodeChange encodes a change for the table.
func EncodeChange(ch contract.Change) ([]byte, error) {
	data, err := json.Marshal(changeRecord{
		Revision: ch.Revision,
		Service:  ch.Subject,
		Version:  ch.Version,
		Document: string(ch.Document),
		Proposal: ch.Proposal,
		Operator: ch.Operator,
		At:       ch.At,
	})
	return data, errors.Wrap(err, "encode change")
}

// DecodeChange decodes a change and parses its contract.
func DecodeChange(data []byte) (contract.Change, error) {
	var r changeRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return contract.Change{}, errors.Wrap(err, "decode change")
	}
	ch := contract.Change{
		Revision: r.Revision,
		Subject:  r.Service,
		Version:  r.Version,
		Document: []byte(r.Document),
		Proposal: r.Proposal,
		Operator: r.Operator,
		At:       r.At,
	}
	return withContract(ch)
}

// Summary is a change without its document.
type Summary struct {
	Change contract.Change
	// Digest is the SHA-256 of the document.
	Digest [sha256.Size]byte
	// Abandoned is set for a proposal that never took effect and never will.
	Abandoned bool
}

// NewSummary returns the summary of a change.
func NewSummary(ch contract.Change) Summary {
	sum := Summary{Change: ch, Digest: sha256.Sum256(ch.Document)}
	sum.Change.Document, sum.Change.Contract, sum.Change.Accounts, sum.Change.Drain = nil, nil, nil, nil
	return sum
}

// summaryRecord is a Summary in the table.
type summaryRecord struct {
	Revision  uint64    `json:"revision"`
	Service   string    `json:"service"`
	Version   uint64    `json:"version"`
	Proposal  string    `json:"proposal"`
	Operator  string    `json:"operator"`
	At        time.Time `json:"at"`
	Digest    string    `json:"sha256"`
	Abandoned bool      `json:"abandoned,omitempty"`
}

// EncodeSummary encodes a summary for the table.
func EncodeSummary(sum Summary) ([]byte, error) {
	ch := sum.Change
	data, err := json.Marshal(summaryRecord{
		Revision:  ch.Revision,
		Service:   ch.Subject,
		Version:   ch.Version,
		Proposal:  ch.Proposal,
		Operator:  ch.Operator,
		At:        ch.At,
		Digest:    hex.EncodeToString(sum.Digest[:]),
		Abandoned: sum.Abandoned,
	})
	return data, errors.Wrap(err, "encode summary")
}

// DecodeSummary decodes a summary.
func DecodeSummary(data []byte) (Summary, error) {
	var r summaryRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return Summary{}, errors.Wrap(err, "decode summary")
	}
	digest, err := hex.DecodeString(r.Digest)
	if err != nil || len(digest) != sha256.Size {
		return Summary{}, errors.New("decode summary: malformed digest")
	}
	sum := Summary{Abandoned: r.Abandoned, Change: contract.Change{
		Revision: r.Revision,
		Subject:  r.Service,
		Version:  r.Version,
		Proposal: r.Proposal,
		Operator: r.Operator,
		At:       r.At,
	}}
	copy(sum.Digest[:], digest)
	return sum, nil
}

// withContract parses the document of a change.
func withContract(ch contract.Change) (contract.Change, error) {
	if len(ch.Document) == 0 {
		return ch, nil
	}
	d, findings := contractfile.ParseAccepted(ch.Subject, ch.Document)
	if err := findings.Err(); err != nil {
		return ch, errors.Wrapf(err, "document of %s at revision %d", ch.Subject, ch.Revision)
	}
	ch.Contract, ch.Accounts, ch.Drain = d.Contract, d.Accounts, d.Drain
	return ch, nil
}
