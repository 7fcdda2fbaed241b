package peer

import "slices"

// Connections before the handshake have a limit of their own, so that unauthenticated clients can neither use up the
// connections that are meant for peers nor keep peers from connecting: at the limit the oldest one is evicted. The
// handshake of a peer takes a few milliseconds, so clients would have to open thousands of connections a second to
// evict it.

// addPending records a new inbound connection and returns the one to evict, or nil. n.mu must be held.
func (n *Node) addPending(pc *peerConn) (evicted *peerConn) {
	n.inbound[pc] = true
	n.pending = append(n.pending, pc)
	if len(n.pending) > n.settings.Limits.MaxHandshakes {
		evicted = n.pending[0]
		n.pending = slices.Delete(n.pending, 0, 1)
	}
	return evicted
}

// removePending removes a connection from the pending ones and reports whether it was one of them. n.mu must be held.
func (n *Node) removePending(pc *peerConn) bool {
	at := slices.Index(n.pending, pc)
	if at < 0 {
		return false
	}
	n.pending = slices.Delete(n.pending, at, at+1)
	return true
}

// admitInbound admits a connection after its handshake. It reports false if the connection was evicted in the meantime
// or Limits.MaxConnections is reached. It closes older connections of the same process, which no longer uses them. Two
// processes with the same instance name both keep theirs, since otherwise each would close the other's connection
// for ever.
func (n *Node) admitInbound(pc *peerConn, peer hello) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.removePending(pc) {
		return false
	}
	others := 0
	for other := range n.inbound {
		switch {
		case !other.admitted.Load():
		case other.peer.Instance == peer.Instance && other.peer.Incarnation == peer.Incarnation:
			other.cancel()
		default:
			others++
		}
	}
	if others >= n.settings.Limits.MaxConnections {
		n.counters.refused.Add(1)
		return false
	}
	pc.admit(peer)
	return true
}

// removeInbound removes a closed connection; it does nothing for one that this instance dialled.
func (n *Node) removeInbound(pc *peerConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.inbound, pc)
	n.removePending(pc)
}
