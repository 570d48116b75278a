package host

import "github.com/crocushinge/crocushinge/service"

// Health tells how the targets of the services are that this host fronts,
// sorted by service. Of other services it knows too little: their entry sets
// share the evidence among themselves.
func (c *Core) Health() []service.Health {
	var out []service.Health
	for _, i := range c.fronting.own {
		out = append(out, c.ordered[i].Health())
	}
	return out
}
