package peer

import "slices"

// Connections before the handshake have a bound of their own, so that unauthenticated clients can neither use up the places of
// peers nor keep peers out: at the bound the oldest of them gives way. A peer's handshake takes a few milliseconds,
// so they would have to open thousands of connections a second to push it out.

// accept notes a new inbound connection and returns the one that gives way, if any. The caller holds the lock.
func (n *Node) accept(l *link) (evicted *link) {
	n.inbound[l] = true
	n.pending = append(n.pending, l)
	if len(n.pending) > n.settings.Limits.Handshakes {
		evicted = n.pending[0]
		n.pending = slices.Delete(n.pending, 0, 1)
	}
	return evicted
}

// endPending ends the wait of a connection for its handshake; false if it did not wait any more. The caller holds the
// lock.
func (n *Node) endPending(l *link) bool {
	at := slices.Index(n.pending, l)
	if at < 0 {
		return false
	}
	n.pending = slices.Delete(n.pending, at, at+1)
	return true
}

// admitInbound admits a connection after its handshake; false if it gave way meanwhile or all places are taken. It
// closes older connections of the same process, which has given them up. Two processes with the same name keep theirs,
// since otherwise each would close the other's for ever.
func (n *Node) admitInbound(l *link, peer hello) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.endPending(l) {
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
	if others >= n.settings.Limits.Connections {
		n.counters.refused.Add(1)
		return false
	}
	l.admit(peer)
	return true
}

func (n *Node) forget(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.inbound, l)
	n.endPending(l)
}
