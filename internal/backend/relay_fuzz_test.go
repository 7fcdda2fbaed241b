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

// answeredBy plays a stream of bytes as what a server writes after a request, in pieces of the given size, and then closes.
func answeredBy(t *testing.T, stream []byte, piece int) (Answer, bool) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		for rest := stream; len(rest) > 0; {
			size := min(piece, len(rest))
			if _, err := far.Write(rest[:size]); err != nil {
				return
			}
			rest = rest[size:]
		}
	}()
	r := NewRelay(func(context.Context, string) (net.Conn, error) { return near, nil })
	answer, failure := r.Do(t.Context(), fleet.Server{ID: "r", Address: "a"}, 1, messageOf("mine", 5*time.Second))
	r.Forget("r")
	return answer, failure == nil
}

// FuzzRelayStream guards against a verdict that depends on how bytes are cut on their way, and against a success that is not the
// whole answer to this request.
func FuzzRelayStream(f *testing.F) {
	for _, seed := range []string{
		okAnswer("mine", "yes"), okAnswer("earlier", "no") + okAnswer("mine", "yes"), okAnswer("mine", "yes") + okAnswer("mine", "yes"),
		"HTTP/1.1 100 Continue\r\n\r\n" + okAnswer("mine", "yes"), "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nyes",
		"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 10\r\n\r\nyes", "HTTP/1.1 204 No\r\nId: mine\r\n\r\n", "\x00\x01",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, stream []byte, piece int) {
		// Every input is played; long streams are cut, and any number is a size of pieces.
		stream = stream[:min(len(stream), 4<<10)]
		piece = 1 + len(stream)/500 + int(uint(piece)%64)
		is := is.New(t)
		whole, ok := answeredBy(t, stream, max(len(stream), 1))
		pieces, okInPieces := answeredBy(t, stream, piece)
		is.Equal(ok, okInPieces)
		if !ok {
			return
		}
		is.Equal(whole.Status, pieces.Status)
		is.True(bytes.Equal(whole.Body, pieces.Body))
		is.Equal(whole.Header.Get("Id"), "mine")
		is.True(wholeAnswer(stream, whole.Body))
	})
}

// wholeAnswer tells whether the stream has an answer to the request that ends with just this body.
func wholeAnswer(stream, body []byte) bool {
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
