// Package inprocess calls the handler of a stand-in without a socket, so that tests can use it with a fake clock.
//
// A Transport also simulates lost requests and responses. A call whose request or response is lost hangs until its
// context ends, as on a network that drops packets.
package inprocess

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

// Transport is an http.RoundTripper that calls one handler, whatever the host of the URL is. It is safe for concurrent
// use.
type Transport struct {
	Handler http.Handler
	// Partitioned simulates a network partition: while it is set, requests and responses are lost, also the responses
	// to requests in progress.
	Partitioned atomic.Bool

	// dropCount counts how often the responses in progress were dropped. A response is lost if the count has changed
	// since its request.
	dropCount atomic.Uint64
}

// DropResponses drops the responses to the requests in progress. Later requests are not affected.
func (t *Transport) DropResponses() {
	t.dropCount.Add(1)
}

// errAborted is the error of a request whose handler aborted the connection.
var errAborted = errors.New("the connection was closed without a reply")

// RoundTrip implements http.RoundTripper. The handler continues to run when the context of the request ends.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	responses := make(chan *http.Response, 1)
	drops := t.dropCount.Load()
	if !t.Partitioned.Load() {
		go t.serve(request, responses)
	}
	select {
	case <-request.Context().Done():
		return nil, request.Context().Err()
	case response := <-responses:
		if t.Partitioned.Load() || t.dropCount.Load() != drops {
			<-request.Context().Done()
			return nil, request.Context().Err()
		}
		if response == nil {
			return nil, errAborted
		}
		return response, nil
	}
}

// serve calls the handler and sends its response, or nil if the handler aborts the connection with
// http.ErrAbortHandler.
func (t *Transport) serve(request *http.Request, responses chan<- *http.Response) {
	recorder := httptest.NewRecorder()
	defer func() {
		if reason := recover(); reason != nil {
			if reason != http.ErrAbortHandler {
				panic(reason)
			}
			responses <- nil
		}
	}()
	t.Handler.ServeHTTP(recorder, request)
	responses <- recorder.Result()
}

// Client returns an HTTP client that calls the handler, whatever the host of the URL is.
func Client(handler http.Handler) *http.Client {
	return &http.Client{Transport: &Transport{Handler: handler}}
}
