package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// hintInterval is how often an owner asks its servers for their state, so that one that was started again or
	// is leaving is known before the next query, also without traffic.
	hintInterval = time.Second
	// hintTimeout bounds one question.
	hintTimeout = 500 * time.Millisecond
	// hintsAtATime bounds the questions in progress.
	hintsAtATime = 8
)

// followStates asks the servers that this instance owns and may contact for their state until ctx ends.
func (i *Instance) followStates(ctx context.Context) {
	ticker := time.NewTicker(hintInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var group sync.WaitGroup
		places := make(chan struct{}, hintsAtATime)
		for _, id := range i.members.table.Load().Claimed() {
			server, ok := i.members.server(id)
			if !ok || !i.mayContact(server) || !i.members.reach.Load().Fresh(time.Now()) {
				continue
			}
			places <- struct{}{}
			group.Go(func() {
				if state, ok := i.transport.State(ctx, server, time.Now().Add(hintTimeout)); ok {
					i.owner.Hint(id, state.StartMark, state.Leaving)
					i.holdings.Of(id).Hint(state.Held, time.Now())
				}
				<-places
			})
		}
		group.Wait()
	}
}
