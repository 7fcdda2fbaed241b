package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"
)

// pipes is a listener whose connections stay in this process, so that their time is the paused clock.
type pipes struct {
	connections chan net.Conn
	closed      chan struct{}
}

func newPipes() *pipes {
	return &pipes{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.connections:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.closed)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) connect() net.Conn {
	near, far := net.Pipe()
	p.connections <- far
	return near
}

// newEcho returns a server whose method echo answers with its parameters, wait after a second, and fail panics.
func newEcho() *Server {
	return NewServer(map[string]Handler{
		"echo": func(_ context.Context, params json.RawMessage) (any, error) { return params, nil },
		"wait": func(ctx context.Context, _ json.RawMessage) (any, error) {
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
			return "waited", nil
		},
		"fail": func(context.Context, json.RawMessage) (any, error) {
			var table map[string]int
			table["x"] = 1 // as a handler with a mistake would
			return nil, nil
		},
	})
}

// serve runs the server on the paused clock.
func serve(t *testing.T, test func(t *testing.T, p *pipes)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newPipes()
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- newEcho().Serve(ctx, p) }()
		defer func() {
			_ = p.Close()
			stop()
			is.New(t).NoErr(<-ended)
			time.Sleep(2 * idleTimeout) // connections that the test left open end
		}()
		test(t, p)
	})
}

// closesWithin tells whether the server closes the connection in time, whatever it sends before.
func closesWithin(t *testing.T, conn net.Conn, limit time.Duration) bool {
	t.Helper()
	if conn.SetReadDeadline(time.Now().Add(limit)) != nil {
		return true // closed already
	}
	_, err := io.Copy(io.Discard, conn)
	return err == nil
}

// TestHostilePeers guards against a connection that nobody authenticated and that takes memory, a goroutine or a descriptor
// for ever, or ends the process. Each case is what the other side writes, and the time after which it is rid of it.
func TestHostilePeers(t *testing.T) {
	announced := binary.AppendUvarint(nil, 1<<40)
	small := binary.AppendUvarint(nil, 100)
	cases := map[string]struct {
		write  func(conn net.Conn)
		within time.Duration
	}{
		"frame of a TiB": {func(conn net.Conn) {
			_, _ = conn.Write(announced)
			for chunk := bytes.Repeat([]byte{'"'}, 32<<10); ; { // until it is closed
				if _, err := conn.Write(chunk); err != nil {
					return
				}
			}
		}, time.Second},
		"frame that does not end": {func(conn net.Conn) { _, _ = conn.Write(append(small, `{"jsonrpc"`...)) }, frameTimeout + time.Second},
		"slow drip": {func(conn net.Conn) {
			for _, b := range append(small, bytes.Repeat([]byte{' '}, 100)...) {
				if _, err := conn.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		}, frameTimeout + 2*time.Second},
		"nothing":               {func(net.Conn) {}, idleTimeout + time.Second},
		"length that overflows": {func(conn net.Conn) { _, _ = conn.Write(bytes.Repeat([]byte{0xff}, 11)) }, time.Second},
		"not JSON":              {func(conn net.Conn) { _, _ = conn.Write(append([]byte{4}, "{]}x"...)) }, time.Second},
		"not a message":         {func(conn net.Conn) { _, _ = conn.Write(append([]byte{4}, "null"...)) }, idleTimeout + time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			serve(t, func(t *testing.T, p *pipes) {
				is := is.New(t)
				conn := p.connect()
				go test.write(conn)
				is.True(closesWithin(t, conn, test.within))
				is.Equal(call1(t, p.connect(), "echo"), `"x"`) // others are served on
			})
		})
	}
}

// call1 makes one call on a raw connection and returns its result, or the error's message.
func call1(t *testing.T, raw net.Conn, method string) string {
	t.Helper()
	conn := jsonrpc2.NewConn(context.Background(), newStream(raw, longestAnswer, 0), refuse{})
	defer func() { _ = conn.Close() }()
	var result json.RawMessage
	if err := conn.Call(t.Context(), method, "x", &result); err != nil {
		return err.Error()
	}
	return string(result)
}

// TestPanicOfAMethod guards against one unexpected error that ends the process: the caller gets an error, others their answers.
func TestPanicOfAMethod(t *testing.T) {
	serve(t, func(t *testing.T, p *pipes) {
		is := is.New(t)
		is.Equal(call1(t, p.connect(), "fail"), "jsonrpc2: code -32603 message: internal error")
		is.Equal(call1(t, p.connect(), "echo"), `"x"`)
	})
}

// TestBoundsOfPeers guards against connections and calls that grow without end.
func TestBoundsOfPeers(t *testing.T) {
	serve(t, func(t *testing.T, p *pipes) {
		is := is.New(t)
		var open []net.Conn
		for range mostConnections {
			open = append(open, p.connect())
		}
		is.True(closesWithin(t, p.connect(), time.Second)) // one too many
		_ = open[0].Close()
		synctest.Wait()
		raw := p.connect()
		conn := jsonrpc2.NewConn(context.Background(), newStream(raw, longestAnswer, 0), refuse{})
		failures := make(chan error, mostCalls+1)
		for range mostCalls + 1 {
			go func() { failures <- conn.Call(t.Context(), "wait", "x", nil) }()
		}
		refused := 0
		for range mostCalls + 1 {
			if <-failures != nil {
				refused++
			}
		}
		is.Equal(refused, 1)
		is.NoErr(conn.Close())
	})
}

// TestMemoryOfAFrame guards against memory that is reserved for what a peer only announces.
func TestMemoryOfAFrame(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	go func() {
		_, _ = near.Write(binary.AppendUvarint(nil, longestAnswer))
		_, _ = near.Write([]byte(`"only a few bytes`))
		_ = near.Close()
	}()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var message any
	err := newStream(far, longestAnswer, 0).ReadObject(&message)
	runtime.ReadMemStats(&after)
	is.Equal(err, io.ErrUnexpectedEOF)
	is.True(after.TotalAlloc-before.TotalAlloc < 1<<20)
}

// TestClientReconnects guards against a client that goes on with a connection that its peer has closed.
func TestClientReconnects(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- raw
			jsonrpc2.NewConn(context.Background(), newStream(raw, longestCall, idleTimeout), newEcho().newHandler())
		}
	}()
	client := NewClient()
	for number := range 3 {
		var result string
		is.NoErr(client.Call(t.Context(), listener.Addr().String(), "echo", fmt.Sprint(number), &result))
		is.Equal(result, fmt.Sprint(number))
		conn := client.known(listener.Addr().String())
		_ = (<-accepted).Close()
		<-conn.DisconnectNotify()
	}
	is.Equal(client.known(listener.Addr().String()), nil)
}

// TestClientConnectsOnce guards against calls that open a connection at the same moment and close each other's.
func TestClientConnectsOnce(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- newEcho().Serve(t.Context(), listener) }()
	for range 50 {
		client := NewClient()
		failures := make(chan error, mostCalls)
		for range mostCalls {
			go func() { failures <- client.Call(t.Context(), listener.Addr().String(), "echo", "x", nil) }()
		}
		for range mostCalls {
			is.NoErr(<-failures)
		}
	}
	is.NoErr(listener.Close())
	is.NoErr(<-ended)
}
