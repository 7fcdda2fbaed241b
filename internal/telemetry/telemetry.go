// Package telemetry holds the metrics of an entry instance, their Prometheus endpoint and the set-up of the log.
//
// The instruments belong to a Telemetry made by New; no global provider is used, so two instances in one process
// do not mix their counts. The package decides nothing and the request path pays one update for each query.
package telemetry

import (
	"context"
	"flag"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// latencyBounds are the bucket bounds of query latencies, in seconds. They are dense around the objectives of
// the deployments, 100 to 140 ms.
var latencyBounds = []float64{
	.001, .002, .004, .008, .012, .016, .024, .032, .048, .064, .08, .1, .12, .14, .17, .2, .3, .5, 1, 2, 5,
}

// Telemetry is the set of instruments of one entry instance.
type Telemetry struct {
	provider *sdk.MeterProvider
	meter    metric.Meter
	registry *prometheus.Registry
	queries  metric.Int64Counter
	latency  metric.Float64Histogram
	refusals [128]atomic.Int64
	outcomes map[verdict.Reason]metric.MeasurementOption
}

// New returns instruments that name the instance and its zone.
func New(instance, zone string) (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, eris.Wrap(err, "prometheus exporter")
	}
	t := &Telemetry{provider: sdk.NewMeterProvider(sdk.WithReader(reader)), registry: registry}
	t.meter = t.provider.Meter("github.com/medlarlatch/medlarlatch")
	if t.queries, err = t.meter.Int64Counter("medlarlatch.queries", metric.WithDescription("Queries by reason; none is an answer.")); err != nil {
		return nil, eris.Wrap(err, "query counter")
	}
	t.latency, err = t.meter.Float64Histogram("medlarlatch.query.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the whole request to its answer."), metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, eris.Wrap(err, "latency histogram")
	}
	t.outcomes = make(map[verdict.Reason]metric.MeasurementOption)
	for _, reason := range verdict.Reasons() {
		t.outcomes[reason] = metric.WithAttributeSet(attribute.NewSet(
			attribute.String("instance", instance), attribute.String("zone", zone), attribute.String("reason", reason.String())))
	}
	return t, nil
}

// Query records one query that was answered, with reason None, or refused.
func (t *Telemetry) Query(reason verdict.Reason, elapsed time.Duration) {
	outcome, ok := t.outcomes[reason]
	if !ok {
		outcome = t.outcomes[verdict.ServerError]
	}
	t.queries.Add(context.Background(), 1, outcome)
	if reason == verdict.None {
		t.latency.Record(context.Background(), elapsed.Seconds(), outcome)
		return
	}
	if int(reason) > 0 && int(reason) < len(t.refusals) {
		t.refusals[reason].Add(1)
	}
}

// Refusals returns the refusals since the start by reason, without those that never occurred.
func (t *Telemetry) Refusals() map[string]int64 {
	counts := make(map[string]int64)
	for _, reason := range verdict.Reasons() {
		if count := t.refusals[reason].Load(); count > 0 {
			counts[reason.String()] = count
		}
	}
	return counts
}

// Counter publishes a count that another package keeps.
func (t *Telemetry) Counter(name, description string, value func() int64) error {
	_, err := t.meter.Int64ObservableCounter(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(value())
			return nil
		}))
	return eris.Wrap(err, name)
}

// Gauge publishes a value of now that another package keeps.
func (t *Telemetry) Gauge(name, description string, value func() int64) error {
	_, err := t.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(value())
			return nil
		}))
	return eris.Wrap(err, name)
}

// Handler serves the metrics in the Prometheus format.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Close stops the instruments.
func (t *Telemetry) Close(ctx context.Context) error {
	return t.provider.Shutdown(ctx)
}

// SetUpLog sends log lines to standard error; a higher level logs more. It is called once, before the first line.
func SetUpLog(level int) error {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(level)); err != nil {
		return eris.Wrap(err, "log level")
	}
	return nil
}
