package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/timeline"
)

// Names of metric attributes.
const (
	serviceAttribute = "service"
	stateAttribute   = "state"
	kindAttribute    = "kind"
	toAttribute      = "to"
)

// healthGauges reports the target health and healthy capacity of each service that
// this host is an entry host for. Each metrics collection makes one call to the
// control thread.
type healthGauges struct {
	control               *controlThread
	targets, slots, floor metric.Int64ObservableGauge
}

// registerHealthGauges registers the gauges of targets and healthy capacity.
func registerHealthGauges(meter metric.Meter, c *controlThread) error {
	g := &healthGauges{control: c}
	for _, m := range []struct {
		gauge             *metric.Int64ObservableGauge
		name, description string
	}{
		{&g.targets, "crocushinge.targets", "Targets of the services that this host fronts, by state."},
		{&g.slots, "crocushinge.healthy.slots", "Healthy capacity of the services that this host fronts, in slots."},
		{&g.floor, "crocushinge.floor.slots", "Floor of healthy capacity, in slots."},
	} {
		var err error
		if *m.gauge, err = meter.Int64ObservableGauge(m.name, metric.WithDescription(m.description)); err != nil {
			return errors.Wrapf(err, "register metric %s", m.name)
		}
	}
	_, err := meter.RegisterCallback(g.observe, g.targets, g.slots, g.floor)
	return errors.Wrap(err, "register callback of target metrics")
}

// healthQueryTimeout limits how long a collection waits for the control thread.
const healthQueryTimeout = time.Second

func (g *healthGauges) observe(ctx context.Context, o metric.Observer) error {
	ctx, cancel := context.WithTimeout(ctx, healthQueryTimeout)
	defer cancel()
	var health []service.Health
	if err := g.control.Call(ctx, func(core *host.Core) { health = core.Health() }); err != nil {
		return errors.Wrap(err, "read target health from the control thread")
	}
	for _, h := range health {
		name := attribute.String(serviceAttribute, h.Service)
		o.ObserveInt64(g.slots, int64(h.HealthySlots), metric.WithAttributes(name))
		o.ObserveInt64(g.floor, int64(h.FloorSlots), metric.WithAttributes(name))
		for _, state := range target.States {
			if state != target.Gone {
				o.ObserveInt64(g.targets, int64(h.Count(state)), metric.WithAttributes(name, attribute.String(stateAttribute, state.String())))
			}
		}
	}
	return nil
}

// eventKey identifies a group of events that are counted together.
type eventKey struct {
	kind timeline.Kind
	// to is the state that a target has entered; empty for events that are not
	// changes of a target's state.
	to string
}

// eventCounts counts the timeline events recorded by this host.
type eventCounts struct {
	mu     sync.Mutex
	counts map[eventKey]int64
}

func newEventCounts() *eventCounts {
	return &eventCounts{counts: make(map[eventKey]int64)}
}

func (c *eventCounts) add(e timeline.Event) {
	key := eventKey{kind: e.Kind}
	if e.Kind == timeline.TargetStateChanged {
		key.to = e.To
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[key]++
}

// register adds the counter of events to a meter.
func (c *eventCounts) register(meter metric.Meter) error {
	_, err := meter.Int64ObservableCounter("crocushinge.events",
		metric.WithDescription("Events of the time line recorded by this host."), metric.WithInt64Callback(c.observe))
	return errors.Wrap(err, "register metric crocushinge.events")
}

func (c *eventCounts) observe(_ context.Context, o metric.Int64Observer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, n := range c.counts {
		o.Observe(n, metric.WithAttributes(
			attribute.String(kindAttribute, string(key.kind)),
			attribute.String(toAttribute, key.to),
		))
	}
	return nil
}
