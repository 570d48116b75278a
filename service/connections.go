package service

import "github.com/crocushinge/crocushinge/contract"

// connectionReserve is the share of a target's connections that is reserved for probes,
// for hosts outside the entry set, and for connections that have been closed but that
// the target still counts.
const connectionReserve = 0.1

// ConnectionShare returns how many connections each of the given number of hosts may
// open to each target of a service, at least 1. The target with the lowest limit
// determines the share; a target that declares no limit is ignored. If no target
// declares a limit, it returns 0, which means no limit.
func ConnectionShare(c *contract.Contract, hosts int) int {
	limit := 0
	for _, t := range c.Targets {
		if t.Connections > 0 && (limit == 0 || t.Connections < limit) {
			limit = t.Connections
		}
	}
	if limit == 0 {
		return 0
	}
	available := float64(limit) * (1 - connectionReserve)
	return max(1, int(available)/max(1, hosts))
}
