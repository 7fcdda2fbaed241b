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

// TestWrongTypes guards against a value of another type being read as if it were absent, and against a refusal that
// does not name the field.
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
		"not UTF-16":             {"\xff\xfe{\x00}\x00", "body"},
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
			check.Equal(service.request.Application, "") // the service was not asked
		})
	}
}

// TestPaths guards against an answer that is no refusal where a path or method is wrong.
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
			exchange := newExchange(t, &fakeService{})
			exchange.send("%s %s HTTP/1.1\r\nHost: e\r\nContent-Length: 0\r\n\r\n", c.method, c.path)
			status, refusal := exchange.receive()
			check.Equal(status, c.status)
			check.Equal(refusal.Reason, verdict.InvalidRequest)
			check.Equal(refusal.Verdict, verdict.NotRun)
			exchange.close()
		})
	}
}

// pipes is a listener whose connections stay inside the process, so that they run on fake time.
type pipes struct {
	accepted chan net.Conn
	ctx      context.Context
	cancel   context.CancelFunc
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case connection := <-p.accepted:
		return connection, nil
	case <-p.ctx.Done():
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.cancel()
	return nil
}

func (*pipes) Addr() net.Addr { return &net.TCPAddr{} }

// exchange is a caller's connection to a server of the caller interface.
type exchange struct {
	t      *testing.T
	server *http.Server
	pipes  *pipes
	net.Conn
	reader *bufio.Reader
}

func newExchange(t *testing.T, service Service) *exchange {
	t.Helper()
	metrics, err := telemetry.New("e1", "z1")
	is.New(t).NoErr(err)
	p := &pipes{accepted: make(chan net.Conn)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	e := &exchange{t: t, server: NewCallers(service, metrics), pipes: p}
	go func() { _ = e.server.Serve(p) }()
	e.connect()
	return e
}

func (e *exchange) connect() {
	near, far := net.Pipe()
	e.pipes.accepted <- far
	e.Conn, e.reader = near, bufio.NewReader(near)
}

func (e *exchange) close() {
	_ = e.Conn.Close()
	_ = e.server.Close()
}

func (e *exchange) send(format string, args ...any) {
	_, err := fmt.Fprintf(e.Conn, format, args...)
	is.New(e.t).NoErr(err)
}

func (e *exchange) receive() (int, api.Refusal) {
	check := is.New(e.t)
	response, err := http.ReadResponse(e.reader, nil)
	check.NoErr(err)
	var refusal api.Refusal
	check.NoErr(json.NewDecoder(response.Body).Decode(&refusal))
	return response.StatusCode, refusal
}

const head = "POST /v1/applications/a/query HTTP/1.1\r\nHost: e\r\nContent-Length: 50\r\n\r\n"

// TestSlowBody guards against a caller that sends its body slowly and holds a connection for longer than documented,
// and against a request cut short that reaches the service.
func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		service := &fakeService{}
		e := newExchange(t, service)
		defer e.close()
		started := time.Now()
		e.send(head)
		for range 9 {
			e.send("{")
			time.Sleep(time.Second)
		}
		status, refusal := e.receive()
		check.Equal(status, http.StatusBadRequest)
		check.Equal(refusal.Field, "body")
		check.Equal(refusal.Verdict, verdict.NotRun)
		check.Equal(time.Since(started), bodyTimeout)
		check.Equal(service.request.Application, "")
		_, err := e.reader.ReadByte()
		check.Equal(err, io.EOF) // the connection is closed
	})
}

// TestSlowHeader guards against a caller that never ends its header.
func TestSlowHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newExchange(t, &fakeService{})
		defer e.close()
		started := time.Now()
		e.send("POST /v1/tickets HTTP/1.1\r\nX: ")
		_, _ = e.reader.ReadByte()
		is.New(t).Equal(time.Since(started), headerTimeout)
	})
}

// largeService answers with more than a connection buffers.
type largeService struct{ fakeService }

func (*largeService) Query(context.Context, Request) (json.RawMessage, *api.Refusal) {
	return json.RawMessage(`"` + strings.Repeat("x", 8<<20) + `"`), nil
}

// TestCallerStopsReading guards against answers that are held for callers who do not read them, and against a caller
// that holds up another.
func TestCallerStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		e := newExchange(t, &largeService{})
		defer e.close()
		body := `{"id":"q","deadline-millis":100,"query":1}`
		e.send("POST /v1/applications/a/query HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		stopped := e.Conn
		started := time.Now()
		e.connect()
		e.send("POST /v1/tickets HTTP/1.1\r\nHost: e\r\nContent-Length: 11\r\n\r\n{\"count\":0}")
		status, _ := e.receive()
		check.Equal(status, http.StatusBadRequest)
		check.Equal(time.Since(started), time.Duration(0))
		time.Sleep(writeTimeout + time.Second)
		rest, err := io.ReadAll(stopped)
		check.NoErr(err)
		check.True(len(rest) < 1<<20) // the connection was closed with the answer unsent
	})
}
