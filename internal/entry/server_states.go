package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// statePollInterval is the time between two state polls of a server by its owner. The polls detect a server that
	// was restarted or is leaving before the next query, even without traffic.
	statePollInterval = time.Second
	// statePollTimeout bounds one state poll.
	statePollTimeout        = 500 * time.Millisecond
	maxConcurrentStatePolls = 8
)

// pollServerStates polls the state of the servers that this instance owns and may contact, until ctx ends.
func (i *Instance) pollServerStates(ctx context.Context) {
	ticker := time.NewTicker(statePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var group sync.WaitGroup
		semaphore := make(chan struct{}, maxConcurrentStatePolls)
		for _, id := range i.members.table.Load().Claimed() {
			server, ok := i.members.server(id)
			if !ok || !i.mayContact(server) || !i.members.reachability.Load().Fresh(time.Now()) {
				continue
			}
			semaphore <- struct{}{}
			group.Go(func() {
				if state, ok := i.transport.State(ctx, server, time.Now().Add(statePollTimeout)); ok {
					i.owner.ApplyStateHint(id, state.StartMark, state.Leaving)
					i.holdings.Of(id).ApplyStateHint(state.HeldVersions, time.Now())
				}
				<-semaphore
			})
		}
		group.Wait()
	}
}
