// Package catalogue holds the operators' catalogue: the services with their owner, class and limits, and the
// availability zones and instances that are out of service.
//
// A Catalogue is an immutable value. The package parses, validates and compares catalogues; it reads no file and makes
// no call to a store.
package catalogue

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

//go:generate go tool stringer -type=Class -linecomment -output=class_string.go
//go:generate go tool stringer -type=BelowFloor -linecomment -output=belowfloor_string.go

// Class is the priority of a service's work when not all work can be admitted.
type Class int

const (
	// Interactive work has a person waiting for it. It is admitted first.
	Interactive Class = iota // interactive
	// Settlement work changes state. It is admitted after interactive work and is never hedged.
	Settlement // settlement
	// Batch work can be retried later. It is refused first.
	Batch // batch
)

// BelowFloor is the treatment of an answer whose coverage is below the coverage floor.
type BelowFloor int

const (
	// Refuse sends a refusal that states the coverage.
	Refuse BelowFloor = iota // refuse
	// Partial sends the partial answer with its coverage.
	Partial // partial
)

// ApplicationID is the name of an application, a set of services that are queried together.
type ApplicationID string

// Service is the configuration of one service.
type Service struct {
	ID          fleet.ServiceID
	Owner       string
	Application ApplicationID
	Class       Class
	// Idempotent is set if a part of a query may be sent more than once.
	Idempotent bool
	// Slots is the number of requests that one replica serves at the same time.
	Slots int
	// MaxConnections is the maximum number of connections that one replica accepts.
	MaxConnections int
	// ConnectCost is the time that it takes to open a connection.
	ConnectCost time.Duration
	// Deadline is the longest time that a query may take.
	Deadline time.Duration
	// MinCoverage is the smallest fraction of shards, from 0 to 1, that have to answer.
	MinCoverage float64
	BelowFloor  BelowFloor
	// LatencyObjective is the time within which ObjectivePercent of the queries are to be answered.
	LatencyObjective time.Duration
	ObjectivePercent float64
}

// Catalogue is everything that operators configure. The zero value is an empty catalogue.
type Catalogue struct {
	services              map[fleet.ServiceID]Service
	applications          map[ApplicationID][]fleet.ServiceID
	zonesOutOfService     map[fleet.ZoneID]bool
	instancesOutOfService map[fleet.InstanceID]bool
	// writeIDs are the ids of the last writes, newest first.
	writeIDs []string
	base     BaseRevision
}

// New returns a catalogue of the services, which must already be valid.
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

// Service returns the configuration of a service and reports whether the catalogue has it.
func (c Catalogue) Service(id fleet.ServiceID) (Service, bool) {
	service, ok := c.services[id]
	return service, ok
}

// Services returns all services in ascending order of their ids.
func (c Catalogue) Services() []Service {
	ids := slices.Sorted(maps.Keys(c.services))
	all := make([]Service, 0, len(ids))
	for _, id := range ids {
		all = append(all, c.services[id])
	}
	return all
}

// Application returns the ids of the services of an application in ascending order, or nil if there are none. The
// caller must not modify the slice.
func (c Catalogue) Application(id ApplicationID) []fleet.ServiceID {
	return c.applications[id]
}

// Applications returns the names of all applications in ascending order.
func (c Catalogue) Applications() []ApplicationID {
	return slices.Sorted(maps.Keys(c.applications))
}

// ZoneOutOfService reports whether operators have taken the zone out of service.
func (c Catalogue) ZoneOutOfService(zone fleet.ZoneID) bool {
	return c.zonesOutOfService[zone]
}

// InstanceOutOfService reports whether operators have taken the instance, an entry instance or a backend server, out of
// service.
func (c Catalogue) InstanceOutOfService(instance fleet.InstanceID) bool {
	return c.instancesOutOfService[instance]
}

// WithZoneOutOfService returns a copy in which the zone is out of service or, with out false, in service.
func (c Catalogue) WithZoneOutOfService(zone fleet.ZoneID, out bool) Catalogue {
	c.zonesOutOfService = withMember(c.zonesOutOfService, zone, out)
	return c
}

// WithInstanceOutOfService returns a copy in which the instance is out of service or, with out false, in service.
func (c Catalogue) WithInstanceOutOfService(instance fleet.InstanceID, out bool) Catalogue {
	c.instancesOutOfService = withMember(c.instancesOutOfService, instance, out)
	return c
}

// withMember returns a copy of the set with the key added or removed.
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
