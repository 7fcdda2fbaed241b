package directory

import "github.com/medlarlatch/medlarlatch/internal/fleet"

// SelectInstance selects the instance of a zone that fills a role for the others: among the instances of the zone that
// have a peer address and are not skipped, the first in rendezvous order for the role. Instances that know the same
// instances select the same one, and the loss of an instance moves only the roles that it filled.
func SelectInstance(role string, zone fleet.ZoneID, instances []Instance, skip func(fleet.InstanceID) bool) (Instance, bool) {
	byID := make(map[fleet.InstanceID]Instance)
	var candidates []fleet.InstanceID
	for _, instance := range instances {
		if instance.Zone == zone && instance.PeerAddress != "" && !skip(instance.ID) {
			byID[instance.ID] = instance
			candidates = append(candidates, instance.ID)
		}
	}
	if len(candidates) == 0 {
		return Instance{}, false
	}
	fleet.SortByWeight(role+"/"+string(zone), candidates)
	return byID[candidates[0]], true
}
