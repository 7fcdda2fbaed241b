package peer

import (
	"math/rand"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// startLimitedNode starts a node named "b" with the given limits.
func startLimitedNode(t *testing.T, n *network, limits Limits) *Node {
	t.Helper()
	node, err := New(Settings{Instance: "b", Key: []byte(testKey), Limits: limits}, Handlers{Heartbeats: incrementingHeartbeats{}},
		func(id fleet.InstanceID) (string, bool) { return string(id), true }, n, rand.New(rand.NewSource(1)))
	is.New(t).NoErr(err)
	listener := n.listen("b")
	go func() { _ = node.Serve(listener) }()
	return node
}

// TestUnauthenticatedConnectionsDoNotExcludePeers guards against unauthenticated clients that keep peers from
// connecting by holding connections open without a handshake, and against more inbound connections than the limits
// allow.
func TestUnauthenticatedConnectionsDoNotExcludePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		b := startLimitedNode(t, n, Limits{MaxHandshakes: 4, MaxConnections: 2})
		var held []net.Conn
		unauthenticated := func() {
			connection, err := n.DialContext(t.Context(), "tcp", "b")
			is.NoErr(err)
			held = append(held, connection)
		}
		for range 50 {
			unauthenticated()
		}
		synctest.Wait()
		b.mu.Lock()
		is.Equal(len(b.inbound), 4)
		b.mu.Unlock()
		is.Equal(b.Counts().RefusedConnections, uint64(46))
		for _, name := range []string{"a", "c"} {
			node := n.startNode(t, name, testKey, Handlers{})
			defer node.Close()
			begun := time.Now()
			_, err := node.Heartbeat(t.Context(), "b", Heartbeat{})
			is.NoErr(err)
			is.Equal(time.Since(begun), time.Duration(0)) // at once, not only after the handshake timeout of 1 s
			for range 50 {
				unauthenticated()
			}
			_, err = node.Heartbeat(t.Context(), "b", Heartbeat{})
			is.NoErr(err) // an admitted peer is not evicted
		}
		late := n.startNode(t, "d", testKey, Handlers{})
		defer late.Close()
		_, err := late.Heartbeat(t.Context(), "b", Heartbeat{})
		is.Equal(verdict.Of(err), verdict.NotRun) // the limit of 2 connections is reached
		time.Sleep(2 * time.Second)
		b.mu.Lock()
		is.Equal(len(b.pending), 0) // their handshakes have timed out
		is.Equal(len(b.inbound), 2)
		b.mu.Unlock()
		b.Close()
		for _, connection := range held {
			_ = connection.Close()
		}
	})
}
