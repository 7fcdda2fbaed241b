package cluster

import (
	"context"

	"github.com/medlarlatch/medlarlatch/internal/burn"
	"github.com/medlarlatch/medlarlatch/internal/coordination"
)

// SettingsFile returns the path of the settings file of an entry instance, from which the operators' verbs read the
// addresses of the platform.
func (c *Cluster) SettingsFile(n int) string { return c.Entries[n].settingsFile }

// CallerAddress returns the address at which an entry instance listens for callers.
func (c *Cluster) CallerAddress(n int) string { return c.Entries[n].callerAddress }

// SetInstanceState changes the state of an instance in the instance list. An ID that is not in the list is ignored.
func (c *Cluster) SetInstanceState(ctx context.Context, id, state string) error {
	var listed coordination.InstanceList
	if err := c.callJSON(ctx, "GET", "http://"+c.addresses.Instances+"/v1/instances", nil, &listed); err != nil {
		return err
	}
	for n := range listed.Instances {
		if listed.Instances[n].ID == id {
			listed.Instances[n].State = state
		}
	}
	return c.callJSON(ctx, "PUT", "http://"+c.addresses.Instances+"/control/instances", listed, nil)
}

// Burn returns the counts of an entry instance from which the burn report is made.
func (c *Cluster) Burn(ctx context.Context, n int) (burn.Snapshot, error) {
	var snapshot burn.Snapshot
	err := c.callJSON(ctx, "GET", "http://"+c.Entries[n].operatorAddress+"/v1/burn", nil, &snapshot)
	return snapshot, err
}
