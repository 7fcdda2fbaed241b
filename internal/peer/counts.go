package peer

import "sync/atomic"

// Counts holds the totals of a node since it was created, for metrics.
type Counts struct {
	// Dials and FailedDials count connection attempts, the handshake included.
	Dials, FailedDials uint64
	// SilentConnections counts the connections closed because a heartbeat was not answered in time.
	SilentConnections uint64
	// RefusedConnections counts the inbound connections that were evicted before their handshake was complete, took too
	// long for it, or exceeded Limits.MaxConnections.
	RefusedConnections uint64
	// PartsSent counts the parts sent to peers, PartsServed the parts received from them.
	PartsSent, PartsServed uint64
	// ResultFrames counts the parts.result messages received.
	ResultFrames uint64
	// DroppedResults counts the results received that match no part in flight: late, duplicated or of another part.
	DroppedResults uint64
}

// counters are the counters behind Counts, safe for concurrent use.
type counters struct {
	dials, dialsFailed, silent, refused, partsSent, partsServed, resultFrames, dropped atomic.Uint64
}

// Counts returns the current totals. Each is read by itself, so the totals need not be of the same moment.
func (n *Node) Counts() Counts {
	c := &n.counters
	return Counts{
		Dials: c.dials.Load(), FailedDials: c.dialsFailed.Load(), SilentConnections: c.silent.Load(), RefusedConnections: c.refused.Load(),
		PartsSent: c.partsSent.Load(), PartsServed: c.partsServed.Load(),
		ResultFrames: c.resultFrames.Load(), DroppedResults: c.dropped.Load(),
	}
}
