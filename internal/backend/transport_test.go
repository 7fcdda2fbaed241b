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

type fixture struct {
	transport *Transport
	stand     *standin.Server
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
	stand, err := standin.Listen(standin.ServerOptions{
		ID: "one-a", Service: application.Service(1), Application: application, Seed: 1,
		Address: "127.0.0.1:0", Held: []uint64{1}, Ledger: ledger,
	})
	check.NoErr(err)
	t.Cleanup(stand.Close)
	transport := New(Options{Connections: func(fleet.Server) int { return connections }})
	t.Cleanup(transport.Close)
	server := fleet.Server{ID: "one-a", Service: fleet.ServiceID(application.Service(1)), Address: stand.Address()}
	return &fixture{transport: transport, stand: stand, server: server, ledger: ledger}
}

func (f *fixture) call(id string, left time.Duration) replica.Call {
	application := f.stand.Options().Application
	shard := application.Shard + "-01-of-20"
	return replica.Call{
		RequestID: id, Service: f.server.Service, Shard: snapshot.ShardID(shard), Version: 1,
		Deadline: time.Now().Add(left), Idempotent: application.Idempotent, Query: application.Data.Query(0),
	}
}

func (f *fixture) do(id string, left time.Duration) (replica.Reply, *verdict.Error) {
	reply, err := f.transport.Do(context.Background(), f.server, f.call(id, left))
	known, _ := errors.AsType[*verdict.Error](err)
	return reply, known
}

// TestSpoiledAnswers guards against an answer that is not whole, or belongs to another request, reaching a caller,
// and against its connection carrying another request.
func TestSpoiledAnswers(t *testing.T) {
	for name, want := range map[string]verdict.Reason{
		"cut": verdict.BadAnswer, "long": verdict.BadAnswer, "crossed": verdict.BadAnswer, "not-json": verdict.BadAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			f := newFixture(t, true, 30)
			_, failure := f.do("first", 5*time.Second)
			check.Equal(failure, nil)
			check.NoErr(f.stand.Change(fmt.Appendf(nil, `{"answer":%q}`, name)))
			_, failure = f.do("second", 5*time.Second)
			check.True(failure != nil)
			check.Equal(failure.Reason, want)
			check.Equal(failure.Verdict, verdict.MayHaveRun)
			open, _ := f.transport.Connections(f.server.ID)
			check.Equal(open, 0) // the connection is closed
			check.NoErr(f.stand.Change([]byte(`{"answer":""}`)))
			_, failure = f.do("third", 5*time.Second)
			check.Equal(failure, nil)
		})
	}
}

// TestVerdicts guards against a "not run" that is not true and a "may have run" that is needlessly vague.
func TestVerdicts(t *testing.T) {
	cases := map[string]struct {
		faults  string
		left    time.Duration
		verdict verdict.Verdict
		reason  verdict.Reason
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
			check.NoErr(f.stand.Change([]byte(c.faults)))
			if name == "down, reused" {
				f.stand.Close() // the port refuses connections, and the idle connection is closed
				time.Sleep(2 * checkAfter)
			}
			reply, failure := f.do("asked", c.left)
			check.True(failure != nil)
			check.Equal(failure.Verdict, c.verdict)
			check.Equal(failure.Reason, c.reason)
			if c.reason == verdict.VersionNotHeld {
				check.Equal(len(reply.Held), 1) // the reply tells what is held
			}
		})
	}
}

// TestSilentConnection guards against a pool that keeps using a connection on which nothing comes back.
func TestSilentConnection(t *testing.T) {
	check := is.New(t)
	f := newFixture(t, true, 30)
	_, failure := f.do("warm", time.Second)
	check.Equal(failure, nil)
	check.NoErr(f.stand.Change([]byte(`{"silent-connections":1}`)))
	waiting := make(chan *verdict.Error)
	go func() {
		_, failure := f.do("on the silent one", 200*time.Millisecond)
		waiting <- failure
	}()
	time.Sleep(50 * time.Millisecond)
	_, failure = f.do("on a new one", time.Second)
	check.Equal(failure, nil)
	failure = <-waiting
	check.True(failure != nil)
	check.Equal(failure.Reason, verdict.SilentConnection)
	check.Equal(failure.Verdict, verdict.MayHaveRun)
	check.Equal(f.transport.Stats().Silent, int64(1))
	open, _ := f.transport.Connections(f.server.ID)
	check.Equal(open, 1)
}

