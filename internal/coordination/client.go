package coordination

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	// maxResponseBytes bounds the body of a response. A watch returns the catalogue and some index documents of up to
	// 1 MB each.
	maxResponseBytes = 16 << 20
	// maxReadAttempts is the number of times that a read is sent.
	maxReadAttempts = 3
	// initialBackoff is the longest pause before the second attempt. It doubles for each further attempt.
	initialBackoff = 100 * time.Millisecond
)

// Options configures both adapters.
type Options struct {
	// Client is the HTTP client; nil stands for one with its own connections.
	Client *http.Client
	// Timeout bounds each call. A watch may take this long on top of its wait.
	Timeout time.Duration
	// Random provides the jitter of the pauses between attempts.
	Random *rand.Rand
}

// httpClient sends the requests of one adapter and counts them by kind.
type httpClient struct {
	baseURL string
	options Options
	// mutex guards callCounts and options.Random.
	mutex      *sync.Mutex
	callCounts map[string]uint64
}

// newHTTPClient returns a client for the base URL.
func newHTTPClient(baseURL string, options Options) httpClient {
	if options.Client == nil {
		options.Client = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: options.Timeout}).DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     90 * time.Second,
		}}
	}
	return httpClient{strings.TrimSuffix(baseURL, "/"), options, new(sync.Mutex), make(map[string]uint64)}
}

// Calls returns the number of calls by kind since the start, including failed ones.
func (c *httpClient) Calls() map[string]uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.callCounts)
}

func (c *httpClient) count(kind string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.callCounts[kind]++
}

// backoff returns a random pause to make after the given attempt: below initialBackoff after the first, and below twice
// the previous bound after each further one. It locks because the source of randomness is not safe for concurrent use.
func (c *httpClient) backoff(attempt int) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Duration(c.options.Random.Int64N(int64(initialBackoff << (attempt - 1))))
}

// readWithRetry sends a GET up to maxReadAttempts times. A 4xx status is not retried, because the platform gave that
// answer on purpose.
func (c *httpClient) readWithRetry(ctx context.Context, kind, path string, timeout time.Duration, target any) (int, error) {
	for attempt := 1; ; attempt++ {
		status, err := c.readOnce(ctx, kind, path, timeout, target)
		if err == nil || status >= 400 && status < 500 || attempt == maxReadAttempts {
			return status, err
		}
		timer := time.NewTimer(c.backoff(attempt))
		select {
		case <-ctx.Done():
			timer.Stop()
			return status, err
		case <-timer.C:
		}
	}
}

// readOnce sends a GET and decodes a response with status 200 into target. A response with status 304 leaves target
// unchanged.
func (c *httpClient) readOnce(ctx context.Context, kind, path string, timeout time.Duration, target any) (int, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(callCtx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return 0, verdict.New(verdict.NotRun, verdict.InvalidRequest, "%v", err)
	}
	status, body, failure := c.send(kind, request)
	if failure != nil {
		// A read has no effect, so nothing can have run.
		return 0, failure.WithVerdict(verdict.NotRun)
	}
	if status == http.StatusNotModified {
		return status, nil
	}
	if status != http.StatusOK {
		return status, verdict.New(verdict.NotRun, verdict.ServerError, "the platform returned HTTP status %d for call %s", status, kind)
	}
	if err := json.Unmarshal(body, target); err != nil {
		return status, badResponse("%v", err)
	}
	return status, nil
}

// send makes one call. The verdict of its error is NotRun only if no connection was made. With a connection, the
// request may have reached the platform.
func (c *httpClient) send(kind string, request *http.Request) (int, []byte, *verdict.Error) {
	c.count(kind)
	response, err := c.options.Client.Do(request)
	if err != nil {
		failure := verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "%s: %v", kind, err)
		if dial, ok := errors.AsType[*net.OpError](err); ok && dial.Op == "dial" {
			failure.Verdict, failure.Reason = verdict.NotRun, verdict.ConnectFailed
		}
		return 0, nil, failure
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return 0, nil, verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "%s: %v", kind, err)
	}
	if len(body) > maxResponseBytes {
		return 0, nil, verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "%s: the response has more than %d bytes", kind, maxResponseBytes)
	}
	return response.StatusCode, body, nil
}
