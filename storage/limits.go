package storage

import "github.com/pkg/errors"

// Limits of the table service and the object store.
const (
	// MaxItem is the greatest size of an item with its key, in bytes.
	MaxItem = 400 << 10
	// MaxPartitionKey and MaxSortKey are the greatest sizes of the parts of a
	// key, in bytes.
	MaxPartitionKey = 2048
	MaxSortKey      = 1024
	// MaxPuts is how many items one write may put.
	MaxPuts = 100
	// MaxWrite is the greatest size of all items of one write, in bytes.
	MaxWrite = 4 << 20
	// MaxObject is the greatest size of an object, in bytes.
	MaxObject = 64 << 20
	// MaxObjectName is the greatest size of an object's name, in bytes.
	MaxObjectName = 1024

	// itemOverhead is what the version and the names of an item's attributes
	// add to its size, in bytes.
	itemOverhead = 64
)

// CheckKey checks the limits of a key. It fails with ErrInvalid.
func CheckKey(key Key) error {
	switch {
	case key.Partition == "" || key.Sort == "":
		return errors.Wrapf(ErrInvalid, "key %q/%q: both parts must be given", key.Partition, key.Sort)
	case len(key.Partition) > MaxPartitionKey:
		return errors.Wrapf(ErrInvalid, "partition key of %d bytes, limit %d", len(key.Partition), MaxPartitionKey)
	case len(key.Sort) > MaxSortKey:
		return errors.Wrapf(ErrInvalid, "sort key of %d bytes, limit %d", len(key.Sort), MaxSortKey)
	default:
		return nil
	}
}

// CheckPuts checks the limits of one write. It fails with ErrInvalid.
func CheckPuts(puts []Put) error {
	if len(puts) == 0 || len(puts) > MaxPuts {
		return errors.Wrapf(ErrInvalid, "write of %d items, limit 1 to %d", len(puts), MaxPuts)
	}
	seen := make(map[Key]bool, len(puts))
	total := 0
	for _, p := range puts {
		if err := CheckKey(p.Key); err != nil {
			return err
		}
		if seen[p.Key] {
			return errors.Wrapf(ErrInvalid, "item %s/%s twice in one write", p.Key.Partition, p.Key.Sort)
		}
		seen[p.Key] = true
		size := len(p.Key.Partition) + len(p.Key.Sort) + len(p.Value) + itemOverhead
		if size > MaxItem {
			return errors.Wrapf(ErrInvalid, "item %s/%s of %d bytes, limit %d", p.Key.Partition, p.Key.Sort, size, MaxItem)
		}
		total += size
	}
	if total > MaxWrite {
		return errors.Wrapf(ErrInvalid, "write of %d bytes, limit %d", total, MaxWrite)
	}
	return nil
}

// CheckQuery checks the partition and the limit of a query. It fails with
// ErrInvalid.
func CheckQuery(partition string, limit int) error {
	if partition == "" || len(partition) > MaxPartitionKey {
		return errors.Wrapf(ErrInvalid, "partition key of %d bytes, limit 1 to %d", len(partition), MaxPartitionKey)
	}
	return CheckLimit(limit)
}

// CheckLimit checks how many entries a call asks for. It fails with
// ErrInvalid.
func CheckLimit(limit int) error {
	if limit < 1 {
		return errors.Wrapf(ErrInvalid, "limit %d, must be at least 1", limit)
	}
	return nil
}

// CheckObject checks the limits of an object. It fails with ErrInvalid.
func CheckObject(name string, data []byte) error {
	switch {
	case name == "" || len(name) > MaxObjectName:
		return errors.Wrapf(ErrInvalid, "object name of %d bytes, limit 1 to %d", len(name), MaxObjectName)
	case len(data) > MaxObject:
		return errors.Wrapf(ErrInvalid, "object %s of %d bytes, limit %d", name, len(data), MaxObject)
	default:
		return nil
	}
}
