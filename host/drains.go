package host

import (
	"slices"
	"strings"
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/timeline"
)

// handleDrain applies an operator's drain. The drain takes effect on this host
// at once. This host reports it to the entry set until the drain is withdrawn
// or is part of the configuration in force.
func (c *Core) handleDrain(now time.Time, ev OperatorDrain) {
	key := ev.Target
	s, ok := c.services[key.Service]
	if !ok {
		return
	}
	reason := "by " + ev.Operator
	if ev.Reason != "" {
		reason += ": " + ev.Reason
	}
	c.record(now, timeline.Event{Kind: timeline.OperatorDrained, Service: key.Service, Target: key.Name, Reason: reason})
	if !c.drainInForce(key) {
		c.localDrains[key] = ev
	}
	c.applyTransitions(now, s.AddLeaveSignal(key.Name, target.SignalFromOperator, now))
}

// handleUndrain withdraws a drain that only this host holds. A drain in the
// configuration in force is withdrawn by a change of the configuration instead.
func (c *Core) handleUndrain(now time.Time, ev OperatorUndrain) {
	key := ev.Target
	c.record(now, timeline.Event{
		Kind: timeline.OperatorUndrained, Service: key.Service, Target: key.Name, Reason: "by " + ev.Operator,
	})
	delete(c.localDrains, key)
	if s, ok := c.services[key.Service]; ok && !c.drainInForce(key) {
		c.applyTransitions(now, s.WithdrawLeaveSignal(key.Name, target.SignalFromOperator, now))
	}
}

// LocalDrains returns the drains that this host holds and that are not in the
// configuration in force, sorted by target.
func (c *Core) LocalDrains() []OperatorDrain {
	var out []OperatorDrain
	for _, d := range c.localDrains {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b OperatorDrain) int {
		return strings.Compare(a.Target.String(), b.Target.String())
	})
	return out
}

// drainInForce reports whether the configuration in force drains a target.
func (c *Core) drainInForce(key target.Key) bool {
	subject := contract.DrainSubject(key.Service, key.Name)
	return slices.ContainsFunc(c.changes, func(ch contract.Change) bool { return ch.Subject == subject && ch.Drain != nil })
}

// applyDrains applies the drains in force and the local drains to the targets.
// It runs after every change of the configuration, because the change may have
// added drains or targets.
func (c *Core) applyDrains(now time.Time) {
	for _, ch := range c.changes {
		service, name, ok := contract.DrainedTarget(ch.Subject)
		if !ok {
			continue
		}
		key := target.Key{Service: service, Name: name}
		_, held := c.localDrains[key]
		if ch.Drain != nil {
			delete(c.localDrains, key)
		}
		s, declared := c.services[service]
		switch {
		case !declared:
		case ch.Drain != nil:
			c.applyTransitions(now, s.AddLeaveSignal(name, target.SignalFromOperator, now))
		case !held:
			c.applyTransitions(now, s.WithdrawLeaveSignal(name, target.SignalFromOperator, now))
		}
	}
	for key := range c.localDrains {
		if s, ok := c.services[key.Service]; ok {
			c.applyTransitions(now, s.AddLeaveSignal(key.Name, target.SignalFromOperator, now))
		}
	}
}
