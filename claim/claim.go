// Package claim stores in the platform's table which request id may run for an
// idempotency key, and the outcomes of requests. Package caller decides whether a
// request may claim a key.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/storage"
)

// claimSortKey is the sort key of every claim. Each claim has its own partition.
const claimSortKey = "claim"

// maxClaimAttempts is the maximum number of attempts of Claim while other hosts write
// the claim of the same key.
const maxClaimAttempts = 3

// ErrUndecided means that it is not known whether the id holds the key: the table is
// unavailable, other hosts write the claim at the same time, or the outcome of the
// write is unknown. The request must not be run on the grounds that its id holds the
// key.
var ErrUndecided = errors.New("the table cannot decide on the key")

// Key is the idempotency key of a claim.
type Key struct {
	Account string
	// Text is the key as the caller sent it.
	Text string
}

// rowKey returns the key of the claim's row, which contains a hash of the text.
func (k Key) rowKey() storage.Key {
	sum := sha256.Sum256([]byte(k.Text))
	return storage.Key{Partition: "claim/" + k.Account + "/" + hex.EncodeToString(sum[:]), Sort: claimSortKey}
}

// Store reads and writes the claims in the table.
type Store struct {
	Table storage.Table
}

// ClaimResult is the result of Claim.
type ClaimResult struct {
	Decision caller.KeyDecision
	// Claim is the current claim on the key. If Decision is KeyFree, this is the claim
	// that was just written.
	Claim caller.Claim
}

// Claim claims a key for a request id. If the decision is KeyFree, the id holds the key
// now. All errors wrap ErrUndecided. After an error the claim may or may not have been
// written, and the caller must never run the request on the grounds that its id holds
// the key.
func (s *Store) Claim(ctx context.Context, key Key, id caller.RequestID, fingerprint caller.Fingerprint) (ClaimResult, error) {
	for range maxClaimAttempts {
		current, version, err := s.readClaim(ctx, key)
		if err != nil {
			return ClaimResult{}, errors.Wrap(ErrUndecided, err.Error())
		}
		if decision := current.Decide(fingerprint); decision != caller.KeyFree {
			return ClaimResult{Decision: decision, Claim: *current}, nil
		}
		next := current.Next(id, fingerprint)
		err = s.writeClaim(ctx, key, next, version)
		if errors.Is(err, storage.ErrAmbiguous) {
			err = s.readBack(ctx, key, next)
		}
		if errors.Is(err, storage.ErrConflict) {
			continue
		}
		if err != nil {
			return ClaimResult{}, errors.Wrap(ErrUndecided, err.Error())
		}
		return ClaimResult{Decision: caller.KeyFree, Claim: next}, nil
	}
	return ClaimResult{}, errors.Wrap(ErrUndecided, "the key is contended")
}

// readBack finds out whether a write with an unknown outcome has stored the claim. It
// returns nil if so, and storage.ErrConflict if another id holds the key. While the
// table has no such claim, it returns storage.ErrAmbiguous, since the write may still
// take effect later.
func (s *Store) readBack(ctx context.Context, key Key, want caller.Claim) error {
	current, _, err := s.readClaim(ctx, key)
	switch {
	case err != nil:
		return err
	case current != nil && current.ID == want.ID && current.Epoch == want.Epoch:
		return nil
	case current != nil && current.Epoch >= want.Epoch:
		return errors.Wrap(storage.ErrConflict, "the key was claimed by another id")
	default:
		return errors.Wrap(storage.ErrAmbiguous, "the claim is not there yet")
	}
}

// Settle writes the outcome of the id that claimed a key, even if the claim itself was
// never written. A write of the claim that is still delayed then fails. Settle is
// idempotent. After storage.ErrUnavailable or storage.ErrAmbiguous it must be called
// again; after storage.ErrConflict another id holds the key.
func (s *Store) Settle(ctx context.Context, key Key, settled caller.Claim) error {
	current, version, err := s.readClaim(ctx, key)
	if err != nil {
		return err
	}
	switch {
	case current == nil:
		settled.Epoch = max(1, settled.Epoch)
	case current.ID == settled.ID && current.Outcome.Result != caller.Pending:
		return nil
	case current.ID == settled.ID:
		settled.Epoch = current.Epoch
	case current.Epoch >= settled.Epoch || current.Outcome.Result != caller.NotRun:
		return errors.Wrap(storage.ErrConflict, "the key was claimed by another id")
	}
	return s.writeClaim(ctx, key, settled, version)
}

// readClaim returns the claim on a key and the version of its row, or nil and 0 if
// there is none.
func (s *Store) readClaim(ctx context.Context, key Key) (*caller.Claim, uint64, error) {
	row, err := s.Table.Get(ctx, key.rowKey())
	if errors.Is(err, storage.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	current, err := decodeClaim(row.Value)
	if err != nil {
		return nil, 0, err
	}
	return current, row.Version, nil
}

// writeClaim writes a claim if its row still has the given version.
func (s *Store) writeClaim(ctx context.Context, key Key, c caller.Claim, version uint64) error {
	value, err := json.Marshal(newStoredClaim(c))
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	return s.Table.Write(ctx, storage.Put{Key: key.rowKey(), Value: value, IfVersion: version})
}
