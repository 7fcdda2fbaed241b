package forwarding

import (
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/peerrpc"
)

// echoHandler answers each request with its own message.
type echoHandler struct{}

func (echoHandler) ServeForwarded(_ context.Context, request *Request) Reply {
	return Reply{Message: request.Message}
}

// BenchmarkForwarded measures what the hop to another instance adds to a request of 600 bytes and its answer, on both
// sides together.
func BenchmarkForwarded(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(b).NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() { _ = peerrpc.NewServer(NewServer(echoHandler{}).Methods()).Serve(b.Context(), listener) }()
	client := NewClient(peerrpc.NewClient())
	message := bytes.Repeat([]byte("x"), 600)
	for number := uint64(1); b.Loop(); number++ {
		if _, _, err := client.Forward(b.Context(), listener.Addr().String(), &Request{Origin: "o", Number: number, Message: message}); err != nil {
			b.Fatal(err)
		}
	}
}
