package entry

import (
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// outOfServiceTimes holds the time from which this instance has known each zone or instance to be out of service. The
// catalogue holds no such times. It is safe for concurrent use.
type outOfServiceTimes struct {
	mutex     sync.Mutex
	zones     map[fleet.ZoneID]time.Time
	instances map[fleet.InstanceID]time.Time
}

// update records the zones and instances that are out of service in the current configuration.
func (o *outOfServiceTimes) update(view *configuration.View) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.zones = startTimes(o.zones, view.Catalogue.ZonesOutOfService(), view.Since)
	o.instances = startTimes(o.instances, view.Catalogue.InstancesOutOfService(), view.Since)
}

// startTimes returns the start time of each name in out: the one in known if there is one, and now otherwise.
func startTimes[K comparable](known map[K]time.Time, out []K, now time.Time) map[K]time.Time {
	next := make(map[K]time.Time, len(out))
	for _, name := range out {
		since, ok := known[name]
		if !ok {
			since = now
		}
		next[name] = since
	}
	return next
}

// zoneSince returns the time from which the zone has been out of service. It is zero if the zone is in service.
func (o *outOfServiceTimes) zoneSince(id fleet.ZoneID) time.Time {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.zones[id]
}

// instanceSince returns the time from which the instance has been out of service. It is zero if the instance is in
// service.
func (o *outOfServiceTimes) instanceSince(id fleet.InstanceID) time.Time {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.instances[id]
}
