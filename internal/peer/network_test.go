package peer

import (
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/internal/ticket"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const testKey = "a key of the tests, 32 bytes long"

// network connects nodes by pipes within the process, so that they can run in the fake time of synctest. It implements
// Dialer.
type network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	dials     int
	// wrap may replace the dialling side's connection to inject faults.
	wrap func(net.Conn) net.Conn
}

type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (*pipeListener) Addr() net.Addr { return nil }

func (n *network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	listener, wrap := n.listeners[address], n.wrap
	n.dials++
	n.mu.Unlock()
	if listener == nil {
		return nil, io.ErrClosedPipe
	}
	near, far := net.Pipe()
	select {
	case listener.accepted <- far:
	case <-listener.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if wrap != nil {
		near = wrap(near)
	}
	return near, nil
}

func (n *network) listen(address string) *pipeListener {
	listener := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[address] = listener
	n.mu.Unlock()
	return listener
}

func newNetwork() *network { return &network{listeners: make(map[string]*pipeListener)} }

// startNode starts a node with this name, which is also its address.
func (n *network) startNode(t testing.TB, name string, key string, handlers Handlers) *Node {
	t.Helper()
	node, err := New(
		Settings{Instance: fleet.InstanceID(name), Zone: "zone-a", Key: []byte(key), Incarnation: ticket.Incarnation{1}},
		handlers, func(id fleet.InstanceID) (string, bool) { return string(id), true }, n,
		rand.New(rand.NewSource(int64(len(name)))))
	if err != nil {
		t.Fatal(err)
	}
	listener := n.listen(name)
	go func() { _ = node.Serve(listener) }()
	return node
}

// stubRunner gives each part the result that answer returns, and no result if that is nil. If answer itself is nil, the
// result is that of resultFor.
type stubRunner struct {
	mu        sync.Mutex
	answer    func(part query.Part) *query.Result
	received  []query.Part
	cancelled []uint64
}

func (r *stubRunner) Run(_ context.Context, _ fleet.InstanceID, parts []query.Part, deliver func(query.Result)) {
	for _, part := range parts {
		r.mu.Lock()
		r.received = append(r.received, part)
		answer := r.answer
		r.mu.Unlock()
		if answer == nil {
			deliver(resultFor(part))
		} else if result := answer(part); result != nil {
			deliver(*result)
		}
	}
}

func (r *stubRunner) Cancel(_ fleet.InstanceID, attempt uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled = append(r.cancelled, attempt)
}

// resultFor returns a successful result, with the query of the part as its rows.
func resultFor(part query.Part) query.Result {
	return query.Result{
		Attempt: part.Attempt, Shard: part.Shard, Server: part.Server, Version: part.Version, Rows: part.Query,
	}
}

// incrementingHeartbeats answers a heartbeat with one that differs from it in a known way.
type incrementingHeartbeats struct{}

func (incrementingHeartbeats) Heartbeat(_ context.Context, from Heartbeat) Heartbeat {
	return Heartbeat{Acknowledged: from.Acknowledged, Released: !from.Released, Revision: from.Revision + 1}
}

func testParts(count int, remaining time.Duration) []query.Part {
	parts := make([]query.Part, count)
	body := json.RawMessage(`{"z":1,"a":"<b>","n":1.50}`)
	for i := range parts {
		parts[i] = query.Part{
			Attempt: uint64(i + 1), Service: "bib-index-01", Shard: "shard-1", Server: "server-1", Version: 7,
			Deadline: time.Now().Add(remaining), Query: body,
		}
	}
	return parts
}

// sendAndCollect sends parts, waits for as many results and returns them by attempt. Two results for one attempt fail
// the test.
func sendAndCollect(ctx context.Context, t testing.TB, from *Node, to fleet.InstanceID, parts []query.Part) map[uint64]query.Result {
	t.Helper()
	results := make(chan query.Result, 4*len(parts))
	from.Send(ctx, to, parts, func(result query.Result) { results <- result })
	byAttempt := make(map[uint64]query.Result)
	for range parts {
		result := <-results
		if _, twice := byAttempt[result.Attempt]; twice {
			t.Fatalf("attempt %d has two results", result.Attempt)
		}
		byAttempt[result.Attempt] = result
	}
	return byAttempt
}

func requireVerdict(t testing.TB, results map[uint64]query.Result, count int, v verdict.Verdict, reason verdict.Reason) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(results), count)
	for _, result := range results {
		is.True(result.Err != nil)
		is.Equal(result.Err.Verdict, v)
		is.Equal(result.Err.Reason, reason)
	}
}

func instanceID(name string) fleet.InstanceID { return fleet.InstanceID(name) }
