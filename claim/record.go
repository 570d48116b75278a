package claim

import (
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
)

// record is a claim as the table holds it.
type record struct {
	ID     string `json:"id"`
	Epoch  uint64 `json:"epoch"`
	Print  string `json:"print"`
	Result string `json:"result"`
	Status int    `json:"status,omitempty"`
	Answer *kept  `json:"answer,omitempty"`
}

// kept is an answer as the table holds it.
type kept struct {
	Fields []caller.Field `json:"fields,omitempty"`
	Body   []byte         `json:"body,omitempty"`
}

func newRecord(c caller.Claim) record {
	r := record{
		ID:     c.ID.String(),
		Epoch:  c.Epoch,
		Print:  hex.EncodeToString(c.Print[:]),
		Result: c.Outcome.Result.String(),
		Status: c.Outcome.Status,
	}
	if a := c.Outcome.Answer; a != nil {
		r.Answer = &kept{Fields: a.Fields, Body: a.Body}
	}
	return r
}

func decodeClaim(value []byte) (*caller.Claim, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(err, "decode claim")
	}
	id, err := caller.ParseRequestID(r.ID)
	if err != nil {
		return nil, errors.Wrap(err, "decode claim")
	}
	result, ok := caller.ParseResult(r.Result)
	if !ok {
		return nil, errors.Errorf("decode claim: result %q", r.Result)
	}
	c := &caller.Claim{ID: id, Epoch: r.Epoch, Outcome: caller.Outcome{Result: result, Status: r.Status}}
	print, err := hex.DecodeString(r.Print)
	if err != nil || len(print) != len(c.Print) {
		return nil, errors.Errorf("decode claim: fingerprint %q", r.Print)
	}
	copy(c.Print[:], print)
	if r.Answer != nil {
		c.Outcome.Answer = &caller.Answer{Status: r.Status, Fields: r.Answer.Fields, Body: r.Answer.Body}
	}
	return c, nil
}
