package lookup

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultRoundTrip is assumed for a caller whose network has no measured round trip.
	defaultRoundTrip = 5 * time.Millisecond
	// minRoundTrip is the shortest wait before a first request that counts as a measured round trip. Callers round the
	// remaining time to milliseconds, and some open a connection before they need it.
	minRoundTrip = 2 * time.Millisecond
	// answerMargin is reserved for merging and writing an answer, and for a round trip that is longer than the measured
	// one.
	answerMargin = 4 * time.Millisecond
	// shorterDivisor and longerDivisor are the reciprocals of the weight of one connection in the round trip of its
	// network. A wait that is longer than the average is less likely to be caused by the network than a shorter one.
	shorterDivisor, longerDivisor = 4, 16
	// maxRoundTripFactor bounds the round trip of a connection to a multiple of that of its network.
	maxRoundTripFactor = 2
	// maxNetworks bounds the number of known networks; when it is reached, all are discarded and measured anew.
	maxNetworks = 4096
	// ipv4PrefixBits and ipv6PrefixBits are the lengths of the address prefixes that identify one network of callers.
	// They are the longest prefixes that are commonly routed.
	ipv4PrefixBits, ipv6PrefixBits = 24, 48
)

// CallerConnection holds what is known about one connection of a caller. It is safe for concurrent use. A nil pointer
// stands for an unknown connection.
type CallerConnection struct {
	firstRequestSeen atomic.Bool
	roundTrip        atomic.Int64
	network          *callerNetwork
}

// callerNetwork holds what is known about the callers of one network.
type callerNetwork struct {
	roundTrip atomic.Int64
}

// callerNetworks holds the known networks of callers. It is safe for concurrent use.
type callerNetworks struct {
	mutex    sync.Mutex
	byPrefix map[netip.Prefix]*callerNetwork
}

func (n *callerNetworks) get(remote net.Addr) *callerNetwork {
	address, ok := remote.(*net.TCPAddr)
	if !ok {
		return &callerNetwork{}
	}
	ip := address.AddrPort().Addr().Unmap()
	bits := ipv4PrefixBits
	if ip.Is6() {
		bits = ipv6PrefixBits
	}
	prefix, err := ip.WithZone("").Prefix(bits)
	if err != nil {
		return &callerNetwork{} // an empty address
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if found := n.byPrefix[prefix]; found != nil {
		return found
	}
	if n.byPrefix == nil || len(n.byPrefix) >= maxNetworks {
		n.byPrefix = make(map[netip.Prefix]*callerNetwork)
	}
	fresh := &callerNetwork{}
	n.byPrefix[prefix] = fresh
	return fresh
}

// NewCallerConnection returns the state of a new connection from the remote address.
func (e *Engine) NewCallerConnection(remote net.Addr) *CallerConnection {
	return &CallerConnection{network: e.networks.get(remote)}
}

// recordWait records how long the caller waited before it sent a request. Only the wait before the first request on the
// connection is used: it includes opening the connection, which takes a round trip. It is longer if that request
// repeats an earlier one. If reliable is false, the wait may have been longer than given, and a wait below
// defaultRoundTrip is ignored: answers that are sent too late cost more than a few missing parts.
func (c *CallerConnection) recordWait(waited time.Duration, reliable bool) {
	if c == nil || c.firstRequestSeen.Swap(true) || waited < minRoundTrip || !reliable && waited < defaultRoundTrip {
		return
	}
	if average := c.network.observe(waited); waited <= maxRoundTripFactor*average {
		c.roundTrip.Store(int64(waited))
	}
}

// observe records the round trip of one connection and returns the updated average of the network.
func (n *callerNetwork) observe(roundTrip time.Duration) time.Duration {
	previous := time.Duration(n.roundTrip.Load())
	average := roundTrip
	switch {
	case previous == 0:
	case roundTrip < previous:
		average = previous + (roundTrip-previous)/shorterDivisor
	default:
		average = previous + (roundTrip-previous)/longerDivisor
	}
	n.roundTrip.Store(int64(average))
	return average
}

// transferReserve returns the time to reserve for transferring a request and its answer, which counts towards the
// caller's latency objective. It is measured rather than constant, because a constant that suits callers in another
// zone or region would shorten the time for parts of all other requests.
func (c *CallerConnection) transferReserve() time.Duration {
	if c != nil {
		for _, measured := range []int64{c.roundTrip.Load(), c.network.roundTrip.Load()} {
			if measured > 0 {
				return time.Duration(measured) + answerMargin
			}
		}
	}
	return defaultRoundTrip + answerMargin
}
