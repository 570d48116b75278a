// Package publish keeps the configuration in the platform's table: it accepts
// proposals by compare-and-set under one fleet-wide revision, and reads what
// has been accepted.
//
// One accepted change is one transaction of five items:
//
//	revision/fleet            the fleet-wide revision, on the condition that
//	                          nobody else has moved it
//	change/REVISION           the change with its document
//	contract/SUBJECT          the same, as the newest change of its subject
//	history:SUBJECT/REVISION  the change without its document
//	proposal/ID               the same, by its idempotency key
//
// The five items make an accepted change visible whole or not at all, and the
// condition that the proposal's item does not exist keeps a repeated proposal
// from being applied twice.
package publish

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/zone"
)

// Partitions of the table.
const (
	partitionRevision = "revision"
	partitionChange   = "change"
	partitionContract = "contract"
	partitionProposal = "proposal"
	// partitionHistory is followed by the subject.
	partitionHistory = "history:"
)

// revisionSort is the sort key of the one item that holds the revision.
const revisionSort = "fleet"

// pageSize is how many items one query reads at most.
const pageSize = 500

// View is the configuration in force at one revision.
type View struct {
	Revision uint64
	// Changes are the newest change of each subject.
	Changes []contract.Change
}

// Change returns the newest change of a subject, if there is one.
func (v View) Change(subject string) (ch contract.Change, ok bool) {
	i := slices.IndexFunc(v.Changes, func(ch contract.Change) bool { return ch.Service == subject })
	if i < 0 {
		return contract.Change{}, false
	}
	return v.Changes[i], true
}

// Store reads and writes the configuration in the table.
type Store struct {
	Table storage.Table
	// Now is the wall clock.
	Now func() time.Time
	// InForce returns what this process has in force already, so that a
	// proposal is checked without reading everything from the table. Nil means
	// that nothing is in force.
	InForce func(context.Context) (View, error)
	// KnownAccounts are accounts that stand in no document.
	KnownAccounts []string
	// KnownZone reports whether a zone is declared; nil allows every zone.
	KnownZone func(zone.ID) bool
	// Corrupt is told of an item that cannot be read; the items beside it are
	// used all the same. Nil ignores it.
	Corrupt func(storage.Key, error)
}

func revisionKey() storage.Key {
	return storage.Key{Partition: partitionRevision, Sort: revisionSort}
}

func changeKey(revision uint64) storage.Key {
	return storage.Key{Partition: partitionChange, Sort: revisionText(revision)}
}

func contractKey(subject string) storage.Key {
	return storage.Key{Partition: partitionContract, Sort: subject}
}

func historyKey(subject string, revision uint64) storage.Key {
	return storage.Key{Partition: partitionHistory + subject, Sort: revisionText(revision)}
}

func proposalKey(id string) storage.Key {
	return storage.Key{Partition: partitionProposal, Sort: id}
}

// revisionText pads a revision so that its text sorts like its number.
func revisionText(revision uint64) string { return fmt.Sprintf("%020d", revision) }

// Revision reads the fleet-wide revision; 0 before the first change.
func (s *Store) Revision(ctx context.Context) (uint64, error) {
	item, err := s.Table.Get(ctx, revisionKey())
	if errors.Is(err, storage.ErrNotFound) {
		return 0, nil
	}
	// The item is written once for each revision, so its version is the
	// revision.
	return item.Version, err
}

func (s *Store) corrupt(key storage.Key, err error) {
	if s.Corrupt != nil {
		s.Corrupt(key, err)
	}
}
