package relay

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEchoServer starts a server that sends back all bytes, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(connection, connection)
				_ = connection.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// echoes sends a line and reports whether it comes back within the timeout.
func echoes(connection net.Conn, timeout time.Duration) bool {
	if _, err := io.WriteString(connection, "line\n"); err != nil {
		return false
	}
	return receivesLine(connection, timeout)
}

// receivesLine reports whether the line of echoes is received within the timeout.
func receivesLine(connection net.Conn, timeout time.Duration) bool {
	_ = connection.SetReadDeadline(time.Now().Add(timeout))
	line, err := bufio.NewReaderSize(connection, 16).ReadString('\n')
	return err == nil && line == "line\n"
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", l.Address())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// TestLinkStates guards against a relay that does not simulate the requested fault: a held or silent direction that
// delivers bytes, a held direction that loses bytes, or a connection that delivers again after it has lost bytes.
func TestLinkStates(t *testing.T) {
	const shortTimeout, longTimeout = 100 * time.Millisecond, 5 * time.Second
	cases := map[string]struct {
		forward, backward State
		// deliveredLater reports whether the bytes are delivered once the link is open again.
		deliveredLater bool
	}{
		"held":        {Held, Held, true},
		"held out":    {Held, Open, true},
		"held back":   {Open, Held, true},
		"silent":      {Silent, Silent, false},
		"silent out":  {Silent, Open, false},
		"silent back": {Open, Silent, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			l, err := Listen(startEchoServer(t), time.Millisecond)
			check.NoErr(err)
			t.Cleanup(l.Close)
			connection := dial(t, l)
			check.True(echoes(connection, longTimeout))
			l.SetStates(test.forward, test.backward)
			check.True(!echoes(connection, shortTimeout))
			fresh := dial(t, l) // accepted, but not connected to the target
			check.True(!echoes(fresh, shortTimeout))
			l.SetStates(Open, Open)
			check.Equal(receivesLine(connection, map[bool]time.Duration{true: longTimeout, false: shortTimeout}[test.deliveredLater]), test.deliveredLater)
			check.True(echoes(dial(t, l), longTimeout))
		})
	}
}
