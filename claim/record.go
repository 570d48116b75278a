package claim

import (
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
)

// storedClaim is the JSON form of a claim in the table.
type storedClaim struct {
	ID          string          `json:"id"`
	Epoch       uint64          `json:"epoch"`
	Fingerprint string          `json:"print"`
	Result      string          `json:"result"`
	Status      int             `json:"status,omitempty"`
	Response    *storedResponse `json:"answer,omitempty"`
}

// storedResponse is the JSON form of a response in the table.
type storedResponse struct {
	Fields []caller.HeaderField `json:"fields,omitempty"`
	Body   []byte               `json:"body,omitempty"`
}

func newStoredClaim(c caller.Claim) storedClaim {
	stored := storedClaim{
		ID:          c.ID.String(),
		Epoch:       c.Epoch,
		Fingerprint: hex.EncodeToString(c.Fingerprint[:]),
		Result:      c.Outcome.Result.String(),
		Status:      c.Outcome.Status,
	}
	if response := c.Outcome.Response; response != nil {
		stored.Response = &storedResponse{Fields: response.Fields, Body: response.Body}
	}
	return stored
}

// decodeClaim parses the JSON form of a claim.
func decodeClaim(value []byte) (*caller.Claim, error) {
	var stored storedClaim
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, errors.Wrap(err, "decode claim")
	}
	id, err := caller.ParseRequestID(stored.ID)
	if err != nil {
		return nil, errors.Wrap(err, "decode claim")
	}
	result, ok := caller.ParseResult(stored.Result)
	if !ok {
		return nil, errors.Errorf("decode claim: result %q", stored.Result)
	}
	c := &caller.Claim{ID: id, Epoch: stored.Epoch, Outcome: caller.Outcome{Result: result, Status: stored.Status}}
	fingerprint, err := hex.DecodeString(stored.Fingerprint)
	if err != nil || len(fingerprint) != len(c.Fingerprint) {
		return nil, errors.Errorf("decode claim: fingerprint %q", stored.Fingerprint)
	}
	copy(c.Fingerprint[:], fingerprint)
	if stored.Response != nil {
		c.Outcome.Response = &caller.Response{Status: stored.Status, Fields: stored.Response.Fields, Body: stored.Response.Body}
	}
	return c, nil
}
