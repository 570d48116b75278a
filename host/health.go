package host

import "github.com/crocushinge/crocushinge/service"

// Health returns the health of the targets of the services for which this host
// is an entry host, sorted by service. For other services this host has too
// little evidence, because only entry hosts share evidence with each other.
func (c *Core) Health() []service.Health {
	var out []service.Health
	for _, i := range c.entrySetState.ownServices {
		out = append(out, c.sortedServices[i].Health())
	}
	return out
}
