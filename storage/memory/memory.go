// Package memory implements the platform's services in memory, for tests and for
// trying the system out. The data is lost when the process ends.
package memory

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/fault"
)

var (
	_ storage.Table    = (*Platform)(nil)
	_ storage.Objects  = (*Platform)(nil)
	_ storage.HostList = (*Platform)(nil)
)

// Platform is an in-memory table, object store and host list. It is safe for
// concurrent use.
type Platform struct {
	// Faults are the injected faults of all services. Initially none are switched on.
	Faults fault.Set

	mu      sync.Mutex
	items   map[storage.Key]storage.Item
	objects map[string][]byte
	hosts   []storage.ListedHost
	// lastListing is the host list that Hosts last returned. Hosts keeps
	// returning it while the stale fault is switched on.
	lastListing storage.Listing
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{
		items:   make(map[storage.Key]storage.Item),
		objects: make(map[string][]byte),
	}
}

// Get implements storage.Table.
func (p *Platform) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	if err := storage.CheckKey(key); err != nil {
		return storage.Item{}, err
	}
	if err := p.beforeRead(ctx); err != nil {
		return storage.Item{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	item, ok := p.items[key]
	if !ok {
		return storage.Item{}, errors.Wrapf(storage.ErrNotFound, "item %s/%s", key.Partition, key.Sort)
	}
	return item, nil
}

// Query implements storage.Table.
func (p *Platform) Query(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	if err := storage.CheckQuery(partition, limit); err != nil {
		return nil, err
	}
	if err := p.beforeRead(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []storage.Item
	for k, item := range p.items {
		if k.Partition == partition && k.Sort > after {
			out = append(out, item)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key.Sort < out[j].Key.Sort })
	return out[:min(limit, len(out))], nil
}

// Write implements storage.Table.
func (p *Platform) Write(ctx context.Context, puts ...storage.Put) error {
	if err := storage.CheckPuts(puts); err != nil {
		return err
	}
	return p.writeWithFaults(ctx, func() error { return p.applyPuts(puts) })
}

// applyPuts applies either all puts or none.
func (p *Platform) applyPuts(puts []storage.Put) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, put := range puts {
		if p.items[put.Key].Version != put.IfVersion {
			return errors.Wrapf(storage.ErrConflict, "item %s/%s", put.Key.Partition, put.Key.Sort)
		}
	}
	for _, put := range puts {
		p.items[put.Key] = storage.Item{
			Key:     put.Key,
			Version: put.IfVersion + 1,
			Value:   bytes.Clone(put.Value),
		}
	}
	return nil
}

// TableCopy is what the table held at a moment.
type TableCopy struct{ items map[storage.Key]storage.Item }

// CopyTable returns a copy of what the table holds.
func (p *Platform) CopyTable() TableCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return TableCopy{items: maps.Clone(p.items)}
}

// RestoreTable makes the table hold a copy again. All that was written since is lost.
func (p *Platform) RestoreTable(c TableCopy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.items = maps.Clone(c.items)
}

// PutObject implements storage.Objects.
func (p *Platform) PutObject(ctx context.Context, name string, data []byte) error {
	if err := storage.CheckObject(name, data); err != nil {
		return err
	}
	return p.writeWithFaults(ctx, func() error {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.objects[name] = bytes.Clone(data)
		return nil
	})
}

// GetObject implements storage.Objects.
func (p *Platform) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := p.beforeRead(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[name]
	if !ok {
		return nil, errors.Wrapf(storage.ErrNotFound, "object %s", name)
	}
	return bytes.Clone(data), nil
}

// ListObjects implements storage.Objects.
func (p *Platform) ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	if err := storage.CheckLimit(limit); err != nil {
		return nil, err
	}
	if err := p.beforeRead(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for name := range p.objects {
		if strings.HasPrefix(name, prefix) && name > after {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out[:min(limit, len(out))], nil
}

// Hosts implements storage.HostList.
func (p *Platform) Hosts(ctx context.Context) (storage.Listing, error) {
	if err := p.beforeRead(ctx); err != nil {
		return storage.Listing{}, err
	}
	stale := p.Faults.State().Stale
	p.mu.Lock()
	defer p.mu.Unlock()
	if !stale || p.lastListing.AsOf.IsZero() {
		p.lastListing = storage.Listing{AsOf: time.Now(), Hosts: slices.Clone(p.hosts)}
	}
	return p.lastListing, nil
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(hosts []storage.ListedHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.Clone(hosts)
}
