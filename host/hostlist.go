package host

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// handleHostList applies the platform's host list: targets listed as leaving
// get no more requests, and the other addresses may belong to unknown hosts.
func (c *Core) handleHostList(now time.Time, ev HostListRead) {
	if ev.Err != nil {
		return
	}
	leaving := make(map[string]bool)
	c.listedAddresses = c.listedAddresses[:0]
	for _, h := range ev.Hosts {
		if h.Leaving {
			leaving[h.Address] = true
		} else {
			c.listedAddresses = append(c.listedAddresses, h.Address)
		}
	}
	targets := c.applyHostListSignals(now, leaving)
	c.listedAddresses = slices.DeleteFunc(c.listedAddresses, func(address string) bool { return targets[address] })
}

// applyHostListSignals adds the host list's leave signal to the targets at the
// given addresses, withdraws it from all others, and returns the addresses of
// all targets.
func (c *Core) applyHostListSignals(now time.Time, leaving map[string]bool) map[string]bool {
	targets := make(map[string]bool)
	for _, name := range c.serviceNames {
		s := c.services[name]
		for _, spec := range s.Contract.Targets {
			targets[spec.Address] = true
			if leaving[spec.Address] {
				c.applyTransitions(now, s.AddLeaveSignal(spec.Name, target.SignalFromHostList, now))
			} else {
				c.applyTransitions(now, s.WithdrawLeaveSignal(spec.Name, target.SignalFromHostList, now))
			}
		}
	}
	return targets
}
