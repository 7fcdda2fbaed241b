package follow

import (
	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/routing"
)

// Sizes of the parts of a change beside their texts. They are about what the parts occupy in memory, and no less than
// what they have in a message between instances.
const (
	entryBytes    = 512
	routeBytes    = 320
	serviceBytes  = 160
	customerBytes = 192
	// nameBytes is the size of a name in a list, such as a shard of a route.
	nameBytes = 48
	keyBytes  = 96
)

// changeBytes estimates the size of a change in bytes. The keys of customers have a fixed length; the other texts count
// with theirs.
func changeBytes(change *directory.Change) int {
	size := entryBytes + len(change.ReplicaID) + len(change.Zone) + len(change.InstanceID)
	if r := change.RegisteredReplica; r != nil {
		size += len(r.ID) + len(r.Service) + len(r.Zone) + len(r.Region) + len(r.Address) + len(r.Version)
	}
	if i := change.RegisteredInstance; i != nil {
		size += len(i.ID) + len(i.Zone) + len(i.PeerAddress)
	}
	if change.Table != nil {
		size += tableBytes(change.Table)
	}
	return size
}

// changesBytes estimates the size of several changes in bytes.
func changesBytes(changes []directory.Change) int {
	size := 0
	for i := range changes {
		size += changeBytes(&changes[i])
	}
	return size
}

// tableBytes estimates the size of a configuration in bytes.
func tableBytes(table *routing.Table) int {
	size := 0
	for _, route := range table.Routes() {
		size += routeBytes + len(route.Name) + len(route.Host) + len(route.PathPrefix)
		for _, weighted := range route.WeightedServices {
			size += nameBytes + len(weighted.Service)
		}
		for _, shard := range route.Shards {
			size += nameBytes + len(shard)
		}
		for _, region := range route.Regions {
			size += nameBytes + len(region)
		}
	}
	for _, service := range table.Services() {
		size += serviceBytes + len(service.ID)
	}
	for _, customer := range table.Customers().All() {
		size += customerBytes + len(customer.Name) + keyBytes*len(customer.Keys)
	}
	return size
}
