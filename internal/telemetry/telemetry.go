// Package telemetry provides the metrics of an entry instance, their Prometheus endpoint and the configuration of the
// log.
//
// The instruments belong to a Telemetry that New returns. No global provider is used, so the counts of two instances in
// one process stay separate. The package only records: it makes no decisions. On the request path, the cost is two
// updates for each query and one for each send. The number of label sets whose values come from callers or operators is
// bounded.
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

// latencyBounds are the upper bounds of the histogram buckets of latencies, in seconds. They are dense around the
// latency objectives of the deployments, 100 to 140 ms.
var latencyBounds = []float64{
	.001, .002, .004, .008, .012, .016, .024, .032, .048, .064, .08, .1, .12, .14, .17, .2, .3, .5, 1, 2, 5,
}

// Telemetry is the set of instruments of one entry instance.
type Telemetry struct {
	provider      *sdk.MeterProvider
	meter         metric.Meter
	registry      *prometheus.Registry
	queries       metric.Int64Counter
	latency       metric.Float64Histogram
	sends         metric.Float64Histogram
	failedSends   metric.Int64Counter
	missingShards metric.Int64Counter
	storeCalls    metric.Int64Counter
	// refusals counts the refused queries since the start, indexed by reason.
	refusals [128]atomic.Int64

	queryLabels   *labelSets[queryKey]
	latencyLabels *labelSets[latencyKey]
	sendLabels    *labelSets[sendKey]
	serviceLabels *labelSets[serviceKey]
	storeLabels   *labelSets[storeKey]
}

// New returns the instruments of an instance. The instance and its zone are labels of the metrics of queries.
func New(instance, zone string) (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, eris.Wrap(err, "create Prometheus exporter")
	}
	t := &Telemetry{provider: sdk.NewMeterProvider(sdk.WithReader(reader)), registry: registry}
	t.meter = t.provider.Meter("github.com/medlarlatch/medlarlatch")
	t.createQueryLabels(attribute.String("instance", instance), attribute.String("zone", zone))
	t.createSendLabels()
	return t, t.createInstruments()
}

// createInstruments creates the counters and histograms.
func (t *Telemetry) createInstruments() error {
	for _, counter := range []struct {
		to                *metric.Int64Counter
		name, description string
	}{
		{&t.queries, "medlarlatch.queries", "Queries by route, class, answer and reason; the reason none is an answer."},
		{&t.failedSends, "medlarlatch.sends.failed", "Sends without a good answer, by service and reason."},
		{&t.missingShards, "medlarlatch.shards.missed", "Shards left out of answers and of queries that failed, by service and reason."},
		{&t.storeCalls, "medlarlatch.store.calls", "Calls to the platform's store, by call and outcome."},
	} {
		var err error
		if *counter.to, err = t.meter.Int64Counter(counter.name, metric.WithDescription(counter.description)); err != nil {
			return eris.Wrap(err, "create counter "+counter.name)
		}
	}
	for _, histogram := range []struct {
		to                *metric.Float64Histogram
		name, description string
	}{
		{&t.latency, "medlarlatch.query.duration", "Time from the whole request to its answer, of queries that got one."},
		{&t.sends, "medlarlatch.send.duration", "Time of a send to a backend server, by the server's zone and the reason."},
	} {
		var err error
		if *histogram.to, err = t.meter.Float64Histogram(histogram.name, metric.WithUnit("s"),
			metric.WithDescription(histogram.description), metric.WithExplicitBucketBoundaries(latencyBounds...)); err != nil {
			return eris.Wrap(err, "create histogram "+histogram.name)
		}
	}
	return nil
}

// Query describes one query that was answered or refused.
type Query struct {
	// Route is the route or the application; it is empty if the query was refused before either was known.
	Route string
	Class string
	// Reason is the reason of the refusal; None means that the query was answered.
	Reason verdict.Reason
	// Partial is set for an answer that lacks some shards.
	Partial bool
	Elapsed time.Duration
}

// RecordQuery records one query: its count by outcome and, if it was answered, its latency.
func (t *Telemetry) RecordQuery(query Query) {
	answer := wholeAnswer
	switch {
	case query.Reason != verdict.None:
		answer = noAnswer
	case query.Partial:
		answer = partialAnswer
	}
	t.queries.Add(context.Background(), 1, t.queryLabels.option(queryKey{query.Route, query.Class, answer, query.Reason}))
	if query.Reason == verdict.None {
		t.latency.Record(context.Background(), query.Elapsed.Seconds(), t.latencyLabels.option(latencyKey{query.Route, query.Class, answer}))
		return
	}
	if int(query.Reason) > 0 && int(query.Reason) < len(t.refusals) {
		t.refusals[query.Reason].Add(1)
	}
}

// Refusals returns the number of refusals since the start by reason, without reasons that have not occurred.
func (t *Telemetry) Refusals() map[string]int64 {
	counts := make(map[string]int64)
	for _, reason := range verdict.Reasons() {
		if count := t.refusals[reason].Load(); count > 0 {
			counts[reason.String()] = count
		}
	}
	return counts
}

// RegisterCounter registers a counter whose value another package maintains.
func (t *Telemetry) RegisterCounter(name, description string, value func() int64) error {
	return t.RegisterCounters(name, description, func() []Sample { return []Sample{{Value: float64(value())}} })
}

// RegisterCounters registers a counter with labels whose values another package maintains.
func (t *Telemetry) RegisterCounters(name, description string, read func() []Sample) error {
	_, err := t.meter.Float64ObservableCounter(name, metric.WithDescription(description), metric.WithFloat64Callback(observeSamples(read)))
	return eris.Wrap(err, name)
}

// RegisterGauge registers a gauge whose value another package maintains. The unit may be empty.
func (t *Telemetry) RegisterGauge(name, unit, description string, value func() float64) error {
	return t.RegisterGauges(name, unit, description, func() []Sample { return []Sample{{Value: value()}} })
}

// RegisterGauges registers a gauge with labels whose values another package maintains. The unit may be empty.
func (t *Telemetry) RegisterGauges(name, unit, description string, read func() []Sample) error {
	_, err := t.meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description), metric.WithFloat64Callback(observeSamples(read)))
	return eris.Wrap(err, name)
}

// Handler serves the metrics in the Prometheus format.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Close shuts down the meter provider.
func (t *Telemetry) Close(ctx context.Context) error {
	return t.provider.Shutdown(ctx)
}

// SetUpLog directs the log to standard error and sets its verbosity; a higher level logs more. It must be called once,
// before the first line is logged.
func SetUpLog(level int) error {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(level)); err != nil {
		return eris.Wrap(err, "set log level")
	}
	return nil
}
