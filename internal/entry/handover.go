package entry

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/replica"
	"github.com/medlarlatch/medlarlatch/internal/share"
)

// handoverTimeout bounds one handover. A next owner that does not get the state starts its ramp at 1, which is
// safe.
const handoverTimeout = time.Second

// handOver passes the state of servers to their new owners and closes the idle connections to them.
func (i *Instance) handOver(ctx context.Context, table *share.Table, servers []fleet.ServerID) {
	byOwner := make(map[fleet.InstanceID][]fleet.ServerID)
	for _, id := range servers {
		i.transport.Forget(id)
		if owner, ok := table.Route(id); ok && owner != i.settings.Instance {
			byOwner[owner] = append(byOwner[owner], id)
		}
	}
	for owner, ids := range byOwner {
		state, err := json.Marshal(i.owner.Handover(ids))
		if err != nil {
			klog.ErrorS(err, "Handover not encoded", "owner", owner)
			continue
		}
		go func() {
			bounded, cancel := context.WithTimeout(ctx, handoverTimeout)
			defer cancel()
			err := i.node.Handover(bounded, owner, state)
			klog.InfoS("Servers handed over", "owner", owner, "servers", len(ids), "err", err)
		}()
	}
}

// handovers takes over servers from their former owners.
type handovers struct{ *Instance }

// Handover implements peer.HandoverHandler.
func (h handovers) Handover(_ context.Context, _ fleet.InstanceID, state json.RawMessage) error {
	var handed []replica.Handed
	if err := json.Unmarshal(state, &handed); err != nil {
		return err
	}
	h.owner.Adopt(handed)
	return nil
}
