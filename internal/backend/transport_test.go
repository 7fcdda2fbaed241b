package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/replica"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/internal/standin"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// fixture is a transport with one stand-in of a backend server.
type fixture struct {
	transport *Transport
	standIn   *standin.Server
	server    fleet.Server
	ledger    *standin.Ledger
}

func newFixture(t testing.TB, idempotent bool, connections int) *fixture {
	t.Helper()
	check := is.New(t)
	name := "marshal-search"
	if !idempotent {
		name = "corral-ledger"
	}
	applications, err := standin.Applications(1, name)
	check.NoErr(err)
	application := applications[0]
	application.ServiceMillis = 1
	ledger := standin.NewLedger()
	standIn, err := standin.Listen(standin.ServerOptions{
		ID: "one-a", Service: application.Service(1), Application: application, Seed: 1,
		Address: "127.0.0.1:0", HeldVersions: []uint64{1}, Ledger: ledger,
	})
	check.NoErr(err)
	t.Cleanup(standIn.Close)
	transport := New(Options{Connections: func(fleet.Server) int { return connections }})
	t.Cleanup(transport.Close)
	server := fleet.Server{ID: "one-a", Service: fleet.ServiceID(application.Service(1)), Address: standIn.Address()}
	return &fixture{transport: transport, standIn: standIn, server: server, ledger: ledger}
}

func (f *fixture) call(id string, remaining time.Duration) replica.Call {
	application := f.standIn.Options().Application
	shard := application.ShardPrefix + "-01-of-20"
	return replica.Call{
		RequestID: id, Service: f.server.Service, Shard: snapshot.ShardID(shard), Version: 1,
		Deadline: time.Now().Add(remaining), Idempotent: application.Idempotent, Query: application.Data.Query(0),
	}
}

func (f *fixture) do(id string, remaining time.Duration) (replica.Answer, *verdict.Error) {
	answer, err := f.transport.Do(context.Background(), f.server, f.call(id, remaining))
	failure, _ := errors.AsType[*verdict.Error](err)
	return answer, failure
}

// TestMalformedResponses guards against returning a response that is incomplete, malformed or belongs to another
// request, and against reusing its connection.
func TestMalformedResponses(t *testing.T) {
	for name, want := range map[string]verdict.Reason{
		"cut": verdict.BadAnswer, "long": verdict.BadAnswer, "crossed": verdict.BadAnswer, "not-json": verdict.BadAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			f := newFixture(t, true, 30)
			_, failure := f.do("first", 5*time.Second)
			check.Equal(failure, nil)
			check.NoErr(f.standIn.ChangeFaults(fmt.Appendf(nil, `{"answer":%q}`, name)))
			_, failure = f.do("second", 5*time.Second)
			check.True(failure != nil)
			check.Equal(failure.Reason, want)
			check.Equal(failure.Verdict, verdict.MayHaveRun)
			open, _ := f.transport.Connections(f.server.ID)
			check.Equal(open, 0) // The connection is closed.
			check.NoErr(f.standIn.ChangeFaults([]byte(`{"answer":""}`)))
			_, failure = f.do("third", 5*time.Second)
			check.Equal(failure, nil)
		})
	}
}

// TestVerdicts guards against the verdict NotRun for a call that may have run, and against the verdict MayHaveRun for a
// call that certainly has not.
func TestVerdicts(t *testing.T) {
	cases := map[string]struct {
		faults    string
		remaining time.Duration
		verdict   verdict.Verdict
		reason    verdict.Reason
	}{
		"shedding":     {`{"shedding":true}`, time.Second, verdict.NotRun, verdict.Shedding},
		"not held":     {`{"held":[7]}`, time.Second, verdict.NotRun, verdict.VersionNotHeld},
		"frozen":       {`{"frozen":true}`, 50 * time.Millisecond, verdict.MayHaveRun, verdict.DeadlinePassed},
		"past":         {`{}`, -time.Second, verdict.NotRun, verdict.DeadlinePassed},
		"slow":         {`{"slow-factor":1000}`, 50 * time.Millisecond, verdict.MayHaveRun, verdict.DeadlinePassed},
		"down, reused": {`{"down":true}`, time.Second, verdict.NotRun, verdict.ConnectFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			f := newFixture(t, false, 30)
			_, failure := f.do("warm", time.Second)
			check.Equal(failure, nil)
			check.NoErr(f.standIn.ChangeFaults([]byte(c.faults)))
			if name == "down, reused" {
				f.standIn.Close() // The port refuses connections, and the idle connection is closed.
				time.Sleep(2 * checkIdleAge)
			}
			answer, failure := f.do("asked", c.remaining)
			check.True(failure != nil)
			check.Equal(failure.Verdict, c.verdict)
			check.Equal(failure.Reason, c.reason)
			if c.reason == verdict.VersionNotHeld {
				check.Equal(len(answer.HeldVersions), 1) // The answer lists the versions held.
			}
		})
	}
}

