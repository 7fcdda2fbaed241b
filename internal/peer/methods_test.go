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

// Guards against a cancelled part that runs on, and against a verdict other than the owner's.
func TestCancel(t *testing.T) {
	cases := map[string]func(cancel context.CancelFunc, a *Node){
		"one part":  func(_ context.CancelFunc, a *Node) { a.Cancel("b", 1) },
		"the query": func(cancel context.CancelFunc, _ *Node) { cancel() },
	}
	for label, give := range cases {
		t.Run(label, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				far := &runner{answer: func(query.Part) *query.Result { return nil }}
				a, b := n.join(t, "a", testKey, Handlers{}), n.join(t, "b", testKey, Handlers{Parts: far})
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(100*time.Millisecond, func() { give(cancel, a) })
				results := collect(ctx, t, a, "b", testParts(1, time.Second))
				synctest.Wait()
				is.Equal(far.cancelled, []uint64{1})
				// The owner gave no result, so nobody knows whether the part ran.
				is.Equal(results[1].Err.Verdict, verdict.MayHaveRun)
				cancel()
				a.Close()
				b.Close()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Guards against one peer that reads nothing holding up the parts for another, and against parts
// without bound in flight to it.
func TestStalledPeerHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		answerParts(t, n, func(w wire, _ json.RawMessage) {
			time.Sleep(time.Hour)
			_ = w.Close()
		})
		a := n.join(t, "a", testKey, Handlers{})
		a.settings.Limits.Parts = 100
		c := n.join(t, "c", testKey, Handlers{Parts: &runner{}})
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
		is.Equal(len(collect(t.Context(), t, a, "c", testParts(20, time.Second))), 20)
		is.Equal(time.Since(start), time.Duration(0))
		time.Sleep(2 * time.Second) // the stalled write has closed the connection
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

type configured struct{ changed chan uint64 }

func (configured) Configuration(_ context.Context, known uint64) (Configuration, error) {
	if known >= 9 {
		return Configuration{Revision: 9}, nil
	}
	return Configuration{Revision: 9, Document: []byte("[configuration]\nformat = 1\n")}, nil
}

func (c configured) ConfigurationChanged(_ context.Context, _ fleet.InstanceID, revision uint64) {
	c.changed <- revision
}

type handover struct{ state chan string }

func (h handover) Handover(_ context.Context, _ fleet.InstanceID, state json.RawMessage) error {
	h.state <- string(state)
	return errors.New("the state is malformed")
}

// Guards against a method that is lost or answered with another's result.
func TestConfigurationAndHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		source, taker := configured{make(chan uint64, 1)}, handover{make(chan string, 1)}
		a := n.join(t, "a", testKey, Handlers{})
		b := n.join(t, "b", testKey, Handlers{Configuration: source, Handover: taker})
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
		is.Equal(<-taker.state, `{"b":"<1>","a":2}`) // as it was encoded
		_, err = b.GetConfiguration(t.Context(), "a", 0)
		is.Equal(verdict.Of(err), verdict.NotRun) // a serves none
		_, err = a.Heartbeat(t.Context(), "c", Heartbeat{})
		is.Equal(verdict.Of(err), verdict.NotRun) // nobody listens as c
	})
}

// Guards against a ticket that runs at another instance than its issuer, or twice through two of them.
func TestTicketThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		ran := make(map[string]int)
		routers := make(map[string]*ticket.Router)
		runners := make(map[string]*ticket.Runner)
		for i, name := range []string{"a", "b", "c"} {
			var err error
			runners[name], err = ticket.New(ticket.Settings{Instance: fleetID(name), Key: []byte(testKey)}, rand.New(rand.NewSource(int64(i))))
			is.NoErr(err)
			late := &lateRouter{routers, name}
			node := n.join(t, name, testKey, Handlers{Tickets: late})
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
		// The caller gives up first; the outcome is there for the repeat.
		call.Ticket, call.Deadline = texts[1], time.Now().Add(1500*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		is.Equal(routers["a"].Route(ctx, call).Err.Verdict, verdict.MayHaveRun)
		is.Equal(routers["c"].Route(t.Context(), call), ticket.Outcome{Answer: call.Body})
		is.Equal(ran, map[string]int{"b": 2})
	})
}

// lateRouter finds the router when a call comes, because a router needs its node first.
type lateRouter struct {
	routers map[string]*ticket.Router
	name    string
}

func (l *lateRouter) RunTicket(ctx context.Context, from fleet.InstanceID, call ticket.Call) ticket.Outcome {
	return l.routers[l.name].RunTicket(ctx, from, call)
}

// Guards against parts that wait for their own deadline after the frame that holds them was withdrawn
// at an earlier one, and against "may have run" for a frame that was never written.
func TestFrameIsWithdrawnAtItsFirstDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		answerParts(t, n, func(w wire, _ json.RawMessage) {
			time.Sleep(time.Hour)
			_ = w.Close()
		})
		a := n.join(t, "a", testKey, Handlers{})
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
		requireVerdict(t, collect(t.Context(), t, a, "b", parts), 3, verdict.NotRun, verdict.PeerUnreachable)
		is.Equal(time.Since(start), 100*time.Millisecond)
		a.Close()
		time.Sleep(2 * time.Hour)
	})
}
