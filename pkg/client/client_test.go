package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// fakeResponse is how fakeEntries handles one attempt.
type fakeResponse struct {
	status     int
	refusal    api.Refusal
	retryAfter string
	// rawBody replaces the encoded refusal if it is not empty.
	rawBody string
	// connectionLost ends the attempt with a transport error, after a connection was made unless notConnected is set.
	connectionLost, notConnected bool
	answerID                     string
	delay                        time.Duration
}

var (
	answerResponse = fakeResponse{status: http.StatusOK}
	lostResponse   = fakeResponse{connectionLost: true}
)

func refusalResponse(v verdict.Verdict, r verdict.Reason, retryMillis int64) fakeResponse {
	return fakeResponse{status: 503, refusal: api.Refusal{Verdict: v, Reason: r, RetryAfterMillis: retryMillis}}
}

// fakeEntries is an http.RoundTripper in place of the entry instances. It handles query attempt i by responses[i], and
// records the attempts.
type fakeEntries struct {
	responses     []fakeResponse
	ticketBatches int
	tickets       []string
	hosts         []string
	sentAt        []time.Time
}

func (e *fakeEntries) RoundTrip(request *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(request.Body)
	if strings.HasSuffix(request.URL.Path, "/tickets") {
		e.ticketBatches++
		return respond(200, "", api.Tickets{
			Tickets: []string{fmt.Sprint(e.ticketBatches, "a"), fmt.Sprint(e.ticketBatches, "b"), fmt.Sprint(e.ticketBatches, "c")}, ValidMillis: 60_000,
		}), nil
	}
	var query api.Query
	if err := json.Unmarshal(body, &query); err != nil {
		return nil, err
	}
	response := e.responses[len(e.tickets)]
	e.tickets = append(e.tickets, query.Ticket)
	e.hosts = append(e.hosts, request.URL.Host)
	e.sentAt = append(e.sentAt, time.Now())
	if !response.notConnected {
		httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{})
	}
	select {
	case <-time.After(response.delay):
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	switch {
	case response.connectionLost:
		return nil, errors.New("connection lost")
	case response.status == http.StatusOK && response.answerID != "":
		return respond(200, "", api.Answer{ID: response.answerID}), nil
	case response.status == http.StatusOK:
		return respond(200, "", api.Answer{ID: query.ID, Verdict: verdict.Ran}), nil
	case response.rawBody != "":
		return respond(response.status, response.retryAfter, json.RawMessage(response.rawBody)), nil
	}
	return respond(response.status, response.retryAfter, response.refusal), nil
}

func respond(status int, retryAfter string, body any) *http.Response {
	encoded, _ := json.Marshal(body)
	header := http.Header{}
	if retryAfter != "" {
		header.Set("Retry-After", retryAfter)
	}
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader(string(encoded)))}
}

