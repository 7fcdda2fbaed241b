// Package fleet holds the entry instances, backend servers and availability zones as one entry instance sees them.
//
// A View is an immutable value that its one owner replaces as a whole through an atomic pointer; readers on the request
// path take no lock. The package does no I/O: others fetch the instance list and exchange heartbeats with peers, and
// report the results to a Membership.
package fleet

// InstanceID is the name of an entry instance, as its settings and the instance list give it.
type InstanceID string

// ServerID is the name of a backend server, which is one replica of one service.
type ServerID string

// ZoneID is the name of an availability zone.
type ZoneID string

// RegionID is the name of a region, a group of availability zones.
type RegionID string

// ServiceID is the name of a service of the catalogue.
type ServiceID string

// Entry describes an entry instance.
type Entry struct {
	ID     InstanceID
	Zone   ZoneID
	Region RegionID
	// PeerAddress is the address, IP:port, on which the instance listens for its peers.
	PeerAddress string
	// OperatorAddress is the address, IP:port, of the instance's operator and health endpoints.
	OperatorAddress string
	// Leaving is set if the instance list or the instance itself says that it is about to stop.
	Leaving bool
}

// Server describes a backend server.
type Server struct {
	ID      ServerID
	Service ServiceID
	Zone    ZoneID
	Region  RegionID
	// Address is IP:port.
	Address string
	// Leaving is set if the instance list or the server's own answers say that it is about to stop.
	Leaving bool
}
