package lookup

import (
	"context"
	"hash/fnv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/sighting"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// balancerAsks is how often the balancer asks for readiness; it moves callers after two answers in a row.
const balancerAsks = time.Second

// needsBoth is a stage in zone a some of whose shards have their replicas in zone b only, so that it cannot serve without b.
func needsBoth(t *testing.T, behave func(id fleet.ServerID, now time.Time) behaviour) *stage {
	s := newStage(t, behave)
	s.update(func(id fleet.ServerID) bool { return strings.HasSuffix(string(id), "-a") && id < "s6" })
	return s
}

// pausedUntil is a good answer after a pause of a length that comes every period, for replicas at different times or together.
func pausedUntil(now time.Time, length, period, phase time.Duration) behaviour {
	into := (time.Duration(now.UnixNano()) + phase) % period
	return good(max(0, length-into) + work)
}

// refusing is a replica whose host refuses connections.
func refusing() behaviour {
	return behaviour{refuses: true, outcome: Outcome{Verdict: verdict.NotRun, Reason: verdict.ConnectFailed}}
}

// TestReadinessFallsWithTheZone replays a zone that is cut off, under loads of one instance among few and among many. It guards
// against a question of the balancer that is answered as if nothing had happened: each costs the callers of the zone a second.
func TestReadinessFallsWithTheZone(t *testing.T) {
	for name, test := range map[string]struct {
		every, within time.Duration
		reset         bool
	}{
		"28 requests a second":         {35 * time.Millisecond, 150 * time.Millisecond, false},
		"5 requests a second":          {200 * time.Millisecond, 300 * time.Millisecond, false},
		"connections that are refused": {35 * time.Millisecond, 150 * time.Millisecond, true},
		"refused, 5 requests a second": {200 * time.Millisecond, 300 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				cut := time.Now().Add(3 * time.Second)
				s := needsBoth(t, func(id fleet.ServerID, now time.Time) behaviour {
					switch {
					case now.Before(cut) || strings.HasSuffix(string(id), "-a"):
						return good(work)
					case test.reset:
						return refusing()
					}
					return behaviour{silent: true}
				})
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go s.engine.WatchReach(ctx, s)
				go s.load(s.fan, test.every, 5*time.Second)
				for time.Now().Before(cut) {
					is.True(!s.engine.MayBeIsolated(time.Now()))
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(test.within)
				for range 200 {
					is.True(s.engine.MayBeIsolated(time.Now()))
					is.True(s.engine.Isolated() || time.Since(cut) < test.within+doubtFor+2*checkReach)
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}

// TestReadinessOfAZoneThatNeedsNoOther guards against an instance that calls itself not ready although the replicas of its own
// zone are enough.
func TestReadinessOfAZoneThatNeedsNoOther(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		cut := time.Now().Add(time.Second)
		s := newStage(t, func(id fleet.ServerID, now time.Time) behaviour {
			if strings.HasSuffix(string(id), "-b") {
				return behaviour{silent: now.After(cut), delay: work, outcome: good(work).outcome}
			}
			return good(3 * work) // so slow that the other zone is asked, too
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go s.engine.WatchReach(ctx, s)
		go s.load(s.fan, 35*time.Millisecond, 3*time.Second)
		doubtful := false
		for range 300 {
			is.True(!s.engine.MayBeIsolated(time.Now()))
			doubtful = doubtful || s.engine.remoteZones(time.Now())["b"].doubtful()
			time.Sleep(10 * time.Millisecond)
		}
		is.True(doubtful) // the other zone was asked and missed
	})
}

// TestReadinessStays replays trouble that is no cut. It guards against an instance that is taken out of rotation by it: two
// questions of the balancer in a row that find it not ready.
func TestReadinessStays(t *testing.T) {
	inB := func(id fleet.ServerID) bool { return strings.HasSuffix(string(id), "-b") }
	for name, test := range map[string]struct {
		every  time.Duration
		behave func(id fleet.ServerID, now time.Time) behaviour
	}{
		"pauses": {35 * time.Millisecond, func(id fleet.ServerID, now time.Time) behaviour {
			hash := fnv.New32a()
			_, _ = hash.Write([]byte(id))
			return pausedUntil(now, 250*time.Millisecond, 3*time.Second, time.Duration(hash.Sum32())*time.Microsecond)
		}},
		"all pause together": {35 * time.Millisecond, func(id fleet.ServerID, now time.Time) behaviour {
			if inB(id) {
				return pausedUntil(now, 250*time.Millisecond, 3*time.Second, 0)
			}
			return good(work)
		}},
		"all accept connections, and pause together for long": {35 * time.Millisecond, func(id fleet.ServerID, now time.Time) behaviour {
			if inB(id) {
				return pausedUntil(now, 700*time.Millisecond, 3*time.Second, 0)
			}
			return good(work)
		}},
		"half of the other zone is down": {35 * time.Millisecond, func(id fleet.ServerID, _ time.Time) behaviour {
			how := good(work)
			how.silent = inB(id) && id < "s5"
			return how
		}},
		"half is down, few requests": {time.Second, func(id fleet.ServerID, _ time.Time) behaviour {
			how := good(work)
			how.silent = inB(id) && id < "s5"
			return how
		}},
		"half refuses connections": {35 * time.Millisecond, func(id fleet.ServerID, _ time.Time) behaviour {
			if inB(id) && id < "s5" {
				return refusing()
			}
			return good(work)
		}},
		"all slow":                   {35 * time.Millisecond, func(fleet.ServerID, time.Time) behaviour { return good(5 * work) }},
		"all slow, few requests":     {time.Second, func(fleet.ServerID, time.Time) behaviour { return good(5 * work) }},
		"no requests":                {20 * time.Second, steady},
		"one request, and no answer": {20 * time.Second, func(id fleet.ServerID, _ time.Time) behaviour { return behaviour{hangs: inB(id)} }},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := needsBoth(t, test.behave)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go s.engine.WatchReach(ctx, s)
				const lasting, step = 12 * time.Second, 50 * time.Millisecond
				go s.load(s.fan, test.every, lasting)
				var doubts []bool
				for range lasting / step {
					time.Sleep(step)
					doubts = append(doubts, s.engine.MayBeIsolated(time.Now()))
					if s.engine.Isolated() {
						t.Error("isolated")
						return
					}
				}
				const apart = int(balancerAsks / step)
				for i := apart; i < len(doubts); i++ {
					if doubts[i] && doubts[i-apart] {
						t.Errorf("not ready at %v and a second before", time.Duration(i+1)*step)
						return
					}
				}
			})
		})
	}
}

// TestZoneHearsOfACut replays a zone of 24 instances with half a request a second each, which is cut off. It guards against
// instances that find out with their next request only, and call themselves ready until then. News take 300 ms, as between the
// board and the others.
func TestZoneHearsOfACut(t *testing.T) {
	const instances, lag = 24, 300 * time.Millisecond
	for name, telling := range map[string]bool{"told": true, "each alone": false} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				cut := time.Now().Add(10 * time.Second)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				var stages []*stage
				for range instances {
					s := needsBoth(t, func(id fleet.ServerID, now time.Time) behaviour {
						return behaviour{silent: now.After(cut) && strings.HasSuffix(string(id), "-b"), delay: work, outcome: good(work).outcome}
					})
					s.engine.seen = func(seen sighting.Sighting) {
						if telling && seen.Zone != "" {
							time.AfterFunc(lag, func() {
								for _, other := range stages {
									other.engine.Told([]sighting.Sighting{seen})
								}
							})
						}
					}
					stages = append(stages, s)
				}
				for _, s := range stages {
					go s.engine.WatchReach(ctx, s)
				}
				for n := 0; time.Since(cut) < balancerAsks; n++ {
					s := stages[n%instances]
					go func() { s.run(s.fan) }()
					time.Sleep(2 * time.Second / instances)
					is.True(time.Now().After(cut) || !s.engine.MayBeIsolated(time.Now()))
				}
				unready := 0
				for _, s := range stages {
					if s.engine.MayBeIsolated(time.Now()) {
						unready++
					}
				}
				if telling {
					is.Equal(unready, instances)
				} else {
					is.True(unready < instances)
				}
			})
		})
	}
}

