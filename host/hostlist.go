package host

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// hostListRead takes in the platform's list: targets that it lists as leaving
// get no more work, and addresses that are not known may be other hosts.
func (c *Core) hostListRead(now time.Time, ev HostListRead) {
	if ev.Err != nil {
		return
	}
	leaving := make(map[string]bool)
	c.listed = c.listed[:0]
	for _, h := range ev.Hosts {
		if h.Leaving {
			leaving[h.Address] = true
		} else {
			c.listed = append(c.listed, h.Address)
		}
	}
	targets := c.drainListed(now, leaving)
	c.listed = slices.DeleteFunc(c.listed, func(address string) bool { return targets[address] })
}

// drainListed drains the targets at the given addresses and returns the
// addresses of all targets.
func (c *Core) drainListed(now time.Time, leaving map[string]bool) map[string]bool {
	targets := make(map[string]bool)
	for _, name := range c.names {
		s := c.services[name]
		for _, spec := range s.Contract.Targets {
			targets[spec.Address] = true
			if leaving[spec.Address] {
				c.applyTransitions(now, s.Drain(spec.Name, target.SignHostList, now))
			} else {
				c.applyTransitions(now, s.Withdraw(spec.Name, target.SignHostList, now))
			}
		}
	}
	return targets
}
