// Package client sends queries to the entry instances over HTTP.
//
// A Client owns its tickets and is safe for concurrent use. It sends a request again only where the
// verdict allows it, and it never sends a non-idempotent request under a second ticket while an
// earlier attempt may have run.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Settings of a Client. A zero bound takes its default.
type Settings struct {
	// Entries holds the base URLs of the entry instances or of their balancer.
	Entries []string
	// HTTP sends the requests; its CheckRedirect is not used. Nil means a client with default transport.
	HTTP *http.Client
	// Deadline is for requests whose context has none; default 10 s.
	Deadline time.Duration
	// Attempts is the most sends of one request; default 4.
	Attempts int
	// Tickets is how many tickets are fetched at a time; default 64, at most api.MaxTickets.
	Tickets int
	// AnswerBytes is the largest answer that is read; default 64 MiB.
	AnswerBytes int64
}

// Request is one query of an application.
type Request struct {
	Application string
	// ID names the request in logs and answers; 1 to 128 characters.
	ID string
	// Query is passed to the backend servers as it is.
	Query json.RawMessage
	// Shards restricts the query; empty means all shards.
	Shards []string
	// Idempotent says that running the request twice does no harm. Without it a ticket is used.
	Idempotent bool
}

// Client sends requests to the entry instances.
type Client struct {
	settings Settings
	http     http.Client
	next     atomic.Uint64
	tickets  ticketPool

	mu     sync.Mutex
	random *rand.Rand
}

// New returns a client; random spreads the waits before requests are sent again.
func New(settings Settings, random *rand.Rand) (*Client, error) {
	if len(settings.Entries) == 0 {
		return nil, errors.New("a client needs the address of an entry instance")
	}
	if settings.Tickets < 0 || settings.Tickets > api.MaxTickets {
		return nil, fmt.Errorf("%d tickets at a time, allowed are 1 to %d", settings.Tickets, api.MaxTickets)
	}
	entries := make([]string, len(settings.Entries))
	for i, entry := range settings.Entries {
		entries[i] = strings.TrimSuffix(entry, "/")
	}
	settings.Entries = entries
	if settings.Deadline == 0 {
		settings.Deadline = 10 * time.Second
	}
	if settings.Attempts == 0 {
		settings.Attempts = 4
	}
	if settings.Tickets == 0 {
		settings.Tickets = 64
	}
	if settings.AnswerBytes == 0 {
		settings.AnswerBytes = 64 << 20
	}
	c := &Client{settings: settings, random: random}
	if settings.HTTP != nil {
		c.http = *settings.HTTP
	}
	// Following a redirect would be a second send that no verdict covers.
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c, nil
}

// Query sends a request and returns its answer. The error is a *verdict.Error, whose verdict covers
// all attempts.
func (c *Client) Query(ctx context.Context, request Request) (api.Answer, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.settings.Deadline)
		defer cancel()
	}
	course := course{idempotent: request.Idempotent}
	first := c.next.Add(1)
	for attempt := 0; ; attempt++ {
		if course.needsTicket() {
			var err *verdict.Error
			if course.ticket, err = c.tickets.take(ctx, c); err != nil {
				return api.Answer{}, err
			}
		}
		answer, err := c.send(ctx, first+uint64(attempt), request, course.ticket.text)
		if err == nil {
			return answer, nil
		}
		if err.Reason == verdict.TicketUnknown || err.Reason == verdict.PeerUnreachable {
			c.tickets.drop(course.ticket.batch)
		}
		wait, again := course.after(err)
		if !again || attempt+1 >= c.settings.Attempts || !c.pause(ctx, wait, attempt) {
			return api.Answer{}, course.last
		}
	}
}

// course is what is known of a request after some of its attempts.
type course struct {
	idempotent bool
	ticket     ticket
	// uncertain is set while an earlier attempt may have run.
	uncertain bool
	last      *verdict.Error
}

func (c *course) needsTicket() bool { return !c.idempotent && c.ticket.text == "" }

// after takes in the error of an attempt. It reports whether another one is allowed, and the wait that
// the refusal asks for.
func (c *course) after(err *verdict.Error) (wait time.Duration, again bool) {
	c.last = err
	switch {
	case err.Verdict == verdict.Ran:
		return 0, false
	case err.Verdict == verdict.MayHaveRun:
		c.uncertain = true
		lost := err.Reason == verdict.TicketUnknown || err.Reason == verdict.TicketExpired
		return err.RetryAfter, !lost && worthResending(err)
	case err.Reason == verdict.TicketExpired:
		// Only the issuer says so, and only of a ticket that was never used.
		c.uncertain, c.ticket = false, ticket{}
		return 0, true
	case c.uncertain:
		// The refusal speaks of this attempt alone; an earlier one may have run.
		c.last = err.WithVerdict(verdict.MayHaveRun)
	default:
		// The refusal may have spent the ticket.
		c.ticket = ticket{}
	}
	return err.RetryAfter, worthResending(err)
}

// worthResending reports whether another attempt can end better: the refusal says so, or the fault is
// one between the caller and the instance that would have answered.
func worthResending(err *verdict.Error) bool {
	switch err.Reason {
	case verdict.ConnectFailed, verdict.ConnectionLost, verdict.ServerError, verdict.PeerUnreachable:
		return true
	}
	return err.RetryAfter > 0
}

// The wait before another attempt without a Retry-After doubles from this value.
const firstPause = 20 * time.Millisecond

// pause waits before another attempt. It reports false at once if too little time would be left.
func (c *Client) pause(ctx context.Context, wait time.Duration, attempt int) bool {
	spread := firstPause << min(attempt, 6)
	c.mu.Lock()
	wait += time.Duration(c.random.Int63n(int64(spread)))
	c.mu.Unlock()
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
