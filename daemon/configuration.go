package daemon

import (
	"context"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/platform"
	"github.com/crocushinge/crocushinge/publish"
)

// inForce returns the configuration in force on this host.
func (d *Daemon) inForce(ctx context.Context) (publish.View, error) {
	var view publish.View
	err := d.control.call(ctx, func(core *host.Core) {
		view = publish.View{Revision: core.Revision(), Changes: core.Changes(0)}
	})
	return view, err
}

// corruptItem reports an item of the table that cannot be read.
func (d *Daemon) corruptItem(key platform.Key, err error) {
	d.corrupt.Add(1)
	d.log.Error().Str("partition", key.Partition).Str("sort", key.Sort).Err(err).Msg("unreadable item in the table, left out")
}
