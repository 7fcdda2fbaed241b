package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/internal/ticket"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// frameConn is one end of a connection on which a test reads and writes single frames.
type frameConn struct {
	t testing.TB
	net.Conn
}

func (w frameConn) read() (message map[string]json.RawMessage) {
	w.t.Helper()
	var header [4]byte
	if _, err := io.ReadFull(w, header[:]); err != nil {
		return nil
	}
	body := make([]byte, binary.BigEndian.Uint32(header[:]))
	if _, err := io.ReadFull(w, body); err != nil {
		return nil
	}
	if err := json.Unmarshal(body, &message); err != nil {
		w.t.Errorf("frame %q: %v", body, err)
	}
	return message
}

func (w frameConn) write(format string, args ...any) {
	_, _ = w.Write(appendFrame(nil, fmt.Appendf(nil, format, args...)))
}

func (w frameConn) writeJSON(id json.RawMessage, result any) {
	encoded, _ := encodeJSON(result)
	w.write(`{"jsonrpc":"2.0","id":%s,"result":%s}`, id, encoded)
}

// acceptHandshake runs the listener's side of the handshake as instance "b" with the key.
func (w frameConn) acceptHandshake(key string) {
	first := w.read()
	var dialler hello
	_ = json.Unmarshal(first["params"], &dialler)
	own := hello{Instance: "b", Incarnation: ticket.Incarnation{1}, Nonce: make([]byte, nonceBytes)}
	own.Proof = handshakeProof([]byte(key), "listener", dialler, own)
	w.writeJSON(first["id"], own)
	if second := w.read(); second != nil {
		w.writeJSON(second["id"], struct{}{})
	}
}

// listenAndAnswerParts listens as instance "b". On each connection it accepts the handshake, reads one request and
// calls behave with its id; whatever comes after is read and ignored.
func listenAndAnswerParts(t testing.TB, n *network, behave func(w frameConn, id json.RawMessage)) {
	listener := n.listen("b")
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			w := frameConn{t, connection}
			w.acceptHandshake(testKey)
			if request := w.read(); request != nil {
				behave(w, request["id"])
			}
			_, _ = io.Copy(io.Discard, w)
		}
	}()
}

func resultFrame(call json.RawMessage, attempt uint64, shard string) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","method":"parts.result","params":{"call":%s,"results":[`+
		`{"attempt":%d,"shard":%q,"server":"server-1","version":7,"rows":[%d]}]}}`, call, attempt, shard, attempt)
}

