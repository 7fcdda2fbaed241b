package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestConnectTimeoutLeavesTimeForAnotherReplica guards against parts that wait until their deadline for a connection to
// a peer that has stopped: the coordinator could then neither try another replica nor refuse in time.
func TestConnectTimeoutLeavesTimeForAnotherReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := n.startNode(t, "a", testKey, Handlers{})
		defer a.Close()
		stopped := n.listen("b") // accepts connections and answers no handshake
		go func() {
			for connection, err := stopped.Accept(); err == nil; connection, err = stopped.Accept() {
				defer func() { _ = connection.Close() }()
			}
		}()
		defer func() { _ = stopped.Close() }()
		const left = 400 * time.Millisecond
		begun := time.Now()
		requireVerdict(t, sendAndCollect(t.Context(), t, a, "b", testParts(3, left)), 3, verdict.NotRun, verdict.PeerUnreachable)
		is.New(t).True(time.Since(begun) <= left/2)
	})
}
