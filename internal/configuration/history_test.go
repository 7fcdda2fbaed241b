package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/standin/store"
)

// swap is one call of an operator: replace the document with write id base. A read has kind "read".
type swap struct {
	kind string
	base string
}

// swapped is its outcome; id is the id of the write, or of the document that was read.
type swapped struct {
	outcome string
	id      string
}

// register is the store's document as a register with compare-and-swap, by its write id. A write with an
// unknown outcome may take effect at any time after its call, or never.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		id, in, out := state.(string), input.(swap), output.(swapped)
		switch {
		case in.kind == "read" && out.id == id:
			return []any{id}
		case in.kind == "read":
			return nil
		case out.outcome == "accepted" && id == in.base:
			return []any{out.id}
		case out.outcome == "accepted":
			return nil
		case out.outcome == "conflict" && id != in.base:
			return []any{id}
		case out.outcome == "conflict":
			return nil
		case out.outcome == "unknown" && id == in.base:
			return []any{id, out.id}
		}
		return []any{id}
	},
	Equal: func(a, b any) bool { return a == b },
}

// recorder collects the operations of all operators.
type recorder struct {
	mutex      sync.Mutex
	clock      atomic.Int64
	operations []porcupine.Operation
}

func (r *recorder) record(client int, in swap, call func() swapped) {
	start := r.clock.Add(1)
	out := call()
	end := r.clock.Add(1)
	if out.outcome == "unknown" {
		end = math.MaxInt64
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.operations = append(r.operations, porcupine.Operation{ClientId: client, Input: in, Call: start, Output: out, Return: end})
}

// step is one change of the store's faults.
type step struct {
	after  time.Duration
	faults store.Faults
}

var drawStep = rapid.Custom(func(t *rapid.T) step {
	s := step{after: time.Duration(rapid.IntRange(1, 1500).Draw(t, "after")) * time.Millisecond}
	switch rapid.SampledFrom([]string{"none", "lose", "drop", "down", "slow", "behind", "mixed"}).Draw(t, "fault") {
	case "lose":
		s.faults.LoseReplies = rapid.IntRange(1, 3).Draw(t, "count")
	case "drop":
		s.faults.DropWrites = rapid.IntRange(1, 3).Draw(t, "count")
	case "down":
		s.faults.Down = true
	case "slow":
		s.faults.SlowWriteMillis = int64(rapid.IntRange(100, 1800).Draw(t, "millis"))
	case "behind":
		s.faults.Behind = uint64(rapid.IntRange(1, 3).Draw(t, "behind"))
	case "mixed":
		s.faults = store.Faults{LoseReplies: 1, SlowWriteMillis: 600, Behind: 1}
	}
	return s
})

// TestEditorHistory guards against an accepted change that is not in the history of the store, against a
// conflict that took effect, and against a change that another operator's write silently undid.
func TestEditorHistory(t *testing.T) {
	counts := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(drawStep, 1, 6).Draw(rt, "steps")
		r := &recorder{}
		synctest.Test(t, func(t *testing.T) { runOperators(t, r, seed, steps) })
		for _, operation := range r.operations {
			counts[operation.Output.(swapped).outcome]++
		}
		if porcupine.CheckOperationsTimeout(register.ToModel(), r.operations, 20*time.Second) != porcupine.Ok {
			rt.Fatalf("not a history of a register: %+v", r.operations)
		}
	})
	t.Log("outcomes:", counts)
	for _, want := range []string{"accepted", "conflict", "unknown"} {
		if counts[want] == 0 {
			t.Errorf("no operation was %s: the schedules prove too little", want)
		}
	}
}

func runOperators(t *testing.T, r *recorder, seed uint64, steps []step) {
	s := store.New()
	var group sync.WaitGroup
	for operator := range 3 {
		group.Go(func() {
			random := seeded(seed + uint64(operator))
			editor := newEditor(s, seed+uint64(100*operator))
			for turn := range 4 {
				time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
				base := ""
				r.record(operator, swap{kind: "read"}, func() swapped {
					base = storedID(s)
					return swapped{id: base}
				})
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
				if base != "" || turn == 0 {
					operate(t, r, operator, editor, base, fleet.ZoneID(fmt.Sprintf("zone-%d-%d", operator, turn)))
				}
			}
		})
	}
	group.Go(func() {
		for _, step := range steps {
			time.Sleep(step.after)
			s.SetFaults(step.faults)
		}
	})
	group.Wait()
	s.SetFaults(store.Faults{})
	time.Sleep(5 * time.Second) // late writes arrive
	r.record(9, swap{kind: "read"}, func() swapped { return swapped{id: storedID(s)} })
}

func storedID(s *store.Store) string {
	current, _ := catalogue.Parse("store", s.Entry(configuration.Key).Value)
	if ids := current.WriteIDs(); len(ids) > 0 {
		return ids[0]
	}
	return ""
}

func operate(t *testing.T, r *recorder, operator int, editor *configuration.Editor, base string, zone fleet.ZoneID) {
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	edit := takeOut(zone, false)
	edit.Base = base
	in := swap{kind: "swap", base: base}
	if base == "" {
		// An empty base stands for whatever is in the store; only a store without a document matches.
		edit.Apply = func(c catalogue.Catalogue) (catalogue.Catalogue, error) {
			if len(c.WriteIDs()) > 0 {
				return c, &configuration.RejectedError{}
			}
			return c.WithZoneOut(zone, true), nil
		}
	}
	r.record(operator, in, func() swapped {
		accepted, err := editor.Apply(ctx, edit)
		out := swapped{outcome: outcome(err), id: accepted.WriteID}
		if unknown, ok := errors.AsType[*configuration.UnknownOutcomeError](err); ok {
			out.id = unknown.WriteID
		}
		return out
	})
}