// TestFramesFromFaultyPeer guards against a result that is delivered for another part or twice, and against a verdict
// other than "may have run" when the connection breaks or falls silent after the parts were sent.
func TestFramesFromFaultyPeer(t *testing.T) {
	// Each case sends two parts, attempts 1 and 2.
	cases := map[string]struct {
		behave func(w frameConn, id json.RawMessage)
		one    any // the expected verdict.Reason or rows of attempt 1
		two    any // the same for attempt 2
	}{
		"crossed order": {func(w frameConn, id json.RawMessage) {
			w.write("%s", resultFrame(id, 2, "shard-1"))
			w.write("%s", resultFrame(id, 1, "shard-1"))
		}, "[1]", "[2]"},
		"duplicated": {func(w frameConn, id json.RawMessage) {
			for range 3 {
				w.write("%s", resultFrame(id, 1, "shard-1"))
			}
		}, "[1]", verdict.DeadlinePassed},
		"another call": {func(w frameConn, id json.RawMessage) {
			w.write("%s", resultFrame(json.RawMessage("99"), 1, "shard-1"))
			w.write("%s", resultFrame(id, 2, "shard-1"))
		}, verdict.DeadlinePassed, "[2]"},
		"another shard": {func(w frameConn, id json.RawMessage) {
			w.write("%s", resultFrame(id, 1, "shard-2"))
			w.writeJSON(id, json.RawMessage("null"))
		}, verdict.BadAnswer, verdict.BadAnswer},
		"late": {func(w frameConn, id json.RawMessage) {
			time.Sleep(2 * time.Second)
			w.write("%s", resultFrame(id, 1, "shard-1"))
		}, verdict.DeadlinePassed, verdict.DeadlinePassed},
		"cut": {func(w frameConn, id json.RawMessage) {
			w.write("%s", resultFrame(id, 1, "shard-1"))
			_ = w.Close()
		}, "[1]", verdict.ConnectionLost},
		"cut in a frame": {func(w frameConn, id json.RawMessage) {
			frame := appendFrame(nil, []byte(resultFrame(id, 1, "shard-1")))
			_, _ = w.Write(frame[:len(frame)-5])
			_ = w.Close()
		}, verdict.ConnectionLost, verdict.ConnectionLost},
		"frame too large": {func(w frameConn, _ json.RawMessage) {
			_, _ = w.Write([]byte{0xff, 0xff, 0xff, 0xff, '{'})
		}, verdict.ConnectionLost, verdict.ConnectionLost},
		"empty frame": {func(w frameConn, _ json.RawMessage) {
			_, _ = w.Write([]byte{0, 0, 0, 0})
		}, verdict.ConnectionLost, verdict.ConnectionLost},
		"not JSON": {func(w frameConn, _ json.RawMessage) {
			w.write(`{"jsonrpc":"2.0","method":"parts.result","params":{]}`)
		}, verdict.ConnectionLost, verdict.ConnectionLost},
		"error without a verdict": {func(w frameConn, id json.RawMessage) {
			w.write(`{"jsonrpc":"2.0","id":%s,"error":{"code":-32603,"message":"fault"}}`, id)
		}, verdict.ConnectionLost, verdict.ConnectionLost},
		"silent": {func(frameConn, json.RawMessage) {}, verdict.DeadlinePassed, verdict.DeadlinePassed},
		"keys in another order": {func(w frameConn, id json.RawMessage) {
			w.write(`{"method":"parts.result","jsonrpc":"2.0",%s`, strings.SplitN(resultFrame(id, 1, "shard-1"), `"parts.result",`, 2)[1])
		}, "[1]", verdict.DeadlinePassed},
	}
	for label, c := range cases {
		t.Run(label, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				listenAndAnswerParts(t, n, c.behave)
				a := n.startNode(t, "a", testKey, Handlers{})
				results := sendAndCollect(t.Context(), t, a, "b", testParts(2, time.Second))
				for attempt, want := range map[uint64]any{1: c.one, 2: c.two} {
					if rows, ok := want.(string); ok {
						is.Equal(string(results[attempt].Rows), rows)
						continue
					}
					is.True(results[attempt].Err != nil) // otherwise a result that matches no part was delivered
					is.Equal(results[attempt].Err.Reason, want)
					is.Equal(results[attempt].Err.Verdict, verdict.MayHaveRun)
				}
				a.Close()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestResultForEarlierConnectionIsDropped guards against delivery of a result that belongs to a call on an earlier
// connection, which had the same call id.
func TestResultForEarlierConnectionIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		first := make(chan json.RawMessage, 1)
		connections := 0
		listenAndAnswerParts(t, n, func(w frameConn, id json.RawMessage) {
			connections++
			if connections == 1 {
				first <- id
				_ = w.Close()
				return
			}
			w.write("%s", resultFrame(<-first, 1, "shard-1"))
		})
		a := n.startNode(t, "a", testKey, Handlers{})
		defer a.Close()
		requireVerdict(t, sendAndCollect(t.Context(), t, a, "b", testParts(1, time.Second)), 1, verdict.MayHaveRun, verdict.ConnectionLost)
		second := testParts(1, time.Second)
		second[0].Attempt = 2
		results := sendAndCollect(t.Context(), t, a, "b", second)
		is.Equal(results[2].Err.Reason, verdict.DeadlinePassed)
	})
}

