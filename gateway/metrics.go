package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"

	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/traffic"
)

// meterName is the instrumentation scope of all metrics.
const meterName = "github.com/crocushinge/crocushinge/gateway"

// serviceName is the name of the process in its metrics.
const serviceName = "crocushinge-gateway"

// durationBounds are the bounds of the latency histograms, in seconds.
var durationBounds = []float64{.005, .01, .025, .05, .1, .2, .3, .4, .6, .8, 1, 1.5, 2, 3, 5}

// metrics are the instruments of a process and the handler that serves them.
type metrics struct {
	registry  *prometheus.Registry
	requests  metric.Float64Histogram
	attempts  metric.Float64Histogram
	storeRead metric.Float64Histogram
}

// observed is a counter or gauge that is read when the metrics are served.
type observed struct {
	name, unit, text string
	gauge            bool
	values           func(observe func(value int64, attributes ...attribute.KeyValue))
}

func newMetrics(g *Gateway) (*metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(
		sdkmetric.WithReader(exporter),
		sdkmetric.WithResource(resource.NewSchemaless(attribute.String("service.name", serviceName))),
	)
	meter := provider.Meter(meterName)
	m := &metrics{registry: registry}
	for _, h := range []struct {
		to         *metric.Float64Histogram
		name, text string
	}{
		{&m.requests, "crocushinge.request.duration", "Requests of callers, by route, status and whose answer it was."},
		{&m.attempts, "crocushinge.attempt.duration", "Attempts that did not lead to an answer, by outcome."},
		{&m.storeRead, "crocushinge.store.duration", "Calls to the metadata store, by document and result."},
	} {
		*h.to, err = meter.Float64Histogram(h.name, metric.WithUnit("s"), metric.WithDescription(h.text), metric.WithExplicitBucketBoundaries(durationBounds...))
		if err != nil {
			return nil, errors.Wrapf(err, "metric %s", h.name)
		}
	}
	for _, o := range append(g.trafficMetrics(), g.controlMetrics()...) {
		if err := o.register(meter); err != nil {
			return nil, errors.Wrapf(err, "metric %s", o.name)
		}
	}
	return m, nil
}

func (o observed) register(meter metric.Meter) error {
	callback := func(_ context.Context, observer metric.Int64Observer) error {
		o.values(func(value int64, attributes ...attribute.KeyValue) {
			observer.Observe(value, metric.WithAttributes(attributes...))
		})
		return nil
	}
	if o.gauge {
		_, err := meter.Int64ObservableGauge(o.name, metric.WithUnit(o.unit), metric.WithDescription(o.text), metric.WithInt64Callback(callback))
		return err
	}
	_, err := meter.Int64ObservableCounter(o.name, metric.WithUnit(o.unit), metric.WithDescription(o.text), metric.WithInt64Callback(callback))
	return err
}

