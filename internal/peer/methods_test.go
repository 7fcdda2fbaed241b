package peer

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/internal/ticket"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestCancel guards against a cancelled part that goes on running at its owner, and against a verdict that the owner
// did not give.
func TestCancel(t *testing.T) {
	cases := map[string]func(cancel context.CancelFunc, a *Node){
		"one part":  func(_ context.CancelFunc, a *Node) { a.Cancel("b", 1) },
		"the query": func(cancel context.CancelFunc, _ *Node) { cancel() },
	}
	for label, cancelBy := range cases {
		t.Run(label, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				remote := &stubRunner{answer: func(query.Part) *query.Result { return nil }}
				a, b := n.startNode(t, "a", testKey, Handlers{}), n.startNode(t, "b", testKey, Handlers{Parts: remote})
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(100*time.Millisecond, func() { cancelBy(cancel, a) })
				results := sendAndCollect(ctx, t, a, "b", testParts(1, time.Second))
				synctest.Wait()
				is.Equal(remote.cancelled, []uint64{1})
				// The owner returned no result, so it is unknown whether the part ran.
				is.Equal(results[1].Err.Verdict, verdict.MayHaveRun)
				cancel()
				a.Close()
				b.Close()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestStalledPeerDoesNotDelayOthers guards against delays of parts to one peer because another peer does not read from
// its connection, and against an unlimited number of parts in flight to the latter.
func TestStalledPeerDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		listenAndAnswerParts(t, n, func(w frameConn, _ json.RawMessage) {
			time.Sleep(time.Hour)
			_ = w.Close()
		})
		a := n.startNode(t, "a", testKey, Handlers{})
		a.settings.Limits.MaxParts = 100
		c := n.startNode(t, "c", testKey, Handlers{Parts: &stubRunner{}})
		reasons := make(chan verdict.Reason, 1000)
		var attempt uint64
		for range 30 {
			parts := testParts(10, 30*time.Second)
			for i := range parts {
				attempt++
				parts[i].Attempt = attempt
			}
			a.Send(t.Context(), "b", parts, func(result query.Result) { reasons <- result.Err.Reason })
			synctest.Wait()
		}
		start := time.Now()
		is.Equal(len(sendAndCollect(t.Context(), t, a, "c", testParts(20, time.Second))), 20)
		is.Equal(time.Since(start), time.Duration(0))
		time.Sleep(2 * time.Second) // after the write timeout the connection is closed
		counted := make(map[verdict.Reason]int)
		for range 300 {
			counted[<-reasons]++
		}
		is.Equal(counted[verdict.Overloaded], 200)
		is.Equal(counted[verdict.ConnectionLost]+counted[verdict.PeerUnreachable], 100)
		a.Close()
		c.Close()
		time.Sleep(2 * time.Hour)
	})
}

// stubConfigurationSource has the configuration of revision 9.
type stubConfigurationSource struct{ changed chan uint64 }

func (stubConfigurationSource) Configuration(_ context.Context, known uint64) (Configuration, error) {
	if known >= 9 {
		return Configuration{Revision: 9}, nil
	}
	return Configuration{Revision: 9, Document: []byte("[configuration]\nformat = 1\n")}, nil
}

func (c stubConfigurationSource) ConfigurationChanged(_ context.Context, _ fleet.InstanceID, revision uint64) {
	c.changed <- revision
}

// failingHandover records the state and returns an error.
type failingHandover struct{ state chan string }

func (h failingHandover) Handover(_ context.Context, _ fleet.InstanceID, state json.RawMessage) error {
	h.state <- string(state)
	return errors.New("the state is malformed")
}

