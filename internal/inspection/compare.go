package inspection

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/medlarlatch/medlarlatch/internal/customer"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

// Change is one difference between two versions.
type Change struct {
	Place string `json:"place"`
	// Before and After are the two values; empty where an entry is missing.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// Effect says what the change does once it is in force.
	Effect string `json:"effect"`
}

// String returns the change as one line.
func (c Change) String() string {
	if c.Before == "" && c.After == "" {
		return fmt.Sprintf("%s: %s", c.Place, c.Effect)
	}
	return fmt.Sprintf("%s: %s -> %s: %s", c.Place, cmp.Or(c.Before, "none"), cmp.Or(c.After, "none"), c.Effect)
}

// Compare returns what the version after changes in the version before, which is in force: first the version, then routes,
// services, customers and limits, each sorted by name.
func Compare(before, after *Configuration) []Change {
	var changes []Change
	add := func(place string, old, updated any, effect string) {
		if former, now := fmt.Sprint(old), fmt.Sprint(updated); former != now {
			changes = append(changes, Change{place, former, now, effect})
		}
	}
	if after.Version <= before.Version {
		changes = append(changes, Change{
			"version", fmt.Sprint(before.Version), fmt.Sprint(after.Version),
			"instances ignore a version that is not above the one in force",
		})
	}
	compareEntries("route", before.Routes, after.Routes, func(r *routing.Route) string { return r.Name },
		"requests that no other route matches get 404", "requests are served by the new route", &changes,
		func(place string, old, updated *routing.Route) {
			add(place, strings.ToLower(old.Host)+old.PathPrefix, strings.ToLower(updated.Host)+updated.PathPrefix, "other requests match the route")
			add(place, target(old), target(updated), "requests go to other services")
			add(place, old.Idempotent, updated.Idempotent, "whether requests may run more than once (idempotent)")
			add(place, old.Timeout, updated.Timeout, "the longest wait of callers (time-out)")
			add(place, old.Objective, updated.Objective, "when fan-outs answer without late shards (latency objective)")
			add(place, old.MaxAttempts, updated.MaxAttempts, "replicas that may get a request (attempts)")
			add(place, old.Priority, updated.Priority, "the rank of requests while there is no room for all (priority)")
			add(place, old.Regions, updated.Regions, "the regions whose replicas may get requests")
			add(place, old.MaxRecords, updated.MaxRecords, "records in a merged answer")
			add(place, old.MinCoverage, updated.MinCoverage, "the share of shards without which a request fails (coverage floor)")
			add(place, old.Public, updated.Public, "whether requests need no key (public)")
		})
	compareEntries("service", before.Services, after.Services, func(s routing.Service) string { return string(s.ID) },
		"its connections and warm-up are no longer bounded", "its connections and warm-up are bounded", &changes,
		func(place string, old, updated routing.Service) {
			add(place, old.MaxConnections, updated.MaxConnections, "connections that a replica takes from all instances together")
			add(place, old.WarmUp, updated.WarmUp, "how long replicas are cold after a start")
			add(place, old.ColdRate, updated.ColdRate, "requests a second that a cold replica takes")
		})
	compareEntries("customer", before.Customers, after.Customers, func(c customer.Customer) string { return c.Name },
		"requests with its keys get 401", "its keys are accepted", &changes,
		func(place string, old, updated customer.Customer) {
			compareKeys(place, old.Keys, updated.Keys, &changes)
			add(place, limit(&old), limit(&updated), limitEffect(&old, &updated))
			add(place, priority(&old), priority(&updated), "the rank of its requests while there is no room for all (priority)")
		})
	if len(before.Customers) == 0 && len(after.Customers) > 0 {
		changes = append(changes, Change{Place: "customers", Effect: "requests without a known key get 401, except on public routes"})
	}
	if len(before.Customers) > 0 && len(after.Customers) == 0 {
		changes = append(changes, Change{Place: "customers", Effect: "requests need no key any more"})
	}
	add("limits", before.Limits, after.Limits, "what callers may send, and how long they may take")
	return changes
}

// compareEntries adds a change for each entry that is only in one of the lists, and calls compare for those in both, by
// name. Of entries that share a name, the last one counts.
func compareEntries[T any](kind string, before, after []T, name func(T) string, removed, added string, changes *[]Change, compare func(place string, old, updated T)) {
	former, latest := make(map[string]T), make(map[string]T)
	var names []string
	for _, e := range before {
		former[name(e)] = e
		names = append(names, name(e))
	}
	for _, e := range after {
		latest[name(e)] = e
		names = append(names, name(e))
	}
	slices.Sort(names)
	for _, n := range slices.Compact(names) {
		old, was := former[n]
		updated, is := latest[n]
		switch place := entry(kind, n); {
		case was && is:
			compare(place, old, updated)
		case was:
			*changes = append(*changes, Change{Place: place, Effect: "removed: " + removed})
		default:
			*changes = append(*changes, Change{Place: place, Effect: "added: " + added})
		}
	}
}

// compareKeys adds a change that counts the keys which a customer loses or gets.
func compareKeys(place string, before, after []customer.KeyDigest, changes *[]Change) {
	missing := func(in, from []customer.KeyDigest) (count int) {
		held := make(map[customer.KeyDigest]bool, len(in))
		for _, digest := range in {
			held[digest] = true
		}
		for _, digest := range from {
			if !held[digest] {
				count++
			}
		}
		return count
	}
	if taken := missing(after, before); taken > 0 {
		*changes = append(*changes, Change{Place: place, Effect: fmt.Sprintf("%d of %d keys are taken away: requests with them get 401", taken, len(before))})
	}
	if given := missing(before, after); given > 0 {
		*changes = append(*changes, Change{Place: place, Effect: fmt.Sprintf("%d keys are added", given)})
	}
}

// target describes where a route sends its requests.
func target(r *routing.Route) string {
	if len(r.Shards) > 0 {
		return fmt.Sprintf("%d shards %v", len(r.Shards), r.Shards)
	}
	return fmt.Sprint(r.WeightedServices)
}

// limit describes the rate limit of a customer.
func limit(c *customer.Customer) string {
	if !c.Limited() {
		return "no limit"
	}
	return fmt.Sprintf("%v requests a second and a burst of %v", c.Rate, c.Burst)
}

func limitEffect(before, after *customer.Customer) string {
	if after.Limited() && (!before.Limited() || after.Rate < before.Rate) {
		return "requests above the lower limit get 429"
	}
	return "the rate limit over all instances together"
}

func priority(c *customer.Customer) string {
	if c.Priority == nil {
		return "that of the route"
	}
	return fmt.Sprint(*c.Priority)
}
