package client

import (
	"context"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// ticket is one ticket of a batch; all of a batch have the same issuer.
type ticket struct {
	text    string
	batch   uint64
	expires time.Time
}

// ticketPool holds tickets ahead of need.
type ticketPool struct {
	mu       sync.Mutex
	held     []ticket
	batches  uint64
	fetching *fetch
}

type fetch struct {
	done chan struct{}
	err  *verdict.Error
}

// Fetching goes on without the request that needed it, so it has its own limit in time.
const fetchTimeout = 5 * time.Second

// take returns a ticket and fetches more when half of a batch is left. It waits only if none is held.
func (p *ticketPool) take(ctx context.Context, c *Client) (ticket, *verdict.Error) {
	for {
		p.mu.Lock()
		now := time.Now()
		for len(p.held) > 0 && !now.Before(p.held[0].expires) {
			p.held = p.held[1:]
		}
		if len(p.held) <= c.settings.Tickets/2 && p.fetching == nil {
			p.fetching = &fetch{done: make(chan struct{})}
			go p.fetch(c, p.fetching)
		}
		if len(p.held) > 0 {
			taken := p.held[0]
			p.held = p.held[1:]
			p.mu.Unlock()
			return taken, nil
		}
		waiting := p.fetching
		p.mu.Unlock()
		select {
		case <-waiting.done:
			if waiting.err != nil {
				return ticket{}, waiting.err
			}
		case <-ctx.Done():
			return ticket{}, verdict.New(verdict.NotRun, reasonOf(ctx), "no ticket came in time")
		}
	}
}

// fetch asks each entry instance at most once.
func (p *ticketPool) fetch(c *Client, waiting *fetch) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var issued api.Tickets
	var err *verdict.Error
	asked := time.Now()
	first := c.next.Add(1)
	for i := range c.settings.Entries {
		asked = time.Now()
		if err = c.post(ctx, first+uint64(i), "/v1/tickets", api.TicketRequest{Count: c.settings.Tickets}, &issued); err == nil {
			break
		}
	}
	if err == nil && (len(issued.Tickets) == 0 || issued.ValidMillis <= 0) {
		err = verdict.New(verdict.NotRun, verdict.BadAnswer, "an entry instance issued no valid tickets")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetching = nil
	if err != nil {
		// Whatever became of this message, the request that needs a ticket was not sent.
		waiting.err = err.WithVerdict(verdict.NotRun)
		close(waiting.done)
		return
	}
	p.batches++
	// A quarter of the time is left for the request itself and its repeats.
	expires := asked.Add(time.Duration(issued.ValidMillis) * time.Millisecond * 3 / 4)
	for _, text := range issued.Tickets {
		p.held = append(p.held, ticket{text, p.batches, expires})
	}
	close(waiting.done)
}

// drop gives up a batch whose issuer is gone.
func (p *ticketPool) drop(batch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.held[:0:0]
	for _, held := range p.held {
		if held.batch != batch {
			kept = append(kept, held)
		}
	}
	p.held = kept
}