// TestDoubtOfAnother guards against a doubt that outlives an answer, or goes on for ever.
func TestDoubtOfAnother(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := &contact{}
	is.True(!c.inDoubt(now))
	is.True(c.doubt(now))
	is.True(!c.doubt(now.Add(toldFor / 2))) // not new
	is.True(c.inDoubt(now.Add(toldFor)))
	is.True(!c.inDoubt(now.Add(2 * toldFor)))
	c.hear(now.Add(toldFor * 3 / 4))
	is.True(!c.inDoubt(now.Add(toldFor)))
}

// TestToldOfAZone guards against instances that others can take out of rotation by their word: only what is tried in vain counts.
func TestToldOfAZone(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := needsBoth(t, func(id fleet.ServerID, _ time.Time) behaviour {
			how := good(work)
			how.silent = id == "s0-b" || id == "s1-b" || id == "s2-b" // down by themselves
			return how
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go s.engine.WatchReach(ctx, s)
		s.run(s.fan)
		for range 500 {
			s.engine.Told([]sighting.Sighting{{Zone: "b", At: time.Now()}, {Zone: "a", At: time.Now()}, {Zone: "none", At: time.Now()}})
			time.Sleep(20 * time.Millisecond)
			is.True(!s.engine.MayBeIsolated(time.Now()))
		}
	})
}
