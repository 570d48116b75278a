// Package storage defines what the system needs of the platform: a
// transactional table service, an object store and a list of hosts. Adapters
// and an in-memory platform stand in the packages below it.
package storage

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the table service and the object store. Adapters wrap them; test
// with errors.Is.
var (
	// ErrNotFound means that the item or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a condition of a write did not hold; nothing
	// was written.
	ErrConflict = errors.New("condition failed")
	// ErrUnavailable means that the service is away; nothing was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrAmbiguous means that a write may or may not have taken effect.
	ErrAmbiguous = errors.New("outcome of the write unknown")
	// ErrInvalid means that the platform can never carry out the call as it
	// stands, for example because an item is too large; nothing was written.
	ErrInvalid = errors.New("invalid for the platform")
)

// Key names an item of the table.
type Key struct {
	// Partition groups items that are queried together.
	Partition string
	// Sort orders the items of a partition.
	Sort string
}

// Item is one row of the table.
type Item struct {
	Key Key
	// Version counts the writes of this item, from 1.
	Version uint64
	Value   []byte
}

// Put writes one item on a condition.
type Put struct {
	Key   Key
	Value []byte
	// IfVersion is the version that the item must have; 0 means that it must
	// not exist.
	IfVersion uint64
}

// Table is a transactional table service.
type Table interface {
	// Get reads one item consistently. It fails with ErrNotFound,
	// ErrUnavailable or ErrInvalid.
	Get(ctx context.Context, key Key) (Item, error)
	// Query reads the items of a partition whose sort keys are greater than
	// after, consistently and in order, at most limit of them. It fails with
	// ErrUnavailable or ErrInvalid.
	Query(ctx context.Context, partition, after string, limit int) ([]Item, error)
	// Write applies all puts or none, under the limits of CheckPuts. It fails
	// with ErrConflict, ErrUnavailable, ErrAmbiguous or ErrInvalid.
	Write(ctx context.Context, puts ...Put) error
}

// Objects is an object store.
type Objects interface {
	// PutObject stores an object of at most MaxObject bytes. It fails with
	// ErrUnavailable, ErrAmbiguous or ErrInvalid.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject reads an object. It fails with ErrNotFound or ErrUnavailable.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// ListObjects lists the names with a prefix that sort after a name, in
	// order, at most limit of them.
	ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

// ListedHost is one machine of the host list.
type ListedHost struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	// Since is when the machine came or began to leave.
	Since time.Time `json:"since"`
}

// Listing is one reading of the host list.
type Listing struct {
	// AsOf is when the platform compiled the list, by the platform's clock;
	// the list says nothing of what happened later.
	AsOf  time.Time    `json:"as-of"`
	Hosts []ListedHost `json:"hosts"`
}

// HostList is the platform's lagging list of live and leaving machines.
type HostList interface {
	// Hosts reads the list. It fails with ErrUnavailable.
	Hosts(ctx context.Context) (Listing, error)
}
