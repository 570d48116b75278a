package host

import "github.com/crocushinge/crocushinge/service"

// Health tells how the targets of the services are that this host fronts,
// sorted by service. Of other services it knows too little: their entry sets
// share the evidence among themselves.
func (c *Core) Health() []service.Health {
	var out []service.Health
	for _, name := range c.names {
		if c.fronts(name) {
			out = append(out, c.services[name].Health())
		}
	}
	return out
}

// fronts reports whether this host is in the entry set of a service.
func (c *Core) fronts(name string) bool { return c.entrySets[name].Rank(c.self.ID) >= 0 }
