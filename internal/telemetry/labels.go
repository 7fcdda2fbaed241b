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

// mostLabelSets bounds the label sets of one instrument, because the names of routes and services are the operators' and
// new ones come with each version of the configuration.
const mostLabelSets = 1000

// answer says what a caller got.
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

// labelSets keeps the label sets of an instrument, so that an update builds none. It is safe for concurrent use.
type labelSets[K comparable] struct {
	sets  sync.Map // K to metric.MeasurementOption
	count atomic.Int64
	build func(K) []attribute.KeyValue
	// rest takes the name that an operator gave out of a key; keys beyond the bound are counted under what is left.
	rest func(K) K
}

func (l *labelSets[K]) option(key K) metric.MeasurementOption {
	if found, ok := l.sets.Load(key); ok {
		return found.(metric.MeasurementOption)
	}
	if l.count.Load() >= mostLabelSets {
		key = l.rest(key)
	}
	found, known := l.sets.LoadOrStore(key, metric.WithAttributeSet(attribute.NewSet(l.build(key)...)))
	if !known {
		l.count.Add(1)
	}
	return found.(metric.MeasurementOption)
}

// otherName stands for the names beyond the bound.
const otherName = "other"

func (t *Telemetry) labelQueries(own ...attribute.KeyValue) {
	t.queryLabels = &labelSets[queryKey]{
		build: func(key queryKey) []attribute.KeyValue {
			return append([]attribute.KeyValue{
				attribute.String("route", key.route), attribute.String("class", key.class),
				attribute.String("answer", string(key.answer)), attribute.String("reason", key.reason.String()),
			}, own...)
		},
		rest: func(key queryKey) queryKey { key.route = otherName; return key },
	}
	t.latencyLabels = &labelSets[latencyKey]{
		build: func(key latencyKey) []attribute.KeyValue {
			return append([]attribute.KeyValue{
				attribute.String("route", key.route), attribute.String("class", key.class), attribute.String("answer", string(key.answer)),
			}, own...)
		},
		rest: func(key latencyKey) latencyKey { key.route = otherName; return key },
	}
}

func (t *Telemetry) labelSends() {
	t.sendLabels = &labelSets[sendKey]{
		build: func(key sendKey) []attribute.KeyValue {
			return []attribute.KeyValue{attribute.String("server_zone", string(key.zone)), attribute.String("reason", key.reason.String())}
		},
		rest: func(key sendKey) sendKey { key.zone = otherName; return key },
	}
	t.serviceLabels = &labelSets[serviceKey]{
		build: func(key serviceKey) []attribute.KeyValue {
			return []attribute.KeyValue{attribute.String("service", string(key.service)), attribute.String("reason", key.reason.String())}
		},
		rest: func(key serviceKey) serviceKey { key.service = otherName; return key },
	}
	t.storeLabels = &labelSets[storeKey]{
		build: func(key storeKey) []attribute.KeyValue {
			return []attribute.KeyValue{attribute.String("call", key.call), attribute.String("outcome", key.outcome)}
		},
		rest: func(key storeKey) storeKey { return key },
	}
}

// Sent records one send to a replica of a service.
func (t *Telemetry) Sent(service fleet.ServiceID, zone fleet.ZoneID, reason verdict.Reason, elapsed time.Duration) {
	t.sends.Record(context.Background(), elapsed.Seconds(), t.sendLabels.option(sendKey{zone, reason}))
	if reason != verdict.None {
		t.failures.Add(context.Background(), 1, t.serviceLabels.option(serviceKey{service, reason}))
	}
}

// Missed records a shard without an answer at the end of its query.
func (t *Telemetry) Missed(service fleet.ServiceID, reason verdict.Reason) {
	t.missed.Add(context.Background(), 1, t.serviceLabels.option(serviceKey{service, reason}))
}

// StoreCall records one call to the platform's store. The outcome is a status code or what took its place.
func (t *Telemetry) StoreCall(call, outcome string) {
	t.store.Add(context.Background(), 1, t.storeLabels.option(storeKey{call, outcome}))
}

// Sample is a value that another package keeps, with its labels.
type Sample struct {
	Value  float64
	Labels []attribute.KeyValue
}

func observe(read func() []Sample) metric.Float64Callback {
	return func(_ context.Context, observer metric.Float64Observer) error {
		for _, sample := range read() {
			observer.Observe(sample.Value, metric.WithAttributes(sample.Labels...))
		}
		return nil
	}
}
