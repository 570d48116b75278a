package daemon

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
)

// meterName is the instrumentation scope of all metrics.
const meterName = "github.com/crocushinge/crocushinge"

// serviceName is the service.name resource attribute of the metrics.
const serviceName = "crocushinged"

// metrics holds the instruments of a daemon, which the API serves at /metrics.
type metrics struct {
	registry *prometheus.Registry
	provider *sdkmetric.MeterProvider
	// requestDurations is the histogram of the durations of callers' requests, in
	// seconds.
	requestDurations metric.Float64Histogram
}

// newMetrics creates and registers the instruments of a daemon.
func newMetrics(d *Daemon) (*metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "create metrics exporter")
	}
	m := &metrics{
		registry: registry,
		provider: sdkmetric.NewMeterProvider(
			sdkmetric.WithReader(exporter),
			sdkmetric.WithResource(resource.NewSchemaless(attribute.String("service.name", serviceName))),
		),
	}
	meter := m.provider.Meter(meterName)
	for _, counter := range slices.Concat(d.counters(), d.requestCounters(), runtimeCounters()) {
		if err := counter.registerCounter(meter); err != nil {
			return nil, err
		}
	}
	for _, gauge := range slices.Concat(d.gauges(), d.requestGauges(), runtimeGauges()) {
		if err := gauge.registerGauge(meter); err != nil {
			return nil, err
		}
	}
	if err := registerHealthGauges(meter, d.control); err != nil {
		return nil, err
	}
	if err := d.eventCounts.register(meter); err != nil {
		return nil, err
	}
	m.requestDurations, err = newRequestDurations(meter)
	return m, err
}

// instrument is a counter or gauge whose value is read when metrics are collected.
type instrument struct {
	name        string
	description string
	read        func() int64
}

// counters returns the counters that don't concern callers' requests or the Go
// runtime.
func (d *Daemon) counters() []instrument {
	return []instrument{
		{"crocushinge.observations.dropped", "Observations dropped because the control thread was behind.", d.control.Dropped},
		{"crocushinge.configuration.unreadable", "Readings of items of the table that were left out because they cannot be decoded.", d.unreadableRows.Load},
		{"crocushinge.operator.refused", "API requests refused for a missing or wrong operator token.", d.refusedOperatorRequests.Load},
		{"crocushinge.peer.refused", "Calls between hosts refused for a missing or wrong fleet token.", d.refusedPeerCalls.Load},
		{"crocushinge.peer.old.token", "Calls between hosts by an accepted fleet token that is not the first of its file.", d.credentials.oldTokenCalls.Load},
		{"crocushinge.tls.refused", "Connections that ended in the TLS handshake.", d.credentials.failedHandshakes.Load},
		{"crocushinge.credentials.replaced", "Credentials that were replaced by a change of their files.", d.credentials.replacements.Load},
		{"crocushinge.credentials.faults", "Readings of credential files that were at fault and not taken.", d.credentials.rejectedReads.Load},
		{"crocushinge.timeline.batches", "Batches of events written to the object store.", d.archive.writtenBatches.Load},
		{"crocushinge.timeline.batch.failures", "Writes of batches that failed or are in doubt.", d.archive.failedWrites.Load},
		{"crocushinge.timeline.dropped", "Events that were not kept for the object store because too many waited.", d.archive.outbox.Dropped},
	}
}

// gauges returns the gauges that don't concern callers' requests, targets or the Go
// runtime.
func (d *Daemon) gauges() []instrument {
	return append(d.certificateExpiryGauges(), []instrument{
		{"crocushinge.configuration.revision", "Configuration revision in force on this host.", func() int64 {
			return int64(d.control.snapshot.Load().Revision)
		}},
		{"crocushinge.timeline.waiting", "Events that wait for the object store.", func() int64 {
			return int64(d.archive.outbox.Len())
		}},
	}...)
}

// certificateExpiryGauges returns one gauge for each server that has TLS.
func (d *Daemon) certificateExpiryGauges() []instrument {
	var out []instrument
	for server, name := range [serverCount]string{callerServer: "caller", apiServer: "api", fleetAPIServer: "fleet"} {
		if d.credentials.tlsKeys[server] == nil {
			continue
		}
		out = append(out, instrument{
			"crocushinge.certificate." + name + ".left",
			"Seconds until the certificate of the " + name + " address expires.",
			func() int64 { return d.credentials.secondsUntilExpiry(server) },
		})
	}
	return out
}

func (i instrument) registerCounter(meter metric.Meter) error {
	_, err := meter.Int64ObservableCounter(i.name, metric.WithDescription(i.description), metric.WithInt64Callback(i.observe))
	return errors.Wrapf(err, "register metric %s", i.name)
}

func (i instrument) registerGauge(meter metric.Meter) error {
	_, err := meter.Int64ObservableGauge(i.name, metric.WithDescription(i.description), metric.WithInt64Callback(i.observe))
	return errors.Wrapf(err, "register metric %s", i.name)
}

func (i instrument) observe(_ context.Context, o metric.Int64Observer) error {
	o.Observe(i.read())
	return nil
}