// TestInboundHandshakeWithoutKey guards against calls of the peer methods without the key, and against reflection of
// the listener's own proof.
func TestInboundHandshakeWithoutKey(t *testing.T) {
	helloFrame := `{"jsonrpc":"2.0","method":"hello","id":1,"params":{"instance":"a","incarnation":"` +
		ticket.Incarnation{}.String() + `","nonce":"` + strings.Repeat("A", 42) + `A="}}`
	proofFrame := func(encoded string) string {
		return `{"jsonrpc":"2.0","method":"hello","id":2,"params":{"incarnation":"` + ticket.Incarnation{}.String() +
			`","proof":"` + encoded + `"}}`
	}
	partsRunFrame := `{"jsonrpc":"2.0","method":"parts.run","id":3,"params":{"parts":[{"attempt":1,"left-micros":1000000}]}}`
	cases := map[string][]string{
		"method before hello":    {partsRunFrame},
		"heartbeat before hello": {`{"id":1,"jsonrpc":"2.0","method":"heartbeat","params":{}}`, partsRunFrame},
		"method between steps":   {helloFrame, partsRunFrame},
		"wrong proof":            {helloFrame, proofFrame("AAAA"), partsRunFrame},
		"proof of the listener":  {helloFrame, "reflect", partsRunFrame},
		"hello twice":            {helloFrame, helloFrame, partsRunFrame},
		"large frame":            {strings.Repeat(" ", 5000), partsRunFrame},
		"HTTP":                   {"POST /v1/tickets HTTP/1.1\r\n\r\n", partsRunFrame},
	}
	for label, frames := range cases {
		t.Run(label, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n, remote := newNetwork(), &stubRunner{}
				b := n.startNode(t, "b", testKey, Handlers{Parts: remote, Heartbeats: incrementingHeartbeats{}})
				connection, err := n.DialContext(t.Context(), "tcp", "b")
				is.NoErr(err)
				w := frameConn{t, connection}
				reflected := make(chan string, 1)
				go func() {
					for message := w.read(); message != nil; message = w.read() {
						var other hello
						_ = json.Unmarshal(message["result"], &other)
						encoded, _ := json.Marshal(other.Proof)
						select {
						case reflected <- strings.Trim(string(encoded), `"`):
						default:
						}
					}
				}()
				for _, frame := range frames {
					if frame == "reflect" {
						frame = proofFrame(<-reflected)
					}
					w.write("%s", frame)
				}
				time.Sleep(3 * time.Second)
				is.Equal(len(remote.received), 0)
				_, err = w.Write([]byte{0})
				is.True(errors.Is(err, io.ErrClosedPipe)) // the node has closed the connection
				b.Close()
			})
		})
	}
}

// TestOutboundHandshakeWithImpostor guards against sending parts to a dialled instance that does not hold the key or is
// not the expected one.
func TestOutboundHandshakeWithImpostor(t *testing.T) {
	for label, name := range map[string]fleet.InstanceID{"wrong key": "b", "another instance": "c"} {
		t.Run(label, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				key := testKey
				if name == "b" {
					key = "another key, also 32 bytes long.."
				}
				listener := n.listen(string(name))
				go func() {
					connection, _ := listener.Accept()
					frameConn{t, connection}.acceptHandshake(key)
				}()
				a := n.startNode(t, "a", testKey, Handlers{})
				requireVerdict(t, sendAndCollect(t.Context(), t, a, name, testParts(2, 3*time.Second)), 2,
					verdict.NotRun, verdict.PeerUnreachable)
				a.Close()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// freezableConn drops all bytes written to it once frozen is closed, so that the peer receives and answers nothing.
type freezableConn struct {
	net.Conn
	frozen chan struct{}
}

func (f *freezableConn) Write(b []byte) (int, error) {
	select {
	case <-f.frozen:
		return len(b), nil
	default:
		return f.Conn.Write(b)
	}
}

// TestSilentConnectionIsReplaced guards against further use of a connection that accepts bytes and never answers,
// although a new connection would work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		frozen := make(chan struct{})
		n.wrap = func(connection net.Conn) net.Conn { return &freezableConn{connection, frozen} }
		a := n.startNode(t, "a", testKey, Handlers{})
		b := n.startNode(t, "b", testKey, Handlers{Parts: &stubRunner{}, Heartbeats: incrementingHeartbeats{}})
		defer a.Close()
		defer b.Close()
		heartbeat := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 240*time.Millisecond)
			defer cancel()
			_, err := a.Heartbeat(ctx, "b", Heartbeat{})
			return err
		}
		is.NoErr(heartbeat())
		close(frozen)
		n.wrap = nil
		start := time.Now()
		failures := 0
		for heartbeat() != nil && failures < 20 {
			failures++
		}
		// The heartbeats have timeouts of 240 ms: with 250 ms one would begin at the moment at which the connection is
		// closed.
		is.Equal(failures, 5)
		is.True(time.Since(start) <= 1001*time.Millisecond)
		is.Equal(n.dials, 2)
		is.Equal(len(sendAndCollect(t.Context(), t, a, "b", testParts(1, time.Second))), 1)
	})
}

