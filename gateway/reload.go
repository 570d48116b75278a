package gateway

import (
	"reflect"

	"github.com/crocushinge/crocushinge/fleet"
)

// Reload puts changed settings in force: those of timing, of the floor, of the
// directory and of the shutdown, and the seeds. The others need a restart, and a
// line says so.
func (g *Gateway) Reload(s Settings) {
	old := *g.settings.Load()
	changed := old
	changed.Seeds, changed.Floor = s.Seeds, s.Floor
	changed.DrainWithin, changed.ApplyWithin = s.DrainWithin, s.ApplyWithin
	changed.Grace, changed.DirectoryLimit, changed.DirectoryTTL = s.Grace, s.DirectoryLimit, s.DirectoryTTL
	// These are set by the command line or only matter at the start.
	s.First, s.Metrics, s.MetricsPath = old.First, old.Metrics, old.MetricsPath
	s.Zones, changed.Zones = nil, nil
	needsRestart := !reflect.DeepEqual(s, changed)
	changed.Zones = old.Zones
	g.settings.Store(&changed)
	g.control.Send(g.ctx, fleet.SettingsChanged{
		Timing: fleet.TimingFor(changed.DrainWithin, changed.ApplyWithin),
		Floor:  changed.Floor,
		Seeds:  changed.Seeds,
	})
	g.log.Info().Bool("needs_restart", needsRestart).Msg("settings reloaded")
}

// RefuseSettings notes that a changed settings file cannot be used. The old
// settings stay in force.
func (g *Gateway) RefuseSettings(err error) {
	g.log.Error().Err(err).Msg("changed settings refused; the old ones stay in force")
}
