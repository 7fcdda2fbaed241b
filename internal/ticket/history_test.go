package ticket

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// An operation of the history is an execution at a backend server, or an attempt with its verdict.
type operation struct {
	ticket, digest int
	executed       bool
}

// ticketState is what the model knows of one ticket: the request that ran, and those that a caller
// has been told will never run.
type ticketState struct {
	ran  int
	dead [2]bool
}

var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byTicket := make(map[int][]porcupine.Operation)
		for _, op := range history {
			ticket := op.Input.(operation).ticket
			byTicket[ticket] = append(byTicket[ticket], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byTicket {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return ticketState{ran: -1} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(ticketState), input.(operation)
		if in.executed {
			legal := s.ran == -1 && !s.dead[in.digest]
			s.ran = in.digest
			return legal, s
		}
		switch output.(verdict.Verdict) {
		case verdict.Ran:
			return s.ran == in.digest, s
		case verdict.NotRun:
			legal := s.ran != in.digest
			s.dead[in.digest] = true
			return legal, s
		}
		return true, s
	},
}

// attempt is one try of a caller, as rapid generates it.
type attempt struct {
	At, Deadline      time.Duration
	Ticket, Digest    int
	Via               int
	Run               time.Duration
	RunNotRun, NoTell bool
	Fault             int
	Delay             time.Duration
}

// The faults of forwarding.
const (
	faultNone = iota
	faultCut
	faultLostReply
	faultDuplicate
	faultPause
	faultCount
)

type schedule struct {
	Attempts []attempt
	Crashes  []crash
	Issues   []time.Duration
}

type crash struct {
	At       time.Duration
	Instance int
}

func drawSchedule(t *rapid.T) schedule {
	millis := func(most int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(0, most), func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond })
	}
	attempts := rapid.Custom(func(t *rapid.T) attempt {
		return attempt{
			At: millis(4000).Draw(t, "at"), Deadline: millis(800).Draw(t, "deadline"),
			Ticket: rapid.IntRange(0, 5).Draw(t, "ticket"), Digest: max(0, rapid.IntRange(-4, 1).Draw(t, "digest")),
			Via: rapid.IntRange(0, 2).Draw(t, "via"), Run: millis(600).Draw(t, "run"),
			RunNotRun: rapid.IntRange(0, 5).Draw(t, "not-run") == 0, NoTell: rapid.IntRange(0, 5).Draw(t, "no-tell") == 0,
			Fault: rapid.IntRange(0, faultCount-1).Draw(t, "fault"), Delay: millis(3000).Draw(t, "delay"),
		}
	})
	return schedule{
		Attempts: rapid.SliceOfN(attempts, 8, 40).Draw(t, "attempts"),
		Crashes: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) crash {
			return crash{millis(4000).Draw(t, "at"), rapid.IntRange(0, 2).Draw(t, "instance")}
		}), 0, 2).Draw(t, "crashes"),
		Issues: rapid.SliceOfN(millis(4000), 0, 4).Draw(t, "issues"),
	}
}

// fleetOfRunners is three instances with a network that loses, delays and repeats what they forward.
type fleetOfRunners struct {
	mu      sync.Mutex
	routers [3]*Router
	random  *rand.Rand
	clock   atomic.Int64
	history []porcupine.Operation
	// isolated makes every instance run any ticket it sees, as retries without tickets do.
	isolated bool
}

func (f *fleetOfRunners) start(instance int) {
	runner, err := New(Settings{
		Instance: instanceName(instance), Key: []byte("a key of the tests"), WindowCount: 8, Valid: 2 * time.Second, OutcomeBytes: 40,
	}, f.random)
	if err != nil {
		panic(err)
	}
	f.routers[instance] = NewRouter(runner, f, f.run)
}

func instanceName(instance int) fleet.InstanceID {
	return fleet.InstanceID(rune('a' + instance))
}

func (f *fleetOfRunners) router(instance int) *Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.routers[instance]
}

func (f *fleetOfRunners) record(input operation, output any, called int64) {
	returned := f.clock.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, porcupine.Operation{
		ClientId: len(f.history), Input: input, Call: called, Output: output, Return: returned,
	})
}

// run stands in for the query: it runs at a backend server, or does not and says so, or is lost.
func (f *fleetOfRunners) run(ctx context.Context, call Call) Outcome {
	var a attempt
	if err := json.Unmarshal(call.Body, &a); err != nil {
		panic(err)
	}
	time.Sleep(a.Run / 2)
	if a.RunNotRun {
		return Outcome{Err: verdict.New(verdict.NotRun, verdict.Overloaded, "")}
	}
	f.record(operation{a.Ticket, a.Digest, true}, nil, f.clock.Add(1))
	time.Sleep(a.Run / 2)
	if a.NoTell || ctx.Err() != nil {
		return Outcome{Err: verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "")}
	}
	return Outcome{Answer: json.RawMessage(`"an answer"`)}
}

