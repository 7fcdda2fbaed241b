package lookup

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/routing"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestAtMostOnce covers every kind of failure for a request that is not idempotent. It guards against a second send
// after one that may have run, and against a refusal that then says not-run.
func TestAtMostOnce(t *testing.T) {
	for name, test := range map[string]struct {
		first   replicaBehaviour
		again   bool
		verdict verdict.Verdict
	}{
		"rejected":      {rejecting(), true, verdict.Ran},
		"not sent":      {replicaBehaviour{outcome: Outcome{Verdict: verdict.NotRun, Reason: verdict.ConnectFailed}}, true, verdict.Ran},
		"misdirected":   {replicaBehaviour{outcome: Outcome{Verdict: verdict.NotRun, Reason: verdict.Misdirected, Status: 421}}, true, verdict.Ran},
		"failed":        {failing(), false, verdict.Ran},
		"cut":           {replicaBehaviour{outcome: Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost}}, false, verdict.MayHaveRun},
		"wrong answer":  {replicaBehaviour{outcome: Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.BadAnswer, Status: 200}}, false, verdict.MayHaveRun},
		"silent":        {replicaBehaviour{silent: true}, false, verdict.MayHaveRun},
		"slow, in time": {good(timeout / 2), false, verdict.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				is := is.New(t)
				s := newTestEngine(t, nil)
				s.singleRoute.Idempotent = false
				s.setBehaviour(func(fleet.ServerID, time.Time) replicaBehaviour {
					if len(s.sentTo) == 1 {
						return test.first
					}
					return good(work)
				})
				began := time.Now()
				result := s.run(s.singleRoute)
				is.Equal(s.total() == 2, test.again)
				if test.verdict == verdict.MayHaveRun {
					is.Equal(result.Failure.Verdict, verdict.MayHaveRun)
				} else {
					is.True(result.Answer != nil)
				}
				is.True(time.Since(began) <= timeout)
			})
		})
	}
}

// TestIdempotentIsRetried guards against a failure that reaches the caller although another replica can answer, and
// against an error answer of a replica that is lost if none can.
func TestIdempotentIsRetried(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, nil)
		s.setBehaviour(func(fleet.ServerID, time.Time) replicaBehaviour {
			if len(s.sentTo) == 1 {
				return failing()
			}
			return good(work)
		})
		result := s.run(s.singleRoute)
		is.Equal(result.Answer.Status, 200)
		is.Equal(s.total(), 2)
		s.setBehaviour(func(fleet.ServerID, time.Time) replicaBehaviour { return failing() })
		result = s.run(s.singleRoute)
		is.Equal(result.Answer.Status, 500)
		is.Equal(s.total(), 4)
	})
}

// TestEveryReplicaRejects guards against a request that is refused although no replica ran it and a slot becomes free
// while its caller waits, and against one that is held until its deadline.
func TestEveryReplicaRejects(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, nil)
		s.setBehaviour(func(fleet.ServerID, time.Time) replicaBehaviour {
			if len(s.sentTo) <= 2 {
				return rejecting()
			}
			return good(work)
		})
		is.True(s.run(s.singleRoute).Answer != nil)
		s.setBehaviour(func(fleet.ServerID, time.Time) replicaBehaviour { return rejecting() })
		began := time.Now()
		result := s.run(s.singleRoute)
		is.Equal(result.Failure.Verdict, verdict.NotRun)
		is.True(result.Failure.RetryAfter > 0)
		is.True(time.Since(began) < objective)
	})
}

// TestNoReplica guards against a request for a service without replicas that is not refused at once.
func TestNoReplica(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, allHealthy)
		s.update(func(fleet.ServerID) bool { return true })
		began := time.Now()
		result := s.run(s.singleRoute)
		is.Equal(result.Failure.Verdict, verdict.NotRun)
		is.Equal(result.Failure.Reason, verdict.NoReplica)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// TestNoReplicaAccepts guards against a request that is held until its deadline although every replica has rejected it
// as misdirected and none is left to ask.
func TestNoReplicaAccepts(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(fleet.ServerID, time.Time) replicaBehaviour {
			return replicaBehaviour{outcome: Outcome{Verdict: verdict.NotRun, Reason: verdict.Misdirected, Status: http.StatusMisdirectedRequest}}
		})
		began := time.Now()
		result := s.run(s.singleRoute)
		is.True(result.Failure != nil)
		is.Equal(result.Failure.Verdict, verdict.NotRun)
		is.True(time.Since(began) <= objective/4)
	})
}

// TestColdRate guards against a cold replica that gets more requests in any second than its rate, summed over all
// instances, however many there are, and against one that gets none.
func TestColdRate(t *testing.T) {
	const rate = 8
	for _, instances := range []int{1, 4, 8, 9, 33, 118} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			now := time.Now()
			replicas, limits := make([]replicaHealth, instances), make([]int, instances)
			for i, self := range instanceNames(instances) {
				set := instanceSet{self: self, ids: instanceNames(instances), count: instances}
				limits[i] = set.coldLimit(directory.Replica{ID: "r"}, rate)
			}
			var sent []time.Duration
			for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
				for i := range replicas {
					if replicas[i].admitCold(now.Add(at), limits[i]) {
						sent = append(sent, at)
					}
				}
			}
			is := is.New(t)
			is.True(len(sent) > 2*rate)
			for _, first := range sent {
				is.True(within(sent, first, first+time.Second) <= rate)
			}
		})
	}
}

// TestRegions guards against a request that leaves the regions that its route allows: at the first send, when the
// replica there fails or stalls, and when a shard has no replica there.
func TestRegions(t *testing.T) {
	for name, behave := range map[string]func(id fleet.ServerID, now time.Time) replicaBehaviour{
		"all well": func(fleet.ServerID, time.Time) replicaBehaviour { return good(work) },
		"one fails": func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			return map[bool]replicaBehaviour{true: failing(), false: good(work)}[id == "s0-a"]
		},
		"one pauses": func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			return replicaBehaviour{silent: id == "s0-a", delay: work, outcome: good(work).outcome}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				is := is.New(t)
				s := newTestEngine(t, behave)
				s.fanoutRoute.Regions, s.singleRoute.Regions = []fleet.RegionID{"region-a"}, []fleet.RegionID{"region-a"}
				s.runLoad(s.fanoutRoute, 50*time.Millisecond, time.Second)
				s.runLoad(s.singleRoute, 50*time.Millisecond, time.Second)
				is.True(s.total() > 0)
				for _, id := range s.sentTo {
					is.True(strings.HasSuffix(string(id), "-a"))
				}
			})
		})
	}
	t.Run("no replica there", func(t *testing.T) {
		runInBubble(t, func(t *testing.T) {
			is := is.New(t)
			s := newTestEngine(t, func(fleet.ServerID, time.Time) replicaBehaviour { return good(work) })
			s.fanoutRoute.Regions, s.singleRoute.Regions = []fleet.RegionID{"region-c"}, []fleet.RegionID{"region-c"}
			for _, route := range []*routing.Route{s.fanoutRoute, s.singleRoute} {
				result := s.run(route)
				is.True(result.Failure != nil)
				is.Equal(result.Failure.Verdict, verdict.NotRun)
				is.True(result.Failure.RetryAfter > 0)
			}
			// The first request was admitted as a trial, so this one is refused.
			is.Equal(s.run(s.fanoutRoute).Failure.Reason, verdict.NoReplica)
			is.Equal(s.total(), 0)
		})
	})
}
