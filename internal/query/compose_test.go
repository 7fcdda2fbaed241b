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

// TestRetryAfterOfRefusedRequest guards against callers that repeat a request which every backend server rejects as
// invalid or unauthorised: the refusal must not name a time to retry.
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
				defer time.Sleep(time.Second) // let the parts in flight end
				tf := newTestFleet(20, catalogue.Service{Idempotent: true, Deadline: time.Second, MinCoverage: 0.95, BelowFloor: c.belowFloor})
				sender := newFakeSender(1)
				sender.injectedError = verdict.New(verdict.NotRun, c.reason, "injected fault")
				engine := New("zone-a", sender, singleOwnerLookup{}, snapshot.NewHoldings(), 1)
				engine.Update(tf.view(), tf.catalogue(), tf.index(tf.shardMap(1, 20)))
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
