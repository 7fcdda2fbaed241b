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

// startServer starts a server on a free port. It returns the server, its address and a channel that receives the error
// of Serve.
func startServer(t *testing.T, limits Limits, handler http.HandlerFunc) (*LimitedServer, string, chan error) {
	t.Helper()
	server := NewLimitedServer(handler, limits)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return server, listener.Addr().String(), served
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// roundTrip sends a request with the header lines over the connection and reads the answer.
func roundTrip(t *testing.T, connection net.Conn, header string) (*http.Response, error) {
	t.Helper()
	is := is.New(t)
	is.NoErr(connection.SetDeadline(time.Now().Add(5 * time.Second)))
	if _, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n"); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return response, err
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// TestLimits guards against a caller that holds a connection without sending a whole request, or that uses up memory by
// a long header.
func TestLimits(t *testing.T) {
	limits := Limits{MaxHeaderBytes: 1024, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	for name, send := range map[string]func(connection net.Conn) bool{
		"idle": func(connection net.Conn) bool {
			response, err := roundTrip(t, connection, "")
			return err == nil && response.StatusCode == 200 && !response.Close
		},
		"half a header": func(connection net.Conn) bool {
			_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost:")
			return err == nil
		},
		"long header": func(connection net.Conn) bool {
			response, err := roundTrip(t, connection, "X: "+strings.Repeat("x", 1024+headerSlack)+"\r\n")
			return err == nil && response.StatusCode == http.StatusRequestHeaderFieldsTooLarge
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, address, _ := startServer(t, limits, answerOK)
			connection := dial(t, address)
			is.True(send(connection))
			is.NoErr(connection.SetReadDeadline(time.Now().Add(2 * time.Second)))
			_, err := io.Copy(io.Discard, connection)
			var timeout net.Error
			is.True(!errors.As(err, &timeout) || !timeout.Timeout()) // the server has closed the connection
		})
	}
}

// TestLimitsChange guards against a change of limits that interrupts a request or closes a connection in use, and
// against new connections that still get the old limits.
func TestLimitsChange(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}, 1), make(chan struct{})
	server, address, _ := startServer(t, Limits{IdleTimeout: time.Minute}, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Slow") != "" {
			started <- struct{}{}
			<-release
		}
		answerOK(w, r)
	})
	drainingCount := func() int {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		return len(server.draining)
	}
	server.SetLimits(Limits{IdleTimeout: 2 * time.Minute})
	is.Equal(drainingCount(), 0) // no connection has the old limits
	idle, slow := dial(t, address), dial(t, address)
	response, err := roundTrip(t, idle, "")
	is.NoErr(err)
	is.True(!response.Close)
	got := make(chan error, 1)
	go func() {
		response, err := roundTrip(t, slow, "Slow: 1\r\n")
		if err == nil && response.StatusCode != http.StatusOK {
			err = errors.New(response.Status)
		}
		got <- err
	}()
	<-started
	server.SetLimits(Limits{IdleTimeout: 100 * time.Millisecond})
	close(release)
	is.NoErr(<-got)
	response, err = roundTrip(t, idle, "") // answered, with the last answer on this connection
	is.NoErr(err)
	is.True(response.Close)

	fresh := dial(t, address)
	response, err = roundTrip(t, fresh, "")
	is.NoErr(err)
	is.True(!response.Close)
	time.Sleep(400 * time.Millisecond)
	_, err = roundTrip(t, fresh, "")
	is.True(err != nil) // idle for longer than the idle timeout
	is.NoErr(slow.Close())
	for range 100 {
		if drainingCount() == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(drainingCount(), 0) // replaced generations without connections are dropped
}

// TestLimitedShutdown guards against a Shutdown that interrupts a request on a connection with replaced limits, and
// against one that does not return.
func TestLimitedShutdown(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 2)
	var answered, delay atomic.Int64
	delay.Store(int64(300 * time.Millisecond)) // for the first request, whose connection has the replaced limits
	server, address, served := startServer(t, Limits{IdleTimeout: time.Minute}, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		time.Sleep(time.Duration(delay.Swap(0)))
		answerOK(w, r)
		answered.Add(1)
	})
	got := make(chan error, 2)
	sendRequest := func() {
		connection := dial(t, address)
		go func() {
			_, err := roundTrip(t, connection, "")
			got <- err
		}()
		<-started
	}
	sendRequest()
	server.SetLimits(Limits{IdleTimeout: 2 * time.Minute})
	sendRequest()
	bounded, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(server.Shutdown(bounded))
	is.Equal(answered.Load(), int64(2))
	is.NoErr(<-got)
	is.NoErr(<-got)
	is.Equal(<-served, http.ErrServerClosed)
	_, err := net.Dial("tcp", address)
	is.True(err != nil)
}

// TestShutdownServesPendingConnections guards against a graceful stop under load that loses requests on connections
// which are still in the kernel's accept queue. Closing the listener resets these connections.
func TestShutdownServesPendingConnections(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewLimitedServer(http.HandlerFunc(answerOK), Limits{IdleTimeout: time.Minute})
	got := make(chan error, 50)
	for range cap(got) {
		connection := dial(t, listener.Addr().String())
		go func() {
			_, err := roundTrip(t, connection, "")
			got <- err
		}()
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }() // only now are the connections accepted
	for serving := false; !serving; time.Sleep(time.Microsecond) {
		server.mutex.Lock()
		serving = server.listener != nil
		server.mutex.Unlock()
	}
	bounded, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(server.Shutdown(bounded))
	for range cap(got) {
		is.NoErr(<-got)
	}
	is.Equal(<-served, http.ErrServerClosed)
}
