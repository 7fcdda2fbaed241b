package lookup

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

func allHealthy(fleet.ServerID, time.Time) replicaBehaviour { return good(work) }

// TestAllHealthy guards against a request to healthy replicas that misses a part, sends more than once to a shard or
// leaves the zone.
func TestAllHealthy(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, allHealthy)
		result := s.run(s.fanoutRoute)
		is.True(result.Failure == nil)
		is.Equal(len(result.Receipts), shards)
		is.Equal(result.MissingShards, 0)
		is.Equal(s.total(), shards)
		for id := range s.sends {
			is.True(strings.HasSuffix(string(id), "-a"))
		}
	})
}

// TestReplicaFailures covers one replica that fails in each of several ways. It guards against a part that is lost
// although another replica has it, and against more sends than the route allows.
func TestReplicaFailures(t *testing.T) {
	for name, failure := range map[string]replicaBehaviour{
		"rejects":        rejecting(),
		"fails":          failing(),
		"hangs":          {silent: true},
		"slow":           good(10 * objective),
		"no connection":  {delay: 2 * time.Millisecond, outcome: Outcome{Verdict: verdict.NotRun, Reason: verdict.ConnectFailed}},
		"cut in the end": {delay: work, outcome: Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost}},
		"wrong bytes":    {delay: work, outcome: Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.BadAnswer, Status: 200}},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				is := is.New(t)
				s := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
					if id == "s3-a" {
						return failure
					}
					return good(work)
				})
				began := time.Now()
				result := s.run(s.fanoutRoute)
				is.True(result.Failure == nil)
				is.Equal(len(result.Receipts), shards)
				is.True(time.Since(began) < objective)
				is.True(s.count("s3-a")+s.count("s3-b") == 2)
			})
		})
	}
}

// TestAnswersAtObjective guards against an answer that waits for a part beyond the latency objective although enough
// parts are there.
func TestAnswersAtObjective(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			if strings.HasPrefix(string(id), "s3-") {
				return replicaBehaviour{silent: true}
			}
			return good(work)
		})
		began := time.Now()
		result := s.run(s.fanoutRoute)
		is.True(result.Failure == nil)
		is.Equal(result.MissingShards, 1)
		is.True(time.Since(began) <= objective-defaultRoundTrip-answerMargin)
		is.Equal(result.Trace.MissingShards[verdict.DeadlinePassed], 1)
	})
}

// TestBelowFloor guards against an answer with fewer shards than the coverage floor, against a refusal before the
// deadline while parts are on their way, and against a refusal that says not-run although replicas ran parts.
func TestBelowFloor(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			if strings.HasPrefix(string(id), "s3-") || id < "s2" {
				return good(3 * objective)
			}
			return good(work)
		})
		began := time.Now()
		result := s.run(s.fanoutRoute)
		is.True(result.Failure == nil) // after the objective, but before the deadline
		is.True(time.Since(began) > objective)
		is.True(time.Since(began) < timeout)

		s.setBehaviour(func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			if id < "s3" {
				return failing()
			}
			return good(work)
		})
		result = s.run(s.fanoutRoute)
		is.Equal(result.Failure.Reason, verdict.CoverageBelowFloor)
		is.Equal(result.Failure.Verdict, verdict.MayHaveRun)
	})
}

// TestUnreachableFloorIsRefusedAtOnce uses shards whose replicas are all silent. It guards against a request that
// waits, or is sent to the other shards, although it cannot reach its floor.
func TestUnreachableFloorIsRefusedAtOnce(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			return replicaBehaviour{silent: id < "s3", delay: work, outcome: good(0).outcome}
		})
		s.runLoad(s.fanoutRoute, 50*time.Millisecond, time.Second)
		before := s.total()
		refused := 0
		for _, result := range s.runLoad(s.fanoutRoute, 10*time.Millisecond, time.Second) {
			if result.Failure != nil && result.Failure.Verdict == verdict.NotRun && result.took == 0 {
				is.Equal(result.Failure.Reason, verdict.NoReplica)
				is.Equal(len(result.Trace.MissingShards), 0) // nothing was sent
				is.True(result.Failure.RetryAfter > 0)
				refused++
			}
		}
		// One request is admitted in each trialInterval, and one at each end of a suspicion, which lasts at least 300
		// ms.
		const trials = 6 + 4
		is.True(refused >= 100-trials)
		is.True(s.total()-before <= trials*2*shards) // no part of a refused request was sent
	})
}

