// Package claim keeps in the platform's table which request id may run for a
// key that a caller brought, and how requests ended. It carries out the
// decisions of the package caller.
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

// claimSort is the sort key of a claim; each claim has a partition of its own.
const claimSort = "claim"

// conflictRetries bounds how often a claim is read again after another host
// wrote it first.
const conflictRetries = 3

// ErrAway means that the table could not decide: it is away, or the write of
// the claim is in doubt. The request must not run on account of its key.
var ErrAway = errors.New("the table cannot decide on the key")

// Key names what a claim is for.
type Key struct {
	Account string
	// Text is the key as the caller sent it.
	Text string
}

func (k Key) item() storage.Key {
	sum := sha256.Sum256([]byte(k.Text))
	return storage.Key{Partition: "claim/" + k.Account + "/" + hex.EncodeToString(sum[:]), Sort: claimSort}
}

// Store keeps the claims.
type Store struct {
	Table storage.Table
}

// Taken is the answer of Take.
type Taken struct {
	Verdict caller.ClaimVerdict
	// Claim is the claim in force: the new one when the verdict is KeyFree.
	Claim caller.Claim
}

// Take claims a key for a request id. With the verdict KeyFree the id holds
// the key now. It fails with ErrAway; then the claim may or may not be written,
// and the caller makes sure that the id never runs.
func (s *Store) Take(ctx context.Context, key Key, id caller.RequestID, print caller.Fingerprint) (Taken, error) {
	for range conflictRetries {
		present, version, err := s.read(ctx, key)
		if err != nil {
			return Taken{}, errors.Wrap(ErrAway, err.Error())
		}
		if verdict := present.Verdict(print); verdict != caller.KeyFree {
			return Taken{Verdict: verdict, Claim: *present}, nil
		}
		next := present.Next(id, print)
		err = s.write(ctx, key, next, version)
		if errors.Is(err, storage.ErrAmbiguous) {
			err = s.confirm(ctx, key, next)
		}
		if errors.Is(err, storage.ErrConflict) {
			continue
		}
		if err != nil {
			return Taken{}, errors.Wrap(ErrAway, err.Error())
		}
		return Taken{Verdict: caller.KeyFree, Claim: next}, nil
	}
	return Taken{}, errors.Wrap(ErrAway, "the key is contended")
}

// confirm reads back a claim whose write is in doubt. A claim that is not
// there may still be written later, so that is no answer either.
func (s *Store) confirm(ctx context.Context, key Key, want caller.Claim) error {
	present, _, err := s.read(ctx, key)
	switch {
	case err != nil:
		return err
	case present != nil && present.ID == want.ID && present.Epoch == want.Epoch:
		return nil
	case present != nil && present.Epoch >= want.Epoch:
		return errors.Wrap(storage.ErrConflict, "the key was claimed by another id")
	default:
		return errors.Wrap(storage.ErrAmbiguous, "the claim is not there yet")
	}
}

// Settle writes how the id that took a key ended, also when the claim itself
// was never written: a write of the claim that is still on its way then fails.
// Repeating it is harmless. It fails with storage.ErrUnavailable or
// storage.ErrAmbiguous, after which it must be repeated, and with
// storage.ErrConflict when another id holds the key.
func (s *Store) Settle(ctx context.Context, key Key, settled caller.Claim) error {
	present, version, err := s.read(ctx, key)
	if err != nil {
		return err
	}
	switch {
	case present == nil:
		settled.Epoch = max(1, settled.Epoch)
	case present.ID == settled.ID && present.Outcome.Result != caller.Pending:
		return nil
	case present.ID == settled.ID:
		settled.Epoch = present.Epoch
	case present.Epoch >= settled.Epoch || present.Outcome.Result != caller.NotRun:
		return errors.Wrap(storage.ErrConflict, "the key was claimed by another id")
	}
	return s.write(ctx, key, settled, version)
}

// read returns the claim and its version, or nil and 0 when there is none.
func (s *Store) read(ctx context.Context, key Key) (*caller.Claim, uint64, error) {
	item, err := s.Table.Get(ctx, key.item())
	if errors.Is(err, storage.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	present, err := decodeClaim(item.Value)
	if err != nil {
		return nil, 0, err
	}
	return present, item.Version, nil
}

func (s *Store) write(ctx context.Context, key Key, c caller.Claim, version uint64) error {
	value, err := json.Marshal(newRecord(c))
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	return s.Table.Write(ctx, storage.Put{Key: key.item(), Value: value, IfVersion: version})
}
