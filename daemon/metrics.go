package daemon

import (
	"context"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// meterName is the instrumentation scope of all metrics.
const meterName = "github.com/crocushinge/crocushinge"

// metrics holds the instruments of one daemon, read by the API's /metrics.
type metrics struct {
	registry *prometheus.Registry
	provider *sdkmetric.MeterProvider
}

// newMetrics registers the instruments that observe the daemon.
func newMetrics(d *Daemon) (*metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "metrics exporter")
	}
	m := &metrics{
		registry: registry,
		provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)),
	}
	meter := m.provider.Meter(meterName)
	_, err = meter.Int64ObservableGauge("crocushinge.configuration.revision",
		metric.WithDescription("Configuration revision in force on this host."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			if snap := d.control.snapshot.Load(); snap != nil {
				o.Observe(int64(snap.Revision))
			}
			return nil
		}))
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	_, err = meter.Int64ObservableCounter("crocushinge.observations.dropped",
		metric.WithDescription("Observations dropped because the control thread was behind."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(d.control.dropped.Load())
			return nil
		}))
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	_, err = meter.Int64ObservableCounter("crocushinge.configuration.unreadable",
		metric.WithDescription("Readings of items of the table that were left out because they cannot be decoded."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(d.corrupt.Load())
			return nil
		}))
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	_, err = meter.Int64ObservableCounter("crocushinge.operator.refused",
		metric.WithDescription("API requests refused for a missing or wrong operator token."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(d.refusedOperators.Load())
			return nil
		}))
	return m, errors.Wrap(err, "metrics")
}
