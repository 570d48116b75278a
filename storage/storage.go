// Package storage defines the interfaces to the platform: a transactional table
// service, an object store and a list of hosts. The packages below it hold the
// adapters to the real services and an in-memory platform.
package storage

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the platform's services. Implementations wrap them; test for them
// with errors.Is.
var (
	// ErrNotFound means that the item or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a condition of a write did not hold; nothing
	// was written.
	ErrConflict = errors.New("condition failed")
	// ErrUnavailable means that the service could not be reached or did not
	// carry out the call; nothing was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrAmbiguous means that a write may or may not have taken effect.
	ErrAmbiguous = errors.New("outcome of the write unknown")
	// ErrInvalid means that the call breaks a rule of the platform, for example
	// because an item is too large. A retry would fail the same way; nothing was
	// written.
	ErrInvalid = errors.New("invalid for the platform")
)

// Key is the key of an item in the table.
type Key struct {
	// Partition groups items that are queried together.
	Partition string
	// Sort identifies an item within its partition and orders the items there.
	Sort string
}

// Item is a versioned value in the table.
type Item struct {
	Key Key
	// Version is the number of times that the item was written, from 1.
	Version uint64
	Value   []byte
}

// Put is a conditional write of one item.
type Put struct {
	Key   Key
	Value []byte
	// IfVersion is the version that the stored item must have; 0 means that the
	// item must not exist.
	IfVersion uint64
}

// Table is a transactional table service.
type Table interface {
	// Get reads one item with strong consistency. It fails with ErrNotFound,
	// ErrUnavailable or ErrInvalid.
	Get(ctx context.Context, key Key) (Item, error)
	// Query reads the items of a partition whose sort keys are greater than
	// after, with strong consistency and in the order of their sort keys. It
	// returns at most limit items. It fails with ErrUnavailable or ErrInvalid.
	Query(ctx context.Context, partition, after string, limit int) ([]Item, error)
	// Write applies either all puts or none. They must be within the limits that
	// CheckPuts checks. It fails with ErrConflict, ErrUnavailable, ErrAmbiguous or ErrInvalid.
	Write(ctx context.Context, puts ...Put) error
}

// Objects is an object store.
type Objects interface {
	// PutObject stores an object of at most MaxObjectBytes. It fails with
	// ErrUnavailable, ErrAmbiguous or ErrInvalid.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject reads an object. It fails with ErrNotFound or ErrUnavailable.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// ListObjects lists in order the names that begin with prefix and sort after
	// the name after. It returns at most limit names.
	ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

// ListedHost is one host in the host list.
type ListedHost struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	// Since is when the host was added or, if it is leaving, began to leave.
	Since time.Time `json:"since"`
}

// Listing is the content of the host list when the platform compiled it.
type Listing struct {
	// AsOf is when the platform compiled the list, by the platform's clock.
	// Later changes are not in it.
	AsOf  time.Time    `json:"as-of"`
	Hosts []ListedHost `json:"hosts"`
}

// HostList is the platform's list of live and leaving hosts. It lags behind the
// real state.
type HostList interface {
	// Hosts reads the list. It fails with ErrUnavailable.
	Hosts(ctx context.Context) (Listing, error)
}
