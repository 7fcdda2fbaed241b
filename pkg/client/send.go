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

// send makes one attempt to run a query at an entry instance. ticket is empty for an idempotent request.
func (c *Client) send(ctx context.Context, entryIndex uint64, request Request, ticket string) (api.Answer, *verdict.Error) {
	deadline, _ := ctx.Deadline()
	remainingMillis := time.Until(deadline).Milliseconds()
	if remainingMillis < 1 || ctx.Err() != nil {
		return api.Answer{}, verdict.New(verdict.NotRun, contextReason(ctx), "request not sent: %d ms left before its deadline", remainingMillis)
	}
	var answer api.Answer
	err := c.post(ctx, entryIndex, "/v1/applications/"+url.PathEscape(request.Application)+"/query", api.Query{
		ID: request.ID, DeadlineMillis: remainingMillis, Query: request.Query, Shards: request.Shards, Ticket: ticket,
	}, &answer)
	if err == nil && answer.ID != request.ID {
		err = verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "answer has id %q, want %q", answer.ID, request.ID)
	}
	if err != nil {
		return api.Answer{}, err
	}
	return answer, nil
}

// contextReason returns the reason code for a context that has ended or is about to.
func contextReason(ctx context.Context) verdict.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.Cancelled
	}
	return verdict.DeadlinePassed
}

// post sends message to an entry instance and decodes the response into answer. entryIndex selects the instance, modulo
// their number.
func (c *Client) post(ctx context.Context, entryIndex uint64, path string, message, answer any) *verdict.Error {
	body, err := encodeJSON(message)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.InvalidRequest, "encode the request: %v", err)
	}
	// The transport writes nothing before it has a connection, and it repeats a POST by itself only if nothing was
	// written. So a request without a connection has not run.
	connected := make(chan struct{}, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		select {
		case connected <- struct{}{}:
		default:
		}
	}})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.entryURL(entryIndex)+path, bytes.NewReader(body))
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.InvalidRequest, "create the request: %v", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return transportError(ctx, connected, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, c.settings.AnswerBytes+1))
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "read the response of %s: %v", request.URL.Host, err)
	}
	if int64(len(content)) > c.settings.AnswerBytes {
		return verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "response of %s exceeds %d bytes", request.URL.Host, c.settings.AnswerBytes)
	}
	if response.StatusCode != http.StatusOK {
		return refusalError(response, content)
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "decode the response of %s: %v", request.URL.Host, err)
	}
	return nil
}

func (c *Client) entryURL(index uint64) string {
	return c.settings.Entries[index%uint64(len(c.settings.Entries))]
}

// encodeJSON encodes message without HTML escapes, so that a query is sent as the caller wrote it.
func encodeJSON(message any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(message)
	return buffer.Bytes(), err
}

// transportError converts an error of the HTTP client. The request has not run if there never was a connection.
func transportError(ctx context.Context, connected <-chan struct{}, err error) *verdict.Error {
	reason := verdict.ConnectionLost
	if ctx.Err() != nil {
		reason = contextReason(ctx)
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

// refusalError converts a response whose status is not 200. A response that is not in the format of the entry
// instances, such as one of a load balancer, does not tell whether the request ran, so its verdict is MayHaveRun.
func refusalError(response *http.Response, content []byte) *verdict.Error {
	retryDelay := retryAfter(response.Header)
	// The zero value of Verdict is NotRun, which a refusal without a verdict must not be taken for.
	body := api.Refusal{Verdict: verdict.MayHaveRun}
	if json.Unmarshal(content, &body) != nil || body.Reason == verdict.None {
		return verdict.New(verdict.MayHaveRun, verdict.ServerError, "status %d without a refusal in the body", response.StatusCode).
			WithRetryAfter(retryDelay)
	}
	retryDelay = max(retryDelay, time.Duration(body.RetryAfterMillis)*time.Millisecond)
	return &verdict.Error{Verdict: body.Verdict, Reason: body.Reason, Detail: body.Detail, RetryAfter: retryDelay}
}

// retryAfter parses the Retry-After header, in seconds or as a date. It returns 0 if the header is absent or invalid.
func retryAfter(header http.Header) time.Duration {
	value := header.Get("Retry-After")
	if seconds, err := strconv.ParseUint(value, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if date, err := http.ParseTime(value); err == nil {
		return max(0, time.Until(date))
	}
	return 0
}
