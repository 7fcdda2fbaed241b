package forwarding

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
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

// BenchmarkAvailable measures the decision whether a request can be forwarded, among the 433 instances of a zone of the
// target size.
func BenchmarkAvailable(b *testing.B) {
	helpers := NewHelpers(rand.New(rand.NewPCG(1, 1)))
	var instances []directory.Instance
	for i := range 433 {
		instances = append(instances, directory.Instance{ID: fleet.InstanceID(fmt.Sprint("i", i)), PeerAddress: "x"})
	}
	helpers.SetInstances(instances)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		helpers.Available("r", now)
	}
}