// TestSilentConnection guards against keeping a connection in the pool on which no responses arrive any more.
func TestSilentConnection(t *testing.T) {
	check := is.New(t)
	f := newFixture(t, true, 30)
	_, failure := f.do("warm", time.Second)
	check.Equal(failure, nil)
	check.NoErr(f.standIn.ChangeFaults([]byte(`{"silent-connections":1}`)))
	outcome := make(chan *verdict.Error)
	go func() {
		_, failure := f.do("on the silent one", 200*time.Millisecond)
		outcome <- failure
	}()
	time.Sleep(50 * time.Millisecond)
	_, failure = f.do("on a new one", time.Second)
	check.Equal(failure, nil)
	failure = <-outcome
	check.True(failure != nil)
	check.Equal(failure.Reason, verdict.SilentConnection)
	check.Equal(failure.Verdict, verdict.MayHaveRun)
	check.Equal(f.transport.Stats().Silent, int64(1))
	open, _ := f.transport.Connections(f.server.ID)
	check.Equal(open, 1)
}

// TestCancelKeepsConnection guards against closing the connection of a cancelled call, such as the slower attempt of a
// hedged query, and against the call still occupying its slot at the server.
func TestCancelKeepsConnection(t *testing.T) {
	check := is.New(t)
	f := newFixture(t, true, 30)
	check.NoErr(f.standIn.ChangeFaults([]byte(`{"slow-factor":5000}`)))
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	started := time.Now()
	_, err := f.transport.Do(ctx, f.server, f.call("slow", 10*time.Second))
	failure, ok := errors.AsType[*verdict.Error](err)
	check.True(ok)
	check.Equal(failure.Reason, verdict.Cancelled)
	check.True(time.Since(started) < time.Second)
	check.Equal(f.standIn.Observed().Cancelled, int64(1))
	open, _ := f.transport.Connections(f.server.ID)
	check.Equal(open, 2) // One for the call and one for its cancellation.
}

// TestConnectionLimit guards against opening more connections than the limit while all of them are in use.
func TestConnectionLimit(t *testing.T) {
	check := is.New(t)
	f := newFixture(t, true, 2)
	check.NoErr(f.standIn.ChangeFaults([]byte(`{"slow-factor":100}`)))
	outcomes := make(chan *verdict.Error)
	for i := range 3 {
		go func() {
			_, failure := f.do(fmt.Sprint("call-", i), 5*time.Second)
			outcomes <- failure
		}()
	}
	refused := 0
	for range 3 {
		if failure := <-outcomes; failure != nil {
			check.Equal(failure.Verdict, verdict.NotRun)
			refused++
		}
	}
	check.Equal(refused, 1)
	check.Equal(f.standIn.Observed().PeakConnections, 2)
}

// TestClosedBeforeResponse guards against sending a non-idempotent call again after its connection was closed without a
// response, and against failing an idempotent call that would have succeeded on a new connection.
func TestClosedBeforeResponse(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			requests := make(chan int, 4)
			address := closeOnSecondRequest(t, requests)
			transport := New(Options{Connections: func(fleet.Server) int { return 4 }})
			defer transport.Close()
			server := fleet.Server{ID: "s", Service: "svc", Address: address}
			call := replica.Call{RequestID: "r", Service: "svc", Shard: "x", Version: 1, Query: json.RawMessage(`1`), Idempotent: idempotent}
			for i := range 2 {
				call.Deadline = time.Now().Add(2 * time.Second)
				_, err := transport.Do(context.Background(), server, call)
				if i == 1 && !idempotent {
					check.Equal(verdict.Of(err), verdict.MayHaveRun)
				} else {
					check.NoErr(err)
				}
			}
			want := 2
			if idempotent {
				want = 3
			}
			check.Equal(len(requests), want)
		})
	}
}

