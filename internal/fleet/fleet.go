// Package fleet holds the instances and availability zones as one entry instance sees them.
//
// A View is an immutable value that one owner replaces whole through an atomic pointer; readers on the
// request path take no lock. The package never talks to the instance list or to peers itself.
package fleet

// InstanceID names an entry instance, as its settings and the instance list have it.
type InstanceID string

// ServerID names a backend server, that is one replica of one service.
type ServerID string

// ZoneID names an availability zone.
type ZoneID string

// RegionID names a region of availability zones.
type RegionID string

// ServiceID names a service of the catalogue.
type ServiceID string

// Entry is an entry instance.
type Entry struct {
	ID     InstanceID
	Zone   ZoneID
	Region RegionID
	// Peers is the address, IP:port, on which the instance listens for its peers.
	Peers string
	// Operators is the address, IP:port, of its operator and health endpoints.
	Operators string
	// Leaving is set when the list or the instance itself says that it goes.
	Leaving bool
}

// Server is a backend server.
type Server struct {
	ID      ServerID
	Service ServiceID
	Zone    ZoneID
	Region  RegionID
	// Address is IP:port.
	Address string
	// Leaving is set when the list or the server's own answers say that it goes.
	Leaving bool
}
