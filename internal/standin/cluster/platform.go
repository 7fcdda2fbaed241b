package cluster

// What a test does to the platform beside the entry instances.

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"

	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/standin"
)

func writeList(w http.ResponseWriter, listed coordination.InstanceList) {
	w.Header().Set("Content-Type", "application/json")
	// The reader may have gone.
	_ = json.NewEncoder(w).Encode(listed)
}

// NewEditor returns an editor of its own, as each of several operators has.
func (c *Cluster) NewEditor(seed uint64) *configuration.Editor {
	random := rand.New(rand.NewPCG(c.Seed, seed))
	return configuration.NewEditor(coordination.NewStore("http://"+c.addresses.Store, coordination.Options{Timeout: c.client.Timeout, Random: random}), random)
}

// ListFaults replaces the faults of the instance list.
func (c *Cluster) ListFaults(ctx context.Context, faults string) error {
	return c.call(ctx, http.MethodPut, "http://"+c.addresses.Instances+"/control/faults", faults, nil)
}

// Runs returns how often each shard query that can be told apart took effect; see standin.Ledger.
func (c *Cluster) Runs(ctx context.Context) (standin.Runs, error) {
	var runs standin.Runs
	err := c.call(ctx, http.MethodGet, "http://"+c.addresses.Control+"/control/runs", nil, &runs)
	return runs, err
}
