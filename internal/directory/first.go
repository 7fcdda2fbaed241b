package directory

import "github.com/medlarlatch/medlarlatch/internal/fleet"

// First returns the instance of the zone that has a duty for the others: the first by rendezvous order for the duty among those
// that have a peer address and are not skipped. Every instance that knows the same instances finds the same one, and the loss of
// one moves only its own duty.
func First(duty string, zone fleet.ZoneID, instances []Instance, skip func(fleet.InstanceID) bool) (Instance, bool) {
	byID := make(map[fleet.InstanceID]Instance)
	var ranked []fleet.InstanceID
	for _, instance := range instances {
		if instance.Zone == zone && instance.Peers != "" && !skip(instance.ID) {
			byID[instance.ID] = instance
			ranked = append(ranked, instance.ID)
		}
	}
	if len(ranked) == 0 {
		return Instance{}, false
	}
	fleet.SortByWeight(duty+"/"+string(zone), ranked)
	return byID[ranked[0]], true
}
