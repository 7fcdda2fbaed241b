package peer

import "sync/atomic"

// Counts holds the totals of a node since it was created, for metrics.
type Counts struct {
	// Dials and DialsFailed count connection attempts, the handshake included.
	Dials, DialsFailed uint64
	// Silent counts the connections closed because a heartbeat was not answered in time.
	Silent uint64
	// Refused counts the inbound connections that were evicted before their handshake was complete, took too long for
	// it, or exceeded Limits.MaxConnections.
	Refused uint64
	// PartsSent counts the parts sent to peers, PartsServed the parts received from them.
	PartsSent, PartsServed uint64
	// ResultFrames counts the parts.result messages received.
	ResultFrames uint64
	// Dropped counts the results received that match no part in flight: late, duplicated or of another part.
	Dropped uint64
}

// counters are the counters behind Counts, safe for concurrent use.
type counters struct {
	dials, dialsFailed, silent, refused, partsSent, partsServed, resultFrames, dropped atomic.Uint64
}

// Counts returns the current totals. Each is read by itself, so the totals need not be of the same moment.
func (n *Node) Counts() Counts {
	c := &n.counters
	return Counts{
		Dials: c.dials.Load(), DialsFailed: c.dialsFailed.Load(), Silent: c.silent.Load(), Refused: c.refused.Load(),
		PartsSent: c.partsSent.Load(), PartsServed: c.partsServed.Load(),
		ResultFrames: c.resultFrames.Load(), Dropped: c.dropped.Load(),
	}
}
