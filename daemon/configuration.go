package daemon

import (
	"context"
	"time"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/storage"
)

// newStore returns the store of the configuration, which checks proposals
// against what this host has in force.
func (d *Daemon) newStore(table storage.Table) *publish.Store {
	return &publish.Store{
		Table:         table,
		Now:           time.Now,
		InForce:       d.inForce,
		KnownAccounts: d.settings.accountNames(),
		KnownZone:     d.settings.knownZone(),
		OnCorruptRow:  d.corruptItem,
	}
}

// inForce returns the configuration in force on this host.
func (d *Daemon) inForce(ctx context.Context) (publish.View, error) {
	var view publish.View
	err := d.control.Call(ctx, func(core *host.Core) {
		view = publish.View{Revision: core.Revision(), Changes: core.ChangesAfter(0)}
	})
	return view, err
}

// Propose publishes a change through this host. An accepted one is read back at
// once, from where it spreads.
func (d *Daemon) Propose(ctx context.Context, p publish.Proposal) (publish.Result, error) {
	result, err := d.store.Propose(ctx, p)
	if err == nil && result.Status == publish.Accepted {
		d.readConfiguration(host.ReadConfiguration{After: d.Snapshot().Revision})
	}
	return result, err
}

// corruptItem reports an item of the table that cannot be read.
func (d *Daemon) corruptItem(key storage.Key, err error) {
	d.corrupt.Add(1)
	d.log.Error().Str("partition", key.Partition).Str("sort", key.Sort).Err(err).Msg("unreadable item in the table, left out")
}
