package daemon

import (
	"context"
	"time"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/storage"
)

// newConfigurationStore returns the configuration store. It validates proposals
// against the configuration in force on this host.
func (d *Daemon) newConfigurationStore(table storage.Table) *publish.Store {
	return &publish.Store{
		Table:         table,
		Now:           time.Now,
		InForce:       d.inForce,
		KnownAccounts: d.settings.accountNames(),
		KnownZone:     d.settings.knownZone(),
		OnCorruptRow:  d.reportUnreadableRow,
	}
}

// inForce returns the configuration in force on this host.
func (d *Daemon) inForce(ctx context.Context) (publish.View, error) {
	var view publish.View
	err := d.control.Call(ctx, func(core *host.Core) {
		view = publish.View{Position: core.Position(), Changes: core.ChangesAfter(0), Kept: core.Kept()}
	})
	return view, err
}

// Propose publishes a change through this host. An accepted change is read back
// from the metadata store at once, so that it starts to spread to the other hosts.
func (d *Daemon) Propose(ctx context.Context, p publish.Proposal) (publish.Result, error) {
	result, err := d.store.Propose(ctx, p)
	if err == nil && result.Status == publish.Accepted {
		d.readConfiguration(host.ReadConfiguration{After: d.Snapshot().Position()})
	}
	return result, err
}

// reportUnreadableRow counts and logs a row of the metadata store that was
// skipped because it could not be decoded.
func (d *Daemon) reportUnreadableRow(key storage.Key, err error) {
	d.unreadableRows.Add(1)
	d.log.Error().Str("partition", key.Partition).Str("sort", key.Sort).Err(err).Msg("skipped an unreadable row of the metadata store")
}
