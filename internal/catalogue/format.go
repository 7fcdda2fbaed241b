package catalogue

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Format returns the catalogue as INI text. Equal catalogues give equal text, and Parse turns the text back into an
// equal catalogue.
func (c Catalogue) Format() string {
	var text strings.Builder
	fmt.Fprintf(&text, "[%s]\nformat = %d\n", kindConfiguration, formatVersion)
	if len(c.writeIDs) > 0 {
		fmt.Fprintf(&text, "write-id = %s\nrecent-write-ids = %s\n", c.writeIDs[0], strings.Join(c.writeIDs, ","))
	}
	text.WriteString(c.base.format())
	for _, s := range c.Services() {
		fmt.Fprintf(&text, "\n[%s %s]\n", kindService, s.ID)
		for i, value := range s.values() {
			fmt.Fprintf(&text, "%s = %s\n", serviceKeys[i], value)
		}
	}
	for _, zone := range c.ZonesOutOfService() {
		fmt.Fprintf(&text, "\n[%s %s]\nstate = out\n", kindZone, zone)
	}
	for _, instance := range c.InstancesOutOfService() {
		fmt.Fprintf(&text, "\n[%s %s]\nstate = out\n", kindInstance, instance)
	}
	return text.String()
}

// values returns the text of every key in the order of serviceKeys.
func (s Service) values() []string {
	return []string{
		s.Owner, string(s.Application), s.Class.String(), strconv.FormatBool(s.Idempotent),
		strconv.Itoa(s.Slots), strconv.Itoa(s.MaxConnections), s.ConnectCost.String(), s.Deadline.String(),
		formatNumber(s.MinCoverage), s.BelowFloor.String(), s.LatencyObjective.String(), formatNumber(s.ObjectivePercent),
	}
}

func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'g', -1, 64)
}

// ZonesOutOfService returns the zones that are out of service in ascending order.
func (c Catalogue) ZonesOutOfService() []fleet.ZoneID {
	return slices.Sorted(maps.Keys(c.zonesOutOfService))
}

// InstancesOutOfService returns the instances that are out of service in ascending order.
func (c Catalogue) InstancesOutOfService() []fleet.InstanceID {
	return slices.Sorted(maps.Keys(c.instancesOutOfService))
}
