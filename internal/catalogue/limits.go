package catalogue

import "github.com/medlarlatch/medlarlatch/internal/fleet"

// LimitsChanged returns the services whose slots or connections differ from the earlier catalogue, also those that
// only one of both has. Its order is arbitrary.
func (c Catalogue) LimitsChanged(earlier Catalogue) []fleet.ServiceID {
	var changed []fleet.ServiceID
	for id, service := range c.services {
		if was := earlier.services[id]; was.Slots != service.Slots || was.Connections != service.Connections {
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
