package lookup

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// TestObjectiveIncludesRoundTrip replays callers of several networks with one-way delays of 1, 3, 5 and 20 ms, on new
// connections and kept ones, while one shard is silent. It guards against answers that reach distant callers after the
// objective, and against time that is taken from the parts of near callers. A connection whose first request repeats an
// earlier one must use the round trip of its network.
func TestObjectiveIncludesRoundTrip(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			behaviour := good(work)
			behaviour.silent = id == "s3-a" || id == "s3-b"
			return behaviour
		})
		// send sends one request and returns the time from the caller's start to its receipt of the answer. waited is
		// the time that the caller waits before it sends, usedBefore the time that an earlier attempt has used up.
		send := func(connection *CallerConnection, oneWayDelay, waited, usedBefore time.Duration) time.Duration {
			began := time.Now()
			time.Sleep(waited + oneWayDelay)
			remaining := (timeout - usedBefore - waited).Truncate(time.Millisecond)
			result := s.engine.Run(t.Context(), &Request{Route: s.fanoutRoute, ArrivedAt: time.Now(), Connection: connection, RemainingTime: remaining, Deadline: began.Add(timeout)})
			is.True(result.Failure == nil)
			time.Sleep(oneWayDelay)
			return time.Since(began)
		}
		near := s.engine.NewCallerConnection(&net.TCPAddr{IP: net.IPv4(10, 9, 9, 9)})
		send(near, time.Millisecond, 0, 0) // lets the engine learn the timeout that callers use
		for i, oneWayDelay := range []time.Duration{1 * time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
			address := func(host byte) net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, byte(i), host), Port: 4000} }
			first := s.engine.NewCallerConnection(address(1))
			repeated := s.engine.NewCallerConnection(address(2))
			for name, took := range map[string]time.Duration{
				"new":              send(first, oneWayDelay, 2*oneWayDelay, 0),
				"kept":             send(first, oneWayDelay, 0, 0),
				"kept, repeated":   send(repeated, oneWayDelay, 2*oneWayDelay, timeout/2) - 2*oneWayDelay, // its first request has missed the objective already
				"after a repeated": send(repeated, oneWayDelay, 0, 0),
			} {
				if took > objective || took < objective-2*answerMargin {
					t.Errorf("caller at %v, %s: %v", oneWayDelay, name, took)
				}
			}
		}
	})
}

// TestNetworks guards against an unbounded number of networks, and against addresses that are assigned to the wrong
// network.
func TestNetworks(t *testing.T) {
	is := is.New(t)
	var n callerNetworks
	networkOf := func(text string) *callerNetwork { return n.get(&net.TCPAddr{IP: net.ParseIP(text)}) }
	is.True(networkOf("10.1.2.3") == networkOf("10.1.2.4"))
	is.True(networkOf("10.1.2.3") == networkOf("::ffff:10.1.2.9"))
	is.True(networkOf("10.1.2.3") != networkOf("10.1.3.3"))
	is.True(networkOf("2001:db8:1::1") == networkOf("2001:db8:1:2::9"))
	is.True(networkOf("2001:db8:1::1") != networkOf("2001:db8:2::1"))
	is.True(n.get(&net.UnixAddr{}) != nil && n.get(&net.TCPAddr{}) != nil)
	for i := range 2 * maxNetworks {
		networkOf(fmt.Sprintf("10.%d.%d.1", i>>8, i&255))
	}
	is.True(len(n.byPrefix) <= maxNetworks)
}

// TestNetworkRoundTrip guards against a round trip that differs much from the one that most connections of a network
// show, because some of them began with a repeated request or while the callers' timeout was not known.
func TestNetworkRoundTrip(t *testing.T) {
	type wait struct {
		waited   int // ms
		reliable bool
	}
	defaultMillis := int(defaultRoundTrip / time.Millisecond)
	for name, test := range map[string]struct {
		before []wait
		last   wait
		// connection and network are the resulting round trips in ms: of the last connection, and of one without a
		// measured round trip.
		connection, network int
	}{
		"nothing":                          {nil, wait{0, false}, defaultMillis, defaultMillis},
		"near":                             {nil, wait{2, true}, 2, 2},
		"near, but not certain":            {nil, wait{2, false}, defaultMillis, defaultMillis},
		"far, not certain":                 {nil, wait{9, false}, 9, 9},
		"opened before it was needed":      {[]wait{{8, true}}, wait{0, true}, 8, 8},
		"repeated":                         {[]wait{{8, true}}, wait{24, true}, 9, 9},
		"repeated again and again":         {[]wait{{8, true}, {24, true}, {24, true}, {24, true}, {8, true}, {8, true}}, wait{24, true}, 10, 10},
		"first one repeated, then several": {[]wait{{32, true}, {8, true}, {8, true}, {8, true}, {8, true}, {8, true}, {8, true}, {8, true}}, wait{0, true}, 11, 11},
		"far away":                         {[]wait{{40, true}}, wait{41, true}, 41, 40},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := &callerNetwork{}
			for _, s := range test.before {
				(&CallerConnection{network: n}).recordWait(time.Duration(s.waited)*time.Millisecond, s.reliable)
			}
			last := &CallerConnection{network: n}
			last.recordWait(time.Duration(test.last.waited)*time.Millisecond, test.last.reliable)
			is.Equal((last.transferReserve() - answerMargin).Truncate(time.Millisecond), time.Duration(test.connection)*time.Millisecond)
			is.Equal(((&CallerConnection{network: n}).transferReserve() - answerMargin).Truncate(time.Millisecond), time.Duration(test.network)*time.Millisecond)
		})
	}
}
