// Package link carries calls between the entry instances on the users' platform: JSON-RPC 2.0 over one lasting TCP
// connection to each peer that is called.
//
// The callers own what the calls mean. Whatever connects can make this process hold only bounded memory, connections and
// goroutines, and a malformed frame costs its sender the connection and nobody anything else.
package link

import "time"

const (
	// longestCall bounds a frame that the listening side reads, in bytes; calls are positions and batches of sightings.
	longestCall = 64 << 10
	// longestAnswer bounds a frame that the calling side reads, in bytes. The longest answer is the whole directory: some
	// hundred bytes for each of some thousand replicas and a configuration of at most 1 MiB.
	longestAnswer = 16 << 20
	// mostConnections bounds the connections that are accepted: more than the instances of a zone at the target size, 433.
	mostConnections = 512
	// mostCalls bounds the calls in progress on one connection. A peer makes one for each of its methods.
	mostCalls = 8
	// idleTimeout closes an accepted connection that has sent nothing for so long. Peers that use one call every few seconds.
	idleTimeout = time.Minute
	// frameTimeout bounds the time between the first and the last byte of a frame.
	frameTimeout = 5 * time.Second
	// writeTimeout bounds the writing of a frame to a peer that does not read.
	writeTimeout = 2 * time.Second
	// acceptRetry is the pause after a connection could not be accepted, most often because no descriptor is free.
	acceptRetry = 20 * time.Millisecond
)
