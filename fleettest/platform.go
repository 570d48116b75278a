package fleettest

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/daemon"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/memory"
)

// Store is the place of the platform on the network.
const Store = "store"

// storeView is the platform as one place reaches it.
type storeView struct {
	network *Network
	place   string
	store   *memory.Platform
	reads   *atomic.Int64
	writes  *atomic.Int64
}

func (v storeView) platform() daemon.Platform {
	return daemon.Platform{Table: v, Objects: v.store, HostList: v}
}

// reach fails while the way to the platform or back is blocked.
func (v storeView) reach() error {
	if v.network.blocked(v.place, Store) || v.network.blocked(Store, v.place) {
		return errors.Wrap(storage.ErrUnavailable, "no path")
	}
	return nil
}

// Get implements storage.Table.
func (v storeView) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	v.reads.Add(1)
	if err := v.reach(); err != nil {
		return storage.Item{}, err
	}
	return v.store.Get(ctx, key)
}

// Query implements storage.Table.
func (v storeView) Query(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	v.reads.Add(1)
	if err := v.reach(); err != nil {
		return nil, err
	}
	return v.store.Query(ctx, partition, after, limit)
}

// Write implements storage.Table.
func (v storeView) Write(ctx context.Context, puts ...storage.Put) error {
	v.writes.Add(1)
	if err := v.reach(); err != nil {
		return err
	}
	return v.store.Write(ctx, puts...)
}

// Hosts implements storage.HostList.
func (v storeView) Hosts(ctx context.Context) (storage.Listing, error) {
	if err := v.reach(); err != nil {
		return storage.Listing{}, err
	}
	return v.store.Hosts(ctx)
}
