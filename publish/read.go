package publish

import (
	"context"
	"crypto/sha256"
	"sort"
	"strconv"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/wire"
)

// ChangesAfter reads the changes after a revision, in order, and the revision
// that they lead to. After 0 it reads the newest change of each subject
// instead, as of the revision that it returns, whatever is written meanwhile.
// An item that cannot be read is told to Corrupt; it is left out, or has no
// contract when only its document cannot be read.
func (s *Store) ChangesAfter(ctx context.Context, after uint64) ([]contract.Change, uint64, error) {
	revision, err := s.Revision(ctx)
	if err != nil || revision <= after {
		return nil, after, err
	}
	if after > 0 {
		return s.log(ctx, after)
	}
	return s.newest(ctx, revision)
}

// log reads the changes after a revision. The sequence ends before the first
// gap: a query is no snapshot, and a change that it missed may have been
// written before one that it found.
func (s *Store) log(ctx context.Context, after uint64) ([]contract.Change, uint64, error) {
	var out []contract.Change
	last, gap := after, false
	err := s.scan(ctx, partitionChange, revisionText(after), func(item storage.Item) bool {
		if gap = item.Key != changeKey(last+1); gap {
			return false
		}
		last++
		if ch, ok := s.decode(item); ok {
			out = append(out, ch)
		}
		return true
	})
	if err != nil {
		return nil, after, err
	}
	return out, last, nil
}

// newest reads the newest change of each subject. The scan may meet changes
// that are newer than the revision at which it began, and miss others that
// are no newer than those; the log from that revision on completes them to one
// cut.
func (s *Store) newest(ctx context.Context, began uint64) ([]contract.Change, uint64, error) {
	found := make(map[string]contract.Change)
	latest := began
	err := s.scan(ctx, partitionContract, "", func(item storage.Item) bool {
		if ch, ok := s.decode(item); ok {
			found[ch.Service] = ch
			latest = max(latest, ch.Revision)
		}
		return true
	})
	if err != nil {
		return nil, 0, err
	}
	revision := began
	if latest > began {
		changes, last, err := s.log(ctx, began)
		if err != nil {
			return nil, 0, err
		}
		if last < latest {
			return nil, 0, errors.Wrapf(storage.ErrUnavailable, "change log ends at revision %d before %d", last, latest)
		}
		for _, ch := range changes {
			found[ch.Service] = ch
		}
		revision = last
	}
	return sorted(found), revision, nil
}

// decode decodes a change and reports one that cannot be read. A change whose
// document alone cannot be read is kept without its contract, since a peer of
// a newer version may be able to read it.
func (s *Store) decode(item storage.Item) (ch contract.Change, ok bool) {
	ch, err := wire.DecodeChange(item.Value)
	if err != nil {
		s.corrupt(item.Key, err)
	}
	return ch, ch.Revision > 0
}

// scan hands the items of a partition over in order, page by page, until f
// returns false.
func (s *Store) scan(ctx context.Context, partition, after string, f func(storage.Item) bool) error {
	for {
		items, err := s.Table.Query(ctx, partition, after, pageSize)
		if err != nil {
			return err
		}
		for _, item := range items {
			if !f(item) {
				return nil
			}
			after = item.Key.Sort
		}
		if len(items) < pageSize {
			return nil
		}
	}
}

func sorted(found map[string]contract.Change) []contract.Change {
	out := make([]contract.Change, 0, len(found))
	for _, ch := range found {
		out = append(out, ch)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision < out[j].Revision })
	return out
}

// Entry is one change of a subject's history, without its document.
type Entry struct {
	contract.Change
	// Removed is set when the change removed the document.
	Removed bool
}

// History reads the changes of a subject after a revision, oldest first, at
// most limit of them. Next is the revision to read the next page after, or 0
// on the last page.
func (s *Store) History(ctx context.Context, subject string, after uint64, limit int) (list []Entry, next uint64, err error) {
	items, err := s.Table.Query(ctx, partitionHistory+subject, revisionText(after), limit)
	if err != nil {
		return nil, 0, err
	}
	removed := sha256.Sum256(nil)
	for _, item := range items {
		sum, err := wire.DecodeSummary(item.Value)
		if err != nil {
			s.corrupt(item.Key, err)
			continue
		}
		list = append(list, Entry{Change: sum.Change, Removed: sum.Digest == removed})
	}
	if len(items) < limit {
		return list, 0, nil
	}
	next, err = strconv.ParseUint(items[limit-1].Key.Sort, 10, 64)
	return list, next, errors.Wrap(err, "sort key of the history")
}

// Change reads the change of a revision with its document. It fails with
// storage.ErrNotFound.
func (s *Store) Change(ctx context.Context, revision uint64) (contract.Change, error) {
	item, err := s.Table.Get(ctx, changeKey(revision))
	if err != nil {
		return contract.Change{}, err
	}
	return wire.DecodeChange(item.Value)
}
