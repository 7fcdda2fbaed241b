// Package inprocess calls a stand-in's handler without a socket, so that tests can use it on fake time.
//
// A Transport owns the cut that it simulates. It never shortens a call: a cut call hangs until its
// context ends, as over a network that drops packets.
package inprocess

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

// Transport is an http.RoundTripper in front of one handler.
type Transport struct {
	Handler http.Handler
	// Cut drops the requests, and the replies of requests under way.
	Cut atomic.Bool

	// silenced counts the calls of Silence.
	silenced atomic.Uint64
}

// Silence drops the replies of the requests under way; later requests work.
func (t *Transport) Silence() {
	t.silenced.Add(1)
}

var errAborted = errors.New("the connection was closed without a reply")

// RoundTrip implements http.RoundTripper. The handler goes on when the caller gives up.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	replies := make(chan *http.Response, 1)
	silenced := t.silenced.Load()
	if !t.Cut.Load() {
		go t.serve(request, replies)
	}
	select {
	case <-request.Context().Done():
		return nil, request.Context().Err()
	case reply := <-replies:
		if t.Cut.Load() || t.silenced.Load() != silenced {
			<-request.Context().Done()
			return nil, request.Context().Err()
		}
		if reply == nil {
			return nil, errAborted
		}
		return reply, nil
	}
}

func (t *Transport) serve(request *http.Request, replies chan<- *http.Response) {
	recorder := httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil {
			if cause != http.ErrAbortHandler {
				panic(cause)
			}
			replies <- nil
		}
	}()
	t.Handler.ServeHTTP(recorder, request)
	replies <- recorder.Result()
}

// Client returns an HTTP client that reaches the handler whatever the host of the URL is.
func Client(handler http.Handler) *http.Client {
	return &http.Client{Transport: &Transport{Handler: handler}}
}
