package httpapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/telemetry"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestWrongTypes guards against a value of the wrong type that is treated as absent, and against a refusal that does
// not name the field.
func TestWrongTypes(t *testing.T) {
	cases := map[string]struct{ body, field string }{
		"deadline as text":       {`{"id":"q","deadline-millis":"100","query":1}`, "deadline-millis"},
		"deadline as a fraction": {`{"id":"q","deadline-millis":1.5,"query":1}`, "deadline-millis"},
		"deadline with exponent": {`{"id":"q","deadline-millis":1e3,"query":1}`, "deadline-millis"},
		"deadline is null":       {`{"id":"q","deadline-millis":null,"query":1}`, "deadline-millis"},
		"shards is an object":    {`{"id":"q","deadline-millis":1,"query":1,"shards":{}}`, "shards"},
		"shard is a number":      {`{"id":"q","deadline-millis":1,"query":1,"shards":[1]}`, "shards"},
		"shard is null":          {`{"id":"q","deadline-millis":1,"query":1,"shards":[null]}`, "shards[0]"},
		"shard is empty":         {`{"id":"q","deadline-millis":1,"query":1,"shards":["a",""]}`, "shards[1]"},
		"shard is long":          {`{"id":"q","deadline-millis":1,"query":1,"shards":["` + strings.Repeat("x", 257) + `"]}`, "shards[0]"},
		"many shards":            {`{"id":"q","deadline-millis":1,"query":1,"shards":[""` + strings.Repeat(`,""`, 10_000) + `]}`, "shards"},
		"ticket is a number":     {`{"id":"q","deadline-millis":1,"query":1,"ticket":5}`, "ticket"},
		"id is an object":        {`{"id":{},"deadline-millis":1,"query":1}`, "id"},
		"null":                   {`null`, "id"},
		"text":                   {`"id"`, "body"},
		"empty":                  {``, "body"},
		"UTF-16":                 {"\xff\xfe{\x00}\x00", "body"},
		"deep":                   {`{"id":"q","deadline-millis":1,"query":` + strings.Repeat("[", 20_000), "body"},
		"cut in a string":        {`{"id":"q","deadline-millis":1,"query":"`, "body"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			service := &fakeService{}
			recorder := post(newCallers(t, service), "/v1/applications/a/query", c.body)
			check.Equal(recorder.Code, http.StatusBadRequest)
			var refusal api.Refusal
			check.NoErr(json.Unmarshal(recorder.Body.Bytes(), &refusal))
			check.Equal(refusal.Field, c.field)
			check.Equal(refusal.Reason, verdict.InvalidRequest)
			check.Equal(refusal.Verdict, verdict.NotRun)
			check.True(refusal.Detail != "")
			check.Equal(service.request.Application, "") // the service was not called
		})
	}
}

// TestPaths guards against an answer to a wrong path or method that is not a refusal.
func TestPaths(t *testing.T) {
	cases := map[string]struct {
		method, path string
		status       int
	}{
		"no application":    {http.MethodPost, "/v1/applications//query", http.StatusNotFound},
		"two slashes":       {http.MethodPost, "//v1/tickets", http.StatusNotFound},
		"dots":              {http.MethodPost, "/v1/x/../tickets", http.StatusNotFound},
		"slash in the name": {http.MethodPost, "/v1/applications/a%2Fb/query", http.StatusNotFound},
		"another path":      {http.MethodPost, "/v1/status", http.StatusNotFound},
		"another method":    {http.MethodGet, "/v1/tickets", http.StatusMethodNotAllowed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			caller := newTestCaller(t, &fakeService{})
			caller.send("%s %s HTTP/1.1\r\nHost: e\r\nContent-Length: 0\r\n\r\n", c.method, c.path)
			status, refusal := caller.receive()
			check.Equal(status, c.status)
			check.Equal(refusal.Reason, verdict.InvalidRequest)
			check.Equal(refusal.Verdict, verdict.NotRun)
			caller.close()
		})
	}
}