// TestFencedWhileConnecting guards against sending a call whose permission ended while a connection was being opened,
// and against the verdict NotRun for a call that may have run in its first attempt.
func TestFencedWhileConnecting(t *testing.T) {
	check := is.New(t)
	requests := make(chan int, 4)
	address := closeOnSecondRequest(t, requests)
	var permitted atomic.Bool
	dialled := 0
	transport := New(Options{
		Connections: func(fleet.Server) int { return 4 },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			permitted.Store(dialled == 1)
			dialled++
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	})
	defer transport.Close()
	server := fleet.Server{ID: "s", Service: "svc", Address: address}
	call := replica.Call{
		RequestID: "r", Service: "svc", Shard: "x", Version: 1, Query: json.RawMessage(`1`), Idempotent: true,
		Deadline: time.Now().Add(2 * time.Second), Permitted: permitted.Load,
	}
	do := func() (verdict.Verdict, verdict.Reason) {
		_, err := transport.Do(context.Background(), server, call)
		failure, ok := errors.AsType[*verdict.Error](err)
		if !ok {
			return verdict.Ran, verdict.None
		}
		return failure.Verdict, failure.Reason
	}
	permitted.Store(true)
	v, reason := do() // The first dial ends the permission.
	check.Equal(v, verdict.NotRun)
	check.Equal(reason, verdict.Fenced)
	check.Equal(len(requests), 0)
	permitted.Store(true)
	v, _ = do() // The connection is reused, because nothing was written to it.
	check.Equal(v, verdict.Ran)
	check.Equal(dialled, 1)
	dialled = 2 // The dial for the second attempt ends the permission.
	v, reason = do()
	check.Equal(v, verdict.MayHaveRun)
	check.Equal(reason, verdict.Fenced)
	check.Equal(len(requests), 2)
}

// closeOnSecondRequest starts a server that responds to the first request on each connection and closes the connection
// on the second one. It returns the address.
func closeOnSecondRequest(t *testing.T, requests chan<- int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 4096)
			_, _ = c.Read(buffer)
			requests <- 1
			body := `{"request-id":"r","service":"svc","shard":"x","version":1,"rows":[]}`
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			go func() {
				if n, _ := c.Read(buffer); n > 0 {
					requests <- 1
				}
				_ = c.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// FuzzParseResponse guards against a panic and against accepting a response to another call.
func FuzzParseResponse(f *testing.F) {
	f.Add(200, []byte(`{"request-id":"r","service":"svc","shard":"x","version":1,"rows":[]}`))
	f.Add(503, []byte(`{"not-run":true,"reason":"shedding"}`))
	f.Add(409, []byte(`{"held":[1,2]}`))
	call := &replica.Call{RequestID: "r", Service: "svc", Shard: "x", Version: 1}
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		answer, failure, reusable := parseResponse(status, body, call)
		if failure == nil {
			var response responseBody
			if json.Unmarshal(body, &response) != nil || response.RequestID != "r" || response.Version != 1 || len(answer.Rows) == 0 || !reusable {
				t.Fatalf("accepted a response that does not belong to the call: status %d, body %q", status, body)
			}
		}
		if failure != nil && failure.Verdict == verdict.Ran {
			t.Fatal("a failure cannot say that the call ran")
		}
	})
}

// TestDeadlineKeepsSlot guards against returning from a call whose deadline has passed while the server still works on
// it. The sender would consider the slot free and send the server one call more than it has slots.
func TestDeadlineKeepsSlot(t *testing.T) {
	check := is.New(t)
	f := newFixture(t, true, 30)
	check.NoErr(f.standIn.ChangeFaults([]byte(`{"slow-factor":1000}`)))
	for n := range 10 {
		_, failure := f.do("too slow", 30*time.Millisecond)
		check.True(failure != nil)
		check.Equal(f.standIn.Observed().Cancelled, int64(n+1))
	}
}
