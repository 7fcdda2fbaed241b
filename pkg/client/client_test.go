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

// step is how the stand-in for the entry instances treats one attempt.
type step struct {
	status  int
	refusal api.Refusal
	header  string
	// raw replaces the body of a refusal.
	raw string
	// cut ends the attempt with an error, after a connection was there unless notConnected is set.
	cut, notConnected bool
	answerID          string
	delay             time.Duration
}

var (
	answered = step{status: http.StatusOK}
	cut      = step{cut: true}
)

func refused(v verdict.Verdict, r verdict.Reason, retryMillis int64) step {
	return step{status: 503, refusal: api.Refusal{Verdict: v, Reason: r, RetryAfterMillis: retryMillis}}
}

// entries stands in for the entry instances; attempt i is treated by step i.
type entries struct {
	steps   []step
	issued  int
	tickets []string
	hosts   []string
	at      []time.Time
}

func (e *entries) RoundTrip(request *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(request.Body)
	if strings.HasSuffix(request.URL.Path, "/tickets") {
		e.issued++
		return respond(200, "", api.Tickets{
			Tickets: []string{fmt.Sprint(e.issued, "a"), fmt.Sprint(e.issued, "b"), fmt.Sprint(e.issued, "c")}, ValidMillis: 60_000,
		}), nil
	}
	var query api.Query
	if err := json.Unmarshal(body, &query); err != nil {
		return nil, err
	}
	s := e.steps[len(e.tickets)]
	e.tickets = append(e.tickets, query.Ticket)
	e.hosts = append(e.hosts, request.URL.Host)
	e.at = append(e.at, time.Now())
	if !s.notConnected {
		httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{})
	}
	select {
	case <-time.After(s.delay):
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	switch {
	case s.cut:
		return nil, errors.New("the connection was cut")
	case s.status == http.StatusOK && s.answerID != "":
		return respond(200, "", api.Answer{ID: s.answerID}), nil
	case s.status == http.StatusOK:
		return respond(200, "", api.Answer{ID: query.ID, Verdict: verdict.Ran}), nil
	case s.raw != "":
		return respond(s.status, s.header, json.RawMessage(s.raw)), nil
	}
	return respond(s.status, s.header, s.refusal), nil
}

func respond(status int, after string, body any) *http.Response {
	encoded, _ := json.Marshal(body)
	header := http.Header{}
	if after != "" {
		header.Set("Retry-After", after)
	}
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader(string(encoded)))}
}

