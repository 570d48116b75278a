package publish

import (
	"context"
	"crypto/sha256"
	"sort"
	"strconv"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/wire"
)

// ChangesAfter reads the changes after a position, in order, and returns them with the position up
// to which it has read. For revision 0, or if the table was restored from a copy since, it reads
// the newest change of each subject instead. The result is consistent with the returned
// position even if changes are written concurrently. A row that cannot be
// decoded is passed to OnCorruptRow and omitted; if only its document cannot be
// parsed, the change is returned without its contract.
func (s *Store) ChangesAfter(ctx context.Context, after history.Position) ([]contract.Change, history.Position, error) {
	present, err := s.presentPosition(ctx, after)
	if err != nil {
		return nil, after, err
	}
	var changes []contract.Change
	revision := present.Revision
	switch {
	case after.History.Before(present.History) || after.Revision == 0 && revision > 0:
		changes, revision, err = s.readNewest(ctx, present.Revision)
	case revision > after.Revision:
		changes, revision, err = s.readLog(ctx, after.Revision)
	}
	if err != nil {
		return nil, after, err
	}
	return changes, history.Position{History: present.History, Revision: revision}, nil
}

// readLog reads the changes after a revision, up to the first gap. A query is not
// a snapshot: it may miss a change that was written before one that it returns.
func (s *Store) readLog(ctx context.Context, after uint64) ([]contract.Change, uint64, error) {
	var out []contract.Change
	last, gap := after, false
	err := s.scan(ctx, partitionChange, formatRevision(after), func(row storage.Item) bool {
		if gap = row.Key != changeKey(last+1); gap {
			return false
		}
		last++
		if ch, ok := s.decodeChange(row); ok {
			out = append(out, ch)
		}
		return true
	})
	if err != nil {
		return nil, after, err
	}
	return out, last, nil
}

// readNewest reads the newest change of each subject. Start is the revision
// before the scan. Of the changes written during the scan, it may return a
// newer one and miss an older one. Therefore readNewest then reads the log
// after start, which makes the result consistent with one revision.
func (s *Store) readNewest(ctx context.Context, start uint64) ([]contract.Change, uint64, error) {
	bySubject := make(map[string]contract.Change)
	latest := start
	err := s.scan(ctx, partitionContract, "", func(row storage.Item) bool {
		if ch, ok := s.decodeChange(row); ok {
			bySubject[ch.Subject] = ch
			latest = max(latest, ch.Revision)
		}
		return true
	})
	if err != nil {
		return nil, 0, err
	}
	revision := start
	if latest > start {
		changes, last, err := s.readLog(ctx, start)
		if err != nil {
			return nil, 0, err
		}
		if last < latest {
			return nil, 0, errors.Wrapf(storage.ErrUnavailable, "change log ends at revision %d before %d", last, latest)
		}
		for _, ch := range changes {
			bySubject[ch.Subject] = ch
		}
		revision = last
	}
	return sortByRevision(bySubject), revision, nil
}

// decodeChange decodes a change and reports one that cannot be decoded. If only
// the document cannot be parsed, it returns the change without its contract:
// another host that runs a newer version may be able to parse it.
func (s *Store) decodeChange(row storage.Item) (ch contract.Change, ok bool) {
	ch, err := wire.DecodeChange(row.Value)
	if err != nil {
		s.reportCorrupt(row.Key, err)
	}
	return ch, ch.Revision > 0
}

// scan calls visit for each row of a partition whose sort key is greater than
// after, in order and page by page, until visit returns false.
func (s *Store) scan(ctx context.Context, partition, after string, visit func(storage.Item) bool) error {
	for {
		rows, err := s.Table.Query(ctx, partition, after, pageSize)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if !visit(row) {
				return nil
			}
			after = row.Key.Sort
		}
		if len(rows) < pageSize {
			return nil
		}
	}
}

func sortByRevision(bySubject map[string]contract.Change) []contract.Change {
	out := make([]contract.Change, 0, len(bySubject))
	for _, ch := range bySubject {
		out = append(out, ch)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision < out[j].Revision })
	return out
}

// HistoryEntry is one change in the history of a subject, without its document.
type HistoryEntry struct {
	contract.Change
	// Removed is set when the change removed the document.
	Removed bool
}

// History reads the changes of a subject after a revision, oldest first and at
// most limit of them. Next is the value of after for the next page, or 0 on the
// last page.
func (s *Store) History(ctx context.Context, subject string, after uint64, limit int) (entries []HistoryEntry, next uint64, err error) {
	rows, err := s.Table.Query(ctx, historyPartitionPrefix+subject, formatRevision(after), limit)
	if err != nil {
		return nil, 0, err
	}
	emptyDigest := sha256.Sum256(nil)
	for _, row := range rows {
		sum, err := wire.DecodeChangeSummary(row.Value)
		if err != nil {
			s.reportCorrupt(row.Key, err)
			continue
		}
		entries = append(entries, HistoryEntry{Change: sum.Change, Removed: sum.Digest == emptyDigest})
	}
	if len(rows) < limit {
		return entries, 0, nil
	}
	next, err = strconv.ParseUint(rows[limit-1].Key.Sort, 10, 64)
	return entries, next, errors.Wrap(err, "parse sort key of the history")
}

// Change reads the change that created a revision, with its document. It fails
// with storage.ErrNotFound when there is none.
func (s *Store) Change(ctx context.Context, revision uint64) (contract.Change, error) {
	row, err := s.Table.Get(ctx, changeKey(revision))
	if err != nil {
		return contract.Change{}, err
	}
	return wire.DecodeChange(row.Value)
}
