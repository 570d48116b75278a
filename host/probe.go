package host

import (
	"time"

	"github.com/crocushinge/crocushinge/service"
)

// sendDueProbes sends the probes of a service that are due on this host.
func (c *Core) sendDueProbes(now time.Time, s *service.Service) {
	isProber := func(targetName string) bool { return c.isProber(s.Contract.Service, targetName) }
	for _, key := range s.DueProbes(now, isProber) {
		c.emit(SendProbe{
			Target:        key,
			Address:       s.Link(key.Name).Address,
			Path:          s.Contract.Health.Path,
			LeavingHeader: s.Contract.Leaving.Header,
			EchoesID:      s.Contract.EchoesID,
			Protocol:      s.Contract.Protocol,
		})
	}
}

// isProber reports whether this host probes a target. One host of the entry set
// probes each target.
func (c *Core) isProber(serviceName, targetName string) bool {
	return c.entrySets[serviceName].isProber(c.self.ID, targetName)
}

// handleProbeResult passes the result of a probe to its service.
func (c *Core) handleProbeResult(now time.Time, ev ProbeEnded) {
	s, ok := c.services[ev.Target.Service]
	if !ok {
		return
	}
	p := service.ProbeResult{Target: ev.Target.Name, Passed: ev.OK, Leaving: ev.Leaving}
	c.applyTransitions(now, s.ObserveProbe(p, now))
}
