// Package publish stores the configuration in the platform's table. It accepts
// proposed changes by compare-and-set on a fleet-wide revision, and reads the
// accepted changes.
//
// An accepted change is written in one transaction of five rows:
//
//	revision/fleet            the fleet-wide revision, on the condition that it
//	                          is still the one that the change is based on
//	change/REVISION           the change with its document
//	contract/SUBJECT          the same content, as the newest change of its
//	                          subject
//	history:SUBJECT/REVISION  the change without its document
//	proposal/ID               the change without its document, by the idempotency
//	                          key of its proposal
//
// The transaction makes an accepted change visible completely or not at all. The
// condition that the row proposal/ID does not exist prevents a repeated proposal
// from being applied twice.
package publish

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/zone"
)

// Partitions of the table.
const (
	partitionRevision = "revision"
	partitionChange   = "change"
	partitionContract = "contract"
	partitionProposal = "proposal"
	// historyPartitionPrefix is followed by the subject.
	historyPartitionPrefix = "history:"
)

// revisionSortKey is the sort key of the single row of partitionRevision.
const revisionSortKey = "fleet"

// pageSize is the maximum number of rows that one query reads.
const pageSize = 500

// View is the configuration in force at one position.
type View struct {
	history.Position
	// Changes holds the newest change of each subject.
	Changes []contract.Change
	// Kept are the subjects whose documents the table has lost in a restore.
	Kept map[string]bool
}

// Change returns the newest change of a subject, if there is one.
func (v View) Change(subject string) (ch contract.Change, ok bool) {
	i := slices.IndexFunc(v.Changes, func(ch contract.Change) bool { return ch.Subject == subject })
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
	// InForce returns the configuration in force in this process, so that a
	// proposal is checked without reading the whole configuration from the
	// table. If it is nil, the whole configuration is read.
	InForce func(context.Context) (View, error)
	// KnownAccounts lists accounts that are defined outside the documents.
	KnownAccounts []string
	// KnownZone reports whether a zone is declared; nil allows every zone.
	KnownZone func(zone.ID) bool
	// OnCorruptRow is called for each row that cannot be decoded. The other rows
	// are used nevertheless. It may be nil.
	OnCorruptRow func(storage.Key, error)
}

func revisionKey() storage.Key {
	return storage.Key{Partition: partitionRevision, Sort: revisionSortKey}
}

func changeKey(revision uint64) storage.Key {
	return storage.Key{Partition: partitionChange, Sort: formatRevision(revision)}
}

func contractKey(subject string) storage.Key {
	return storage.Key{Partition: partitionContract, Sort: subject}
}

func historyKey(subject string, revision uint64) storage.Key {
	return storage.Key{Partition: historyPartitionPrefix + subject, Sort: formatRevision(revision)}
}

func proposalKey(id string) storage.Key {
	return storage.Key{Partition: partitionProposal, Sort: id}
}

// formatRevision formats a revision with leading zeros, so that the order of sort
// keys is that of the revisions.
func formatRevision(revision uint64) string { return fmt.Sprintf("%020d", revision) }

// Revision reads the fleet-wide revision. It is 0 before the first change.
func (s *Store) Revision(ctx context.Context) (uint64, error) {
	row, err := s.Table.Get(ctx, revisionKey())
	if errors.Is(err, storage.ErrNotFound) {
		return 0, nil
	}
	// The row is written once for each revision, so its version is the revision.
	return row.Version, err
}

func (s *Store) reportCorrupt(key storage.Key, err error) {
	if s.OnCorruptRow != nil {
		s.OnCorruptRow(key, err)
	}
}
