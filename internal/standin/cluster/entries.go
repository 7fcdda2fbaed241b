package cluster

import (
	"context"

	"github.com/medlarlatch/medlarlatch/internal/burn"
	"github.com/medlarlatch/medlarlatch/internal/coordination"
)

// Settings returns the settings file of an entry instance; operators' verbs find the platform by it.
func (c *Cluster) Settings(n int) string { return c.Entries[n].settings }

// Callers returns the address at which an entry instance listens for callers.
func (c *Cluster) Callers(n int) string { return c.Entries[n].callers }

// SetListed changes the state that the instance list gives for an instance.
func (c *Cluster) SetListed(ctx context.Context, id, state string) error {
	var listed coordination.InstanceList
	if err := c.call(ctx, "GET", "http://"+c.addresses.Instances+"/v1/instances", nil, &listed); err != nil {
		return err
	}
	for n := range listed.Instances {
		if listed.Instances[n].ID == id {
			listed.Instances[n].State = state
		}
	}
	return c.call(ctx, "PUT", "http://"+c.addresses.Instances+"/control/instances", listed, nil)
}

// Burn returns an entry instance's counts for the burn report.
func (c *Cluster) Burn(ctx context.Context, n int) (burn.Snapshot, error) {
	var snapshot burn.Snapshot
	err := c.call(ctx, "GET", "http://"+c.Entries[n].operators+"/v1/burn", nil, &snapshot)
	return snapshot, err
}
