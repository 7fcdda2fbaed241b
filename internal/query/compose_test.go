package query

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/snapshot"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Guards against callers that send a request again and again although every server refuses the request itself.
func TestRetryAfterOfRefusedRequest(t *testing.T) {
	cases := map[string]struct {
		reason     verdict.Reason
		belowFloor catalogue.BelowFloor
		millis     int64
	}{
		"invalid":            {verdict.InvalidRequest, catalogue.Refuse, 0},
		"unauthorised":       {verdict.Unauthorised, catalogue.Refuse, 0},
		"invalid, partial":   {verdict.InvalidRequest, catalogue.Partial, 0},
		"shedding":           {verdict.Shedding, catalogue.Refuse, 1000},
		"not ready, partial": {verdict.NotReady, catalogue.Partial, 1000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				defer time.Sleep(time.Second) // the parts in flight end
				w := newWorld(20, catalogue.Service{Idempotent: true, Deadline: time.Second, CoverageFloor: 0.95, BelowFloor: c.belowFloor})
				sender := newFakeSender(1)
				sender.outage = verdict.New(verdict.NotRun, c.reason, "drawn")
				engine := New("zone-a", sender, oneOwner{}, snapshot.NewHoldings(), 1)
				engine.Update(w.view(), w.catalogue(), w.index(w.shardMap(1, 20)))
				_, refusal := engine.Run(t.Context(), Request{
					Application: "race", ID: "q", Query: []byte(`"q"`), Deadline: time.Now().Add(time.Second),
				})
				is.True(refusal != nil)
				is.Equal(refusal.Reason, c.reason)
				is.Equal(refusal.RetryAfterMillis, c.millis)
			})
		})
	}
}
