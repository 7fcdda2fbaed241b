package entry

import (
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// outages remembers since when this instance has known zones and instances as taken out. The catalogue holds no times.
type outages struct {
	mutex     sync.Mutex
	zones     map[fleet.ZoneID]time.Time
	instances map[fleet.InstanceID]time.Time
}

// update takes the configuration in force.
func (o *outages) update(view *configuration.View) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.zones = keepSince(o.zones, view.Catalogue.ZonesOut(), view.Since)
	o.instances = keepSince(o.instances, view.Catalogue.InstancesOut(), view.Since)
}

func keepSince[K comparable](known map[K]time.Time, out []K, now time.Time) map[K]time.Time {
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

func (o *outages) zone(id fleet.ZoneID) time.Time {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.zones[id]
}

func (o *outages) instance(id fleet.InstanceID) time.Time {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.instances[id]
}