// ForwardTicket implements Forwarder with the fault that the attempt carries.
func (f *fleetOfRunners) ForwardTicket(ctx context.Context, to fleet.InstanceID, call Call) (Outcome, *verdict.Error) {
	var a attempt
	if err := json.Unmarshal(call.Body, &a); err != nil {
		panic(err)
	}
	lost := verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "")
	if a.Fault == faultCut {
		return Outcome{}, verdict.New(verdict.NotRun, verdict.PeerUnreachable, "")
	}
	instance := int(to[0] - 'a')
	// arrive has the frame reach whichever process holds the address then, with the time left of it.
	arrive := func(after time.Duration) Outcome {
		time.Sleep(after)
		ctx, cancel := context.WithTimeout(context.Background(), a.Deadline)
		defer cancel()
		return f.router(instance).RunTicket(ctx, "", call)
	}
	switch a.Fault {
	case faultDuplicate:
		go arrive(a.Delay)
	case faultPause:
		go arrive(a.Delay)
		<-ctx.Done()
		return Outcome{}, lost
	}
	before := f.router(instance)
	outcome := arrive(0)
	if a.Fault == faultLostReply || f.router(instance) != before {
		return Outcome{}, lost
	}
	return outcome, nil
}

func (f *fleetOfRunners) try(tickets []string, a attempt) {
	time.Sleep(a.At)
	body, _ := json.Marshal(a)
	ctx, cancel := context.WithTimeout(context.Background(), a.Deadline)
	defer cancel()
	call := Call{
		Ticket: tickets[a.Ticket], Digest: Digest{byte(a.Digest)}, Body: body, Deadline: time.Now().Add(a.Deadline),
	}
	called := f.clock.Add(1)
	before := f.router(a.Via)
	var outcome Outcome
	if f.isolated {
		outcome = f.run(ctx, call)
	} else {
		outcome = before.Route(ctx, call)
	}
	told := verdict.Ran
	if outcome.Err != nil {
		told = outcome.Err.Verdict
	}
	if f.router(a.Via) != before {
		told = verdict.MayHaveRun // The instance crashed with the caller's connection.
	}
	f.record(operation{a.Ticket, a.Digest, false}, told, called)
}

// play runs a schedule on fake time and returns whether the model accepts its history.
func play(t *testing.T, s schedule, isolated bool) (accepted bool, history []porcupine.Operation) {
	synctest.Test(t, func(*testing.T) {
		f := &fleetOfRunners{random: rand.New(rand.NewSource(1)), isolated: isolated}
		var tickets []string
		for instance := range f.routers {
			f.start(instance)
			issued, _, err := f.routers[instance].runner.Issue(2)
			if err != nil {
				panic(err)
			}
			tickets = append(tickets, issued...)
		}
		var group sync.WaitGroup
		for _, a := range s.Attempts {
			group.Go(func() { f.try(tickets, a) })
		}
		for _, c := range s.Crashes {
			group.Go(func() {
				time.Sleep(c.At)
				f.mu.Lock()
				defer f.mu.Unlock()
				f.start(c.Instance)
			})
		}
		// Issuing pushes the first tickets out of the window.
		for _, at := range s.Issues {
			group.Go(func() {
				time.Sleep(at)
				for instance := range f.routers {
					_, _, _ = f.router(instance).runner.Issue(4)
				}
			})
		}
		group.Wait()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		history = f.history
	})
	return porcupine.CheckOperations(model, history), history
}

// Guards against a ticket that runs twice and against a verdict that is not true, under repeats,
// lost replies, late duplicates, cuts, crashes and tickets that leave the window.
func TestTicketHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		if accepted, history := play(t, s, false); !accepted {
			rt.Fatalf("a ticket ran twice or a verdict is false:\n%s", describe(history))
		}
	})
}

// Guards against a model that accepts anything: retries without an issuer must be seen to run twice.
func TestHistoriesOfRetriesWithoutTicketsAreRejected(t *testing.T) {
	rejected := 0
	for seed := range 20 {
		s := rapid.Custom(drawSchedule).Example(seed)
		if accepted, _ := play(t, s, true); !accepted {
			rejected++
		}
	}
	if rejected == 0 {
		t.Fatal("no history of retries without tickets was rejected")
	}
	t.Logf("%d of 20 histories rejected", rejected)
}

func describe(history []porcupine.Operation) (text string) {
	for _, op := range history {
		text += fmt.Sprintf("%3d-%3d %+v %v\n", op.Call, op.Return, op.Input, op.Output)
	}
	return text
}