// TestReplicaStall covers a replica that stalls for longer than the objective, as each does a few per cent of the time,
// while the other replica is slower but does not stall. It guards against answers without its part, and against
// requests that are still sent to it after its silence has shown the stall.
func TestReplicaStall(t *testing.T) {
	const stall = 250 * time.Millisecond
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		var sentWhileStalled atomic.Int64
		s := newTestEngine(t, func(id fleet.ServerID, now time.Time) replicaBehaviour {
			switch into := now.Sub(start) % (2 * time.Second); {
			case id == "s3-a" && into < stall:
				if into > stallAfter(work)+2*checkInterval {
					sentWhileStalled.Add(1)
				}
				return good(stall - into + work)
			case id == "s3-b":
				return good(2 * work)
			}
			return good(work)
		})
		s.fanoutRoute.MinCoverage = 1
		missing, late := 0, 0
		for _, result := range s.runLoad(s.fanoutRoute, 10*time.Millisecond, 6*time.Second) {
			missing += result.MissingShards
			if result.Failure != nil || result.took > objective {
				late++
			}
		}
		is.Equal(missing, 0)
		is.Equal(late, 0)
		is.Equal(sentWhileStalled.Load(), int64(0))
	})
}

// TestSlowReplica covers a replica that is slow for seconds: by so little that it never counts as silent, and by ten
// times. It guards against requests that are sent to it again and again, and against a replica that is never tried
// again.
func TestSlowReplica(t *testing.T) {
	for name, test := range map[string]struct{ delay, every time.Duration }{
		"2.4 times, alone": {2*work + 2*work/5, 100 * time.Millisecond},
		"ten times":        {10 * work, 25 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				is := is.New(t)
				var slow atomic.Bool
				slow.Store(true)
				s := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
					if id == "s3-a" && slow.Load() {
						return good(test.delay)
					}
					return good(work)
				})
				results := s.runLoad(s.fanoutRoute, test.every, 10*time.Second)
				for _, result := range results {
					is.Equal(result.MissingShards, 0)
				}
				is.True(s.count("s3-a") < len(results)/4)
				slow.Store(false)
				before := s.count("s3-a")
				later := s.runLoad(s.fanoutRoute, test.every, 10*time.Second)
				is.True(s.count("s3-a")-before > len(later)/4)
			})
		})
	}
}

// TestSilentReplicaIsProbed covers a replica that falls silent and recovers. It guards against requests that wait for
// it all the time, and against a replica that is not used again soon after its recovery.
func TestSilentReplicaIsProbed(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		var silent atomic.Bool
		silent.Store(true)
		s := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			behaviour := good(work)
			behaviour.silent = id == "s3-a" && silent.Load()
			return behaviour
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go s.engine.MonitorZones(ctx, s)
		results := s.runLoad(s.fanoutRoute, 25*time.Millisecond, 5*time.Second)
		is.True(s.count("s3-a") < len(results)/10)
		silent.Store(false)
		time.Sleep(2 * zoneCheckInterval)
		before := s.count("s3-a")
		s.runLoad(s.fanoutRoute, 25*time.Millisecond, time.Second)
		is.True(s.count("s3-a")-before > 10)
	})
}

// TestHangingReplica covers a replica that accepts connections but answers nothing. It guards against probes that
// return it to use again and again.
func TestHangingReplica(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			behaviour := good(work)
			behaviour.hangs = id == "s3-a"
			return behaviour
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go s.engine.MonitorZones(ctx, s)
		results := s.runLoad(s.fanoutRoute, 25*time.Millisecond, 6*time.Second)
		for _, result := range results {
			is.Equal(result.MissingShards, 0)
		}
		is.True(s.count("s3-a") < len(results)/10)
	})
}