// Guards against a second run of a non-idempotent request through a second ticket, against resending
// where the verdict forbids it, and against "not run" where an earlier attempt may have run.
func TestResending(t *testing.T) {
	notConnected := step{cut: true, notConnected: true}
	notRun, mayHaveRun, ran := verdict.NotRun, verdict.MayHaveRun, verdict.Ran
	cases := map[string]struct {
		steps      []step
		idempotent bool
		tickets    string // those of the attempts
		verdict    verdict.Verdict
		reason     verdict.Reason // none means an answer
		least      time.Duration  // between the first attempt and the last
	}{
		"answer":                     {steps: []step{answered}, tickets: "1a"},
		"idempotent":                 {steps: []step{answered}, idempotent: true, tickets: ""},
		"same ticket after a cut":    {steps: []step{cut, answered}, tickets: "1a 1a"},
		"fresh ticket after not run": {steps: []step{refused(notRun, verdict.Overloaded, 50), answered}, tickets: "1a 1b", least: 50 * time.Millisecond},
		"not connected":              {steps: []step{notConnected, answered}, tickets: "1a 1b"},
		"same ticket after cut and refusal": {
			steps:   []step{cut, refused(notRun, verdict.Overloaded, 50), answered},
			tickets: "1a 1a 1a",
		},
		"not run does not cover the cut before": {
			steps:   []step{cut, refused(notRun, verdict.InvalidRequest, 0)},
			tickets: "1a 1a", verdict: mayHaveRun, reason: verdict.InvalidRequest,
		},
		"the issuer's not run covers the cut before": {
			steps:   []step{cut, refused(notRun, verdict.TicketExpired, 0), answered},
			tickets: "1a 1a 1b",
		},
		"expired and used":    {steps: []step{refused(mayHaveRun, verdict.TicketExpired, 9)}, tickets: "1a", verdict: mayHaveRun, reason: verdict.TicketExpired},
		"issuer restarted":    {steps: []step{refused(mayHaveRun, verdict.TicketUnknown, 9)}, tickets: "1a", verdict: mayHaveRun, reason: verdict.TicketUnknown},
		"ran":                 {steps: []step{refused(ran, verdict.ResultDropped, 9)}, tickets: "1a", verdict: ran, reason: verdict.ResultDropped},
		"final refusal":       {steps: []step{refused(notRun, verdict.UnknownShard, 0)}, idempotent: true, verdict: notRun, reason: verdict.UnknownShard},
		"balancer's refusal":  {steps: []step{{status: 503, raw: `{"ok":false}`}, answered}, tickets: "1a 1a"},
		"refusal, no verdict": {steps: []step{{status: 503, raw: `{"reason":"leaving"}`}}, tickets: "1a", verdict: mayHaveRun, reason: verdict.Leaving},
		"header Retry-After": {
			steps:   []step{{status: 503, header: "2", refusal: api.Refusal{Reason: verdict.Overloaded}}, answered},
			tickets: "1a 1b", least: 2 * time.Second,
		},
		"Retry-After past the deadline": {
			steps: []step{refused(notRun, verdict.Overloaded, 6000)}, tickets: "1a", verdict: notRun, reason: verdict.Overloaded,
		},
		"answer to another request": {
			steps: []step{{status: 200, answerID: "r2"}}, tickets: "1a", verdict: mayHaveRun, reason: verdict.BadAnswer,
		},
		"deadline": {steps: []step{{delay: time.Hour}}, tickets: "1a", verdict: mayHaveRun, reason: verdict.DeadlinePassed},
		"bounded attempts": {
			steps: []step{cut, cut, cut, cut}, idempotent: true, tickets: "   ", verdict: mayHaveRun, reason: verdict.ConnectionLost,
		},
	}
	for label, c := range cases {
		t.Run(label, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stand := &entries{steps: c.steps}
				client, err := New(Settings{
					Entries: []string{"http://entry-1", "http://entry-2/"}, HTTP: &http.Client{Transport: stand}, Tickets: 3,
				}, rand.New(rand.NewSource(1)))
				is.NoErr(err)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				answer, err := client.Query(ctx, Request{
					Application: "corral-ledger", ID: "r1", Query: json.RawMessage(`{}`), Idempotent: c.idempotent,
				})
				is.Equal(strings.Join(stand.tickets, " "), c.tickets)
				is.True(stand.at[len(stand.at)-1].Sub(stand.at[0]) >= c.least)
				if len(stand.hosts) > 1 {
					is.True(stand.hosts[0] != stand.hosts[1]) // the next attempt goes to another instance
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

// Guards against requests that all wait for a ticket, and against tickets of an issuer that is gone.
func TestTicketsAheadOfNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stand := &entries{steps: []step{answered, answered, refused(verdict.MayHaveRun, verdict.TicketUnknown, 0), answered}}
		client, err := New(Settings{Entries: []string{"http://entry-1"}, HTTP: &http.Client{Transport: stand}, Tickets: 3},
			rand.New(rand.NewSource(1)))
		is.NoErr(err)
		for range stand.steps {
			_, _ = client.Query(t.Context(), Request{Application: "corral-ledger", ID: "r1"})
			synctest.Wait()
		}
		// The third ticket is of the first batch, whose issuer turned out to be gone.
		is.Equal(stand.tickets, []string{"1a", "1b", "1c", "2a"})
	})
}
