package backend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// relayStream sends one request to a server that responds with the bytes of the stream, in writes of the given size,
// and then closes the connection. It reports whether the request succeeded.
func relayStream(t *testing.T, stream []byte, writeSize int) (RelayResponse, bool) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		for rest := stream; len(rest) > 0; {
			size := min(writeSize, len(rest))
			if _, err := far.Write(rest[:size]); err != nil {
				return
			}
			rest = rest[size:]
		}
	}()
	r := NewRelay(func(context.Context, string) (net.Conn, error) { return near, nil })
	response, failure := r.Do(t.Context(), fleet.Server{ID: "r", Address: "a"}, 1, requestWithID("mine", 5*time.Second))
	r.Forget("r")
	return response, failure == nil
}

// FuzzRelayStream guards against an outcome that depends on how the network splits the bytes of a response, and against
// a success without the complete response to this request.
func FuzzRelayStream(f *testing.F) {
	for _, seed := range []string{
		okResponse("mine", "yes"), okResponse("earlier", "no") + okResponse("mine", "yes"), okResponse("mine", "yes") + okResponse("mine", "yes"),
		"HTTP/1.1 100 Continue\r\n\r\n" + okResponse("mine", "yes"), "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nyes",
		"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 10\r\n\r\nyes", "HTTP/1.1 204 No\r\nId: mine\r\n\r\n", "\x00\x01",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, stream []byte, writeSize int) {
		// Every input is usable: a long stream is truncated, and any number is mapped to a valid write size.
		stream = stream[:min(len(stream), 4<<10)]
		writeSize = 1 + len(stream)/500 + int(uint(writeSize)%64)
		is := is.New(t)
		unsplit, ok := relayStream(t, stream, max(len(stream), 1))
		split, okSplit := relayStream(t, stream, writeSize)
		is.Equal(ok, okSplit)
		if !ok {
			return
		}
		is.Equal(unsplit.Status, split.Status)
		is.True(bytes.Equal(unsplit.Body, split.Body))
		is.Equal(unsplit.Header.Get("Id"), "mine")
		is.True(containsResponse(stream, unsplit.Body))
	})
}

// containsResponse reports whether the first response to the request in the stream is complete and has this body.
func containsResponse(stream, body []byte) bool {
	reader := bufio.NewReader(bytes.NewReader(stream))
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false
		}
		text, err := io.ReadAll(response.Body)
		if err != nil {
			return false
		}
		if response.StatusCode >= http.StatusOK && response.Header.Get("Id") == "mine" {
			return bytes.Equal(text, body)
		}
	}
}
