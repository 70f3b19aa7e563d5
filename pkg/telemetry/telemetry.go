package telemetry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/sdk/metric"
)

const meterName = "agatepulley"

// Telemetry holds the meter provider, the Prometheus registry and the instruments of a process.
type Telemetry struct {
	registry *prometheus.Registry
	provider *metric.MeterProvider
	metrics  *Metrics
}

// New sets up the metrics of a process, including those of the Go runtime and of the process itself.
func New() (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	exporter, err := otelprometheus.New(
		otelprometheus.WithRegisterer(registry),
		otelprometheus.WithoutScopeInfo(),
		otelprometheus.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, fmt.Errorf("create Prometheus exporter: %w", err)
	}
	provider := metric.NewMeterProvider(metric.WithReader(exporter))
	metrics, err := NewMetrics(provider.Meter(meterName))
	if err != nil {
		return nil, err
	}
	return &Telemetry{registry: registry, provider: provider, metrics: metrics}, nil
}

// Metrics returns the instruments of the process.
func (t *Telemetry) Metrics() *Metrics { return t.metrics }

// Registry returns the registry from which the metrics are exported.
func (t *Telemetry) Registry() *prometheus.Registry { return t.registry }

// Handler returns the handler that exports the metrics in the Prometheus text format.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Stop shuts down the meter provider.
func (t *Telemetry) Stop(ctx context.Context) error {
	if err := t.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down meter provider: %w", err)
	}
	return nil
}
