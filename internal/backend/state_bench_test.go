package backend

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// countingConn counts the bytes that are sent and received on a connection.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.Add(int64(n))
	return n, err
}

// BenchmarkState measures the CPU time and the bytes of one request for a server's state. The instance that owns a
// server sends one every second.
func BenchmarkState(b *testing.B) {
	address := startBenchServer(b)
	var sent, received atomic.Int64
	transport := New(Options{
		Connections: func(fleet.Server) int { return 30 },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			connection, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			return countingConn{connection, &sent, &received}, err
		},
	})
	defer transport.Close()
	server := fleet.Server{ID: "bench", Service: "svc", Address: address}
	before, count := cpuTime(), 0
	for b.Loop() {
		if _, ok := transport.State(context.Background(), server, time.Now().Add(time.Second)); !ok {
			b.Fatal("the server did not return its state within 1 s")
		}
		count++
	}
	b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/1000/float64(count), "cpu-µs/question")
	b.ReportMetric(float64(sent.Load())/float64(count), "sent-B")
	b.ReportMetric(float64(received.Load())/float64(count), "received-B")
}
