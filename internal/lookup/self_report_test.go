package lookup

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// pausing is a rejection in which the replica requests a pause.
func pausing(pause time.Duration) replicaBehaviour {
	behaviour := rejecting()
	behaviour.outcome.RetryAfter = pause
	return behaviour
}

// TestLeavingReplicaIsNotUsed guards against requests, hedges and probes to a replica that has announced that it is
// leaving, before its entry says so, and against its use after its zone was taken out or its entry had expired. A new
// process of the replica must be used.
func TestLeavingReplicaIsNotUsed(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		const id = fleet.ServerID("s0-a")
		probed := false
		leaving := func(asked fleet.ServerID, _ time.Time) replicaBehaviour {
			behaviour := good(work)
			behaviour.outcome.Leaving = asked == id
			return behaviour
		}
		s := newTestEngine(t, leaving)
		for s.count(id) == 0 {
			is.True(s.run(s.fanoutRoute).Failure == nil)
		}
		expectUnused := func(duration time.Duration) {
			t.Helper()
			before := s.count(id)
			s.runLoad(s.singleRoute, 10*time.Millisecond, duration)
			s.runLoad(s.fanoutRoute, 10*time.Millisecond, duration)
			is.Equal(s.count(id), before)
			probed = probed || s.engine.replicas[id].health.startProbe(time.Now(), true)
		}
		expectUnused(time.Second)
		// The other replica is so slow that requests would be hedged, but there is no replica to hedge to.
		s.setBehaviour(func(asked fleet.ServerID, now time.Time) replicaBehaviour {
			if strings.HasPrefix(string(asked), "s0-") {
				return good(objective)
			}
			return leaving(asked, now)
		})
		expectUnused(time.Second)
		s.update(func(listed fleet.ServerID) bool { return strings.HasSuffix(string(listed), "-a") })
		time.Sleep(10 * time.Second)
		s.update(nil)
		expectUnused(time.Second)
		is.True(!probed)
		is.Equal(s.engine.States(time.Now())[ZoneState{"a", Leaving}], 1)

		s.setBehaviour(allHealthy)
		s.startedAt++
		s.update(nil)
		before := s.count(id)
		s.runLoad(s.fanoutRoute, 10*time.Millisecond, time.Second)
		is.True(s.count(id) > before)
	})
}

// TestRequestedPauseIsKept guards against requests to a replica during the pause that it has requested, whatever
// answers arrive meanwhile, and against a pause that never ends.
func TestRequestedPauseIsKept(t *testing.T) {
	for name, test := range map[string]struct {
		requested, kept time.Duration
	}{
		"short": {600 * time.Millisecond, 600 * time.Millisecond},
		"long":  {20 * time.Second, 20 * time.Second},
		"huge":  {1 << 62, maxSelfReportTTL},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				is := is.New(t)
				const id = fleet.ServerID("s0-a")
				s := newTestEngine(t, func(asked fleet.ServerID, _ time.Time) replicaBehaviour {
					if asked == id {
						return pausing(test.requested)
					}
					return good(work)
				})
				for s.count(id) == 0 {
					s.run(s.singleRoute)
				}
				began := time.Now()
				s.setBehaviour(allHealthy)
				for time.Since(began) < test.kept*9/10 {
					s.run(s.singleRoute)
					s.run(s.fanoutRoute)
					s.update(func(listed fleet.ServerID) bool { return listed == id })
					time.Sleep(test.kept / 100)
					s.update(nil)
				}
				is.Equal(s.count(id), 1)
				is.Equal(s.engine.States(time.Now())[ZoneState{"a", Paused}], 1)
				time.Sleep(time.Until(began.Add(test.kept)))
				s.runLoad(s.singleRoute, 10*time.Millisecond, time.Second)
				is.True(s.count(id) > 1)
			})
		})
	}
}

// TestShorterPauseDoesNotEndLonger guards against a shorter pause, from a rejection that was still on its way, that
// ends a longer one.
func TestShorterPauseDoesNotEndLonger(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	h := newTestHealth()
	h.recordSelfReport(now, &Outcome{RetryAfter: 3 * time.Second})
	h.recordSelfReport(now.Add(time.Second), &Outcome{RetryAfter: time.Second})
	is.True(!h.selfReport.acceptsRequests(now.Add(2500 * time.Millisecond)))
	is.True(h.selfReport.acceptsRequests(now.Add(3 * time.Second)))
}

// TestAllReplicasPause replays an overload in which all replicas of some shards request a pause of 2 s and 3 s. It
// guards against callers that are held, or get a Retry-After that ends before the replicas accept requests again, and
// against parts that are run although the request cannot reach its floor without the paused shards.
func TestAllReplicasPause(t *testing.T) {
	const shortest = 2 * time.Second
	for name, test := range map[string]struct {
		pausingShards int
		answered      bool
	}{
		"one shard, above the floor":   {1, true},
		"four shards, below the floor": {4, false},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				is := is.New(t)
				from := time.Now()
				s := newTestEngine(t, func(id fleet.ServerID, now time.Time) replicaBehaviour {
					shard := int(id[1] - '0')
					switch {
					case shard >= test.pausingShards || now.Sub(from) >= shortest:
						return good(work)
					case strings.HasSuffix(string(id), "-a"):
						return pausing(from.Add(shortest).Sub(now))
					}
					return pausing(from.Add(3 * time.Second).Sub(now))
				})
				result := s.run(s.fanoutRoute)
				s.run(s.singleRoute)
				time.Sleep(2 * work) // a send of the first request may begin only after the request has ended
				sends := s.total()
				if !test.answered { // the parts that ran are lost, and those of the caller's next attempt would be as well
					is.Equal(result.Failure.Reason, verdict.CoverageBelowFloor)
					is.True((result.Failure.RetryAfter - shortest).Abs() < 100*time.Millisecond)
				}
				began := time.Now()
				result = s.run(s.singleRoute)
				is.Equal(result.Failure.Verdict, verdict.NotRun)
				is.True(time.Since(began) < 5*time.Millisecond)
				is.True((result.Failure.RetryAfter - from.Add(shortest).Sub(began)).Abs() < 20*time.Millisecond)
				is.Equal(s.total(), sends)
				began = time.Now()
				result = s.run(s.fanoutRoute)
				if test.answered {
					is.Equal(result.MissingShards, test.pausingShards)
					is.True(time.Since(began) <= 2*work)
				} else {
					is.Equal(result.Failure.Verdict, verdict.NotRun)
					is.True(time.Since(began) < 5*time.Millisecond)
					is.True((result.Failure.RetryAfter - from.Add(shortest).Sub(began)).Abs() < 20*time.Millisecond)
					is.Equal(s.total(), sends)
				}
				time.Sleep(time.Until(from.Add(shortest)))
				is.Equal(s.run(s.fanoutRoute).MissingShards, 0)
				is.True(s.run(s.singleRoute).Answer != nil)
			})
		})
	}
}

// TestPauseShorterThanObjective guards against a part or a request that is given up although its replicas accept
// requests again in time.
func TestPauseShorterThanObjective(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		from := time.Now()
		s := newTestEngine(t, func(_ fleet.ServerID, now time.Time) replicaBehaviour {
			if remaining := from.Add(25 * time.Millisecond).Sub(now); remaining > 0 {
				return pausing(remaining)
			}
			return good(work)
		})
		result := s.run(s.fanoutRoute)
		is.True(result.Failure == nil)
		is.Equal(result.MissingShards, 0)
		from = time.Now()
		is.True(s.run(s.singleRoute).Answer != nil)
	})
}
