package rig2

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Attempt is one requester attempt.
type Attempt struct {
	ID, Method, Path string
	To               *Instance
	Sent, Ended      time.Time
	Status           int // 0 without an answer
	Seal, Body       string
	Err              error
}

var attemptCount atomic.Int64

// Send sends one attempt to the instance and waits for the answer for at most the time budget.
func Send(record *Record, to *Instance, method, host, path, body string, budget time.Duration, headers ...string) Attempt {
	a := Attempt{ID: fmt.Sprintf("9c41%08x", attemptCount.Add(1)), Method: method, Path: path, To: to}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.Front()+path, reader)
	if err != nil {
		a.Err = err
		return a
	}
	request.GetBody = nil // the client must not send it again by itself
	request.Host = host
	request.Header.Set("X-Medlarlatch-Request-Id", a.ID)
	request.Header.Set("X-Medlarlatch-Request-Deadline", fmt.Sprint(budget.Milliseconds()))
	for n := 0; n+1 < len(headers); n += 2 {
		request.Header.Set(headers[n], headers[n+1])
	}
	a.Sent = time.Now()
	record.Line("sent %s %s %s to %s", a.ID, method, path, to.Name)
	answer, err := to.Client.Do(request)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err == nil {
			a.Status, a.Seal, a.Body = answer.StatusCode, answer.Header.Get("X-Medlarlatch-Server-Seal"), string(text)
		}
	}
	a.Err, a.Ended = err, time.Now()
	if err != nil {
		record.Line("answer %s none: %v", a.ID, err)
	} else {
		record.Line("answer %s %d %s %q", a.ID, a.Status, a.Seal, a.Body[:min(len(a.Body), 60)])
	}
	return a
}
