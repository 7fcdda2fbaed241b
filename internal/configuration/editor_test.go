package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/coordination"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/standin/inprocess"
	"github.com/medlarlatch/medlarlatch/internal/standin/store"
)

func seeded(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

func newEditor(s *store.Store, seed uint64) *configuration.Editor {
	adapter := coordination.NewStore("http://store", coordination.Options{
		Client: inprocess.Client(s), Timeout: time.Second, Random: seeded(seed),
	})
	return configuration.NewEditor(adapter, seeded(seed+1))
}

// takeOut takes a zone out; with single it is repeated on top of other writes.
func takeOut(zone fleet.ZoneID, single bool) configuration.Edit {
	edit := configuration.Edit{Apply: func(c catalogue.Catalogue) (catalogue.Catalogue, error) { return c.WithZoneOut(zone, true), nil }}
	if single {
		edit.Target = func(c catalogue.Catalogue) string { return fmt.Sprint(c.ZoneOut(zone)) }
	}
	return edit
}

// outcome names the result of an edit.
func outcome(err error) string {
	if _, ok := errors.AsType[*configuration.RejectedError](err); ok {
		return "conflict"
	}
	if _, ok := errors.AsType[*configuration.UnknownOutcomeError](err); ok {
		return "unknown"
	}
	if err != nil {
		return "failed"
	}
	return "accepted"
}

// TestEditorOutcome guards against reporting an outcome that is not the one in the store.
func TestEditorOutcome(t *testing.T) {
	type scene struct {
		faults store.Faults
		// meanwhile are zones that another operator takes out 500 ms after the start.
		meanwhile []fleet.ZoneID
		// healed clears the faults after that time; 0 leaves them.
		healed time.Duration
		single bool
		want   string
		out    bool
		// later is set if another write is on top when the outcome is resolved.
		later bool
	}
	many := make([]fleet.ZoneID, catalogue.MaxWriteIDs+1)
	for i := range many {
		many[i] = fleet.ZoneID(fmt.Sprint("other-", i))
	}
	cases := map[string]scene{
		"accepted":                           {want: "accepted", out: true},
		"reply lost":                         {faults: store.Faults{LoseReplies: 1}, want: "accepted", out: true},
		"all replies lost":                   {faults: store.Faults{LoseReplies: 1000}, want: "accepted", out: true},
		"write dropped":                      {faults: store.Faults{DropWrites: 1}, want: "accepted", out: true},
		"all writes dropped":                 {faults: store.Faults{DropWrites: 1000}, want: "unknown"},
		"down":                               {faults: store.Faults{Down: true}, want: "failed"},
		"slow write, other operator first":   {faults: store.Faults{SlowWriteMillis: 900}, meanwhile: []fleet.ZoneID{"b"}, want: "conflict"},
		"slow write, other single edit":      {faults: store.Faults{SlowWriteMillis: 900}, meanwhile: []fleet.ZoneID{"b"}, single: true, want: "accepted", out: true},
		"slow write, same single edit":       {faults: store.Faults{SlowWriteMillis: 900}, meanwhile: []fleet.ZoneID{"zone-a"}, single: true, want: "conflict", out: true},
		"slow write beyond the timeout":      {faults: store.Faults{SlowWriteMillis: 1500}, want: "accepted", out: true},
		"reply lost, then another operator":  {faults: store.Faults{LoseReplies: 1}, meanwhile: []fleet.ZoneID{"b"}, healed: time.Second, want: "accepted", out: true, later: true},
		"dropped, then very many writes":     {faults: store.Faults{DropWrites: 1, SlowWriteMillis: 900}, meanwhile: many, single: true, want: "unknown"},
		"store behind, then not":             {faults: store.Faults{Behind: 1}, healed: 400 * time.Millisecond, want: "conflict"},
		"store behind, single edit":          {faults: store.Faults{Behind: 1}, healed: 400 * time.Millisecond, single: true, want: "accepted", out: true},
		"store behind all the time":          {faults: store.Faults{Behind: 1}, single: true, want: "failed"},
		"reply lost and store behind for 2s": {faults: store.Faults{LoseReplies: 1}, healed: 2 * time.Second, want: "accepted", out: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := store.New()
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				for _, zone := range []fleet.ZoneID{"x", "y"} {
					_, err := newEditor(s, 1).Apply(ctx, takeOut(zone, true))
					is.NoErr(err)
				}
				s.SetFaults(tc.faults)
				if tc.healed > 0 {
					time.AfterFunc(tc.healed, func() { s.SetFaults(store.Faults{}) })
				}
				time.AfterFunc(500*time.Millisecond, func() {
					for _, zone := range tc.meanwhile {
						putOut(s, zone)
					}
				})
				if tc.later {
					time.AfterFunc(time.Millisecond, func() { s.SetFaults(store.Faults{Down: true}) })
				}
				accepted, err := newEditor(s, 7).Apply(ctx, takeOut("zone-a", tc.single))
				t.Log(err)
				is.Equal(outcome(err), tc.want)
				is.Equal(accepted.AtMost, tc.later)
				time.Sleep(5 * time.Second) // late writes arrive
				stored, faults := catalogue.Parse("store", s.Entry(configuration.Key).Value)
				is.NoErr(faults.Err())
				is.Equal(stored.ZoneOut("zone-a"), tc.out)
			})
		})
	}
}

// putOut writes as another operator does, without the faults of the store.
func putOut(s *store.Store, zone fleet.ZoneID) {
	current, _ := catalogue.Parse("store", s.Entry(configuration.Key).Value)
	id := fmt.Sprintf("other-%d", s.Entry(configuration.Key).Revision)
	s.Put(configuration.Key, current.WithZoneOut(zone, true).WithWriteIDs(append([]string{id}, current.WriteIDs()...)).Format())
}
