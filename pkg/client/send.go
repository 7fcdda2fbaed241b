package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// send makes one attempt at an entry instance.
func (c *Client) send(ctx context.Context, entry uint64, request Request, ticket string) (api.Answer, *verdict.Error) {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline).Milliseconds()
	if left < 1 || ctx.Err() != nil {
		return api.Answer{}, verdict.New(verdict.NotRun, reasonOf(ctx), "no time is left to send the request")
	}
	var answer api.Answer
	err := c.post(ctx, entry, "/v1/applications/"+url.PathEscape(request.Application)+"/query", api.Query{
		ID: request.ID, DeadlineMillis: left, Query: request.Query, Shards: request.Shards, Ticket: ticket,
	}, &answer)
	if err == nil && answer.ID != request.ID {
		err = verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "the answer is for request %q", answer.ID)
	}
	if err != nil {
		return api.Answer{}, err
	}
	return answer, nil
}

func reasonOf(ctx context.Context) verdict.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.Cancelled
	}
	return verdict.DeadlinePassed
}

// post sends a message to an entry instance, counted round, and reads the answer.
func (c *Client) post(ctx context.Context, entry uint64, path string, message, answer any) *verdict.Error {
	body, err := encode(message)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.InvalidRequest, "encode the request: %v", err)
	}
	// The transport writes nothing before it has a connection. It sends a POST again on its own only if
	// nothing was written.
	connected := make(chan struct{}, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		select {
		case connected <- struct{}{}:
		default:
		}
	}})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.entry(entry)+path, bytes.NewReader(body))
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.InvalidRequest, "%v", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return lost(ctx, connected, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, c.settings.AnswerBytes+1))
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "read the answer: %v", err)
	}
	if int64(len(content)) > c.settings.AnswerBytes {
		return verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "the answer has more than %d bytes", c.settings.AnswerBytes)
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response, content)
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "read the answer: %v", err)
	}
	return nil
}

func (c *Client) entry(count uint64) string {
	return c.settings.Entries[count%uint64(len(c.settings.Entries))]
}

func encode(message any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(message)
	return buffer.Bytes(), err
}

func lost(ctx context.Context, connected <-chan struct{}, err error) *verdict.Error {
	reason := verdict.ConnectionLost
	if ctx.Err() != nil {
		reason = reasonOf(ctx)
	}
	select {
	case <-connected:
		return verdict.New(verdict.MayHaveRun, reason, "%v", err)
	default:
	}
	if ctx.Err() == nil {
		reason = verdict.ConnectFailed
	}
	return verdict.New(verdict.NotRun, reason, "%v", err)
}

// refusal reads a refusal. One that no entry instance can have written, as by a balancer, says nothing
// about whether the request ran.
func refusal(response *http.Response, content []byte) *verdict.Error {
	after := retryAfter(response.Header)
	// A refusal without a verdict must not be read as NotRun, which is the zero value.
	body := api.Refusal{Verdict: verdict.MayHaveRun}
	if json.Unmarshal(content, &body) != nil || body.Reason == verdict.None {
		return verdict.New(verdict.MayHaveRun, verdict.ServerError, "status %d without a refusal", response.StatusCode).
			WithRetryAfter(after)
	}
	after = max(after, time.Duration(body.RetryAfterMillis)*time.Millisecond)
	return &verdict.Error{Verdict: body.Verdict, Reason: body.Reason, Detail: body.Detail, RetryAfter: after}
}

// retryAfter reads the header Retry-After in both of its forms.
func retryAfter(header http.Header) time.Duration {
	value := header.Get("Retry-After")
	if seconds, err := strconv.ParseUint(value, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if at, err := http.ParseTime(value); err == nil {
		return max(0, time.Until(at))
	}
	return 0
}
