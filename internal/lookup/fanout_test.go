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

func steady(fleet.ServerID, time.Time) behaviour { return good(work) }

// TestWhole guards against a calm request that misses a part, sends more than once a shard or leaves the zone.
func TestWhole(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, steady)
		result := s.run(s.fan)
		is.True(result.Failure == nil)
		is.Equal(len(result.Receipts), shards)
		is.Equal(result.Missing, 0)
		is.Equal(s.total(), shards)
		for id := range s.sends {
			is.True(strings.HasSuffix(string(id), "-a"))
		}
	})
}

// TestFailures replays replicas that fail part of the requests in one way each. It guards against a part that is lost
// although another replica has it, and against more sends than the route allows.
func TestFailures(t *testing.T) {
	for name, how := range map[string]behaviour{
		"rejects":        rejecting(),
		"fails":          failing(),
		"hangs":          {silent: true},
		"slow":           good(10 * objective),
		"no connection":  {delay: 2 * time.Millisecond, outcome: Outcome{Verdict: verdict.NotRun, Reason: verdict.ConnectFailed}},
		"cut in the end": {delay: work, outcome: Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost}},
		"wrong bytes":    {delay: work, outcome: Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.BadAnswer, Status: 200}},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				s := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
					if id == "s3-a" {
						return how
					}
					return good(work)
				})
				began := time.Now()
				result := s.run(s.fan)
				is.True(result.Failure == nil)
				is.Equal(len(result.Receipts), shards)
				is.True(time.Since(began) < objective)
				is.True(s.count("s3-a")+s.count("s3-b") == 2)
			})
		})
	}
}

// TestAnswersAtTheObjective guards against an answer that waits for a part beyond the objective although it has enough.
func TestAnswersAtTheObjective(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
			if strings.HasPrefix(string(id), "s3-") {
				return behaviour{silent: true}
			}
			return good(work)
		})
		began := time.Now()
		result := s.run(s.fan)
		is.True(result.Failure == nil)
		is.Equal(result.Missing, 1)
		is.True(time.Since(began) <= objective-usualRoundTrip-answerMargin)
		is.Equal(result.Trace.Missed[verdict.DeadlinePassed], 1)
	})
}

// TestBelowFloor guards against an answer with fewer shards than the floor, against a refusal before the deadline while
// parts are on their way, and against one that says not run although replicas ran parts.
func TestBelowFloor(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
			if strings.HasPrefix(string(id), "s3-") || id < "s2" {
				return good(3 * objective)
			}
			return good(work)
		})
		began := time.Now()
		result := s.run(s.fan)
		is.True(result.Failure == nil) // late, but in time for the caller
		is.True(time.Since(began) > objective)
		is.True(time.Since(began) < timeout)

		s.change(func(id fleet.ServerID, _ time.Time) behaviour {
			if id < "s3" {
				return failing()
			}
			return good(work)
		})
		result = s.run(s.fan)
		is.Equal(result.Failure.Reason, verdict.CoverageBelowFloor)
		is.Equal(result.Failure.Verdict, verdict.MayHaveRun)
	})
}

// TestUnreachableFloorIsRefusedAtOnce replays shards whose replicas are all gone or silent. It guards against a request
// that waits, or is sent to the other shards, although it cannot reach its floor.
func TestUnreachableFloorIsRefusedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
			return behaviour{silent: id < "s3", delay: work, outcome: good(0).outcome}
		})
		s.load(s.fan, 50*time.Millisecond, time.Second)
		before := s.total()
		refused := 0
		for _, result := range s.load(s.fan, 10*time.Millisecond, time.Second) {
			if result.Failure != nil && result.Failure.Verdict == verdict.NotRun && result.took == 0 {
				is.Equal(result.Failure.Reason, verdict.NoReplica)
				is.Equal(len(result.Trace.Missed), 0) // nothing was asked
				is.True(result.Failure.RetryAfter > 0)
				refused++
			}
		}
		// One in each trialInterval is let through, and one at each end of a suspicion, which lasts 300 ms at least.
		const trials = 6 + 4
		is.True(refused >= 100-trials)
		is.True(s.total()-before <= trials*2*shards) // nothing of the refused ones was sent
	})
}

// TestPause replays a replica that pauses for longer than the objective, as each does a few per cent of the time, beside one
// that is slower but does not pause. It guards against answers that miss its part, and against requests that go on being
// sent to it after its silence has shown the pause.
func TestPause(t *testing.T) {
	const pause = 250 * time.Millisecond
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		var blind atomic.Int64
		s := newStage(t, func(id fleet.ServerID, now time.Time) behaviour {
			switch into := now.Sub(start) % (2 * time.Second); {
			case id == "s3-a" && into < pause:
				if into > stallAfter(work)+2*checkInterval {
					blind.Add(1)
				}
				return good(pause - into + work)
			case id == "s3-b":
				return good(2 * work)
			}
			return good(work)
		})
		s.fan.Floor = 1
		missing, late := 0, 0
		for _, result := range s.load(s.fan, 10*time.Millisecond, 6*time.Second) {
			missing += result.Missing
			if result.Failure != nil || result.took > objective {
				late++
			}
		}
		is.Equal(missing, 0)
		is.Equal(late, 0)
		is.Equal(blind.Load(), int64(0))
	})
}

