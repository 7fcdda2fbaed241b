package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Change names what differs between two views, so that tables computed from them are rebuilt only there.
type Change struct {
	Entries  []InstanceID
	Servers  []ServerID
	Services []ServiceID
}

// Empty tells whether nothing changed.
func (c Change) Empty() bool { return len(c.Entries)+len(c.Servers)+len(c.Services) == 0 }

// Join returns the union of both changes; a name may be in it twice.
func (c Change) Join(other Change) Change {
	return Change{
		Entries:  slices.Concat(c.Entries, other.Entries),
		Servers:  slices.Concat(c.Servers, other.Servers),
		Services: slices.Concat(c.Services, other.Services),
	}
}

// Contact is what one entry instance knows of its connection to another.
type Contact struct {
	// Reachable is set while a heartbeat was answered within UnreachableAfter.
	Reachable bool
	// Acknowledged is set while the other is reachable and said that it reaches this instance, so that it
	// claims nothing of which this instance is the first owner.
	Acknowledged bool
	// Granted is set once the other has acknowledged this instance or was silent for ClaimDelay, and
	// cleared when this instance was fenced. Before that the other may hold the whole of a server.
	Granted bool
	// Silent is set after ClaimDelay without an answer; the servers of the other may then be claimed.
	Silent bool
}

// unknownContact stands for an instance that is not heartbeated; nothing is known against it.
var unknownContact = Contact{Reachable: true, Acknowledged: true, Granted: true}

// Reachability is the fleet as one entry instance reaches it at one moment. It is immutable.
type Reachability struct {
	self       Entry
	view       *View
	contacts   map[InstanceID]Contact
	excluded   map[InstanceID]bool
	freshUntil time.Time
}

// NewReachability returns a reachability with given contacts; excluded entries are no candidates.
func NewReachability(self Entry, view *View, contacts map[InstanceID]Contact, excluded map[InstanceID]bool, freshUntil time.Time) *Reachability {
	return &Reachability{self: self, view: view, contacts: contacts, excluded: excluded, freshUntil: freshUntil}
}

// Self returns the entry instance whose view this is.
func (r *Reachability) Self() Entry { return r.self }

// View returns the listed fleet together with the peers heard directly.
func (r *Reachability) View() *View { return r.view }

// Contact returns the state of the connection to an entry instance. One that is not heartbeated counts
// as reachable, because nothing is known against it.
func (r *Reachability) Contact(id InstanceID) Contact {
	if contact, ok := r.contacts[id]; ok {
		return contact
	}
	return unknownContact
}

// Eligible tells whether the entry instance can own servers: known, not leaving and not out.
func (r *Reachability) Eligible(id InstanceID) bool {
	return r.view.entries.Get(id) != nil && !r.excluded[id]
}

// Fresh tells whether the last completed heartbeat round is younger than FenceAfter.
func (r *Reachability) Fresh(now time.Time) bool { return now.Before(r.freshUntil) }

// Watchers returns the first ConfigurationWatchers eligible and reachable entry instances of a zone in
// rendezvous order; they watch the store and tell the others.
func (r *Reachability) Watchers(zone ZoneID) []InstanceID {
	var live []InstanceID
	for _, id := range r.view.EntriesOf(zone) {
		if r.Eligible(id) && (id == r.self.ID || r.Contact(id).Reachable) {
			live = append(live, id)
		}
	}
	SortByWeight(string(zone), live)
	return live[:min(len(live), ConfigurationWatchers)]
}

// Weight is the rendezvous weight of an entry instance for a key, given the xxhash of both.
func Weight(key, instance uint64) uint64 {
	// The finaliser of splitmix64 spreads the combined hashes; without it, close keys rank alike.
	x := key ^ (instance * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// SortByWeight orders entry instances by descending rendezvous weight for the key.
func SortByWeight(key string, ids []InstanceID) {
	hash := xxhash.Sum64String(key)
	slices.SortFunc(ids, func(a, b InstanceID) int {
		return CompareWeights(Weight(hash, xxhash.Sum64String(string(a))), Weight(hash, xxhash.Sum64String(string(b))), a, b)
	})
}

// CompareWeights orders by descending weight, then by name.
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
