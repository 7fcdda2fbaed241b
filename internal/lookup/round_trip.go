package lookup

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usualRoundTrip stands for the round trip to a caller of whose network nothing is known.
	usualRoundTrip = 5 * time.Millisecond
	// leastRoundTrip is the least wait before a first request that shows a round trip. Callers round the time that is left to
	// milliseconds, and some open a connection before they need it.
	leastRoundTrip = 2 * time.Millisecond
	// answerMargin is kept for the merging and the writing of an answer, and for a round trip that is longer than the one learnt.
	answerMargin = 4 * time.Millisecond
	// shorterGain and longerGain are the weights of one connection in the round trip of its network, as divisors. A wait that is
	// longer than usual has other reasons more often than a shorter one.
	shorterGain, longerGain = 4, 16
	// mostLonger bounds the round trip of a connection, in times of that of its network.
	mostLonger = 2
	// mostNetworks bounds the networks that are known; beyond it they are learnt anew.
	mostNetworks = 4096
	// networkBits4 and networkBits6 are the lengths of the prefixes that stand for one network of callers: what is commonly
	// routed as one.
	networkBits4, networkBits6 = 24, 48
)

// Connection is what is known of one connection of a caller. It is safe for concurrent use; nil knows nothing.
type Connection struct {
	used      atomic.Bool
	roundTrip atomic.Int64
	network   *network
}

// network is what is known of the callers of one network.
type network struct {
	roundTrip atomic.Int64
}

// networks are the networks of the callers. It is safe for concurrent use.
type networks struct {
	mutex sync.Mutex
	known map[netip.Prefix]*network
}

func (n *networks) of(remote net.Addr) *network {
	address, ok := remote.(*net.TCPAddr)
	if !ok {
		return &network{}
	}
	ip := address.AddrPort().Addr().Unmap()
	bits := networkBits4
	if ip.Is6() {
		bits = networkBits6
	}
	prefix, err := ip.WithZone("").Prefix(bits)
	if err != nil {
		return &network{} // an address without bytes
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if found := n.known[prefix]; found != nil {
		return found
	}
	if n.known == nil || len(n.known) >= mostNetworks {
		n.known = make(map[netip.Prefix]*network)
	}
	fresh := &network{}
	n.known[prefix] = fresh
	return fresh
}

// NewConnection returns what is known of a new connection from the address.
func (e *Engine) NewConnection(remote net.Addr) *Connection {
	return &Connection{network: e.networks.of(remote)}
}

// learn takes what the caller has waited before it sent a request. Before the first one it has waited for the connection, which
// takes a round trip. A caller whose first request here is a repeated one has waited for longer. A wait that may have been longer
// is not taken for a short way: answers that leave too late cost more than a few parts.
func (c *Connection) learn(waited time.Duration, sure bool) {
	if c == nil || c.used.Swap(true) || waited < leastRoundTrip || !sure && waited < usualRoundTrip {
		return
	}
	if usual := c.network.observe(waited); waited <= mostLonger*usual {
		c.roundTrip.Store(int64(waited))
	}
}

// observe takes the round trip of one connection and returns the usual one.
func (n *network) observe(roundTrip time.Duration) time.Duration {
	former := time.Duration(n.roundTrip.Load())
	usual := roundTrip
	switch {
	case former == 0:
	case roundTrip < former:
		usual = former + (roundTrip-former)/shorterGain
	default:
		usual = former + (roundTrip-former)/longerGain
	}
	n.roundTrip.Store(int64(usual))
	return usual
}

// reserve returns the time kept for the way of a request and that of its answer, which count in the caller's objective. It answers
// callers near and far: a constant long enough for those in another zone or region takes from the parts of all others.
func (c *Connection) reserve() time.Duration {
	if c != nil {
		for _, learnt := range []int64{c.roundTrip.Load(), c.network.roundTrip.Load()} {
			if learnt > 0 {
				return time.Duration(learnt) + answerMargin
			}
		}
	}
	return usualRoundTrip + answerMargin
}
