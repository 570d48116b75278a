package publish

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/storage"
)

// A table that was restored to an earlier point in time has lost its latest changes, and gives their
// revisions out again. It names no history itself: the host that first reads a lower revision than
// it knows writes the number of a new history beside the revision, and all hosts read the two
// together. A restore stays unnoticed if the revisions have passed the old ones before any host reads.

// historySortKey is the sort key of the row of partitionRevision with the number of the history.
const historySortKey = "history"

// firstHistory is the history of a table without that row.
const firstHistory history.ID = 1

func historyIDKey() storage.Key {
	return storage.Key{Partition: partitionRevision, Sort: historySortKey}
}

// position reads the history and the fleet-wide revision. rowVersion is the version of the row
// with the history.
func (s *Store) position(ctx context.Context) (p history.Position, rowVersion uint64, err error) {
	rows, err := s.Table.Query(ctx, partitionRevision, "", pageSize)
	if err != nil {
		return history.Position{}, 0, err
	}
	p.History = firstHistory
	for _, row := range rows {
		switch row.Key.Sort {
		case revisionSortKey:
			p.Revision = row.Version
		case historySortKey:
			id, err := strconv.ParseUint(string(row.Value), 10, 64)
			if err != nil {
				return history.Position{}, 0, errors.Wrap(err, "the table's history")
			}
			p.History, rowVersion = history.ID(id), row.Version
		}
	}
	return p, rowVersion, nil
}

// presentPosition returns the table's position. If the table was restored since the known
// position was read, it begins a new history.
func (s *Store) presentPosition(ctx context.Context, known history.Position) (history.Position, error) {
	for range maxAttempts {
		present, rowVersion, err := s.position(ctx)
		if err != nil || !present.Before(known) {
			return present, err
		}
		next := max(known.History, present.History) + 1
		// Two restores to the same copy must not lead to the same number.
		next = max(next, history.ID(s.Now().UnixMilli()))
		err = s.Table.Write(ctx, storage.Put{
			Key: historyIDKey(), Value: []byte(strconv.FormatUint(uint64(next), 10)), IfVersion: rowVersion,
		})
		if err != nil && !errors.Is(err, storage.ErrConflict) && !errors.Is(err, storage.ErrAmbiguous) {
			return history.Position{}, err
		}
	}
	return history.Position{}, errors.Wrap(storage.ErrUnavailable, "the table's history kept changing")
}
