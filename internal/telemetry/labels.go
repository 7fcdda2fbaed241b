package telemetry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// maxLabelSets bounds the number of label sets of one instrument, because operators choose the names of routes and
// services, and each version of the configuration can add new ones.
const maxLabelSets = 1000

// answer is the value of the label "answer": whether the caller got a whole answer, a partial one or none.
type answer string

const (
	wholeAnswer   answer = "whole"
	partialAnswer answer = "partial"
	noAnswer      answer = "none"
)

type (
	queryKey struct {
		route, class string
		answer       answer
		reason       verdict.Reason
	}
	latencyKey struct {
		route, class string
		answer       answer
	}
	sendKey struct {
		zone   fleet.ZoneID
		reason verdict.Reason
	}
	serviceKey struct {
		service fleet.ServiceID
		reason  verdict.Reason
	}
	storeKey struct{ call, outcome string }
)

// labelSets caches the label sets of an instrument, so that they are not built again for each update. It is safe for
// concurrent use.
type labelSets[K comparable] struct {
	sets  sync.Map // K to metric.MeasurementOption
	count atomic.Int64
	build func(K) []attribute.KeyValue
	// overflowKey replaces the operator-chosen name in a key, if it has one, by overflowName. Once there are
	// maxLabelSets label sets, new keys are counted under the result.
	overflowKey func(K) K
}

// option returns the label set of the key, and builds it on first use.
func (l *labelSets[K]) option(key K) metric.MeasurementOption {
	if found, ok := l.sets.Load(key); ok {
		return found.(metric.MeasurementOption)
	}
	if l.count.Load() >= maxLabelSets {
		key = l.overflowKey(key)
	}
	found, known := l.sets.LoadOrStore(key, metric.WithAttributeSet(attribute.NewSet(l.build(key)...)))
	if !known {
		l.count.Add(1)
	}
	return found.(metric.MeasurementOption)
}

// overflowName is the label value for all names that came after an instrument had maxLabelSets label sets.
const overflowName = "other"

// createQueryLabels creates the label sets of queries, which also carry the labels of the instance.
func (t *Telemetry) createQueryLabels(instanceLabels ...attribute.KeyValue) {
	t.queryLabels = &labelSets[queryKey]{
		build: func(key queryKey) []attribute.KeyValue {
			return append([]attribute.KeyValue{
				attribute.String("route", key.route), attribute.String("class", key.class),
				attribute.String("answer", string(key.answer)), attribute.String("reason", key.reason.String()),
			}, instanceLabels...)
		},
		overflowKey: func(key queryKey) queryKey { key.route = overflowName; return key },
	}
	t.latencyLabels = &labelSets[latencyKey]{
		build: func(key latencyKey) []attribute.KeyValue {
			return append([]attribute.KeyValue{
				attribute.String("route", key.route), attribute.String("class", key.class), attribute.String("answer", string(key.answer)),
			}, instanceLabels...)
		},
		overflowKey: func(key latencyKey) latencyKey { key.route = overflowName; return key },
	}
}

// createSendLabels creates the label sets of sends, services and store calls.
func (t *Telemetry) createSendLabels() {
	t.sendLabels = &labelSets[sendKey]{
		build: func(key sendKey) []attribute.KeyValue {
			return []attribute.KeyValue{attribute.String("server_zone", string(key.zone)), attribute.String("reason", key.reason.String())}
		},
		overflowKey: func(key sendKey) sendKey { key.zone = overflowName; return key },
	}
	t.serviceLabels = &labelSets[serviceKey]{
		build: func(key serviceKey) []attribute.KeyValue {
			return []attribute.KeyValue{attribute.String("service", string(key.service)), attribute.String("reason", key.reason.String())}
		},
		overflowKey: func(key serviceKey) serviceKey { key.service = overflowName; return key },
	}
	t.storeLabels = &labelSets[storeKey]{
		build: func(key storeKey) []attribute.KeyValue {
			return []attribute.KeyValue{attribute.String("call", key.call), attribute.String("outcome", key.outcome)}
		},
		overflowKey: func(key storeKey) storeKey { return key },
	}
}

// RecordSend records the outcome of one send to a replica of a service; the reason None means a good answer.
func (t *Telemetry) RecordSend(service fleet.ServiceID, zone fleet.ZoneID, reason verdict.Reason, elapsed time.Duration) {
	t.sends.Record(context.Background(), elapsed.Seconds(), t.sendLabels.option(sendKey{zone, reason}))
	if reason != verdict.None {
		t.failedSends.Add(context.Background(), 1, t.serviceLabels.option(serviceKey{service, reason}))
	}
}

// RecordMissingShard records a shard that had no answer when its query ended.
func (t *Telemetry) RecordMissingShard(service fleet.ServiceID, reason verdict.Reason) {
	t.missingShards.Add(context.Background(), 1, t.serviceLabels.option(serviceKey{service, reason}))
}

// RecordStoreCall records one call to the platform's store. The outcome is the HTTP status code, or a word such as
// "unanswered" if there was no response.
func (t *Telemetry) RecordStoreCall(call, outcome string) {
	t.storeCalls.Add(context.Background(), 1, t.storeLabels.option(storeKey{call, outcome}))
}

// Sample is one value of a metric that another package maintains, with its labels.
type Sample struct {
	Value  float64
	Labels []attribute.KeyValue
}

// observeSamples returns a callback that reads the samples at each collection of the metrics.
func observeSamples(read func() []Sample) metric.Float64Callback {
	return func(_ context.Context, observer metric.Float64Observer) error {
		for _, sample := range read() {
			observer.Observe(sample.Value, metric.WithAttributes(sample.Labels...))
		}
		return nil
	}
}
