package host

import (
	"time"

	"github.com/crocushinge/crocushinge/service"
)

// sendProbes asks for the probes of a service that are due on this host.
func (c *Core) sendProbes(now time.Time, s *service.Service) {
	mine := func(targetName string) bool { return c.probes(s.Contract.Service, targetName) }
	for _, key := range s.DueProbes(now, mine) {
		c.emit(SendProbe{
			Target:        key,
			Address:       s.Link(key.Name).Address,
			Path:          s.Contract.Health.Path,
			LeavingHeader: s.Contract.Leaving.Header,
			Protocol:      s.Contract.Protocol,
		})
	}
}

// probes reports whether a target's probes fall to this host: each target is
// probed by one host of the entry set.
func (c *Core) probes(serviceName, targetName string) bool {
	return c.entrySets[serviceName].probes(c.self.ID, targetName)
}

// probeAnswered hands a probe's answer to its service.
func (c *Core) probeAnswered(now time.Time, ev ProbeAnswered) {
	s, ok := c.services[ev.Target.Service]
	if !ok {
		return
	}
	p := service.Probe{Target: ev.Target.Name, Passed: ev.OK, Leaving: ev.Leaving}
	c.applyTransitions(now, s.ObserveProbe(p, now))
}
