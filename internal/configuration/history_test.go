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

// registerCall is one call of an operator: a write that replaces the document with write id base, or a read if kind is
// "read".
type registerCall struct {
	kind string
	base string
}

// registerResult is the outcome of a registerCall. id is the id of the write, or of the document that was read.
type registerResult struct {
	outcome string
	id      string
}

// registerModel is a porcupine model of the store's document: a register with compare-and-swap whose state is the write
// id of the document. A write with an unknown outcome may take effect at any time after its call, or never.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		id, in, out := state.(string), input.(registerCall), output.(registerResult)
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

// record runs a call and records it with its start and end. A call with an unknown outcome never ends, because it may
// take effect later.
func (r *recorder) record(client int, in registerCall, call func() registerResult) {
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

// faultStep is one change of the store's faults.
type faultStep struct {
	after  time.Duration
	faults store.Faults
}

var genFaultStep = rapid.Custom(func(t *rapid.T) faultStep {
	s := faultStep{after: time.Duration(rapid.IntRange(1, 1500).Draw(t, "after")) * time.Millisecond}
	switch rapid.SampledFrom([]string{"none", "lose", "drop", "down", "slow", "behind", "mixed"}).Draw(t, "fault") {
	case "lose":
		s.faults.LoseResponses = rapid.IntRange(1, 3).Draw(t, "count")
	case "drop":
		s.faults.DropWrites = rapid.IntRange(1, 3).Draw(t, "count")
	case "down":
		s.faults.Down = true
	case "slow":
		s.faults.SlowWriteMillis = int64(rapid.IntRange(100, 1800).Draw(t, "millis"))
	case "behind":
		s.faults.Behind = uint64(rapid.IntRange(1, 3).Draw(t, "behind"))
	case "mixed":
		s.faults = store.Faults{LoseResponses: 1, SlowWriteMillis: 600, Behind: 1}
	}
	return s
})

// TestEditorHistory guards against an accepted change that is missing from the history of the store, against a change
// that took effect although it was reported as a conflict, and against a change that another operator's write undid
// without a conflict.
func TestEditorHistory(t *testing.T) {
	counts := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(genFaultStep, 1, 6).Draw(rt, "steps")
		r := &recorder{}
		synctest.Test(t, func(t *testing.T) { runOperators(t, r, seed, steps) })
		for _, operation := range r.operations {
			counts[operation.Output.(registerResult).outcome]++
		}
		if porcupine.CheckOperationsTimeout(registerModel.ToModel(), r.operations, 20*time.Second) != porcupine.Ok {
			rt.Fatalf("not a history of a register: %+v", r.operations)
		}
	})
	t.Log("outcomes:", counts)
	for _, want := range []string{"accepted", "conflict", "unknown"} {
		if counts[want] == 0 {
			t.Errorf("no operation was %s: the generated fault schedules are not varied enough", want)
		}
	}
}

// runOperators runs three operators against one store whose faults change.
func runOperators(t *testing.T, r *recorder, seed uint64, steps []faultStep) {
	s := store.New()
	var group sync.WaitGroup
	for operator := range 3 {
		group.Go(func() {
			random := seeded(seed + uint64(operator))
			editor := newEditor(s, seed+uint64(100*operator))
			for iteration := range 4 {
				time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
				base := ""
				r.record(operator, registerCall{kind: "read"}, func() registerResult {
					base = storedID(s)
					return registerResult{id: base}
				})
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
				if base != "" || iteration == 0 {
					applyEdit(t, r, operator, editor, base, fleet.ZoneID(fmt.Sprintf("zone-%d-%d", operator, iteration)))
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
	time.Sleep(5 * time.Second) // delayed writes arrive
	r.record(9, registerCall{kind: "read"}, func() registerResult { return registerResult{id: storedID(s)} })
}

// storedID returns the write id of the document in the store, or "" if it has none.
func storedID(s *store.Store) string {
	current, _ := catalogue.Parse("store", s.Entry(configuration.CatalogueKey).Value)
	if ids := current.WriteIDs(); len(ids) > 0 {
		return ids[0]
	}
	return ""
}

// applyEdit makes and records one edit on the document with write id base.
func applyEdit(t *testing.T, r *recorder, operator int, editor *configuration.Editor, base string, zone fleet.ZoneID) {
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	edit := takeZoneOut(zone, false)
	edit.BaseWriteID = base
	in := registerCall{kind: "swap", base: base}
	if base == "" {
		// An edit with an empty base applies to whatever document is in the store. Here it must match only a store
		// without a document.
		edit.Apply = func(c catalogue.Catalogue) (catalogue.Catalogue, error) {
			if len(c.WriteIDs()) > 0 {
				return c, &configuration.RejectedError{}
			}
			return c.WithZoneOutOfService(zone, true), nil
		}
	}
	r.record(operator, in, func() registerResult {
		accepted, err := editor.Apply(ctx, edit)
		out := registerResult{outcome: outcome(err), id: accepted.WriteID}
		if unknown, ok := errors.AsType[*configuration.UnknownOutcomeError](err); ok {
			out.id = unknown.WriteID
		}
		return out
	})
}
