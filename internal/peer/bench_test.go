package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/internal/ticket"
)

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Processor time of both ends together for each part that is forwarded over loopback, with a query
// and rows of about 200 bytes, from 8 concurrent coordinators.
func BenchmarkForwardedPart(b *testing.B) {
	for _, count := range []int{1, 5, 20} {
		b.Run(fmt.Sprintf("parts=%d", count), func(b *testing.B) { benchmarkParts(b, count) })
	}
}

func benchmarkParts(b *testing.B, count int) {
	addresses := make(map[fleet.InstanceID]string)
	start := func(name fleet.InstanceID, handlers Handlers) *Node {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		addresses[name] = listener.Addr().String()
		node, err := New(Settings{Instance: name, Key: []byte(testKey), Incarnation: ticket.Incarnation{1}}, handlers,
			func(id fleet.InstanceID) (string, bool) { return addresses[id], true }, &net.Dialer{}, rand.New(rand.NewSource(1)))
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = node.Serve(listener) }()
		return node
	}
	rows := json.RawMessage(`[{"token":"` + string(make200()) + `"}]`)
	far := answering{rows}
	from, to := start("a", Handlers{}), start("b", Handlers{Parts: far})
	defer from.Close()
	defer to.Close()
	body := json.RawMessage(`{"family":"` + string(make200()) + `"}`)
	collect(context.Background(), b, from, "b", testParts(1, time.Second))
	const coordinators = 8
	calls := max(1, b.N/count/coordinators)
	before := processorTime()
	b.ResetTimer()
	var group sync.WaitGroup
	for coordinator := range coordinators {
		group.Go(func() {
			done := make(chan query.Result, count)
			parts := testParts(count, time.Minute)
			for call := range calls {
				for i := range parts {
					parts[i].Attempt = uint64(coordinator)<<40 | uint64(call*count+i+1)
					parts[i].Query = body
				}
				from.Send(context.Background(), "b", parts, func(result query.Result) { done <- result })
				for range parts {
					if result := <-done; result.Err != nil {
						panic(result.Err)
					}
				}
			}
		})
	}
	group.Wait()
	b.StopTimer()
	used := processorTime() - before
	frames := from.Counts().ResultFrames
	b.ReportMetric(float64(calls*coordinators*count)/float64(frames), "results/frame")
	b.ReportMetric(float64(used.Microseconds())/float64(calls*coordinators*count), "cpu-µs/part")
}

func make200() []byte {
	text := make([]byte, 180)
	for i := range text {
		text[i] = byte('a' + i%26)
	}
	return text
}

// answering delivers all results at once.
type answering struct{ rows json.RawMessage }

func (a answering) Run(_ context.Context, _ fleet.InstanceID, parts []query.Part, deliver func(query.Result)) {
	for _, part := range parts {
		result := rowsOf(part)
		result.Rows = a.rows
		deliver(result)
	}
}

func (answering) Cancel(fleet.InstanceID, uint64) {}