// TestCancelKeepsConnection guards against a losing hedge attempt costing a connection, and against its slot at the
// server staying in use.
func TestCancelKeepsConnection(t *testing.T) {
	check := is.New(t)
	f := newFixture(t, true, 30)
	check.NoErr(f.stand.Change([]byte(`{"slow-factor":5000}`)))
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	started := time.Now()
	_, err := f.transport.Do(ctx, f.server, f.call("slow", 10*time.Second))
	known, ok := errors.AsType[*verdict.Error](err)
	check.True(ok)
	check.Equal(known.Reason, verdict.Cancelled)
	check.True(time.Since(started) < time.Second)
	check.Equal(f.stand.Observed().Cancelled, int64(1))
	open, _ := f.transport.Connections(f.server.ID)
	check.Equal(open, 2) // the call's connection and the cancellation's
}

// TestConnectionLimit guards against more connections than the share while all are in use.
func TestConnectionLimit(t *testing.T) {
	check := is.New(t)
	f := newFixture(t, true, 2)
	check.NoErr(f.stand.Change([]byte(`{"slow-factor":100}`)))
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
	check.Equal(f.stand.Observed().PeakConnections, 2)
}

// TestClosedBeforeAnswer guards against a second send of a non-idempotent call, and against the failure of an
// idempotent one that a new connection would have answered.
func TestClosedBeforeAnswer(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			requests := make(chan int, 4)
			address := closingServer(t, requests)
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

// TestFencedWhileConnecting guards against a write after the fence fell while a connection was opened, and against a
// "not run" for a call that may have run on its first connection.
func TestFencedWhileConnecting(t *testing.T) {
	check := is.New(t)
	requests := make(chan int, 4)
	address := closingServer(t, requests)
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
	v, reason := do() // the first dial ends the permission
	check.Equal(v, verdict.NotRun)
	check.Equal(reason, verdict.Fenced)
	check.Equal(len(requests), 0)
	permitted.Store(true)
	v, _ = do() // the connection that was not written to is used
	check.Equal(v, verdict.Ran)
	check.Equal(dialled, 1)
	dialled = 2 // the dial for the second attempt ends the permission
	v, reason = do()
	check.Equal(v, verdict.MayHaveRun)
	check.Equal(reason, verdict.Fenced)
	check.Equal(len(requests), 2)
}

// closingServer answers the first request of each connection and closes the connection on the second.
func closingServer(t *testing.T, requests chan<- int) string {
	t.Helper()
	listening, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listening.Close() })
	go func() {
		for {
			c, err := listening.Accept()
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
	return listening.Addr().String()
}

// FuzzParseAnswer guards against a panic and against the acceptance of an answer for another call.
func FuzzParseAnswer(f *testing.F) {
	f.Add(200, []byte(`{"request-id":"r","service":"svc","shard":"x","version":1,"rows":[]}`))
	f.Add(503, []byte(`{"not-run":true,"reason":"shedding"}`))
	f.Add(409, []byte(`{"held":[1,2]}`))
	call := &replica.Call{RequestID: "r", Service: "svc", Shard: "x", Version: 1}
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		reply, failure, keep := parseAnswer(status, body, call)
		if failure == nil {
			var answer message
			if json.Unmarshal(body, &answer) != nil || answer.RequestID != "r" || answer.Version != 1 || len(reply.Rows) == 0 || !keep {
				t.Fatalf("accepted %d %q", status, body)
			}
		}
		if failure != nil && failure.Verdict == verdict.Ran {
			t.Fatal("a failure cannot say that the call ran")
		}
	})
}

// TestDeadlineKeepsSlot guards against a slot that is free again while the server still works on a call whose deadline
// has passed: the next call was then one more than the server's slots.
func TestDeadlineKeepsSlot(t *testing.T) {
	check := is.New(t)
	f := newFixture(t, true, 30)
	check.NoErr(f.stand.Change([]byte(`{"slow-factor":1000}`)))
	for n := range 10 {
		_, failure := f.do("too slow", 30*time.Millisecond)
		check.True(failure != nil)
		check.Equal(f.stand.Observed().Cancelled, int64(n+1))
	}
}