// TestResending guards against a non-idempotent request that runs twice because it is sent with a second ticket,
// against an attempt that the verdict of the one before forbids, and against the verdict NotRun where an earlier
// attempt may have run.
func TestResending(t *testing.T) {
	notConnected := fakeResponse{connectionLost: true, notConnected: true}
	notRun, mayHaveRun, ran := verdict.NotRun, verdict.MayHaveRun, verdict.Ran
	cases := map[string]struct {
		responses  []fakeResponse
		idempotent bool
		tickets    string // tickets of the attempts, separated by spaces
		verdict    verdict.Verdict
		reason     verdict.Reason // verdict.None means an answer
		minElapsed time.Duration  // between the first attempt and the last
	}{
		"answer":                              {responses: []fakeResponse{answerResponse}, tickets: "1a"},
		"idempotent":                          {responses: []fakeResponse{answerResponse}, idempotent: true, tickets: ""},
		"same ticket after a lost connection": {responses: []fakeResponse{lostResponse, answerResponse}, tickets: "1a 1a"},
		"new ticket after not run":            {responses: []fakeResponse{refusalResponse(notRun, verdict.Overloaded, 50), answerResponse}, tickets: "1a 1b", minElapsed: 50 * time.Millisecond},
		"not connected":                       {responses: []fakeResponse{notConnected, answerResponse}, tickets: "1a 1b"},
		"same ticket after a lost connection and a refusal": {
			responses: []fakeResponse{lostResponse, refusalResponse(notRun, verdict.Overloaded, 50), answerResponse},
			tickets:   "1a 1a 1a",
		},
		"not run does not cover the lost connection before": {
			responses: []fakeResponse{lostResponse, refusalResponse(notRun, verdict.InvalidRequest, 0)},
			tickets:   "1a 1a", verdict: mayHaveRun, reason: verdict.InvalidRequest,
		},
		"the issuer's not run covers the lost connection before": {
			responses: []fakeResponse{lostResponse, refusalResponse(notRun, verdict.TicketExpired, 0), answerResponse},
			tickets:   "1a 1a 1b",
		},
		"expired and used":        {responses: []fakeResponse{refusalResponse(mayHaveRun, verdict.TicketExpired, 9)}, tickets: "1a", verdict: mayHaveRun, reason: verdict.TicketExpired},
		"issuer restarted":        {responses: []fakeResponse{refusalResponse(mayHaveRun, verdict.TicketUnknown, 9)}, tickets: "1a", verdict: mayHaveRun, reason: verdict.TicketUnknown},
		"ran":                     {responses: []fakeResponse{refusalResponse(ran, verdict.ResultDropped, 9)}, tickets: "1a", verdict: ran, reason: verdict.ResultDropped},
		"final refusal":           {responses: []fakeResponse{refusalResponse(notRun, verdict.UnknownShard, 0)}, idempotent: true, verdict: notRun, reason: verdict.UnknownShard},
		"load balancer's refusal": {responses: []fakeResponse{{status: 503, rawBody: `{"ok":false}`}, answerResponse}, tickets: "1a 1a"},
		"refusal, no verdict":     {responses: []fakeResponse{{status: 503, rawBody: `{"reason":"leaving"}`}}, tickets: "1a", verdict: mayHaveRun, reason: verdict.Leaving},
		"header Retry-After": {
			responses: []fakeResponse{{status: 503, retryAfter: "2", refusal: api.Refusal{Reason: verdict.Overloaded}}, answerResponse},
			tickets:   "1a 1b", minElapsed: 2 * time.Second,
		},
		"Retry-After past the deadline": {
			responses: []fakeResponse{refusalResponse(notRun, verdict.Overloaded, 6000)}, tickets: "1a", verdict: notRun, reason: verdict.Overloaded,
		},
		"answer to another request": {
			responses: []fakeResponse{{status: 200, answerID: "r2"}}, tickets: "1a", verdict: mayHaveRun, reason: verdict.BadAnswer,
		},
		"deadline": {responses: []fakeResponse{{delay: time.Hour}}, tickets: "1a", verdict: mayHaveRun, reason: verdict.DeadlinePassed},
		"bounded attempts": {
			responses: []fakeResponse{lostResponse, lostResponse, lostResponse, lostResponse}, idempotent: true, tickets: "   ", verdict: mayHaveRun, reason: verdict.ConnectionLost,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fake := &fakeEntries{responses: c.responses}
				client, err := New(Settings{
					Entries: []string{"http://entry-1", "http://entry-2/"}, HTTP: &http.Client{Transport: fake}, Tickets: 3,
				}, rand.New(rand.NewSource(1)))
				is.NoErr(err)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				answer, err := client.Query(ctx, Request{
					Application: "corral-ledger", ID: "r1", Query: json.RawMessage(`{}`), Idempotent: c.idempotent,
				})
				is.Equal(strings.Join(fake.tickets, " "), c.tickets)
				is.True(fake.sentAt[len(fake.sentAt)-1].Sub(fake.sentAt[0]) >= c.minElapsed)
				if len(fake.hosts) > 1 {
					is.True(fake.hosts[0] != fake.hosts[1]) // the next attempt goes to another entry instance
				}
				if c.reason == verdict.None {
					is.NoErr(err)
					is.Equal(answer.ID, "r1")
					return
				}
				failure, ok := errors.AsType[*verdict.Error](err)
				is.True(ok)
				is.Equal(failure.Verdict, c.verdict)
				is.Equal(failure.Reason, c.reason)
			})
		})
	}
}

// TestTicketPrefetch guards against fetching tickets only when a request waits for one, and against using the remaining
// tickets of a batch after its issuer answered TicketUnknown.
func TestTicketPrefetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := &fakeEntries{responses: []fakeResponse{answerResponse, answerResponse, refusalResponse(verdict.MayHaveRun, verdict.TicketUnknown, 0), answerResponse}}
		client, err := New(Settings{Entries: []string{"http://entry-1"}, HTTP: &http.Client{Transport: fake}, Tickets: 3},
			rand.New(rand.NewSource(1)))
		is.NoErr(err)
		for range fake.responses {
			_, _ = client.Query(t.Context(), Request{Application: "corral-ledger", ID: "r1"})
			synctest.Wait()
		}
		// The third ticket is of the first batch, whose issuer no longer knows it.
		is.Equal(fake.tickets, []string{"1a", "1b", "1c", "2a"})
	})
}
