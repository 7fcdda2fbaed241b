// Package routing holds the operators' routes as one immutable table: which request goes to which services, for how
// long, and what counts as a good answer.
//
// A Table belongs to one version of the configuration and is replaced whole. A request keeps the table that it was
// matched in until its end, so that its parts never mix two versions. The package does no I/O.
package routing

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Route is one rule of the table.
type Route struct {
	Name string `json:"name"`
	// Host is compared without a port and without regard to case.
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time within which an answer is worth most to the caller.
	Objective time.Duration `json:"objective"`
	// Priority ranks the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// Attempts is the largest number of replicas that may get one request, for each shard.
	Attempts int `json:"attempts"`
	// Regions are those whose replicas may get the route's requests; empty for all.
	Regions []fleet.RegionID `json:"regions"`
	// Shares are the services that share the requests of a route without shards.
	Shares []Share `json:"shares"`
	// Shards are the services that each hold a part of the index; empty for a route to one replica.
	Shards []fleet.ServiceID `json:"shards"`
	// Keep is the number of records that the merged answer keeps.
	Keep int `json:"keep"`
	// Floor is the least share of the shards that makes an answer, 0 to 1.
	Floor float64 `json:"floor"`

	spread spread
}

// Allows tells whether a replica in the region may get the route's requests.
func (r *Route) Allows(region fleet.RegionID) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Share is one service of a route with its weight.
type Share struct {
	Service fleet.ServiceID `json:"service"`
	Weight  int             `json:"weight"`
}

// Service is what operators say of one service.
type Service struct {
	ID fleet.ServiceID `json:"id"`
	// Connections is the largest number of connections that one replica accepts from all callers together.
	Connections int `json:"connections"`
	// WarmUp is how long a replica stays cold after its start.
	WarmUp time.Duration `json:"warm-up"`
	// ColdRate is the number of requests a second that a cold replica bears; 0 stands for no limit.
	ColdRate float64 `json:"cold-rate"`
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int           `json:"header-bytes"`
	BodyBytes     int64         `json:"body-bytes"`
	HeaderTimeout time.Duration `json:"header-timeout"`
	IdleTimeout   time.Duration `json:"idle-timeout"`
}

// Table is one version of the configuration.
type Table struct {
	version  uint64
	routes   map[string][]*Route // by host, longest prefix first
	services map[fleet.ServiceID]Service
	limits   Limits
}

// New returns a table that takes the routes over. The routes of the former table hand the positions of their weighted
// distribution on, so that a stream of new versions does not restart it each time; former may be nil.
func New(version uint64, routes []*Route, services []Service, limits Limits, former *Table) *Table {
	t := &Table{
		version:  version,
		routes:   make(map[string][]*Route),
		services: make(map[fleet.ServiceID]Service, len(services)),
		limits:   limits,
	}
	for _, service := range services {
		t.services[service.ID] = service
	}
	known := former.byName()
	for _, route := range routes {
		route.Host = strings.ToLower(route.Host)
		if old := known[route.Name]; old != nil && slices.Equal(old.Shares, route.Shares) {
			route.spread.carry(&old.spread)
		}
		t.routes[route.Host] = append(t.routes[route.Host], route)
	}
	for _, hosted := range t.routes {
		slices.SortStableFunc(hosted, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

func (t *Table) byName() map[string]*Route {
	named := make(map[string]*Route)
	if t == nil {
		return named
	}
	for _, hosted := range t.routes {
		for _, route := range hosted {
			named[route.Name] = route
		}
	}
	return named
}

// Version is the operators' number of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds on callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns what operators say of a service; the zero value if they name none of that name.
func (t *Table) Service(id fleet.ServiceID) Service { return t.services[id] }

// Routes returns all routes, in no particular order.
func (t *Table) Routes() []*Route {
	var all []*Route
	for _, hosted := range t.routes {
		all = append(all, hosted...)
	}
	return all
}

// Services returns what operators say of all services, in no particular order.
func (t *Table) Services() []Service {
	return slices.Collect(maps.Values(t.services))
}

// Match returns the route of the host with the longest prefix that begins the path, or nil. The host may carry a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
