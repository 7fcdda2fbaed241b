package lookup

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// pausing is a rejection with a pause that the replica asks for.
func pausing(pause time.Duration) behaviour {
	how := rejecting()
	how.outcome.RetryAfter = pause
	return how
}

// TestLeavingByItsOwnWord guards against requests, hedges and probes to a replica that has said that it leaves, before its entry
// says so, and against its use after its zone was out or its entry had lapsed. The next process at its place is used.
func TestLeavingByItsOwnWord(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		const id = fleet.ServerID("s0-a")
		probed := false
		leaving := func(asked fleet.ServerID, _ time.Time) behaviour {
			how := good(work)
			how.outcome.Leaving = asked == id
			return how
		}
		s := newStage(t, leaving)
		for s.count(id) == 0 {
			is.True(s.run(s.fan).Failure == nil)
		}
		unused := func(lasting time.Duration) {
			t.Helper()
			before := s.count(id)
			s.load(s.one, 10*time.Millisecond, lasting)
			s.load(s.fan, 10*time.Millisecond, lasting)
			is.Equal(s.count(id), before)
			probed = probed || s.engine.loads[id].load.startProbe(time.Now(), true)
		}
		unused(time.Second)
		// The other replica is so slow that requests are hedged, and there is none to hedge to.
		s.change(func(asked fleet.ServerID, now time.Time) behaviour {
			if strings.HasPrefix(string(asked), "s0-") {
				return good(objective)
			}
			return leaving(asked, now)
		})
		unused(time.Second)
		s.update(func(listed fleet.ServerID) bool { return strings.HasSuffix(string(listed), "-a") })
		time.Sleep(10 * time.Second)
		s.update(nil)
		unused(time.Second)
		is.True(!probed)
		is.Equal(s.engine.States(time.Now())[Replicas{"a", Leaving}], 1)

		s.change(steady)
		s.born++
		s.update(nil)
		before := s.count(id)
		s.load(s.fan, 10*time.Millisecond, time.Second)
		is.True(s.count(id) > before)
	})
}

// TestPauseIsKept guards against requests to a replica during the pause that it has asked for, whatever answers come meanwhile,
// and against a pause that never ends.
func TestPauseIsKept(t *testing.T) {
	for name, test := range map[string]struct {
		asked, kept time.Duration
	}{
		"short": {600 * time.Millisecond, 600 * time.Millisecond},
		"long":  {20 * time.Second, 20 * time.Second},
		"huge":  {1 << 62, longestNotice},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				const id = fleet.ServerID("s0-a")
				s := newStage(t, func(asked fleet.ServerID, _ time.Time) behaviour {
					if asked == id {
						return pausing(test.asked)
					}
					return good(work)
				})
				for s.count(id) == 0 {
					s.run(s.one)
				}
				began := time.Now()
				s.change(steady)
				for time.Since(began) < test.kept*9/10 {
					s.run(s.one)
					s.run(s.fan)
					s.update(func(listed fleet.ServerID) bool { return listed == id })
					time.Sleep(test.kept / 100)
					s.update(nil)
				}
				is.Equal(s.count(id), 1)
				is.Equal(s.engine.States(time.Now())[Replicas{"a", Paused}], 1)
				time.Sleep(time.Until(began.Add(test.kept)))
				s.load(s.one, 10*time.Millisecond, time.Second)
				is.True(s.count(id) > 1)
			})
		})
	}
}

// TestLaterPause guards against a shorter pause, of a rejection that was on its way, that ends a longer one.
func TestLaterPause(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := &load{}
	l.recordNotice(now, &Outcome{RetryAfter: 3 * time.Second})
	l.recordNotice(now.Add(time.Second), &Outcome{RetryAfter: time.Second})
	is.True(!l.currentNotice().takes(now.Add(2500 * time.Millisecond)))
	is.True(l.currentNotice().takes(now.Add(3 * time.Second)))
}

// TestEveryReplicaPauses replays an overload in which all replicas of some shards ask for a pause of 2 s and 3 s. It guards
// against callers that are held or told a time at which nothing has changed, and against parts that answer without the shards
// that pause.
func TestEveryReplicaPauses(t *testing.T) {
	const shortest = 2 * time.Second
	for name, test := range map[string]struct {
		pausing int // shards
		whole   bool
	}{
		"one shard, above the floor":   {1, true},
		"four shards, below the floor": {4, false},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				from := time.Now()
				s := newStage(t, func(id fleet.ServerID, now time.Time) behaviour {
					shard := int(id[1] - '0')
					switch {
					case shard >= test.pausing || now.Sub(from) >= shortest:
						return good(work)
					case strings.HasSuffix(string(id), "-a"):
						return pausing(from.Add(shortest).Sub(now))
					}
					return pausing(from.Add(3 * time.Second).Sub(now))
				})
				result := s.run(s.fan)
				s.run(s.one)
				time.Sleep(2 * work) // a send of the first request may not have begun when that has ended
				asked := s.total()
				if !test.whole { // the parts that ran are lost, and the caller's next attempt would be as well
					is.Equal(result.Failure.Reason, verdict.CoverageBelowFloor)
					is.True((result.Failure.RetryAfter - shortest).Abs() < 100*time.Millisecond)
				}
				began := time.Now()
				result = s.run(s.one)
				is.Equal(result.Failure.Verdict, verdict.NotRun)
				is.True(time.Since(began) < 5*time.Millisecond)
				is.True((result.Failure.RetryAfter - from.Add(shortest).Sub(began)).Abs() < 20*time.Millisecond)
				is.Equal(s.total(), asked)
				began = time.Now()
				result = s.run(s.fan)
				if test.whole {
					is.Equal(result.Missing, test.pausing)
					is.True(time.Since(began) <= 2*work)
				} else {
					is.Equal(result.Failure.Verdict, verdict.NotRun)
					is.True(time.Since(began) < 5*time.Millisecond)
					is.True((result.Failure.RetryAfter - from.Add(shortest).Sub(began)).Abs() < 20*time.Millisecond)
					is.Equal(s.total(), asked)
				}
				time.Sleep(time.Until(from.Add(shortest)))
				is.Equal(s.run(s.fan).Missing, 0)
				is.True(s.run(s.one).Answer != nil)
			})
		})
	}
}

// TestPauseWithinTheObjective guards against a part or a request that is given up although its replicas take requests again in
// time.
func TestPauseWithinTheObjective(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		from := time.Now()
		s := newStage(t, func(_ fleet.ServerID, now time.Time) behaviour {
			if left := from.Add(25 * time.Millisecond).Sub(now); left > 0 {
				return pausing(left)
			}
			return good(work)
		})
		result := s.run(s.fan)
		is.True(result.Failure == nil)
		is.Equal(result.Missing, 0)
		from = time.Now()
		is.True(s.run(s.one).Answer != nil)
	})
}
