package httpapi

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startLimited serves an answer of two bytes; the handler may wait.
func startLimited(t *testing.T, limits Limits, handler http.HandlerFunc) (*LimitedServer, string, chan error) {
	t.Helper()
	server := NewLimitedServer(handler, limits)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return server, listener.Addr().String(), ended
}

func answering(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// exchangeOver sends a request over the connection and returns its answer.
func exchangeOver(t *testing.T, connection net.Conn, header string) (*http.Response, error) {
	t.Helper()
	is := is.New(t)
	is.NoErr(connection.SetDeadline(time.Now().Add(5 * time.Second)))
	if _, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n"); err != nil {
		return nil, err
	}
	reply, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, reply.Body)
	}
	return reply, err
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// TestLimits guards against a caller that holds a connection without a request, or fills the memory with a header.
func TestLimits(t *testing.T) {
	limits := Limits{HeaderBytes: 1024, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	for name, send := range map[string]func(connection net.Conn) bool{
		"idle": func(connection net.Conn) bool {
			reply, err := exchangeOver(t, connection, "")
			return err == nil && reply.StatusCode == 200 && !reply.Close
		},
		"half a header": func(connection net.Conn) bool {
			_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost:")
			return err == nil
		},
		"long header": func(connection net.Conn) bool {
			reply, err := exchangeOver(t, connection, "X: "+strings.Repeat("x", 1024+headerSlack)+"\r\n")
			return err == nil && reply.StatusCode == http.StatusRequestHeaderFieldsTooLarge
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, address, _ := startLimited(t, limits, answering)
			connection := dial(t, address)
			is.True(send(connection))
			is.NoErr(connection.SetReadDeadline(time.Now().Add(2 * time.Second)))
			_, err := io.Copy(io.Discard, connection)
			var timeout net.Error
			is.True(!errors.As(err, &timeout) || !timeout.Timeout()) // the server has closed it
		})
	}
}

// TestLimitsChange guards against a change that cuts a request or a connection in use, and against limits that stay as
// they were for new connections.
func TestLimitsChange(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}, 1), make(chan struct{})
	server, address, _ := startLimited(t, Limits{IdleTimeout: time.Minute}, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Slow") != "" {
			started <- struct{}{}
			<-release
		}
		answering(w, r)
	})
	kept := func() int {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		return len(server.former)
	}
	server.SetLimits(Limits{IdleTimeout: 2 * time.Minute})
	is.Equal(kept(), 0) // no connection has the former limits
	idle, slow := dial(t, address), dial(t, address)
	reply, err := exchangeOver(t, idle, "")
	is.NoErr(err)
	is.True(!reply.Close)
	got := make(chan error, 1)
	go func() {
		reply, err := exchangeOver(t, slow, "Slow: 1\r\n")
		if err == nil && reply.StatusCode != http.StatusOK {
			err = errors.New(reply.Status)
		}
		got <- err
	}()
	<-started
	server.SetLimits(Limits{IdleTimeout: 100 * time.Millisecond})
	close(release)
	is.NoErr(<-got)
	reply, err = exchangeOver(t, idle, "") // still served, for the last time
	is.NoErr(err)
	is.True(reply.Close)

	fresh := dial(t, address)
	reply, err = exchangeOver(t, fresh, "")
	is.NoErr(err)
	is.True(!reply.Close)
	time.Sleep(400 * time.Millisecond)
	_, err = exchangeOver(t, fresh, "")
	is.True(err != nil) // idle for longer than it may be
	is.NoErr(slow.Close())
	for range 100 {
		if kept() == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(kept(), 0) // nothing is kept of limits without connections
}

// TestLimitedShutdown guards against a graceful stop that cuts a request of a connection with former limits, and against
// one that never ends.
func TestLimitedShutdown(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 2)
	var answered, slow atomic.Int64
	slow.Store(int64(300 * time.Millisecond)) // the first request, which has the former limits
	server, address, ended := startLimited(t, Limits{IdleTimeout: time.Minute}, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		time.Sleep(time.Duration(slow.Swap(0)))
		answering(w, r)
		answered.Add(1)
	})
	got := make(chan error, 2)
	ask := func() {
		connection := dial(t, address)
		go func() {
			_, err := exchangeOver(t, connection, "")
			got <- err
		}()
		<-started
	}
	ask()
	server.SetLimits(Limits{IdleTimeout: 2 * time.Minute})
	ask()
	bounded, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(server.Shutdown(bounded))
	is.Equal(answered.Load(), int64(2))
	is.NoErr(<-got)
	is.NoErr(<-got)
	is.Equal(<-ended, http.ErrServerClosed)
	_, err := net.Dial("tcp", address)
	is.True(err != nil)
}

// TestShutdownServesWhatTheKernelAccepted guards against a planned stop under load that cuts requests which callers had sent on
// connections that the process had not yet come to accept: closing the listener resets all of them.
func TestShutdownServesWhatTheKernelAccepted(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewLimitedServer(http.HandlerFunc(answering), Limits{IdleTimeout: time.Minute})
	got := make(chan error, 50)
	for range cap(got) {
		connection := dial(t, listener.Addr().String())
		go func() {
			_, err := exchangeOver(t, connection, "")
			got <- err
		}()
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }() // only now are they accepted
	for began := false; !began; time.Sleep(time.Microsecond) {
		server.mutex.Lock()
		began = server.listener != nil
		server.mutex.Unlock()
	}
	bounded, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(server.Shutdown(bounded))
	for range cap(got) {
		is.NoErr(<-got)
	}
	is.Equal(<-ended, http.ErrServerClosed)
}
