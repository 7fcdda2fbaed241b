// Package routing holds the operators' routes as one immutable table: which requests go to which services, within which
// time, and how much of the index an answer must cover.
//
// A Table belongs to one version of the configuration and is replaced as a whole. A request uses the table in which it
// was matched until it ends, so that its parts never mix two versions. The package does no I/O.
package routing

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/customer"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Route is one rule of the table. Its WeightedServices or its Shards say which services get its requests.
type Route struct {
	Name string `json:"name"`
	// Host is compared without a port and case-insensitively.
	Host string `json:"host"`
	// PathPrefix is a path prefix that begins and ends with a slash.
	PathPrefix string `json:"prefix"`
	// Idempotent is set if a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective, the time within which an answer is worth most to the caller.
	Objective time.Duration `json:"objective"`
	// Priority ranks the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// MaxAttempts is the largest number of replicas of each shard to which one request may be sent.
	MaxAttempts int `json:"attempts"`
	// Regions are those whose replicas may get the route's requests; empty means all.
	Regions []fleet.RegionID `json:"regions"`
	// WeightedServices are the weighted services of a route without shards.
	WeightedServices []WeightedService `json:"shares"`
	// Shards are the services that each hold a part of the index; empty for a route whose requests go to one replica.
	Shards []fleet.ServiceID `json:"shards"`
	// MaxRecords is the number of records that the merged answer keeps.
	MaxRecords int `json:"keep"`
	// MinCoverage is the coverage floor: the smallest fraction of the shards, 0 to 1, that must have answered for the
	// request to succeed.
	MinCoverage float64 `json:"floor"`
	// Public is set if requests need no key although the configuration has customers.
	Public bool `json:"public,omitempty"`

	roundRobin weightedRoundRobin
}

// Allows reports whether a replica in the region may get the route's requests.
func (r *Route) Allows(region fleet.RegionID) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// WeightedService is one of the weighted services of a route.
type WeightedService struct {
	Service fleet.ServiceID `json:"service"`
	Weight  int             `json:"weight"`
}

// Service holds the operators' settings for one service.
type Service struct {
	ID fleet.ServiceID `json:"id"`
	// MaxConnections is the largest number of connections that one replica accepts from all callers together.
	MaxConnections int `json:"connections"`
	// WarmUp is how long a replica stays cold after its start.
	WarmUp time.Duration `json:"warm-up"`
	// ColdRate is the number of requests per second that a cold replica can take; 0 means no limit.
	ColdRate float64 `json:"cold-rate"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int           `json:"header-bytes"`
	MaxBodyBytes   int64         `json:"body-bytes"`
	HeaderTimeout  time.Duration `json:"header-timeout"`
	IdleTimeout    time.Duration `json:"idle-timeout"`
}

// Table is one version of the configuration.
type Table struct {
	version  uint64
	routes   map[string][]*Route // by host, longest prefix first
	services map[fleet.ServiceID]Service
	limits   Limits
	// customers is nil if the configuration has none.
	customers *customer.Registry
}

// New returns a table that takes ownership of the routes. A route with the same name and the same weighted services as
// one in the previous table continues its weighted distribution, so that frequent new versions do not restart it each
// time; previous may be nil.
func New(version uint64, routes []*Route, services []Service, limits Limits, previous *Table) *Table {
	t := &Table{
		version:  version,
		routes:   make(map[string][]*Route),
		services: make(map[fleet.ServiceID]Service, len(services)),
		limits:   limits,
	}
	for _, service := range services {
		t.services[service.ID] = service
	}
	known := previous.routesByName()
	for _, route := range routes {
		route.Host = strings.ToLower(route.Host)
		if old := known[route.Name]; old != nil && slices.Equal(old.WeightedServices, route.WeightedServices) {
			route.roundRobin.copyFrom(&old.roundRobin)
		}
		t.routes[route.Host] = append(t.routes[route.Host], route)
	}
	for _, hostRoutes := range t.routes {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return t
}

func (t *Table) routesByName() map[string]*Route {
	named := make(map[string]*Route)
	if t == nil {
		return named
	}
	for _, hostRoutes := range t.routes {
		for _, route := range hostRoutes {
			named[route.Name] = route
		}
	}
	return named
}

// Version returns the operators' version number of the configuration; 0 for a nil table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.version
}

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// WithCustomers returns a copy of the table with the customers; nil for none.
func (t *Table) WithCustomers(customers *customer.Registry) *Table {
	copied := *t
	copied.customers = customers
	return &copied
}

// Customers returns the customers of the configuration; nil if it has none, and for a nil table.
func (t *Table) Customers() *customer.Registry {
	if t == nil {
		return nil
	}
	return t.customers
}

// Service returns the settings for a service; the zero value if the configuration has none.
func (t *Table) Service(id fleet.ServiceID) Service { return t.services[id] }

// Routes returns all routes, in no particular order.
func (t *Table) Routes() []*Route {
	var all []*Route
	for _, hostRoutes := range t.routes {
		all = append(all, hostRoutes...)
	}
	return all
}

// Services returns the settings for all services, in no particular order.
func (t *Table) Services() []Service {
	return slices.Collect(maps.Values(t.services))
}

// Match returns the route of the host with the longest prefix that begins the path; nil if there is none. The host may
// include a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}
