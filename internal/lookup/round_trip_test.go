package lookup

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// TestCallersNearAndFar replays callers of several networks at 1, 3, 5 and 20 ms, on new connections and kept ones, while one shard
// is silent. It guards against answers that reach the far ones after the objective, and against time that is taken from the near
// ones. A connection whose first request is a repeated one goes by its network.
func TestCallersNearAndFar(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
			how := good(work)
			how.silent = id == "s3-a" || id == "s3-b"
			return how
		})
		// ask sends one request and returns when its answer is back, after the caller began, without what it had waited before.
		ask := func(connection *Connection, way, waited, former time.Duration) time.Duration {
			began := time.Now()
			time.Sleep(waited + way)
			left := (timeout - former - waited).Truncate(time.Millisecond)
			result := s.engine.Run(t.Context(), &Request{Route: s.fan, Arrived: time.Now(), Connection: connection, Left: left, Deadline: began.Add(timeout)})
			is.True(result.Failure == nil)
			time.Sleep(way)
			return time.Since(began)
		}
		near := s.engine.NewConnection(&net.TCPAddr{IP: net.IPv4(10, 9, 9, 9)})
		ask(near, time.Millisecond, 0, 0) // shows how much time callers give
		for i, way := range []time.Duration{1 * time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
			address := func(host byte) net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, byte(i), host), Port: 4000} }
			first := s.engine.NewConnection(address(1))
			repeated := s.engine.NewConnection(address(2))
			for name, took := range map[string]time.Duration{
				"new":              ask(first, way, 2*way, 0),
				"kept":             ask(first, way, 0, 0),
				"kept, repeated":   ask(repeated, way, 2*way, timeout/2) - 2*way, // its first request has missed the objective already
				"after a repeated": ask(repeated, way, 0, 0),
			} {
				if took > objective || took < objective-2*answerMargin {
					t.Errorf("caller at %v, %s: %v", way, name, took)
				}
			}
		}
	})
}

// TestNetworks guards against networks without end, and against addresses that are taken for one network.
func TestNetworks(t *testing.T) {
	is := is.New(t)
	var n networks
	of := func(text string) *network { return n.of(&net.TCPAddr{IP: net.ParseIP(text)}) }
	is.True(of("10.1.2.3") == of("10.1.2.4"))
	is.True(of("10.1.2.3") == of("::ffff:10.1.2.9"))
	is.True(of("10.1.2.3") != of("10.1.3.3"))
	is.True(of("2001:db8:1::1") == of("2001:db8:1:2::9"))
	is.True(of("2001:db8:1::1") != of("2001:db8:2::1"))
	is.True(n.of(&net.UnixAddr{}) != nil && n.of(&net.TCPAddr{}) != nil)
	for i := range 2 * mostNetworks {
		of(fmt.Sprintf("10.%d.%d.1", i>>8, i&255))
	}
	is.True(len(n.known) <= mostNetworks)
}

// TestRoundTripOfANetwork guards against a round trip that is far from the one that most connections of a network show: because
// some of them began with a repeated request, or while the time that callers give was not known.
func TestRoundTripOfANetwork(t *testing.T) {
	type seen struct {
		waited int // ms
		sure   bool
	}
	usual := int(usualRoundTrip / time.Millisecond)
	for name, test := range map[string]struct {
		before []seen
		last   seen
		// connection and network are the round trips that are counted with then, in ms: of the last connection, and of one that
		// has shown none.
		connection, network int
	}{
		"nothing":                          {nil, seen{0, false}, usual, usual},
		"near":                             {nil, seen{2, true}, 2, 2},
		"near, but not sure":               {nil, seen{2, false}, usual, usual},
		"far, not sure":                    {nil, seen{9, false}, 9, 9},
		"opened before it was needed":      {[]seen{{8, true}}, seen{0, true}, 8, 8},
		"repeated":                         {[]seen{{8, true}}, seen{24, true}, 9, 9},
		"repeated again and again":         {[]seen{{8, true}, {24, true}, {24, true}, {24, true}, {8, true}, {8, true}}, seen{24, true}, 10, 10},
		"first one repeated, then several": {[]seen{{32, true}, {8, true}, {8, true}, {8, true}, {8, true}, {8, true}, {8, true}, {8, true}}, seen{0, true}, 11, 11},
		"far away":                         {[]seen{{40, true}}, seen{41, true}, 41, 40},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := &network{}
			for _, s := range test.before {
				(&Connection{network: n}).learn(time.Duration(s.waited)*time.Millisecond, s.sure)
			}
			last := &Connection{network: n}
			last.learn(time.Duration(test.last.waited)*time.Millisecond, test.last.sure)
			is.Equal((last.reserve() - answerMargin).Truncate(time.Millisecond), time.Duration(test.connection)*time.Millisecond)
			is.Equal(((&Connection{network: n}).reserve() - answerMargin).Truncate(time.Millisecond), time.Duration(test.network)*time.Millisecond)
		})
	}
}