// pipeListener is a net.Listener of in-memory connections, which work with the fake clock of synctest.
type pipeListener struct {
	accepted chan net.Conn
	ctx      context.Context
	cancel   context.CancelFunc
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.cancel()
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testCaller is a caller's connection to a server of the caller interface.
type testCaller struct {
	t        *testing.T
	server   *http.Server
	listener *pipeListener
	net.Conn
	reader *bufio.Reader
}

func newTestCaller(t *testing.T, service Service) *testCaller {
	t.Helper()
	metrics, err := telemetry.New("e1", "z1")
	is.New(t).NoErr(err)
	listener := &pipeListener{accepted: make(chan net.Conn)}
	listener.ctx, listener.cancel = context.WithCancel(context.Background())
	caller := &testCaller{t: t, server: NewCallerServer(service, metrics), listener: listener}
	go func() { _ = caller.server.Serve(listener) }()
	caller.connect()
	return caller
}

// connect replaces the connection by a new one.
func (c *testCaller) connect() {
	callerEnd, serverEnd := net.Pipe()
	c.listener.accepted <- serverEnd
	c.Conn, c.reader = callerEnd, bufio.NewReader(callerEnd)
}

func (c *testCaller) close() {
	_ = c.Conn.Close()
	_ = c.server.Close()
}

func (c *testCaller) send(format string, args ...any) {
	_, err := fmt.Fprintf(c.Conn, format, args...)
	is.New(c.t).NoErr(err)
}

func (c *testCaller) receive() (int, api.Refusal) {
	check := is.New(c.t)
	response, err := http.ReadResponse(c.reader, nil)
	check.NoErr(err)
	var refusal api.Refusal
	check.NoErr(json.NewDecoder(response.Body).Decode(&refusal))
	return response.StatusCode, refusal
}

// queryHeader is the header of a query with a body of 50 bytes.
const queryHeader = "POST /v1/applications/a/query HTTP/1.1\r\nHost: e\r\nContent-Length: 50\r\n\r\n"

// TestSlowBody guards against a caller that holds a connection for longer than bodyTimeout by sending its body slowly,
// and against an incomplete request that reaches the service.
func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		service := &fakeService{}
		caller := newTestCaller(t, service)
		defer caller.close()
		started := time.Now()
		caller.send(queryHeader)
		for range 9 {
			caller.send("{")
			time.Sleep(time.Second)
		}
		status, refusal := caller.receive()
		check.Equal(status, http.StatusBadRequest)
		check.Equal(refusal.Field, "body")
		check.Equal(refusal.Verdict, verdict.NotRun)
		check.Equal(time.Since(started), bodyTimeout)
		check.Equal(service.request.Application, "")
		_, err := caller.reader.ReadByte()
		check.Equal(err, io.EOF) // the connection is closed
	})
}

// TestSlowHeader guards against a caller that holds a connection for longer than headerTimeout by not completing its
// header.
func TestSlowHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := newTestCaller(t, &fakeService{})
		defer caller.close()
		started := time.Now()
		caller.send("POST /v1/tickets HTTP/1.1\r\nX: ")
		_, _ = caller.reader.ReadByte()
		is.New(t).Equal(time.Since(started), headerTimeout)
	})
}

// largeService gives an answer that is larger than the buffers of a connection.
type largeService struct{ fakeService }

func (*largeService) Query(context.Context, Request) (json.RawMessage, *api.Refusal) {
	return json.RawMessage(`"` + strings.Repeat("x", 8<<20) + `"`), nil
}

// TestCallerStopsReading guards against a caller that does not read its answer and makes the server keep it for longer
// than writeTimeout, or delays another caller.
func TestCallerStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		caller := newTestCaller(t, &largeService{})
		defer caller.close()
		body := `{"id":"q","deadline-millis":100,"query":1}`
		caller.send("POST /v1/applications/a/query HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		stopped := caller.Conn
		started := time.Now()
		caller.connect()
		caller.send("POST /v1/tickets HTTP/1.1\r\nHost: e\r\nContent-Length: 11\r\n\r\n{\"count\":0}")
		status, _ := caller.receive()
		check.Equal(status, http.StatusBadRequest)
		check.Equal(time.Since(started), time.Duration(0))
		time.Sleep(writeTimeout + time.Second)
		rest, err := io.ReadAll(stopped)
		check.NoErr(err)
		check.True(len(rest) < 1<<20) // the connection was closed before the whole answer was sent
	})
}