func (m *metrics) handler(path string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(path, promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}

// one returns the values of a single counter.
func one(load func() int64) func(func(int64, ...attribute.KeyValue)) {
	return func(observe func(int64, ...attribute.KeyValue)) { observe(load()) }
}

func (g *Gateway) trafficMetrics() []observed {
	c := g.handler.Counters()
	answers := func(observe func(int64, ...attribute.KeyValue)) {
		observe(c.Answered.Load(), attribute.String("answer", "of a target"))
		observe(c.Refused.Load(), attribute.String("answer", "not run"))
		observe(c.Failed.Load(), attribute.String("answer", "unknown"))
		observe(c.TimedOut.Load(), attribute.String("answer", "late"))
		observe(c.Gone.Load(), attribute.String("answer", "caller gone"))
	}
	attempts := func(observe func(int64, ...attribute.KeyValue)) {
		for o := range link.Outcomes {
			observe(c.Sent[o].Load(), attribute.String("outcome", o.String()))
		}
	}
	return []observed{
		{name: "crocushinge.requests", unit: "{request}", text: "Requests of callers, by whose answer they got.", values: answers},
		{name: "crocushinge.attempts", unit: "{attempt}", text: "Requests sent to targets, by outcome.", values: attempts},
		{name: "crocushinge.refused.overload", unit: "{request}", text: "Requests refused because the targets' queues are too long.", values: one(c.Overload.Load)},
		{name: "crocushinge.retries", unit: "{attempt}", text: "Requests sent to a further target.", values: one(c.Retries.Load)},
		{name: "crocushinge.retries.withheld", unit: "{attempt}", text: "Retries withheld because the budget was spent.", values: one(c.BudgetSpent.Load)},
	}
}

func (g *Gateway) controlMetrics() []observed {
	c := &g.counters
	views := func(observe func(int64, ...attribute.KeyValue)) {
		ages := g.ages()
		observe(ages.Targets.Milliseconds(), attribute.String("document", "targets"))
		observe(ages.Configuration.Milliseconds(), attribute.String("document", "configuration"))
	}
	targets := func(observe func(int64, ...attribute.KeyValue)) {
		for name, routing := range g.control.snapshot.Load().Services {
			service := attribute.String("service", name)
			suspects := routing.Suspects()
			observe(int64(suspects), service, attribute.String("state", "suspect"))
			observe(int64(len(routing.Targets)-suspects), service, attribute.String("state", "trusted"))
		}
	}
	version := func() int64 {
		if c := g.control.snapshot.Load().Configuration; c != nil {
			return int64(c.Version)
		}
		return 0
	}
	return []observed{
		{name: "crocushinge.view.age", unit: "ms", text: "Time since the store confirmed a document.", gauge: true, values: views},
		{name: "crocushinge.targets", unit: "{target}", text: "Targets that are not draining, by service and state.", gauge: true, values: targets},
		{name: "crocushinge.hosts", unit: "{host}", text: "Live hosts, this one included.", gauge: true, values: one(func() int64 { return int64(g.control.snapshot.Load().Hosts) })},
		{name: "crocushinge.configuration.version", unit: "1", text: "Version in force; 0 for none.", gauge: true, values: one(version)},
		{name: "crocushinge.store.calls", unit: "{call}", text: "Calls to the metadata store.", values: one(c.storeCalls.Load)},
		{name: "crocushinge.fetches", unit: "{call}", text: "Documents asked of other hosts.", values: one(c.fetches.Load)},
		{name: "crocushinge.datagrams.sent", unit: "{datagram}", text: "Datagrams sent to other hosts.", values: one(c.datagramsSent.Load)},
		{name: "crocushinge.datagrams.heard", unit: "{datagram}", text: "Datagrams of other hosts.", values: one(c.datagramsHeard.Load)},
		{name: "crocushinge.datagrams.failed", unit: "{datagram}", text: "Datagrams that could not be sent or read.", values: one(func() int64 { return c.unsent.Load() + c.unreadable.Load() })},
		{name: "crocushinge.control.dropped", unit: "{event}", text: "Observations and datagrams that did not fit a queue.", values: one(g.control.Dropped)},
		{name: "crocushinge.log.omitted", unit: "{line}", text: "Lines left out to bound the volume.", values: one(c.linesOmitted.Load)},
	}
}

// ages asks the control thread for the ages of the views. It gives up when the
// process stops.
func (g *Gateway) ages() fleet.Ages {
	var ages fleet.Ages
	err := g.control.Call(g.ctx, func(core *fleet.Core) { ages = core.Ages(time.Now()) })
	if err != nil {
		return fleet.Ages{}
	}
	return ages
}

// count adds a decision to the latency histograms.
func (m *metrics) count(d traffic.Decision) {
	if m == nil {
		return
	}
	ctx := context.Background()
	if !d.Final() {
		m.attempts.Record(ctx, d.Attempted.Seconds(), metric.WithAttributes(attribute.String("outcome", d.Outcome.String())))
		return
	}
	by := "host"
	if d.Target != "" {
		by = "target"
	}
	m.requests.Record(ctx, d.Took.Seconds(), metric.WithAttributes(
		attribute.String("route", d.Route), attribute.Int("status", d.Status), attribute.String("by", by)))
}

// storeCalled adds a call to the store to the latency histogram.
func (m *metrics) storeCalled(document string, began time.Time, err error) {
	if m == nil {
		return
	}
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.storeRead.Record(context.Background(), time.Since(began).Seconds(), metric.WithAttributes(
		attribute.String("document", document), attribute.String("result", result)))
}
