package catalogue

import "github.com/medlarlatch/medlarlatch/internal/fleet"

// ServicesWithChangedLimits returns the services whose slots or connections differ from those in the earlier catalogue,
// including the services that only one of the two catalogues has. The order is arbitrary.
func (c Catalogue) ServicesWithChangedLimits(earlier Catalogue) []fleet.ServiceID {
	var changed []fleet.ServiceID
	for id, service := range c.services {
		if old := earlier.services[id]; old.Slots != service.Slots || old.MaxConnections != service.MaxConnections {
			changed = append(changed, id)
		}
	}
	for id := range earlier.services {
		if _, kept := c.services[id]; !kept {
			changed = append(changed, id)
		}
	}
	return changed
}
