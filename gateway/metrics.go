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

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/traffic"
)

// meterName is the instrumentation scope of all metrics.
const meterName = "github.com/crocushinge/crocushinge/gateway"

// serviceName is the name of the process in its metrics.
const serviceName = "crocushinge-gateway"

// durationBounds are the bucket boundaries of the latency histograms, in seconds.
var durationBounds = []float64{.005, .01, .025, .05, .1, .2, .3, .4, .6, .8, 1, 1.5, 2, 3, 5}

// metrics holds the latency histograms and the registry of all metrics. A nil *metrics
// records nothing.
type metrics struct {
	registry   *prometheus.Registry
	requests   metric.Float64Histogram
	attempts   metric.Float64Histogram
	storeCalls metric.Float64Histogram
}

// observable is a counter or gauge whose values are read by collect whenever the
// metrics are served.
type observable struct {
	name, unit, description string
	gauge                   bool
	collect                 func(observe func(value int64, attributes ...attribute.KeyValue))
}

func newMetrics(g *Gateway) (*metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "create the metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(
		sdkmetric.WithReader(exporter),
		sdkmetric.WithResource(resource.NewSchemaless(attribute.String("service.name", serviceName))),
	)
	meter := provider.Meter(meterName)
	m := &metrics{registry: registry}
	for _, h := range []struct {
		instrument        *metric.Float64Histogram
		name, description string
	}{
		{&m.requests, "crocushinge.request.duration", "Requests of callers, by route, status and whose answer it was."},
		{&m.attempts, "crocushinge.attempt.duration", "Attempts that did not lead to an answer, by outcome."},
		{&m.storeCalls, "crocushinge.store.duration", "Calls to the metadata store, by document and result."},
	} {
		*h.instrument, err = meter.Float64Histogram(h.name, metric.WithUnit("s"), metric.WithDescription(h.description), metric.WithExplicitBucketBoundaries(durationBounds...))
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

func (o observable) register(meter metric.Meter) error {
	callback := func(_ context.Context, observer metric.Int64Observer) error {
		o.collect(func(value int64, attributes ...attribute.KeyValue) {
			observer.Observe(value, metric.WithAttributes(attributes...))
		})
		return nil
	}
	if o.gauge {
		_, err := meter.Int64ObservableGauge(o.name, metric.WithUnit(o.unit), metric.WithDescription(o.description), metric.WithInt64Callback(callback))
		return err
	}
	_, err := meter.Int64ObservableCounter(o.name, metric.WithUnit(o.unit), metric.WithDescription(o.description), metric.WithInt64Callback(callback))
	return err
}

// handler serves the metrics at a path, and explanations unless the path is theirs.
func (m *metrics) handler(path string, explain http.HandlerFunc) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(path, promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	if path != explainPath {
		mux.HandleFunc(explainPath, explain)
	}
	return mux
}

// singleValue returns the collect function of a metric with one value and no
// attributes.
func singleValue(load func() int64) func(func(int64, ...attribute.KeyValue)) {
	return func(observe func(int64, ...attribute.KeyValue)) { observe(load()) }
}

func (g *Gateway) trafficMetrics() []observable {
	c := g.handler.Counters()
	responses := func(observe func(int64, ...attribute.KeyValue)) {
		observe(c.Forwarded.Load(), attribute.String("answer", "of a target"))
		observe(c.Refused.Load(), attribute.String("answer", "not run"))
		observe(c.Failed.Load(), attribute.String("answer", "unknown"))
		observe(c.TimedOut.Load(), attribute.String("answer", "late"))
		observe(c.Disconnected.Load(), attribute.String("answer", "caller gone"))
	}
	attempts := func(observe func(int64, ...attribute.KeyValue)) {
		for o := range link.Outcomes {
			observe(c.Attempts[o].Load(), attribute.String("outcome", o.String()))
		}
	}
	unproven := func(observe func(int64, ...attribute.KeyValue)) {
		c.UnprovenByReason(func(reason string, count int64) { observe(count, attribute.String("reason", reason)) })
	}
	quotas := func(observe func(int64, ...attribute.KeyValue)) {
		s := g.quotas.Stats()
		observe(s.Admitted, attribute.String("decision", "admitted"))
		observe(s.Exceeded, attribute.String("decision", "refused"))
		observe(s.Unknown, attribute.String("decision", "share not known"))
		observe(s.Returned, attribute.String("decision", "returned"))
	}
	slowPeers := func(observe func(int64, ...attribute.KeyValue)) {
		c.SlowPeersCutByReason(func(reason string, count int64) { observe(count, attribute.String("reason", reason)) })
	}
	return append(g.waitingMetrics(), []observable{
		{name: "crocushinge.quota.requests", unit: "{request}", description: "Requests of limited accounts, by decision; returned ones were admitted and not run.", collect: quotas},
		{name: "crocushinge.quota.buckets", unit: "{account}", description: "Limited accounts in use, over all hosts.", gauge: true, collect: singleValue(func() int64 { return int64(g.quotas.Stats().Buckets) })},
		{name: "crocushinge.requests", unit: "{request}", description: "Requests of callers, by whose answer they got.", collect: responses},
		{name: "crocushinge.attempts", unit: "{attempt}", description: "Requests sent to targets, by outcome.", collect: attempts},
		{name: "crocushinge.responses.unproven", unit: "{response}", description: "Responses that were not taken for their target's, by reason.", collect: unproven},
		{name: "crocushinge.slow.cut", unit: "{connection}", description: "Slow callers and targets that were cut off, by reason.", collect: slowPeers},
		{name: "crocushinge.refused.overload", unit: "{request}", description: "Requests refused because the targets' queues are too long.", collect: singleValue(c.RefusedOverload.Load)},
		{name: "crocushinge.retries", unit: "{attempt}", description: "Requests sent to a further target.", collect: singleValue(c.Retries.Load)},
		{name: "crocushinge.retries.withheld", unit: "{attempt}", description: "Retries withheld because the budget was spent.", collect: singleValue(c.RetriesWithheld.Load)},
	}...)
}

// waitingMetrics returns the metrics of the requests that wait for a slot at this host.
func (g *Gateway) waitingMetrics() []observable {
	c := g.handler.Counters()
	waiting := func(observe func(int64, ...attribute.KeyValue)) {
		g.handler.Waiting(func(service string, counts pool.Waiting, _ time.Duration) {
			for class, n := range counts {
				observe(int64(n), attribute.String("service", service), attribute.String("class", caller.Class(class).String()))
			}
		})
	}
	oldest := func(observe func(int64, ...attribute.KeyValue)) {
		g.handler.Waiting(func(service string, _ pool.Waiting, age time.Duration) {
			observe(age.Milliseconds(), attribute.String("service", service))
		})
	}
	refused := func(observe func(int64, ...attribute.KeyValue)) {
		for reason := range caller.RefusalReasons {
			observe(c.RefusedWaiting[reason].Load(), attribute.String("reason", reason.String()))
		}
	}
	return []observable{
		{name: "crocushinge.waiting", unit: "{request}", description: "Requests that wait for a slot, by service and class.", gauge: true, collect: waiting},
		{name: "crocushinge.waiting.oldest", unit: "ms", description: "Time that the oldest waiting request has waited, by service.", gauge: true, collect: oldest},
		{name: "crocushinge.waited", unit: "{request}", description: "Requests that waited for a slot.", collect: singleValue(c.Waited.Load)},
		{name: "crocushinge.refused.waiting", unit: "{request}", description: "Requests refused for lack of a slot, by reason.", collect: refused},
		{name: "crocushinge.collisions", unit: "{attempt}", description: "Attempts of admitted requests that a full target refused.", collect: singleValue(c.Collisions.Load)},
	}
}

func (g *Gateway) controlMetrics() []observable {
	c := &g.counters
	documentAges := func(observe func(int64, ...attribute.KeyValue)) {
		ages := g.documentAges()
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
	working := func(observe func(int64, ...attribute.KeyValue)) {
		for name, routing := range g.control.snapshot.Load().Services {
			if n := routing.Working(); n > 0 {
				observe(int64(n), attribute.String("service", name))
			}
		}
	}
	version := func() int64 {
		if c := g.control.snapshot.Load().Configuration; c != nil {
			return int64(c.Version)
		}
		return 0
	}
	return []observable{
		{name: "crocushinge.view.age", unit: "ms", description: "Time since the store confirmed a document.", gauge: true, collect: documentAges},
		{name: "crocushinge.targets", unit: "{target}", description: "Targets that are not draining, by service and state.", gauge: true, collect: targets},
		{name: "crocushinge.targets.working", unit: "{target}", description: "Targets that get the requests of a service without retryable ones.", gauge: true, collect: working},
		{name: "crocushinge.hosts", unit: "{host}", description: "Live hosts, this one included.", gauge: true, collect: singleValue(func() int64 { return int64(g.control.snapshot.Load().LiveHosts) })},
		{name: "crocushinge.configuration.version", unit: "{version}", description: "Version in force; 0 for none.", gauge: true, collect: singleValue(version)},
		{name: "crocushinge.store.history", unit: "{history}", description: "Latest known history of the store; it rises when the store comes back from a copy.", gauge: true, collect: singleValue(func() int64 { return int64(g.control.snapshot.Load().StoreHistory) })},
		{name: "crocushinge.store.skipped", unit: "{entry}", description: "Entries of the store that could not be used.", collect: singleValue(g.store.SkippedEntries)},
		{name: "crocushinge.store.calls", unit: "{call}", description: "Calls to the metadata store.", collect: singleValue(c.storeCalls.Load)},
		{name: "crocushinge.fetches", unit: "{call}", description: "Documents asked of other hosts.", collect: singleValue(c.fetches.Load)},
		{name: "crocushinge.datagrams.sent", unit: "{datagram}", description: "Datagrams sent to other hosts.", collect: singleValue(c.datagramsSent.Load)},
		{name: "crocushinge.datagrams.heard", unit: "{datagram}", description: "Datagrams of other hosts.", collect: singleValue(c.datagramsReceived.Load)},
		{name: "crocushinge.datagrams.failed", unit: "{datagram}", description: "Datagrams that could not be sent or read.", collect: singleValue(func() int64 { return c.sendFailures.Load() + c.receiveFailures.Load() })},
		{name: "crocushinge.control.dropped", unit: "{event}", description: "Observations and datagrams that did not fit a queue.", collect: singleValue(g.control.Dropped)},
		{name: "crocushinge.log.omitted", unit: "{line}", description: "Lines left out to bound the volume.", collect: singleValue(c.logLinesOmitted.Load)},
	}
}

// documentAges asks the control thread for the ages of this host's documents. It
// returns zero ages when the process stops.
func (g *Gateway) documentAges() fleet.Ages {
	var ages fleet.Ages
	err := g.control.Call(g.ctx, func(core *fleet.Core) { ages = core.Ages(time.Now()) })
	if err != nil {
		return fleet.Ages{}
	}
	return ages
}

// recordDecision adds a final decision to the request histogram and a failed attempt to the
// attempt histogram.
func (m *metrics) recordDecision(d traffic.Decision) {
	if m == nil || d.Event == traffic.NoticeUnreadable || d.Event == traffic.SlowCallerCut {
		return
	}
	ctx := context.Background()
	if !d.Final() {
		m.attempts.Record(ctx, d.AttemptDuration.Seconds(), metric.WithAttributes(attribute.String("outcome", d.Outcome.String())))
		return
	}
	responder := "host"
	if d.Target != "" {
		responder = "target"
	}
	m.requests.Record(ctx, d.Elapsed.Seconds(), metric.WithAttributes(
		attribute.String("route", d.Route), attribute.Int("status", d.Status), attribute.String("by", responder)))
}

// recordStoreCall adds a call to the metadata store to its latency histogram.
func (m *metrics) recordStoreCall(document string, began time.Time, err error) {
	if m == nil {
		return
	}
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.storeCalls.Record(context.Background(), time.Since(began).Seconds(), metric.WithAttributes(
		attribute.String("document", document), attribute.String("result", result)))
}