// TestPartsAreForwardedOnce guards against forwarding loops: parts that were forwarded once must not be forwarded
// again.
func TestPartsAreForwardedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		nodes := make(map[string]*Node)
		hops := 0
		forward := func(to string) PartsRunner {
			return runnerFunc(func(ctx context.Context, parts []query.Part, deliver func(query.Result)) {
				hops++
				nodes["b"].Send(ctx, instanceID(to), parts, deliver)
			})
		}
		nodes["a"] = n.startNode(t, "a", testKey, Handlers{Parts: forward("b")})
		nodes["b"] = n.startNode(t, "b", testKey, Handlers{Parts: forward("a")})
		defer nodes["a"].Close()
		defer nodes["b"].Close()
		results := sendAndCollect(t.Context(), t, nodes["a"], "b", testParts(3, time.Second))
		requireVerdict(t, results, 3, verdict.NotRun, verdict.NotOwner)
		is.Equal(hops, 2)
	})
}

type runnerFunc func(ctx context.Context, parts []query.Part, deliver func(query.Result))

func (r runnerFunc) Run(ctx context.Context, _ fleet.InstanceID, parts []query.Part, deliver func(query.Result)) {
	r(ctx, parts, deliver)
}

func (runnerFunc) Cancel(fleet.InstanceID, uint64) {}

// FuzzFrames guards against a panic or unbounded memory use on any bytes, and against frames that parseInboundMessage
// reads differently from encoding/json.
func FuzzFrames(f *testing.F) {
	f.Add([]byte(resultFrame(json.RawMessage("7"), 1, "shard-1")))
	f.Add([]byte(`{"jsonrpc":"2.0","method":"parts.run","id":7,"params":{"parts":[{"attempt":1}]}}`))
	f.Add([]byte(`{"jsonrpc":"2.0","method":"heartbeat"}`))
	f.Add([]byte(`{"jsonrpc":"2.0","method":"a","params":{},"method":"b"}`))
	f.Fuzz(func(t *testing.T, frame []byte) {
		message, ok := parseInboundMessage(frame)
		if !ok || len(message.params) > 0 && !json.Valid(message.params) {
			return
		}
		var general struct {
			Method string          `json:"method"`
			ID     *uint64         `json:"id"`
			Params json.RawMessage `json:"params"`
		}
		if err := json.Unmarshal(frame, &general); err != nil {
			t.Fatalf("%q is accepted but is not JSON: %v", frame, err)
		}
		if general.Method != message.method || (general.ID == nil) != message.isNotification ||
			!bytes.Equal(bytes.TrimSpace(general.Params), bytes.TrimSpace(message.params)) {
			t.Fatalf("%q is parsed as %+v, by encoding/json as %+v", frame, message, general)
		}
	})
}
