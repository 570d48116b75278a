// Package wire holds the encodings of what the processes of the fleet, the
// table and the tools exchange. Decisions stand elsewhere.
package wire

import (
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
		Service:  ch.Service,
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
		Service:  r.Service,
		Version:  r.Version,
		Document: []byte(r.Document),
		Proposal: r.Proposal,
		Operator: r.Operator,
		At:       r.At,
	}
	return withContract(ch)
}

// withContract parses the document of a change.
func withContract(ch contract.Change) (contract.Change, error) {
	if len(ch.Document) == 0 {
		return ch, nil
	}
	d, findings := contractfile.ParseAccepted(ch.Service, ch.Document)
	if err := findings.Err(); err != nil {
		return ch, errors.Wrapf(err, "document of %s at revision %d", ch.Service, ch.Revision)
	}
	ch.Contract, ch.Accounts = d.Contract, d.Accounts
	return ch, nil
}
