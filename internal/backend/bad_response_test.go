package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/replica"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// serveRaw starts a server that responds to every request with the text, followed by what rest writes unless it is nil.
// It returns the address.
func serveRaw(t *testing.T, text string, rest func(io.Writer) error) string {
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
				defer func() { _ = connection.Close() }()
				reader := bufio.NewReader(connection)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if _, err = io.WriteString(connection, text); err == nil && rest != nil {
						err = rest(connection)
					}
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func rawResponse(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// TestBadResponses guards against accepting a response that is malformed, does not match the request or exceeds the
// limits on what is kept. Each must fail with BadAnswer, and its connection must be closed. A header or trailer without
// end must be cut off by the size limits.
func TestBadResponses(t *testing.T) {
	const good = `{"request-id":"one","service":"s","shard":"h","version":1,"rows":[]`
	endless := func(w io.Writer) error {
		line := "X-Long: " + strings.Repeat("x", 8<<10) + "\r\n"
		for written := 0; written < 64<<20; written += len(line) {
			if _, err := io.WriteString(w, line); err != nil {
				return err
			}
		}
		return nil
	}
	cases := map[string]struct {
		text string
		rest func(io.Writer) error
	}{
		"another service":      {rawResponse(200, strings.Replace(good, `"s"`, `"z"`, 1)+"}"), nil},
		"another shard":        {rawResponse(200, strings.Replace(good, `"h"`, `"z"`, 1)+"}"), nil},
		"another version":      {rawResponse(200, strings.Replace(good, `1`, `2`, 1)+"}"), nil},
		"another request":      {rawResponse(503, `{"request-id":"two","not-run":true,"reason":"shedding"}`), nil},
		"no request":           {rawResponse(200, `{"service":"s","shard":"h","version":1,"rows":[]}`), nil},
		"rows are null":        {rawResponse(200, strings.Replace(good, `[]`, `null`, 1)+"}"), nil},
		"version is text":      {rawResponse(200, strings.Replace(good, `1`, `"1"`, 1)+"}"), nil},
		"version below 0":      {rawResponse(200, good+`,"held":[-1]}`), nil},
		"long start mark":      {rawResponse(200, good+`,"start-mark":"`+strings.Repeat("m", maxStartMarkBytes+1)+`"}`), nil},
		"many versions":        {rawResponse(200, good+`,"held":[1`+strings.Repeat(",1", maxHeldVersions)+`]}`), nil},
		"many versions, shed":  {rawResponse(503, `{"not-run":true,"held":[1`+strings.Repeat(",1", maxHeldVersions)+`]}`), nil},
		"deep":                 {rawResponse(200, strings.Replace(good, `[]`, strings.Repeat("[", 20_000), 1)), nil},
		"two objects":          {rawResponse(200, good+"}{}"), nil},
		"empty":                {rawResponse(200, ""), nil},
		"HTML":                 {rawResponse(502, "<html>"), nil},
		"409 without JSON":     {rawResponse(409, "no"), nil},
		"not HTTP":             {"SSH-2.0-x\r\n\r\n", nil},
		"status is no number":  {"HTTP/1.1 two X\r\n\r\n", nil},
		"informational":        {"HTTP/1.1 100 Continue\r\n\r\n", nil},
		"length below 0":       {"HTTP/1.1 200 X\r\nContent-Length: -1\r\n\r\n", nil},
		"two lengths":          {"HTTP/1.1 200 X\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}", nil},
		"huge length":          {"HTTP/1.1 200 X\r\nContent-Length: 9223372036854775807\r\n\r\n{", nil},
		"chunk without length": {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", nil},
		"endless header":       {"HTTP/1.1 200 X\r\n", endless},
		"endless trailer":      {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", endless},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			transport := New(Options{Connections: func(fleet.Server) int { return 3 }})
			defer transport.Close()
			server := fleet.Server{ID: "bad", Service: "s", Address: serveRaw(t, c.text, c.rest)}
			_, err := transport.Do(context.Background(), server, replica.Call{
				RequestID: "one", Service: "s", Shard: "h", Version: 1, Deadline: time.Now().Add(time.Minute), Query: []byte("1"),
			})
			check.True(err != nil)
			failure, _ := errors.AsType[*verdict.Error](err)
			check.Equal(failure.Verdict, verdict.MayHaveRun)
			check.Equal(failure.Reason, verdict.BadAnswer)
			open, _ := transport.Connections(server.ID)
			check.Equal(open, 0)
		})
	}
}
