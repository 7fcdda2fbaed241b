// Package workload learns how much work a request is for the replicas that run it. Requests of one route may differ by
// their customer, their size and the shard that they reach; their cost is learned from the time that earlier ones took.
// Costs owns what was learned, in memory only. The package does no I/O and never chooses a replica.
package workload

import (
	"math/bits"
	"sync"
	"sync/atomic"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// priorSamples is the weight, in requests, of the assumption that a request is as much work as the mean of its route.
	// It keeps a customer's first requests, which a busy replica may have delayed, from deciding.
	priorSamples = 8
	// maxSamples limits the weight of the past, so that a change shows after about as many requests.
	maxSamples = 64
	// minRatio and maxRatio limit one measurement, because a stalled replica says nothing about the request, and the
	// estimate, because many replicas are slow at times for reasons of their own.
	minRatio, maxRatio = 1.0 / 8, 8
	// maxFactors limits the memory for customers that come and go. Further ones count as the mean of their route.
	maxFactors = 20_000
)

// Class is what is known of a request before it is sent.
type Class struct {
	Route string
	// Customer is the name of the customer; empty if the request has none.
	Customer string
	// Bytes is the length of the body.
	Bytes int
}

// Costs holds what was learned. It is safe for concurrent use.
type Costs struct {
	factors sync.Map // *factor by key
	count   atomic.Int64
}

// New returns costs of which nothing is known yet.
func New() *Costs { return &Costs{} }

// key identifies a factor: the effect of one property on the requests of a route.
type key struct {
	route, customer string
	// size is the number of bits of the length of the body, less 1; negative for factors of other properties.
	size    int
	service fleet.ServiceID
}

// factor is the ratio of the work of the requests with a property to the mean of their route, other properties aside.
type factor struct {
	mutex   sync.Mutex
	ratio   float64
	samples float64
}

func (f *factor) value() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.ratio
}

// observe moves the ratio towards a measurement.
func (f *factor) observe(measured float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.samples = min(f.samples+1, maxSamples)
	f.ratio += (measured - f.ratio) / (f.samples + priorSamples)
}

// Request is the estimate for one request.
type Request struct {
	costs    *Costs
	route    string
	customer *factor // nil if the request has no customer
	size     *factor // nil if the request has no body
}

// Request returns the estimate for a request of the class.
func (c *Costs) Request(class Class) Request {
	r := Request{costs: c, route: class.Route}
	if class.Customer != "" {
		r.customer = c.factor(key{route: class.Route, customer: class.Customer, size: -1})
	}
	if class.Bytes > 0 {
		r.size = c.factor(key{route: class.Route, size: bits.Len(uint(class.Bytes)) - 1})
	}
	return r
}

func (c *Costs) factor(k key) *factor {
	if found, ok := c.factors.Load(k); ok {
		return found.(*factor)
	}
	if c.count.Load() >= maxFactors {
		return nil
	}
	found, loaded := c.factors.LoadOrStore(k, &factor{ratio: 1})
	if !loaded {
		c.count.Add(1)
	}
	return found.(*factor)
}

// Len returns the number of properties of requests whose effect is known.
func (c *Costs) Len() int { return int(c.count.Load()) }

// Retain removes what was learned of routes that are not among the given ones.
func (c *Costs) Retain(routes map[any]bool) {
	c.factors.Range(func(k, _ any) bool {
		if !routes[k.(key).route] {
			c.factors.Delete(k)
			c.count.Add(-1)
		}
		return true
	})
}

// Ratio returns the work of the request at the service as a multiple of the mean of its route.
func (r Request) Ratio(service fleet.ServiceID) float64 { return product(r.properties(service)) }

// OwnRatio is like Ratio without the effect of the service. That cannot be told from a slow replica by an instance that
// sends to one replica of the service most of the time.
func (r Request) OwnRatio() float64 { return product([3]*factor{r.customer, r.size}) }

func product(properties [3]*factor) float64 {
	ratio := 1.0
	for _, f := range properties {
		if f != nil {
			ratio *= f.value()
		}
	}
	return min(max(ratio, minRatio), maxRatio)
}

// Observe records that the request took a multiple of its route's mean at the service. Each property is credited with
// what the others do not explain.
func (r Request) Observe(service fleet.ServiceID, measured float64) {
	measured = min(max(measured, minRatio), maxRatio)
	properties := r.properties(service)
	for i, f := range properties {
		if f == nil {
			continue
		}
		others := 1.0
		for j, other := range properties {
			if j != i && other != nil {
				others *= other.value()
			}
		}
		f.observe(min(max(measured/others, minRatio), maxRatio))
	}
}

func (r Request) properties(service fleet.ServiceID) [3]*factor {
	if r.costs == nil {
		return [3]*factor{}
	}
	return [3]*factor{r.customer, r.size, r.costs.factor(key{route: r.route, size: -1, service: service})}
}
