package client

import (
	"context"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// ticket is one ticket of a batch. All tickets of a batch have the same issuer.
type ticket struct {
	value     string
	batch     uint64
	expiresAt time.Time
}

// ticketPool fetches tickets in advance, so that a request seldom waits for one. It is safe for concurrent use.
type ticketPool struct {
	mu           sync.Mutex
	available    []ticket
	lastBatch    uint64
	currentFetch *ticketFetch
}

// ticketFetch is a fetch in progress. err may be read after done is closed; nil means success.
type ticketFetch struct {
	done chan struct{}
	err  *verdict.Error
}

// fetchTimeout limits a ticket fetch. A fetch serves all requests and outlives the one that started it, so it does not
// use that request's deadline.
const fetchTimeout = 5 * time.Second

// take removes a ticket from the pool and returns it. It starts a fetch in the background if at most half a batch is
// left, and waits for the fetch only if the pool is empty.
func (p *ticketPool) take(ctx context.Context, c *Client) (ticket, *verdict.Error) {
	for {
		p.mu.Lock()
		now := time.Now()
		for len(p.available) > 0 && !now.Before(p.available[0].expiresAt) {
			p.available = p.available[1:]
		}
		if len(p.available) <= c.settings.Tickets/2 && p.currentFetch == nil {
			p.currentFetch = &ticketFetch{done: make(chan struct{})}
			go p.fetchBatch(c, p.currentFetch)
		}
		if len(p.available) > 0 {
			taken := p.available[0]
			p.available = p.available[1:]
			p.mu.Unlock()
			return taken, nil
		}
		pending := p.currentFetch
		p.mu.Unlock()
		select {
		case <-pending.done:
			if pending.err != nil {
				return ticket{}, pending.err
			}
		case <-ctx.Done():
			return ticket{}, verdict.New(verdict.NotRun, contextReason(ctx), "wait for a ticket: %v", ctx.Err())
		}
	}
}

// fetchBatch fetches a batch of tickets into the pool. It tries each entry instance at most once.
func (p *ticketPool) fetchBatch(c *Client, result *ticketFetch) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var issued api.Tickets
	var err *verdict.Error
	requestedAt := time.Now()
	firstEntry := c.nextEntry.Add(1)
	for i := range c.settings.Entries {
		requestedAt = time.Now()
		if err = c.post(ctx, firstEntry+uint64(i), "/v1/tickets", api.TicketRequest{Count: c.settings.Tickets}, &issued); err == nil {
			break
		}
	}
	if err == nil && (len(issued.Tickets) == 0 || issued.ValidMillis <= 0) {
		err = verdict.New(verdict.NotRun, verdict.BadAnswer, "entry instance issued %d tickets valid for %d ms", len(issued.Tickets), issued.ValidMillis)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.currentFetch = nil
	if err != nil {
		// Whether or not the ticket request ran, the query that needs a ticket was not sent.
		result.err = err.WithVerdict(verdict.NotRun)
		close(result.done)
		return
	}
	p.lastBatch++
	// The last quarter of the validity is reserved for the request's own attempts.
	expiresAt := requestedAt.Add(time.Duration(issued.ValidMillis) * time.Millisecond * 3 / 4)
	for _, value := range issued.Tickets {
		p.available = append(p.available, ticket{value, p.lastBatch, expiresAt})
	}
	close(result.done)
}

// dropBatch removes the tickets of a batch whose issuer has restarted or cannot be reached.
func (p *ticketPool) dropBatch(batch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.available[:0:0]
	for _, t := range p.available {
		if t.batch != batch {
			kept = append(kept, t)
		}
	}
	p.available = kept
}
