package gateway

import (
	"reflect"

	"github.com/crocushinge/crocushinge/fleet"
)

// Reload applies changed settings: the timing, the floor, the directory, the grace
// period and the seeds. A shorter grace period holds for a shutdown that has begun, too.
// All others need a restart; the log line says so when one of them, other than Zones,
// has changed.
func (g *Gateway) Reload(s Settings) {
	old := *g.settings.Load()
	changed := old
	changed.Seeds, changed.Floor = s.Seeds, s.Floor
	changed.DrainWithin, changed.ApplyWithin, changed.StoreReturnWithin = s.DrainWithin, s.ApplyWithin, s.StoreReturnWithin
	changed.GracePeriod, changed.DirectoryLimit, changed.DirectoryTTL = s.GracePeriod, s.DirectoryLimit, s.DirectoryTTL
	// The metrics address comes from the command line, and Bootstrap only matters at
	// the start, so neither counts as a change.
	s.Bootstrap, s.MetricsAddress, s.MetricsPath = old.Bootstrap, old.MetricsAddress, old.MetricsPath
	s.Zones, changed.Zones = nil, nil
	needsRestart := !reflect.DeepEqual(s, changed)
	changed.Zones = old.Zones
	g.settings.Store(&changed)
	g.control.Send(g.ctx, fleet.SettingsChanged{
		Timing: changed.timing(),
		Floor:  changed.Floor,
		Seeds:  changed.Seeds,
	})
	if g.shutdownPlans.shorten(changed.GracePeriod, changed.DirectoryTTL) {
		g.handler.ShutdownPlanned()
	}
	g.log.Info().Bool("needs_restart", needsRestart).Msg("settings reloaded")
}

// LogRejectedSettings logs that a changed settings file is invalid. The old settings
// stay in force.
func (g *Gateway) LogRejectedSettings(err error) {
	g.log.Error().Err(err).Msg("changed settings refused; the old ones stay in force")
}
