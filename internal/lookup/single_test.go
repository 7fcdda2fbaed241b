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

// TestAtMostOnce replays every kind of failure for a request that must not run twice. It guards against a second send
// after one that may have run, and against a refusal that says not run after it.
func TestAtMostOnce(t *testing.T) {
	for name, test := range map[string]struct {
		first   behaviour
		again   bool
		verdict verdict.Verdict
	}{
		"rejected":      {rejecting(), true, verdict.Ran},
		"not sent":      {behaviour{outcome: Outcome{Verdict: verdict.NotRun, Reason: verdict.ConnectFailed}}, true, verdict.Ran},
		"misdirected":   {behaviour{outcome: Outcome{Verdict: verdict.NotRun, Reason: verdict.Misdirected, Status: 421}}, true, verdict.Ran},
		"failed":        {failing(), false, verdict.Ran},
		"cut":           {behaviour{outcome: Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost}}, false, verdict.MayHaveRun},
		"wrong answer":  {behaviour{outcome: Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.BadAnswer, Status: 200}}, false, verdict.MayHaveRun},
		"silent":        {behaviour{silent: true}, false, verdict.MayHaveRun},
		"slow, in time": {good(timeout / 2), false, verdict.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				s := newStage(t, nil)
				s.one.Idempotent = false
				s.change(func(fleet.ServerID, time.Time) behaviour {
					if len(s.all) == 1 {
						return test.first
					}
					return good(work)
				})
				began := time.Now()
				result := s.run(s.one)
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

// TestIdempotentIsRetried guards against a failure that reaches the caller although another replica could answer, and
// against the replica's own failure being lost where none can.
func TestIdempotentIsRetried(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, nil)
		s.change(func(fleet.ServerID, time.Time) behaviour {
			if len(s.all) == 1 {
				return failing()
			}
			return good(work)
		})
		result := s.run(s.one)
		is.Equal(result.Answer.Status, 200)
		is.Equal(s.total(), 2)
		s.change(func(fleet.ServerID, time.Time) behaviour { return failing() })
		result = s.run(s.one)
		is.Equal(result.Answer.Status, 500)
		is.Equal(s.total(), 4)
	})
}

// TestEveryReplicaRejects guards against a request that is refused, although it was not run and a slot becomes free while
// its caller waits, and against one that is held until its deadline.
func TestEveryReplicaRejects(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, nil)
		s.change(func(fleet.ServerID, time.Time) behaviour {
			if len(s.all) <= 2 {
				return rejecting()
			}
			return good(work)
		})
		is.True(s.run(s.one).Answer != nil)
		s.change(func(fleet.ServerID, time.Time) behaviour { return rejecting() })
		began := time.Now()
		result := s.run(s.one)
		is.Equal(result.Failure.Verdict, verdict.NotRun)
		is.True(result.Failure.RetryAfter > 0)
		is.True(time.Since(began) < objective)
	})
}

// TestNoReplica guards against a request for a service without replicas that is held.
func TestNoReplica(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, steady)
		s.update(func(fleet.ServerID) bool { return true })
		began := time.Now()
		result := s.run(s.one)
		is.Equal(result.Failure.Verdict, verdict.NotRun)
		is.Equal(result.Failure.Reason, verdict.NoReplica)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// TestNoReplicaTakesIt guards against a request that is held until its deadline because one replica rejected it and no other
// may be asked.
func TestNoReplicaTakesIt(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, func(fleet.ServerID, time.Time) behaviour {
			return behaviour{outcome: Outcome{Verdict: verdict.NotRun, Reason: verdict.Misdirected, Status: http.StatusMisdirectedRequest}}
		})
		began := time.Now()
		result := s.run(s.one)
		is.True(result.Failure != nil)
		is.Equal(result.Failure.Verdict, verdict.NotRun)
		is.True(time.Since(began) <= objective/4)
	})
}

// TestColdRate guards against cold replicas that get more requests in some second than they bear, summed over all instances,
// however many there are, and against one that gets none.
func TestColdRate(t *testing.T) {
	const rate = 8
	for _, instances := range []int{1, 4, 8, 9, 33, 118} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			now := time.Now()
			loads, limits := make([]load, instances), make([]int, instances)
			for i, self := range named(instances) {
				p := population{self: self, all: named(instances), count: instances}
				limits[i] = p.coldLimit(directory.Replica{ID: "r"}, rate)
			}
			var sent []time.Duration
			for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
				for i := range loads {
					if loads[i].admitCold(now.Add(at), limits[i]) {
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

// TestRegions guards against a request that leaves the regions its route allows: at the first send, when the replica there
// fails or pauses, and when a shard has no replica there.
func TestRegions(t *testing.T) {
	for name, behave := range map[string]func(id fleet.ServerID, now time.Time) behaviour{
		"all well": func(fleet.ServerID, time.Time) behaviour { return good(work) },
		"one fails": func(id fleet.ServerID, _ time.Time) behaviour {
			return map[bool]behaviour{true: failing(), false: good(work)}[id == "s0-a"]
		},
		"one pauses": func(id fleet.ServerID, _ time.Time) behaviour {
			return behaviour{silent: id == "s0-a", delay: work, outcome: good(work).outcome}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				s := newStage(t, behave)
				s.fan.Regions, s.one.Regions = []fleet.RegionID{"region-a"}, []fleet.RegionID{"region-a"}
				s.load(s.fan, 50*time.Millisecond, time.Second)
				s.load(s.one, 50*time.Millisecond, time.Second)
				is.True(s.total() > 0)
				for _, id := range s.all {
					is.True(strings.HasSuffix(string(id), "-a"))
				}
			})
		})
	}
	t.Run("no replica there", func(t *testing.T) {
		inBubble(t, func(t *testing.T) {
			is := is.New(t)
			s := newStage(t, func(fleet.ServerID, time.Time) behaviour { return good(work) })
			s.fan.Regions, s.one.Regions = []fleet.RegionID{"region-c"}, []fleet.RegionID{"region-c"}
			for _, route := range []*routing.Route{s.fan, s.one} {
				result := s.run(route)
				is.True(result.Failure != nil)
				is.Equal(result.Failure.Verdict, verdict.NotRun)
				is.True(result.Failure.RetryAfter > 0)
			}
			// The first one was let through to find out.
			is.Equal(s.run(s.fan).Failure.Reason, verdict.NoReplica)
			is.Equal(s.total(), 0)
		})
	})
}