// TestConfigurationAndHandover guards against a call that is not delivered to its handler or gets the result of another
// method.
func TestConfigurationAndHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		source, handover := stubConfigurationSource{make(chan uint64, 1)}, failingHandover{make(chan string, 1)}
		a := n.startNode(t, "a", testKey, Handlers{})
		b := n.startNode(t, "b", testKey, Handlers{Configuration: source, Handover: handover})
		defer a.Close()
		defer b.Close()
		got, err := a.GetConfiguration(t.Context(), "b", 9)
		is.NoErr(err)
		is.Equal(got, Configuration{Revision: 9}) // nothing newer
		got, err = a.GetConfiguration(t.Context(), "b", 8)
		is.NoErr(err)
		is.Equal(got, Configuration{Revision: 9, Document: []byte("[configuration]\nformat = 1\n")})
		is.NoErr(a.ConfigurationChanged(t.Context(), "b", 10))
		is.Equal(<-source.changed, uint64(10))
		err = a.Handover(t.Context(), "b", json.RawMessage(`{"b":"<1>","a":2}`))
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
		is.Equal(<-handover.state, `{"b":"<1>","a":2}`) // as it was encoded
		_, err = b.GetConfiguration(t.Context(), "a", 0)
		is.Equal(verdict.Of(err), verdict.NotRun) // a has no handler for it
		_, err = a.Heartbeat(t.Context(), "c", Heartbeat{})
		is.Equal(verdict.Of(err), verdict.NotRun) // no node listens at address c
	})
}

// TestForwardedTicketRunsOnceAtIssuer guards against a ticket that runs at an instance other than its issuer, or twice
// when it is forwarded from two instances.
func TestForwardedTicketRunsOnceAtIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		ran := make(map[string]int)
		routers := make(map[string]*ticket.Router)
		runners := make(map[string]*ticket.Runner)
		for i, name := range []string{"a", "b", "c"} {
			var err error
			runners[name], err = ticket.New(ticket.Settings{Instance: instanceID(name), Key: []byte(testKey)}, rand.New(rand.NewSource(int64(i))))
			is.NoErr(err)
			lazy := &lazyRouter{routers, name}
			node := n.startNode(t, name, testKey, Handlers{Tickets: lazy})
			defer node.Close()
			routers[name] = ticket.NewRouter(runners[name], node, func(_ context.Context, call ticket.Call) ticket.Outcome {
				ran[name]++
				time.Sleep(time.Second)
				return ticket.Outcome{Answer: call.Body}
			})
		}
		texts, _, err := runners["b"].Issue(2)
		is.NoErr(err)
		call := ticket.Call{Ticket: texts[0], Body: json.RawMessage(`{"z":1,"a":"<"}`), Deadline: time.Now().Add(5 * time.Second)}
		first := make(chan ticket.Outcome)
		go func() { first <- routers["a"].Route(t.Context(), call) }()
		second := routers["c"].Route(t.Context(), call)
		is.Equal(second, ticket.Outcome{Answer: call.Body})
		is.Equal(<-first, second)
		is.Equal(ran, map[string]int{"b": 1})
		// The first caller gives up before the outcome; a later request with the same ticket gets the outcome.
		call.Ticket, call.Deadline = texts[1], time.Now().Add(1500*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		is.Equal(routers["a"].Route(ctx, call).Err.Verdict, verdict.MayHaveRun)
		is.Equal(routers["c"].Route(t.Context(), call), ticket.Outcome{Answer: call.Body})
		is.Equal(ran, map[string]int{"b": 2})
	})
}

// lazyRouter looks up the router for each call, because the router is created after its node.
type lazyRouter struct {
	routers map[string]*ticket.Router
	name    string
}

func (l *lazyRouter) RunTicket(ctx context.Context, from fleet.InstanceID, call ticket.Call) ticket.Outcome {
	return l.routers[l.name].RunTicket(ctx, from, call)
}

// TestFrameIsWithdrawnAtEarliestDeadline guards against parts that stay open until their own deadline although their
// frame was withdrawn at the earlier deadline of another part, and against "may have run" for a frame that was never
// written.
func TestFrameIsWithdrawnAtEarliestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		listenAndAnswerParts(t, n, func(w frameConn, _ json.RawMessage) {
			time.Sleep(time.Hour)
			_ = w.Close()
		})
		a := n.startNode(t, "a", testKey, Handlers{})
		for attempt := range uint64(2) {
			// The peer reads the first frame and stalls the writer with the second.
			parts := testParts(1, time.Minute)
			parts[0].Attempt = 100 + attempt
			a.Send(t.Context(), "b", parts, func(query.Result) {})
			synctest.Wait()
		}
		parts := testParts(3, 100*time.Millisecond)
		parts[2].Deadline = time.Now().Add(time.Minute)
		start := time.Now()
		requireVerdict(t, sendAndCollect(t.Context(), t, a, "b", parts), 3, verdict.NotRun, verdict.PeerUnreachable)
		is.Equal(time.Since(start), 100*time.Millisecond)
		a.Close()
		time.Sleep(2 * time.Hour)
	})
}
