package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Change lists what differs between two views, so that only the affected parts of tables computed from them are
// rebuilt.
type Change struct {
	Entries  []InstanceID
	Servers  []ServerID
	Services []ServiceID
}

// Empty reports whether nothing changed.
func (c Change) Empty() bool { return len(c.Entries)+len(c.Servers)+len(c.Services) == 0 }

// Join returns the union of both changes; a name may occur in it twice.
func (c Change) Join(other Change) Change {
	return Change{
		Entries:  slices.Concat(c.Entries, other.Entries),
		Servers:  slices.Concat(c.Servers, other.Servers),
		Services: slices.Concat(c.Services, other.Services),
	}
}

// Contact is the state of one entry instance's connection to another, its peer.
type Contact struct {
	// Reachable is set if a heartbeat was answered within the last UnreachableTimeout.
	Reachable bool
	// Acknowledged is set if the peer is reachable and has said that it reaches this instance, so that it claims no
	// servers of which this instance is the first owner.
	Acknowledged bool
	// Granted is set once the peer has acknowledged this instance or has been silent for ClaimDelay, and cleared when
	// this instance is fenced. Before that the peer may own the whole of a server.
	Granted bool
	// Silent is set after ClaimDelay without an answer; the peer's servers may then be claimed.
	Silent bool
}

// unknownContact is the contact of an instance that gets no heartbeats; it is taken to be reachable.
var unknownContact = Contact{Reachable: true, Acknowledged: true, Granted: true}

// Reachability is the fleet as one entry instance reaches it at one moment. It is immutable.
type Reachability struct {
	self       Entry
	view       *View
	contacts   map[InstanceID]Contact
	excluded   map[InstanceID]bool
	freshUntil time.Time
}

// NewReachability returns a reachability with the given contacts. Excluded entry instances cannot own servers;
// heartbeats are fresh until freshUntil.
func NewReachability(self Entry, view *View, contacts map[InstanceID]Contact, excluded map[InstanceID]bool, freshUntil time.Time) *Reachability {
	return &Reachability{self: self, view: view, contacts: contacts, excluded: excluded, freshUntil: freshUntil}
}

// Self returns the entry instance whose view this is.
func (r *Reachability) Self() Entry { return r.self }

// View returns the listed fleet and the peers from which messages were received.
func (r *Reachability) View() *View { return r.view }

// Contact returns the state of the connection to an entry instance. One that gets no heartbeats counts as reachable,
// because nothing indicates that it is not.
func (r *Reachability) Contact(id InstanceID) Contact {
	if contact, ok := r.contacts[id]; ok {
		return contact
	}
	return unknownContact
}

// Eligible reports whether the entry instance can own servers: it is known and not excluded.
func (r *Reachability) Eligible(id InstanceID) bool {
	return r.view.entries.Get(id) != nil && !r.excluded[id]
}

// Fresh reports whether the last completed heartbeat round is younger than FenceTimeout.
func (r *Reachability) Fresh(now time.Time) bool { return now.Before(r.freshUntil) }

// Watchers returns the first WatchersPerZone eligible and reachable entry instances of a zone in rendezvous order. They
// watch the store and notify the others.
func (r *Reachability) Watchers(zone ZoneID) []InstanceID {
	var live []InstanceID
	for _, id := range r.view.EntriesOf(zone) {
		if r.Eligible(id) && (id == r.self.ID || r.Contact(id).Reachable) {
			live = append(live, id)
		}
	}
	SortByWeight(string(zone), live)
	return live[:min(len(live), WatchersPerZone)]
}

// Weight returns the rendezvous weight of an entry instance for a key, given the xxhash of both.
func Weight(key, instance uint64) uint64 {
	// The finaliser of splitmix64 mixes the combined hashes; without it, similar keys rank the instances alike.
	x := key ^ (instance * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// SortByWeight sorts entry instances by descending rendezvous weight for the key.
func SortByWeight(key string, ids []InstanceID) {
	hash := xxhash.Sum64String(key)
	slices.SortFunc(ids, func(a, b InstanceID) int {
		return CompareWeights(Weight(hash, xxhash.Sum64String(string(a))), Weight(hash, xxhash.Sum64String(string(b))), a, b)
	})
}

// CompareWeights orders by descending weight, then by ascending name.
func CompareWeights(a, b uint64, idA, idB InstanceID) int {
	switch {
	case a > b || a == b && idA < idB:
		return -1
	case a == b && idA == idB:
		return 0
	default:
		return 1
	}
}
