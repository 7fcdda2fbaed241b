package relay

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo starts a server that sends every line back.
func echo(t *testing.T) string {
	t.Helper()
	listening, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listening.Close() })
	go func() {
		for {
			connection, err := listening.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(connection, connection)
				_ = connection.Close()
			}()
		}
	}()
	return listening.Addr().String()
}

// says sends a line and tells whether it comes back in time.
func says(connection net.Conn, patience time.Duration) bool {
	if _, err := io.WriteString(connection, "line\n"); err != nil {
		return false
	}
	return hears(connection, patience)
}

func hears(connection net.Conn, patience time.Duration) bool {
	_ = connection.SetReadDeadline(time.Now().Add(patience))
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

// TestLinkStates guards against a relay that does not do what a test asks of it: a cut that delivers, a heal that
// loses bytes, or a silent connection that speaks again.
func TestLinkStates(t *testing.T) {
	const short, long = 100 * time.Millisecond, 5 * time.Second
	cases := map[string]struct {
		out, back State
		// late tells that the bytes come after the link is open again.
		late bool
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
			l, err := Listen(echo(t), time.Millisecond)
			check.NoErr(err)
			t.Cleanup(l.Close)
			connection := dial(t, l)
			check.True(says(connection, long))
			l.Set(test.out, test.back)
			check.True(!says(connection, short))
			fresh := dial(t, l) // accepted, but not connected
			check.True(!says(fresh, short))
			l.Set(Open, Open)
			check.Equal(hears(connection, map[bool]time.Duration{true: long, false: short}[test.late]), test.late)
			check.True(says(dial(t, l), long))
		})
	}
}
