// Package peerrpc implements remote calls between the entry instances on the users' platform: JSON-RPC 2.0 over one
// persistent TCP connection to each peer that is called.
//
// The packages that use it define the methods. Peers are not authenticated, so the memory, connections and goroutines
// that any of them can occupy are limited. A malformed frame closes the connection of its sender and affects no other
// peer.
package peerrpc

import (
	"errors"
	"time"
)

// ErrResultTooLarge is returned for a call whose result is so large that the peer does not send it.
var ErrResultTooLarge = errors.New("result of the peer is too large to be sent")

const (
	// maxCallBytes is the maximum size of a frame that a Server reads. Calls carry positions in a sequence of updates,
	// batches of sightings, or a caller's request.
	maxCallBytes = 64 << 10
	// maxResponseBytes is the maximum size of a frame that a Client reads. The largest response is the whole directory:
	// a few hundred bytes for each of several thousand replicas, and a configuration of at most 1 MiB.
	maxResponseBytes = 16 << 20
	// maxResultBytes is the maximum size of a result that a Server sends; the rest of the frame takes a few bytes. A larger
	// one is refused with codeTooLarge: a client that drops the connection over it would only ask again.
	maxResultBytes = maxResponseBytes - 1<<10
	// codeTooLarge is the code of the error for a result that is too large.
	codeTooLarge = -32010
	// maxConnections is the maximum number of connections that a Server keeps open. It is above the number of instances
	// in a zone at the target size, which is 433.
	maxConnections = 512
	// maxCallsPerConnection is the maximum number of calls in progress on one connection. A peer makes one call at a
	// time for each method, except that it forwards as many requests as its callers send.
	maxCallsPerConnection = 32
	// idleTimeout is the time without a frame after which an accepted connection is closed. A peer that uses its
	// connection calls every few seconds.
	idleTimeout = time.Minute
	// frameTimeout limits the time between the first and the last byte of a frame.
	frameTimeout = 5 * time.Second
	// writeTimeout limits the time to write a frame, in case the peer does not read.
	writeTimeout = 2 * time.Second
	// acceptRetryInterval is the pause after Accept failed, most often because no file descriptor is free.
	acceptRetryInterval = 20 * time.Millisecond
)
