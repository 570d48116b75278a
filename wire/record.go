// Package wire encodes and decodes the data that hosts exchange with each other,
// with the metadata store and the object store, and with callers and the operators'
// tools. It makes no decisions.
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

// changeRecord is a contract.Change as stored in the metadata store.
type changeRecord struct {
	Revision uint64    `json:"revision"`
	Service  string    `json:"service"`
	Version  uint64    `json:"version"`
	Document string    `json:"document,omitempty"`
	Proposal string    `json:"proposal"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}

// EncodeChange encodes a change for the metadata store.
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

// DecodeChange decodes a change from the metadata store and parses its document.
func DecodeChange(data []byte) (contract.Change, error) {
	var record changeRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return contract.Change{}, errors.Wrap(err, "decode change")
	}
	ch := contract.Change{
		Revision: record.Revision,
		Subject:  record.Service,
		Version:  record.Version,
		Document: []byte(record.Document),
		Proposal: record.Proposal,
		Operator: record.Operator,
		At:       record.At,
	}
	return parseDocument(ch)
}

// ChangeSummary is a change without its document.
type ChangeSummary struct {
	Change contract.Change
	// Digest is the SHA-256 of the document.
	Digest [sha256.Size]byte
	// Abandoned is set for a proposal that did not take effect and never will.
	Abandoned bool
}

// NewChangeSummary returns a change with the digest in place of the document.
func NewChangeSummary(ch contract.Change) ChangeSummary {
	sum := ChangeSummary{Change: ch, Digest: sha256.Sum256(ch.Document)}
	sum.Change.Document, sum.Change.Contract, sum.Change.Accounts, sum.Change.Drain = nil, nil, nil, nil
	return sum
}

// summaryRecord is a ChangeSummary as stored in the metadata store.
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

// EncodeChangeSummary encodes a summary for the metadata store.
func EncodeChangeSummary(sum ChangeSummary) ([]byte, error) {
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

// DecodeChangeSummary decodes a summary from the metadata store.
func DecodeChangeSummary(data []byte) (ChangeSummary, error) {
	var record summaryRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return ChangeSummary{}, errors.Wrap(err, "decode summary")
	}
	digest, err := hex.DecodeString(record.Digest)
	if err != nil || len(digest) != sha256.Size {
		return ChangeSummary{}, errors.New("decode summary: malformed digest")
	}
	sum := ChangeSummary{Abandoned: record.Abandoned, Change: contract.Change{
		Revision: record.Revision,
		Subject:  record.Service,
		Version:  record.Version,
		Proposal: record.Proposal,
		Operator: record.Operator,
		At:       record.At,
	}}
	copy(sum.Digest[:], digest)
	return sum, nil
}

// parseDocument returns the change with its document parsed. A change without
// a document, which removes its subject, is returned as it is.
func parseDocument(ch contract.Change) (contract.Change, error) {
	if len(ch.Document) == 0 {
		return ch, nil
	}
	parsed, findings := contractfile.ParseAccepted(ch.Subject, ch.Document)
	if err := findings.Err(); err != nil {
		return ch, errors.Wrapf(err, "parse document of %s at revision %d", ch.Subject, ch.Revision)
	}
	ch.Contract, ch.Accounts, ch.Drain = parsed.Contract, parsed.Accounts, parsed.Drain
	return ch, nil
}
