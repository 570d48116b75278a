package storage

import "github.com/pkg/errors"

// Limits of the table service and the object store. Sizes are in bytes.
const (
	// MaxItemBytes is the largest size of an item including its key.
	MaxItemBytes = 400 << 10
	// MaxPartitionKeyBytes and MaxSortKeyBytes are the largest sizes of the two
	// parts of a key.
	MaxPartitionKeyBytes = 2048
	MaxSortKeyBytes      = 1024
	// MaxPuts is the largest number of puts in one write.
	MaxPuts = 100
	// MaxWriteBytes is the largest total size of the items in one write.
	MaxWriteBytes = 4 << 20
	// MaxObjectBytes is the largest size of an object.
	MaxObjectBytes = 64 << 20
	// MaxObjectNameBytes is the largest size of an object's name.
	MaxObjectNameBytes = 1024

	// itemOverheadBytes is what CheckPuts counts for the version and the names
	// of an item's attributes.
	itemOverheadBytes = 64
)

// CheckKey checks a key against the limits. It fails with ErrInvalid.
func CheckKey(key Key) error {
	switch {
	case key.Partition == "" || key.Sort == "":
		return errors.Wrapf(ErrInvalid, "key %q/%q: neither the partition key nor the sort key may be empty", key.Partition, key.Sort)
	case len(key.Partition) > MaxPartitionKeyBytes:
		return errors.Wrapf(ErrInvalid, "partition key has %d bytes, must have at most %d", len(key.Partition), MaxPartitionKeyBytes)
	case len(key.Sort) > MaxSortKeyBytes:
		return errors.Wrapf(ErrInvalid, "sort key has %d bytes, must have at most %d", len(key.Sort), MaxSortKeyBytes)
	default:
		return nil
	}
}

// CheckPuts checks the puts of one write against the limits. It fails with
// ErrInvalid.
func CheckPuts(puts []Put) error {
	if len(puts) == 0 || len(puts) > MaxPuts {
		return errors.Wrapf(ErrInvalid, "write has %d items, must have 1 to %d", len(puts), MaxPuts)
	}
	seen := make(map[Key]bool, len(puts))
	totalBytes := 0
	for _, p := range puts {
		if err := CheckKey(p.Key); err != nil {
			return err
		}
		if seen[p.Key] {
			return errors.Wrapf(ErrInvalid, "item %s/%s appears twice in one write", p.Key.Partition, p.Key.Sort)
		}
		seen[p.Key] = true
		size := len(p.Key.Partition) + len(p.Key.Sort) + len(p.Value) + itemOverheadBytes
		if size > MaxItemBytes {
			return errors.Wrapf(ErrInvalid, "item %s/%s has %d bytes, must have at most %d", p.Key.Partition, p.Key.Sort, size, MaxItemBytes)
		}
		totalBytes += size
	}
	if totalBytes > MaxWriteBytes {
		return errors.Wrapf(ErrInvalid, "write has %d bytes, must have at most %d", totalBytes, MaxWriteBytes)
	}
	return nil
}

// CheckQuery checks the partition key and the limit of a query. It fails with
// ErrInvalid.
func CheckQuery(partition string, limit int) error {
	if partition == "" || len(partition) > MaxPartitionKeyBytes {
		return errors.Wrapf(ErrInvalid, "partition key has %d bytes, must have 1 to %d", len(partition), MaxPartitionKeyBytes)
	}
	return CheckLimit(limit)
}

// CheckLimit checks the number of entries that a call asks for. It fails with
// ErrInvalid.
func CheckLimit(limit int) error {
	if limit < 1 {
		return errors.Wrapf(ErrInvalid, "limit is %d, must be at least 1", limit)
	}
	return nil
}

// CheckObject checks the name and size of an object against the limits. It fails
// with ErrInvalid.
func CheckObject(name string, data []byte) error {
	switch {
	case name == "" || len(name) > MaxObjectNameBytes:
		return errors.Wrapf(ErrInvalid, "object name has %d bytes, must have 1 to %d", len(name), MaxObjectNameBytes)
	case len(data) > MaxObjectBytes:
		return errors.Wrapf(ErrInvalid, "object %s has %d bytes, must have at most %d", name, len(data), MaxObjectBytes)
	default:
		return nil
	}
}