// TestZoneUnreachable covers an instance that needs other zones for some shards and is cut off from them for a time. It
// guards against an instance that reports itself ready although it can serve nothing.
func TestZoneUnreachable(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		var cut atomic.Bool
		s := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			behaviour := good(work)
			behaviour.silent = cut.Load() && strings.HasSuffix(string(id), "-b")
			return behaviour
		})
		s.update(func(id fleet.ServerID) bool { return strings.HasSuffix(string(id), "-a") && id < "s6" })
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go s.engine.MonitorZones(ctx, s)
		s.runLoad(s.fanoutRoute, 25*time.Millisecond, time.Second)
		is.True(!s.engine.Isolated())
		cut.Store(true)
		s.runLoad(s.fanoutRoute, 25*time.Millisecond, 600*time.Millisecond)
		is.True(s.engine.Isolated())
		result := s.run(s.fanoutRoute)
		is.Equal(result.Failure.Reason, verdict.NoReplica)
		is.True(result.Failure.RetryAfter > defaultRetryAfter) // it lasts until the balancer has moved the callers
		time.Sleep(3 * time.Second)
		is.True(s.engine.Isolated()) // it stays isolated without requests
		cut.Store(false)
		time.Sleep(4 * zoneCheckInterval)
		is.True(!s.engine.Isolated())
		is.True(s.run(s.fanoutRoute).Failure == nil)
	})
}

// TestReplicasDownEverywhere guards against an instance that takes dead replicas for an unreachable zone: no other
// instance could serve its callers any better.
func TestReplicasDownEverywhere(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			behaviour := good(work)
			behaviour.silent = id < "s5"
			return behaviour
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go s.engine.MonitorZones(ctx, s)
		s.runLoad(s.fanoutRoute, 25*time.Millisecond, 2*time.Second)
		is.True(!s.engine.Isolated())
	})
}

// TestCallerCancels guards against replicas that go on working for a caller that has cancelled its request.
func TestCallerCancels(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(fleet.ServerID, time.Time) replicaBehaviour { return replicaBehaviour{silent: true} })
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		result := s.runWith(ctx, s.fanoutRoute)
		is.Equal(result.Failure.Reason, verdict.Cancelled)
		time.Sleep(time.Millisecond)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		is.Equal(s.ended, shards)
	})
}

// TestReplicaRemovedDuringRequest guards against a hedge or a retry to a replica that left the directory while the
// request ran.
func TestReplicaRemovedDuringRequest(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			if strings.HasSuffix(string(id), "-a") {
				return replicaBehaviour{delay: work, outcome: failing().outcome}
			}
			return good(work)
		})
		go func() {
			time.Sleep(work / 2)
			s.update(func(id fleet.ServerID) bool { return strings.HasSuffix(string(id), "-b") })
		}()
		result := s.run(s.fanoutRoute)
		is.True(result.Failure != nil)
		for id, count := range s.sends {
			is.True(!strings.HasSuffix(string(id), "-b") || count == 0)
		}
	})
}

// TestLinger guards against sends that are cancelled with their request's context once the caller has its answer: their
// answers show when a stall ends, and they keep the connections. It also checks that they end soon after.
func TestLinger(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			behaviour := good(work)
			behaviour.hangs = id == "s3-a"
			return behaviour
		})
		ctx, cancel := context.WithCancel(t.Context())
		is.True(s.runWith(ctx, s.fanoutRoute).Failure == nil)
		cancel()
		ended := func() int {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return s.fakeReplicas.ended
		}
		time.Sleep(lingerTimeout - time.Millisecond)
		is.Equal(ended(), 0)
		time.Sleep(2 * time.Millisecond)
		is.Equal(ended(), 1)
	})
}
