package lookup

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
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

// TestColdRate guards against cold replicas that get more requests in some second than they bear, summed over all
// instances.
func TestColdRate(t *testing.T) {
	const rate, instances = 8, 4
	now := time.Now()
	loads := make([]load, instances)
	var sent []time.Duration
	for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
		for i := range loads {
			if loads[i].admitCold(now.Add(at), rate, instances) {
				sent = append(sent, at)
			}
		}
	}
	is := is.New(t)
	is.True(len(sent) > 2*rate)
	for _, first := range sent {
		is.True(within(sent, first, first+time.Second) <= rate)
	}
}
