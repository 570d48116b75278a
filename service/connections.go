package service

import "github.com/crocushinge/crocushinge/contract"

// connectionReserve is the share of a target's connections that is left for
// probes, for hosts outside the entry set, and for connections whose end the
// target has not noticed yet.
const connectionReserve = 0.1

// ConnectionShare returns how many connections one of several hosts may have to
// each target of a service, at least 1. The target that accepts the fewest
// connections decides; one that declares none is not bounded. Without any
// bound it returns 0.
func ConnectionShare(c *contract.Contract, hosts int) int {
	least := 0
	for _, t := range c.Targets {
		if t.Connections > 0 && (least == 0 || t.Connections < least) {
			least = t.Connections
		}
	}
	if least == 0 {
		return 0
	}
	shared := float64(least) * (1 - connectionReserve)
	return max(1, int(shared)/max(1, hosts))
}
