// Package client is the Go client of the HTTP API for callers.
//
// A Client sends queries to the entry instances in turn and fetches the tickets of non-idempotent requests in advance.
// It sends a request again only if the verdict of the failed attempt allows that, and never sends a non-idempotent
// request with a second ticket while an earlier attempt may have run. A Client is safe for concurrent use.
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

// Settings configures a Client. The zero value of a field other than Entries selects its default.
type Settings struct {
	// Entries holds the base URLs of the entry instances, or that of a load balancer in front of them.
	Entries []string
	// HTTP sends the requests. Its CheckRedirect is ignored. Nil means an http.Client with the default transport.
	HTTP *http.Client
	// Deadline is the timeout of requests whose context has no deadline. The default is 10 s.
	Deadline time.Duration
	// Attempts is the maximum number of times that one request is sent. The default is 4.
	Attempts int
	// Tickets is the number of tickets fetched at a time, at most api.MaxTickets. The default is 64.
	Tickets int
	// AnswerBytes is the maximum size of a response body. The default is 64 MiB.
	AnswerBytes int64
}

// Request is one query of an application.
type Request struct {
	Application string
	// ID identifies the request in logs and answers. It has 1 to 128 bytes.
	ID string
	// Query is the application's query. It is passed to the backend servers unchanged.
	Query json.RawMessage
	// Shards restricts the query to the named shards. Empty means all shards.
	Shards []string
	// Idempotent says that the request may run more than once. Otherwise the client sends it with a ticket.
	Idempotent bool
}

// Client sends requests to the entry instances. It is safe for concurrent use.
type Client struct {
	settings  Settings
	http      http.Client
	nextEntry atomic.Uint64
	tickets   ticketPool

	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

// New returns a client. random provides the jitter of the delays before requests are sent again; the client
// synchronises its use, so the caller must not use it elsewhere.
func New(settings Settings, random *rand.Rand) (*Client, error) {
	if len(settings.Entries) == 0 {
		return nil, errors.New("no URL of an entry instance: Settings.Entries is empty")
	}
	if settings.Tickets < 0 || settings.Tickets > api.MaxTickets {
		return nil, fmt.Errorf("invalid Settings.Tickets %d: want 1 to %d, or 0 for the default", settings.Tickets, api.MaxTickets)
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
	// A followed redirect would send the request a second time without a verdict for the first.
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c, nil
}

// Query sends a request, repeats it where that is safe, and returns its answer. The error is a *verdict.Error whose
// verdict covers all attempts together.
func (c *Client) Query(ctx context.Context, request Request) (api.Answer, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.settings.Deadline)
		defer cancel()
	}
	state := requestState{idempotent: request.Idempotent}
	firstEntry := c.nextEntry.Add(1)
	for attempt := 0; ; attempt++ {
		if state.needsTicket() {
			var err *verdict.Error
			if state.ticket, err = c.tickets.take(ctx, c); err != nil {
				return api.Answer{}, err
			}
		}
		answer, err := c.send(ctx, firstEntry+uint64(attempt), request, state.ticket.value)
		if err == nil {
			return answer, nil
		}
		if err.Reason == verdict.TicketUnknown || err.Reason == verdict.PeerUnreachable {
			c.tickets.dropBatch(state.ticket.batch)
		}
		wait, retry := state.recordError(err)
		if !retry || attempt+1 >= c.settings.Attempts || !c.waitToRetry(ctx, wait, attempt) {
			return api.Answer{}, state.lastErr
		}
	}
}

// requestState is the state of one request across its attempts.
type requestState struct {
	idempotent bool
	ticket     ticket
	// mayHaveRun is set while an earlier attempt may have run.
	mayHaveRun bool
	// lastErr is the error that Query returns if there is no further attempt.
	lastErr *verdict.Error
}

func (s *requestState) needsTicket() bool { return !s.idempotent && s.ticket.value == "" }

// recordError records the error of an attempt. It reports whether another attempt is allowed and how long the refusal
// asks to wait before it.
func (s *requestState) recordError(err *verdict.Error) (wait time.Duration, retry bool) {
	s.lastErr = err
	switch {
	case err.Verdict == verdict.Ran:
		return 0, false
	case err.Verdict == verdict.MayHaveRun:
		s.mayHaveRun = true
		ticketLost := err.Reason == verdict.TicketUnknown || err.Reason == verdict.TicketExpired
		return err.RetryAfter, !ticketLost && isRetryable(err)
	case err.Reason == verdict.TicketExpired:
		// Only the issuer of a ticket answers NotRun with TicketExpired, and only if the ticket was never used. So no
		// earlier attempt has run either.
		s.mayHaveRun, s.ticket = false, ticket{}
		return 0, true
	case s.mayHaveRun:
		// The verdict NotRun is that of this attempt only. An earlier one may have run.
		s.lastErr = err.WithVerdict(verdict.MayHaveRun)
	default:
		// The refused attempt may have used up the ticket.
		s.ticket = ticket{}
	}
	return err.RetryAfter, isRetryable(err)
}

// isRetryable reports whether another attempt can succeed: the refusal has a retry delay, or the fault lies between the
// client and the instance that would have run the request.
func isRetryable(err *verdict.Error) bool {
	switch err.Reason {
	case verdict.ConnectFailed, verdict.ConnectionLost, verdict.ServerError, verdict.PeerUnreachable:
		return true
	}
	return err.RetryAfter > 0
}

// baseJitter is the upper bound of the random delay before the second attempt. The bound doubles with each attempt, at
// most six times.
const baseJitter = 20 * time.Millisecond

// waitToRetry waits for the given time plus jitter before the next attempt. It reports whether the wait ended before
// the context, and returns false immediately if the context's deadline comes first.
func (c *Client) waitToRetry(ctx context.Context, wait time.Duration, attempt int) bool {
	maxJitter := baseJitter << min(attempt, 6)
	c.mu.Lock()
	wait += time.Duration(c.random.Int63n(int64(maxJitter)))
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
