package fleettest

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/daemon"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/memory"
)

// StoreNode is the name of the platform's node on the network.
const StoreNode = "store"

// storeView is the platform as seen from one node. It counts reads and writes of
// the table. The table and the host list are unavailable while the network between
// the node and the platform is blocked; the object store is always available.
type storeView struct {
	network *Network
	node    string
	store   *memory.Platform
	reads   *atomic.Int64
	writes  *atomic.Int64
}

func (v storeView) platform() daemon.Platform {
	return daemon.Platform{Table: v, Objects: v.store, HostList: v}
}

// checkReachable fails while either direction between the node and the platform is
// blocked.
func (v storeView) checkReachable() error {
	if v.network.isBlocked(v.node, StoreNode) || v.network.isBlocked(StoreNode, v.node) {
		return errors.Wrap(storage.ErrUnavailable, "no network path to the store")
	}
	return nil
}

// Get implements storage.Table.
func (v storeView) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	v.reads.Add(1)
	if err := v.checkReachable(); err != nil {
		return storage.Item{}, err
	}
	return v.store.Get(ctx, key)
}

// Query implements storage.Table.
func (v storeView) Query(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	v.reads.Add(1)
	if err := v.checkReachable(); err != nil {
		return nil, err
	}
	return v.store.Query(ctx, partition, after, limit)
}

// Write implements storage.Table.
func (v storeView) Write(ctx context.Context, puts ...storage.Put) error {
	v.writes.Add(1)
	if err := v.checkReachable(); err != nil {
		return err
	}
	return v.store.Write(ctx, puts...)
}

// Hosts implements storage.HostList.
func (v storeView) Hosts(ctx context.Context) (storage.Listing, error) {
	if err := v.checkReachable(); err != nil {
		return storage.Listing{}, err
	}
	return v.store.Hosts(ctx)
}
