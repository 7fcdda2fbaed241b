// Package inspection checks a configuration of routes, services and customers before operators send it, and compares it
// with the version in force.
//
// Inspect finds errors, entries that can never match and limits that contradict each other; Compare says what a new
// version changes and what that does to callers. Both are functions of their arguments. No finding contains a key of a
// customer, of which the package sees only the digests.
package inspection

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/medlarlatch/medlarlatch/internal/customer"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

//go:generate go tool stringer -type=Severity -linecomment -output=severity_string.go

// Severity ranks findings.
type Severity int

const (
	// Error marks an entry that requests cannot be served by.
	Error Severity = iota // error
	// Warning marks an entry that has no effect, or another one than it says.
	Warning // warning
)

// MarshalText encodes the severity as its text.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Configuration is one version of the configuration, with its lists in the order in which they were written.
type Configuration struct {
	Version   uint64
	Routes    []*routing.Route
	Services  []routing.Service
	Customers []customer.Customer
	Limits    routing.Limits
}

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place names the entry, such as route "search" or customer "a"; several entries of one kind may share a name.
	Place string `json:"place"`
	// Value is the value at fault; empty if it is missing or is the entry as a whole.
	Value   string `json:"value,omitempty"`
	Problem string `json:"problem"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	if f.Value == "" {
		return fmt.Sprintf("%s: %s: %s", f.Severity, f.Place, f.Problem)
	}
	return fmt.Sprintf("%s: %s: %s: %s", f.Severity, f.Place, f.Value, f.Problem)
}

// inspector collects the findings of one configuration.
type inspector struct {
	*Configuration
	findings []Finding
	// services maps the name of each service to whether a route uses it.
	services map[string]bool
}

// Inspect returns the findings of a configuration, errors first, otherwise in the order of its entries.
func Inspect(c *Configuration) []Finding {
	i := &inspector{Configuration: c, services: make(map[string]bool, len(c.Services))}
	for _, service := range c.Services {
		place := entry("service", string(service.ID))
		if _, found := i.services[string(service.ID)]; found {
			i.add(Error, place, "", "another service has the same name")
		}
		i.services[string(service.ID)] = false
		i.inspectService(place, &service)
	}
	i.inspectRoutes()
	for _, service := range c.Services {
		if !i.services[string(service.ID)] {
			i.add(Warning, entry("service", string(service.ID)), "", "no route sends requests to it")
		}
	}
	i.inspectCustomers()
	i.inspectLimits()
	slices.SortStableFunc(i.findings, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return i.findings
}

func (i *inspector) add(severity Severity, place, value, problem string) {
	i.findings = append(i.findings, Finding{Severity: severity, Place: place, Value: value, Problem: problem})
}

// check adds a finding unless ok is set.
func (i *inspector) check(ok bool, severity Severity, place string, value any, problem string) {
	if !ok {
		i.add(severity, place, fmt.Sprint(value), problem)
	}
}

// maxNameBytes bounds the names in findings.
const maxNameBytes = 64

// entry returns the place of an entry.
func entry(kind, name string) string {
	return fmt.Sprintf("%s %q", kind, name[:min(len(name), maxNameBytes)])
}

func (i *inspector) inspectService(place string, s *routing.Service) {
	i.check(s.MaxConnections >= 0, Error, place, s.MaxConnections, "the connections of a replica are negative")
	i.check(s.WarmUp >= 0, Error, place, s.WarmUp, "the warm-up is negative")
	i.check(s.ColdRate >= 0, Error, place, s.ColdRate, "the rate of a cold replica is negative")
	i.check(s.ColdRate == 0 || s.WarmUp > 0, Warning, place, s.ColdRate, "the rate of a cold replica has no effect without a warm-up")
}

// inspectCustomers checks the customers, and that their keys are needed.
func (i *inspector) inspectCustomers() {
	holders, names := make(map[customer.KeyDigest]string), make(map[string]bool)
	for _, c := range i.Customers {
		place := entry("customer", c.Name)
		i.check(c.Name != "", Error, place, "", "the name is missing")
		i.check(!names[c.Name], Error, place, "", "another customer has the same name")
		names[c.Name] = true
		i.check(len(c.Keys) > 0, Warning, place, "", "it holds no key, so that no request is the customer's")
		for _, digest := range c.Keys {
			switch holder, held := holders[digest]; {
			case digest == customer.DigestOf(""):
				i.add(Error, place, "", "an empty key can never match")
			case held && holder != c.Name:
				i.add(Error, place, "", fmt.Sprintf("customer %q holds one of its keys as well", holder))
			case held:
				i.add(Warning, place, "", "it lists a key twice")
			}
			holders[digest] = c.Name
		}
		i.check(c.Rate >= 0 && c.Burst >= 0, Error, place, fmt.Sprintf("rate %v, burst %v", c.Rate, c.Burst), "the rate limit is negative")
		i.check(c.Rate > 0 || c.Burst <= 0, Warning, place, c.Burst, "the burst has no effect without a rate, and the customer has no limit")
		i.check(c.Rate <= 0 || c.Rate+c.Burst >= 1, Warning, place, fmt.Sprintf("rate %v, burst %v", c.Rate, c.Burst), "the rate limit admits less than one request in a second")
		i.check(c.Priority == nil || *c.Priority >= 0, Error, place, c.Priority, "the priority is negative")
	}
	if len(i.Customers) > 0 && len(i.Routes) > 0 && !slices.ContainsFunc(i.Routes, func(r *routing.Route) bool { return !r.Public }) {
		i.add(Warning, "customers", "", "all routes are public, so that no key, limit or priority of a customer has an effect")
	}
}

func (i *inspector) inspectLimits() {
	l := i.Limits
	i.check(l.MaxHeaderBytes >= 0, Error, "limits", l.MaxHeaderBytes, "the size of a header is negative")
	i.check(l.MaxBodyBytes >= 0, Error, "limits", l.MaxBodyBytes, "the size of a body is negative")
	i.check(l.HeaderTimeout >= 0 && l.IdleTimeout >= 0, Error, "limits", fmt.Sprintf("header %v, idle %v", l.HeaderTimeout, l.IdleTimeout), "a time-out is negative")
}
