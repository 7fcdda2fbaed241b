package inspection

import (
	"fmt"
	"strings"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

// inspectRoutes checks the routes and records which services they use.
func (i *inspector) inspectRoutes() {
	names, matches := make(map[string]bool), make(map[string]string)
	for _, r := range i.Routes {
		place := entry("route", r.Name)
		i.check(!names[r.Name], Error, place, "", "another route has the same name")
		names[r.Name] = true
		i.inspectMatch(place, r, matches)
		i.inspectTimes(place, r)
		i.inspectTarget(place, r)
	}
}

// inspectMatch checks what a route matches. matches maps host and prefix to the route that has them first.
func (i *inspector) inspectMatch(place string, r *routing.Route, matches map[string]string) {
	i.check(r.Host != "", Error, place, "", "the host is missing")
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		i.add(Error, place, r.PathPrefix, "a prefix begins and ends with a slash")
	}
	match := strings.ToLower(r.Host) + r.PathPrefix
	if first, taken := matches[match]; taken {
		i.add(Error, place, match, fmt.Sprintf("route %q has the same host and prefix and comes first, so that this one can never match", first))
		return
	}
	matches[match] = r.Name
	i.check(!r.Public || len(i.Customers) > 0, Warning, place, "", "public has no effect in a configuration without customers")
}

func (i *inspector) inspectTimes(place string, r *routing.Route) {
	i.check(r.Timeout > 0, Error, place, r.Timeout, "the time-out is not above zero")
	i.check(r.Objective >= 0, Error, place, r.Objective, "the latency objective is negative")
	i.check(r.Timeout <= 0 || r.Objective <= r.Timeout, Warning, place, fmt.Sprintf("objective %v, time-out %v", r.Objective, r.Timeout),
		"requests time out before the latency objective")
	i.check(r.MaxAttempts >= 1, Error, place, r.MaxAttempts, "a request needs one attempt at least")
	i.check(r.Priority >= 0, Error, place, r.Priority, "the priority is negative")
}

// inspectTarget checks where a route sends its requests.
func (i *inspector) inspectTarget(place string, r *routing.Route) {
	switch {
	case len(r.Shards) > 0 && len(r.WeightedServices) > 0:
		i.add(Error, place, "", "it names shards and services; only one of them can get a request")
	case len(r.Shards) == 0 && len(r.WeightedServices) == 0:
		i.add(Error, place, "", "it names no service")
	}
	total := 0
	for _, weighted := range r.WeightedServices {
		i.use(place, weighted.Service)
		i.check(weighted.Weight >= 0, Error, place, weighted.Weight, fmt.Sprintf("the weight of service %q is negative", weighted.Service))
		i.check(weighted.Weight != 0, Warning, place, "", fmt.Sprintf("service %q has weight 0 and gets no requests", weighted.Service))
		total += max(weighted.Weight, 0)
	}
	i.check(len(r.WeightedServices) == 0 || total > 0, Error, place, total, "the weights add up to nothing")
	if len(r.Shards) > 0 {
		i.inspectShards(place, r)
	}
}

func (i *inspector) inspectShards(place string, r *routing.Route) {
	seen := make(map[fleet.ServiceID]bool, len(r.Shards))
	for _, shard := range r.Shards {
		i.check(!seen[shard], Error, place, shard, "the shard is named twice, and no answer may hold two parts of one service")
		seen[shard] = true
		i.use(place, shard)
	}
	i.check(r.Idempotent, Error, place, "", "requests to all shards may run more than once, so the route must be idempotent")
	i.check(r.MinCoverage >= 0 && r.MinCoverage <= 1, Error, place, r.MinCoverage, "the coverage floor is not from 0 to 1")
	i.check(r.MaxRecords > 0, Error, place, r.MaxRecords, "answers keep no record")
	i.check(r.MinCoverage == 1 || r.MinCoverage*float64(len(r.Shards)) <= float64(len(r.Shards)-1), Warning, place, r.MinCoverage,
		fmt.Sprintf("the coverage floor allows none of the %d shards to be missing, although it is below 1", len(r.Shards)))
}

// use records that a route uses a service, which must be in the configuration.
func (i *inspector) use(place string, service fleet.ServiceID) {
	if _, known := i.services[string(service)]; !known {
		i.add(Error, place, string(service), "the configuration has no such service")
	}
	i.services[string(service)] = true
}
