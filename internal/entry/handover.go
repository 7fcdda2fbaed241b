package entry

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/ownership"
	"github.com/medlarlatch/medlarlatch/internal/replica"
)

// handoverTimeout bounds one handover. A new owner that does not receive the state starts the server's ramp at 1, which
// is safe.
const handoverTimeout = time.Second

// handOver sends the state of servers to their new owners, in the background, and closes the idle connections to these
// servers.
func (i *Instance) handOver(ctx context.Context, table *ownership.Table, servers []fleet.ServerID) {
	byOwner := make(map[fleet.InstanceID][]fleet.ServerID)
	for _, id := range servers {
		i.transport.Forget(id)
		if owner, ok := table.Owner(id); ok && owner != i.settings.Instance {
			byOwner[owner] = append(byOwner[owner], id)
		}
	}
	for owner, ids := range byOwner {
		state, err := json.Marshal(i.owner.Handover(ids))
		if err != nil {
			klog.ErrorS(err, "Handover state could not be encoded", "owner", owner)
			continue
		}
		go func() {
			boundedCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
			defer cancel()
			err := i.node.Handover(boundedCtx, owner, state)
			klog.InfoS("Handover of servers ended", "owner", owner, "servers", len(ids), "err", err)
		}()
	}
}

// handoverHandler receives the state of servers from their previous owners.
type handoverHandler struct{ *Instance }

// Handover implements peer.HandoverHandler.
func (h handoverHandler) Handover(_ context.Context, _ fleet.InstanceID, state json.RawMessage) error {
	var states []replica.HandoverState
	if err := json.Unmarshal(state, &states); err != nil {
		return err
	}
	h.owner.Adopt(states)
	return nil
}
