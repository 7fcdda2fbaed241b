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
	// maxReplyBytes bounds a reply: a watch returns the catalogue and some index documents of up to
	// 1 MB each.
	maxReplyBytes = 16 << 20
	// attempts is the number of times that a read is sent.
	attempts = 3
	// firstPause is the longest pause before the second attempt; it doubles for each one after it.
	firstPause = 100 * time.Millisecond
)

// Options is what both adapters need.
type Options struct {
	// Client is the HTTP client; nil stands for one with its own connections.
	Client *http.Client
	// Timeout bounds each call.
	Timeout time.Duration
	// Random makes the jitter.
	Random *rand.Rand
}

type caller struct {
	base    string
	options Options
	mutex   *sync.Mutex
	calls   map[string]uint64
}

func newCaller(base string, options Options) caller {
	if options.Client == nil {
		options.Client = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: options.Timeout}).DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     90 * time.Second,
		}}
	}
	return caller{strings.TrimSuffix(base, "/"), options, new(sync.Mutex), make(map[string]uint64)}
}

// Calls returns the number of calls by kind since the start, failed ones included.
func (c *caller) Calls() map[string]uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.calls)
}

func (c *caller) count(kind string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls[kind]++
}

// pause returns a random time up to the longest pause before the given attempt. The source of
// randomness is not safe for concurrent use.
func (c *caller) pause(attempt int) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Duration(c.options.Random.Int64N(int64(firstPause << (attempt - 1))))
}

// read sends a GET up to attempts times. Answers that the platform gave on purpose are not repeated.
func (c *caller) read(ctx context.Context, kind, path string, timeout time.Duration, into any) (int, error) {
	for attempt := 1; ; attempt++ {
		status, err := c.once(ctx, kind, path, timeout, into)
		if err == nil || status >= 400 && status < 500 || attempt == attempts {
			return status, err
		}
		timer := time.NewTimer(c.pause(attempt))
		select {
		case <-ctx.Done():
			timer.Stop()
			return status, err
		case <-timer.C:
		}
	}
}

func (c *caller) once(ctx context.Context, kind, path string, timeout time.Duration, into any) (int, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, c.base+path, nil)
	if err != nil {
		return 0, verdict.New(verdict.NotRun, verdict.InvalidRequest, "%v", err)
	}
	status, body, failure := c.send(kind, request)
	if failure != nil {
		// A read has no effect, so that there is nothing that may have run.
		return 0, failure.WithVerdict(verdict.NotRun)
	}
	if status == http.StatusNotModified {
		return status, nil
	}
	if status != http.StatusOK {
		return status, verdict.New(verdict.NotRun, verdict.ServerError, "the platform answered %d to %s", status, kind)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return status, badReply("%v", err)
	}
	return status, nil
}

// send makes one call. The error's verdict is NotRun only where no connection was made: after that, a
// byte of the request may have arrived.
func (c *caller) send(kind string, request *http.Request) (int, []byte, *verdict.Error) {
	c.count(kind)
	reply, err := c.options.Client.Do(request)
	if err != nil {
		failure := verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "%s: %v", kind, err)
		if dial, ok := errors.AsType[*net.OpError](err); ok && dial.Op == "dial" {
			failure.Verdict, failure.Reason = verdict.NotRun, verdict.ConnectFailed
		}
		return 0, nil, failure
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes+1))
	if err != nil {
		return 0, nil, verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "%s: %v", kind, err)
	}
	if len(body) > maxReplyBytes {
		return 0, nil, verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "%s: the reply has more than %d bytes", kind, maxReplyBytes)
	}
	return reply.StatusCode, body, nil
}
