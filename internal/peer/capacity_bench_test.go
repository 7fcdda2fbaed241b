package peer

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/ticket"
)

// countingDialer counts the bytes of the connections that it opens, in both directions.
type countingDialer struct{ sent, received atomic.Int64 }

type countingConn struct {
	net.Conn
	dialer *countingDialer
}

func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := new(net.Dialer).DialContext(ctx, network, address)
	return countingConn{connection, d}, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.dialer.sent.Add(int64(n))
	return n, err
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.dialer.received.Add(int64(n))
	return n, err
}

// echoHeartbeats answers a heartbeat with the same heartbeat.
type echoHeartbeats struct{}

func (echoHeartbeats) Heartbeat(_ context.Context, from Heartbeat) Heartbeat { return from }

// newCountingNode returns a node and the dialer that counts the bytes of its outbound connections.
func newCountingNode(b *testing.B, addresses map[fleet.InstanceID]string) (*Node, *countingDialer) {
	dialer := new(countingDialer)
	node, err := New(Settings{Instance: "entry-1000", Zone: "zone-10", Key: []byte(testKey), Incarnation: ticket.Incarnation{1}}, Handlers{},
		func(id fleet.InstanceID) (string, bool) { return addresses[id], true }, dialer, rand.New(rand.NewSource(1)))
	if err != nil {
		b.Fatal(err)
	}
	return node, dialer
}

// BenchmarkExchange measures heartbeats over loopback: the CPU time of both ends together, and the bytes of one request
// and its response with their frame headers. At the target size of a fleet an instance sends 32 and answers 32 a
// second. "paced" pauses between heartbeats as an otherwise idle instance does, so that each message costs a wake-up.
func BenchmarkExchange(b *testing.B) {
	for name, pause := range map[string]time.Duration{"together": 0, "paced": 5 * time.Millisecond} {
		b.Run(name, func(b *testing.B) {
			addresses := make(map[fleet.InstanceID]string)
			to := listenTCP(b, addresses, "entry-2000", nil, Handlers{Heartbeats: echoHeartbeats{}})
			defer to.Close()
			from, dialer := newCountingNode(b, addresses)
			defer from.Close()
			beat := Heartbeat{Acknowledged: true, Revision: 1_234_567}
			exchange := func() {
				if _, err := from.Heartbeat(context.Background(), "entry-2000", beat); err != nil {
					b.Fatal(err)
				}
			}
			exchange()
			sent, received, before, count := dialer.sent.Load(), dialer.received.Load(), cpuTime(), 0
			b.ReportAllocs()
			for b.Loop() {
				exchange()
				count++
				time.Sleep(pause)
			}
			b.ReportMetric(float64(dialer.sent.Load()-sent)/float64(count), "request-B")
			b.ReportMetric(float64(dialer.received.Load()-received)/float64(count), "answer-B")
			b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/1000/float64(count), "cpu-µs/exchange")
		})
	}
}

// BenchmarkConnections measures the memory of both ends of the connections between entry instances and the CPU time of
// a handshake.
func BenchmarkConnections(b *testing.B) {
	for _, count := range []int{4, 64, 256, 512} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for range b.N {
				addresses := make(map[fleet.InstanceID]string)
				to := listenTCP(b, addresses, "b", nil, Handlers{Heartbeats: echoHeartbeats{}})
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				used := cpuTime()
				nodes := make([]*Node, count)
				var group sync.WaitGroup
				for i := range nodes {
					nodes[i], _ = newCountingNode(b, addresses)
					nodes[i].settings.Incarnation[0] = byte(i)
					nodes[i].settings.Incarnation[1] = byte(i >> 8)
					group.Go(func() { _, _ = nodes[i].Heartbeat(context.Background(), "b", Heartbeat{}) })
				}
				group.Wait()
				used = cpuTime() - used
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapInuse+after.StackInuse)-float64(before.HeapInuse+before.StackInuse), "held-B")
				b.ReportMetric(float64(used.Microseconds())/float64(count), "cpu-µs/handshake")
				for _, node := range nodes {
					node.Close()
				}
				to.Close()
			}
		})
	}
}
