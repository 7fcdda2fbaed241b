package cluster

// Operations of tests on the platform and the backend servers.

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"

	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/standin"
)

// writeList writes the instance list as a JSON response.
func writeList(w http.ResponseWriter, listed coordination.InstanceList) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(listed)
}

// NewEditor returns a separate editor of the configuration, as each of several operators has. Its random choices depend
// on both seeds.
func (c *Cluster) NewEditor(seed uint64) *configuration.Editor {
	random := rand.New(rand.NewPCG(c.Seed, seed))
	return configuration.NewEditor(coordination.NewStore("http://"+c.addresses.Store, coordination.Options{Timeout: c.client.Timeout, Random: random}), random)
}

// SetInstanceListFaults replaces the faults of the instance list; faults is a JSON object of the type Faults of package
// instances.
func (c *Cluster) SetInstanceListFaults(ctx context.Context, faults string) error {
	return c.callJSON(ctx, http.MethodPut, "http://"+c.addresses.Instances+"/control/faults", faults, nil)
}

// Executions returns the number of executions of each shard query that has a key or a tag; see standin.Ledger.
func (c *Cluster) Executions(ctx context.Context) (standin.Executions, error) {
	var runs standin.Executions
	err := c.callJSON(ctx, http.MethodGet, "http://"+c.addresses.Control+"/control/runs", nil, &runs)
	return runs, err
}
