package peer

import "sync/atomic"

// Counts are running totals of a node, for metrics.
type Counts struct {
	// Dials and DialsFailed count connection attempts, the handshake included.
	Dials, DialsFailed uint64
	// Silent counts connections closed because a heartbeat was not answered.
	Silent uint64
	// Refused counts inbound connections that failed the handshake or found no room.
	Refused uint64
	// PartsSent counts the parts written or queued to peers, PartsServed those received from them.
	PartsSent, PartsServed uint64
	// ResultFrames counts the messages in which results came.
	ResultFrames uint64
	// Dropped counts results that belong to no open part: late, duplicated or crossed.
	Dropped uint64
}

type counters struct {
	dials, dialsFailed, silent, refused, partsSent, partsServed, resultFrames, dropped atomic.Uint64
}

// Counts returns the totals since the node was made.
func (n *Node) Counts() Counts {
	c := &n.counters
	return Counts{
		Dials: c.dials.Load(), DialsFailed: c.dialsFailed.Load(), Silent: c.silent.Load(), Refused: c.refused.Load(),
		PartsSent: c.partsSent.Load(), PartsServed: c.partsServed.Load(),
		ResultFrames: c.resultFrames.Load(), Dropped: c.dropped.Load(),
	}
}
