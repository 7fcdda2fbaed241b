// Package catalogue holds the operators' catalogue: services with their owner, class and limits, and
// the availability zones and instances that are taken out of service.
//
// A Catalogue is an immutable value. The package parses, checks and compares catalogues; it reads no
// file and talks to no store.
package catalogue

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

//go:generate go tool stringer -type=Class -linecomment -output=class_string.go
//go:generate go tool stringer -type=BelowFloor -linecomment -output=belowfloor_string.go

// Class ranks the work of a service where not all of it can be done.
type Class int

const (
	// Interactive work has a person waiting; it is admitted first.
	Interactive Class = iota // interactive
	// Settlement work changes state; it is admitted next and is never hedged.
	Settlement // settlement
	// Batch work can come back later; it is refused first.
	Batch // batch
)

// BelowFloor says what happens to an answer whose coverage is below the floor.
type BelowFloor int

const (
	// Refuse sends a refusal with the coverage.
	Refuse BelowFloor = iota // refuse
	// Partial sends the partial answer with the coverage.
	Partial // partial
)

// ApplicationID names a set of services that are queried together.
type ApplicationID string

// Service is one catalogue entry.
type Service struct {
	ID          fleet.ServiceID
	Owner       string
	Application ApplicationID
	Class       Class
	// Idempotent tells whether a part may be sent more than once.
	Idempotent bool
	// Slots is the number of requests that one replica serves at the same time.
	Slots int
	// Connections is the number of connections that one replica accepts.
	Connections int
	// ConnectCost is the time that a new connection takes.
	ConnectCost time.Duration
	// Deadline is the longest time that a query may take.
	Deadline time.Duration
	// CoverageFloor is the least share of answered shards, 0 to 1.
	CoverageFloor float64
	BelowFloor    BelowFloor
	// LatencyObjective is the time within which ObjectivePercent of the queries are to be answered.
	LatencyObjective time.Duration
	ObjectivePercent float64
}

// Catalogue is the whole of what operators configure.
type Catalogue struct {
	services     map[fleet.ServiceID]Service
	applications map[ApplicationID][]fleet.ServiceID
	zonesOut     map[fleet.ZoneID]bool
	instancesOut map[fleet.InstanceID]bool
	// writeIDs are the ids of the last writes, newest first.
	writeIDs []string
	base     BaseRevision
}

// New returns a catalogue of services that were already checked.
func New(services []Service) Catalogue {
	c := Catalogue{
		services:     make(map[fleet.ServiceID]Service, len(services)),
		applications: make(map[ApplicationID][]fleet.ServiceID),
	}
	for _, service := range services {
		c.services[service.ID] = service
		c.applications[service.Application] = append(c.applications[service.Application], service.ID)
	}
	for _, members := range c.applications {
		slices.Sort(members)
	}
	return c
}

// Service returns the entry of a service.
func (c Catalogue) Service(id fleet.ServiceID) (Service, bool) {
	service, ok := c.services[id]
	return service, ok
}

// Services returns all entries in the order of their names.
func (c Catalogue) Services() []Service {
	ids := slices.Sorted(maps.Keys(c.services))
	all := make([]Service, 0, len(ids))
	for _, id := range ids {
		all = append(all, c.services[id])
	}
	return all
}

// Application returns the services of an application in the order of their names; nil if there are
// none. The caller does not change the slice.
func (c Catalogue) Application(id ApplicationID) []fleet.ServiceID {
	return c.applications[id]
}

// Applications returns the names of all applications in ascending order.
func (c Catalogue) Applications() []ApplicationID {
	return slices.Sorted(maps.Keys(c.applications))
}

// ZoneOut tells whether operators have taken the zone out of service.
func (c Catalogue) ZoneOut(zone fleet.ZoneID) bool {
	return c.zonesOut[zone]
}

// InstanceOut tells whether operators have taken the instance, an entry instance or a backend server, out
// of service.
func (c Catalogue) InstanceOut(instance fleet.InstanceID) bool {
	return c.instancesOut[instance]
}

// WithZoneOut returns a copy in which the zone is out or in.
func (c Catalogue) WithZoneOut(zone fleet.ZoneID, out bool) Catalogue {
	c.zonesOut = withMember(c.zonesOut, zone, out)
	return c
}

// WithInstanceOut returns a copy in which the instance is out or in.
func (c Catalogue) WithInstanceOut(instance fleet.InstanceID, out bool) Catalogue {
	c.instancesOut = withMember(c.instancesOut, instance, out)
	return c
}

func withMember[K comparable](set map[K]bool, key K, member bool) map[K]bool {
	changed := maps.Clone(set)
	if changed == nil {
		changed = make(map[K]bool)
	}
	if member {
		changed[key] = true
	} else {
		delete(changed, key)
	}
	return changed
}