// TestSlowReplica replays a replica that is slower for seconds, by little, so that no silence shows it, and by ten times. It
// guards against sending to it again and again and against never trying it again.
func TestSlowReplica(t *testing.T) {
	for name, test := range map[string]struct{ delay, every time.Duration }{
		"2.4 times, alone": {2*work + 2*work/5, 100 * time.Millisecond},
		"ten times":        {10 * work, 25 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				var slow atomic.Bool
				slow.Store(true)
				s := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
					if id == "s3-a" && slow.Load() {
						return good(test.delay)
					}
					return good(work)
				})
				results := s.load(s.fan, test.every, 10*time.Second)
				for _, result := range results {
					is.Equal(result.Missing, 0)
				}
				is.True(s.count("s3-a") < len(results)/4)
				slow.Store(false)
				before := s.count("s3-a")
				later := s.load(s.fan, test.every, 10*time.Second)
				is.True(s.count("s3-a")-before > len(later)/4)
			})
		})
	}
}

// TestSilentReplicaIsProbed replays a replica that falls silent and comes back. It guards against requests that wait for
// it all the while, and against one that is not used again soon after.
func TestSilentReplicaIsProbed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		var silent atomic.Bool
		silent.Store(true)
		s := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
			how := good(work)
			how.silent = id == "s3-a" && silent.Load()
			return how
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go s.engine.WatchReach(ctx, s)
		results := s.load(s.fan, 25*time.Millisecond, 5*time.Second)
		is.True(s.count("s3-a") < len(results)/10)
		silent.Store(false)
		time.Sleep(2 * checkReach)
		before := s.count("s3-a")
		s.load(s.fan, 25*time.Millisecond, time.Second)
		is.True(s.count("s3-a")-before > 10)
	})
}

// TestHangingReplica replays a replica that accepts connections and answers nothing. It guards against probes that bring it
// back again and again.
func TestHangingReplica(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
			how := good(work)
			how.hangs = id == "s3-a"
			return how
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go s.engine.WatchReach(ctx, s)
		results := s.load(s.fan, 25*time.Millisecond, 6*time.Second)
		for _, result := range results {
			is.Equal(result.Missing, 0)
		}
		is.True(s.count("s3-a") < len(results)/10)
	})
}

// TestZoneCut replays a zone that is cut off from the others, seen from inside with some shards only elsewhere, until the
// cut heals. It guards against an instance that goes on calling itself ready although it can serve nothing.
func TestZoneCut(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		var cut atomic.Bool
		s := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
			how := good(work)
			how.silent = cut.Load() && strings.HasSuffix(string(id), "-b")
			return how
		})
		s.update(func(id fleet.ServerID) bool { return strings.HasSuffix(string(id), "-a") && id < "s6" })
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go s.engine.WatchReach(ctx, s)
		s.load(s.fan, 25*time.Millisecond, time.Second)
		is.True(!s.engine.Isolated())
		cut.Store(true)
		s.load(s.fan, 25*time.Millisecond, 600*time.Millisecond)
		is.True(s.engine.Isolated())
		result := s.run(s.fan)
		is.Equal(result.Failure.Reason, verdict.NoReplica)
		is.True(result.Failure.RetryAfter > retryAfter) // until the balancer has moved the callers
		time.Sleep(3 * time.Second)
		is.True(s.engine.Isolated()) // also without requests
		cut.Store(false)
		time.Sleep(4 * checkReach)
		is.True(!s.engine.Isolated())
		is.True(s.run(s.fan).Failure == nil)
	})
}

// TestReplicasDownEverywhere guards against an instance that takes dead replicas for a cut: no other instance could serve
// its callers better.
func TestReplicasDownEverywhere(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
			how := good(work)
			how.silent = id < "s5"
			return how
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go s.engine.WatchReach(ctx, s)
		s.load(s.fan, 25*time.Millisecond, 2*time.Second)
		is.True(!s.engine.Isolated())
	})
}

// TestCallerLeaves guards against replicas that go on working for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, func(fleet.ServerID, time.Time) behaviour { return behaviour{silent: true} })
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		result := s.runWith(ctx, s.fan)
		is.Equal(result.Failure.Reason, verdict.Cancelled)
		time.Sleep(time.Millisecond)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		is.Equal(s.ended, shards)
	})
}

// TestLeavingReplica guards against a hedge or a retry to a replica that left while the request ran.
func TestLeavingReplica(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
			if strings.HasSuffix(string(id), "-a") {
				return behaviour{delay: work, outcome: failing().outcome}
			}
			return good(work)
		})
		go func() {
			time.Sleep(work / 2)
			s.update(func(id fleet.ServerID) bool { return strings.HasSuffix(string(id), "-b") })
		}()
		result := s.run(s.fan)
		is.True(result.Failure != nil)
		for id, count := range s.sends {
			is.True(!strings.HasSuffix(string(id), "-b") || count == 0)
		}
	})
}

// TestLinger guards against sends that end with their request's context once the caller has its answer: their answers show
// when a pause ends, and keep the connections. They end soon after in any case.
func TestLinger(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, func(id fleet.ServerID, _ time.Time) behaviour {
			how := good(work)
			how.hangs = id == "s3-a"
			return how
		})
		ctx, cancel := context.WithCancel(t.Context())
		is.True(s.runWith(ctx, s.fan).Failure == nil)
		cancel()
		ended := func() int {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return s.backends.ended
		}
		time.Sleep(linger - time.Millisecond)
		is.Equal(ended(), 0)
		time.Sleep(2 * time.Millisecond)
		is.Equal(ended(), 1)
	})
}
