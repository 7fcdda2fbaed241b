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

// takeZoneOut returns an edit that takes a zone out of service. With withTarget it is repeated on top of other writes
// that leave the zone unchanged.
func takeZoneOut(zone fleet.ZoneID, withTarget bool) configuration.Edit {
	edit := configuration.Edit{Apply: func(c catalogue.Catalogue) (catalogue.Catalogue, error) {
		return c.WithZoneOutOfService(zone, true), nil
	}}
	if withTarget {
		edit.TargetText = func(c catalogue.Catalogue) string { return fmt.Sprint(c.ZoneOutOfService(zone)) }
	}
	return edit
}

// outcome classifies the result of an edit.
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

// TestEditorOutcome guards against reporting an outcome that differs from what happened in the store.
func TestEditorOutcome(t *testing.T) {
	type testCase struct {
		faults store.Faults
		// concurrentZones are the zones that another operator takes out 500 ms after the start.
		concurrentZones []fleet.ZoneID
		// healAfter is the time after which the faults are cleared; 0 leaves them.
		healAfter  time.Duration
		withTarget bool
		want       string
		wantOut    bool
		// overtaken makes the store unavailable 1 ms after the start, so that the outcome is determined only after
		// another write is on top; the result then has RevisionIsUpperBound set.
		overtaken bool
	}
	tooManyZones := make([]fleet.ZoneID, catalogue.MaxWriteIDs+1)
	for i := range tooManyZones {
		tooManyZones[i] = fleet.ZoneID(fmt.Sprint("other-", i))
	}
	cases := map[string]testCase{
		"accepted":                           {want: "accepted", wantOut: true},
		"reply lost":                         {faults: store.Faults{LoseResponses: 1}, want: "accepted", wantOut: true},
		"all replies lost":                   {faults: store.Faults{LoseResponses: 1000}, want: "accepted", wantOut: true},
		"write dropped":                      {faults: store.Faults{DropWrites: 1}, want: "accepted", wantOut: true},
		"all writes dropped":                 {faults: store.Faults{DropWrites: 1000}, want: "unknown"},
		"down":                               {faults: store.Faults{Down: true}, want: "failed"},
		"slow write, other operator first":   {faults: store.Faults{SlowWriteMillis: 900}, concurrentZones: []fleet.ZoneID{"b"}, want: "conflict"},
		"slow write, edit of another zone":   {faults: store.Faults{SlowWriteMillis: 900}, concurrentZones: []fleet.ZoneID{"b"}, withTarget: true, want: "accepted", wantOut: true},
		"slow write, edit of the same zone":  {faults: store.Faults{SlowWriteMillis: 900}, concurrentZones: []fleet.ZoneID{"zone-a"}, withTarget: true, want: "conflict", wantOut: true},
		"slow write beyond the timeout":      {faults: store.Faults{SlowWriteMillis: 1500}, want: "accepted", wantOut: true},
		"reply lost, then another operator":  {faults: store.Faults{LoseResponses: 1}, concurrentZones: []fleet.ZoneID{"b"}, healAfter: time.Second, want: "accepted", wantOut: true, overtaken: true},
		"dropped, then too many writes":      {faults: store.Faults{DropWrites: 1, SlowWriteMillis: 900}, concurrentZones: tooManyZones, withTarget: true, want: "unknown"},
		"store behind, then not":             {faults: store.Faults{Behind: 1}, healAfter: 400 * time.Millisecond, want: "conflict"},
		"store behind, edit of one zone":     {faults: store.Faults{Behind: 1}, healAfter: 400 * time.Millisecond, withTarget: true, want: "accepted", wantOut: true},
		"store behind all the time":          {faults: store.Faults{Behind: 1}, withTarget: true, want: "failed"},
		"reply lost and store behind for 2s": {faults: store.Faults{LoseResponses: 1}, healAfter: 2 * time.Second, want: "accepted", wantOut: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := store.New()
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				for _, zone := range []fleet.ZoneID{"x", "y"} {
					_, err := newEditor(s, 1).Apply(ctx, takeZoneOut(zone, true))
					is.NoErr(err)
				}
				s.SetFaults(tc.faults)
				if tc.healAfter > 0 {
					time.AfterFunc(tc.healAfter, func() { s.SetFaults(store.Faults{}) })
				}
				time.AfterFunc(500*time.Millisecond, func() {
					for _, zone := range tc.concurrentZones {
						putZoneOut(s, zone)
					}
				})
				if tc.overtaken {
					time.AfterFunc(time.Millisecond, func() { s.SetFaults(store.Faults{Down: true}) })
				}
				accepted, err := newEditor(s, 7).Apply(ctx, takeZoneOut("zone-a", tc.withTarget))
				t.Log(err)
				is.Equal(outcome(err), tc.want)
				is.Equal(accepted.RevisionIsUpperBound, tc.overtaken)
				time.Sleep(5 * time.Second) // delayed writes arrive
				stored, faults := catalogue.Parse("store", s.Entry(configuration.CatalogueKey).Value)
				is.NoErr(faults.Err())
				is.Equal(stored.ZoneOutOfService("zone-a"), tc.wantOut)
			})
		})
	}
}

// putZoneOut writes to the store as another operator would, bypassing the faults of the store.
func putZoneOut(s *store.Store, zone fleet.ZoneID) {
	current, _ := catalogue.Parse("store", s.Entry(configuration.CatalogueKey).Value)
	id := fmt.Sprintf("other-%d", s.Entry(configuration.CatalogueKey).Revision)
	s.Put(configuration.CatalogueKey, current.WithZoneOutOfService(zone, true).WithWriteIDs(append([]string{id}, current.WriteIDs()...)).Format())
}
