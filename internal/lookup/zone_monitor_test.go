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

// readinessInterval is the interval at which the load balancer checks readiness; it moves callers after two negative
// answers in a row.
const readinessInterval = time.Second

// newEngineNeedingBothZones returns an engine in zone a for which some shards have replicas only in zone b, so that it
// cannot meet the floor without zone b.
func newEngineNeedingBothZones(t *testing.T, behave func(id fleet.ServerID, now time.Time) replicaBehaviour) *testEngine {
	s := newTestEngine(t, behave)
	s.update(func(id fleet.ServerID) bool { return strings.HasSuffix(string(id), "-a") && id < "s6" })
	return s
}

// periodicStall is a good answer, delayed if now is in a stall of the given length that recurs every period. With
// different phases, replicas stall at different times.
func periodicStall(now time.Time, length, period, phase time.Duration) replicaBehaviour {
	into := (time.Duration(now.UnixNano()) + phase) % period
	return good(max(0, length-into) + work)
}

// refusing is a replica whose host refuses connections.
func refusing() replicaBehaviour {
	return replicaBehaviour{refuses: true, outcome: Outcome{Verdict: verdict.NotRun, Reason: verdict.ConnectFailed}}
}

// TestNotReadyWhenZoneIsUnreachable replays the loss of the connection to the other zone, with many and with few
// requests to this instance. It guards against a readiness check soon after the loss that is still answered positively:
// each costs the callers of the zone a second.
func TestNotReadyWhenZoneIsUnreachable(t *testing.T) {
	for name, test := range map[string]struct {
		every, within time.Duration
		refused       bool
	}{
		"28 requests a second":         {35 * time.Millisecond, 150 * time.Millisecond, false},
		"5 requests a second":          {200 * time.Millisecond, 300 * time.Millisecond, false},
		"connections that are refused": {35 * time.Millisecond, 150 * time.Millisecond, true},
		"refused, 5 requests a second": {200 * time.Millisecond, 300 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				is := is.New(t)
				cutOffAt := time.Now().Add(3 * time.Second)
				s := newEngineNeedingBothZones(t, func(id fleet.ServerID, now time.Time) replicaBehaviour {
					switch {
					case now.Before(cutOffAt) || strings.HasSuffix(string(id), "-a"):
						return good(work)
					case test.refused:
						return refusing()
					}
					return replicaBehaviour{silent: true}
				})
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go s.engine.MonitorZones(ctx, s)
				go s.runLoad(s.fanoutRoute, test.every, 5*time.Second)
				for time.Now().Before(cutOffAt) {
					is.True(!s.engine.MayBeIsolated(time.Now()))
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(test.within)
				for range 200 {
					is.True(s.engine.MayBeIsolated(time.Now()))
					is.True(s.engine.Isolated() || time.Since(cutOffAt) < test.within+confirmUnreachableAfter+2*zoneCheckInterval)
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}

// TestReadyWhenLocalZoneSuffices guards against an instance that reports itself not ready although the replicas of its
// own zone are sufficient.
func TestReadyWhenLocalZoneSuffices(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		cutOffAt := time.Now().Add(time.Second)
		s := newTestEngine(t, func(id fleet.ServerID, now time.Time) replicaBehaviour {
			if strings.HasSuffix(string(id), "-b") {
				return replicaBehaviour{silent: now.After(cutOffAt), delay: work, outcome: good(work).outcome}
			}
			return good(3 * work) // so slow that requests are also sent to the other zone
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go s.engine.MonitorZones(ctx, s)
		go s.runLoad(s.fanoutRoute, 35*time.Millisecond, 3*time.Second)
		suspected := false
		for range 300 {
			is.True(!s.engine.MayBeIsolated(time.Now()))
			suspected = suspected || s.engine.remoteZones(time.Now())["b"].suspected()
			time.Sleep(10 * time.Millisecond)
		}
		is.True(suspected) // requests were sent to the other zone and not answered
	})
}

// TestStaysReadyDuringOtherFaults replays faults that do not make the zone unreachable. It guards against an instance
// that is taken out of rotation by them, which takes two consecutive negative readiness checks.
func TestStaysReadyDuringOtherFaults(t *testing.T) {
	inB := func(id fleet.ServerID) bool { return strings.HasSuffix(string(id), "-b") }
	for name, test := range map[string]struct {
		every  time.Duration
		behave func(id fleet.ServerID, now time.Time) replicaBehaviour
	}{
		"pauses": {35 * time.Millisecond, func(id fleet.ServerID, now time.Time) replicaBehaviour {
			hash := fnv.New32a()
			_, _ = hash.Write([]byte(id))
			return periodicStall(now, 250*time.Millisecond, 3*time.Second, time.Duration(hash.Sum32())*time.Microsecond)
		}},
		"all pause together": {35 * time.Millisecond, func(id fleet.ServerID, now time.Time) replicaBehaviour {
			if inB(id) {
				return periodicStall(now, 250*time.Millisecond, 3*time.Second, 0)
			}
			return good(work)
		}},
		"all accept connections, and pause together for long": {35 * time.Millisecond, func(id fleet.ServerID, now time.Time) replicaBehaviour {
			if inB(id) {
				return periodicStall(now, 700*time.Millisecond, 3*time.Second, 0)
			}
			return good(work)
		}},
		"half of the other zone is down": {35 * time.Millisecond, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			behaviour := good(work)
			behaviour.silent = inB(id) && id < "s5"
			return behaviour
		}},
		"half is down, few requests": {time.Second, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			behaviour := good(work)
			behaviour.silent = inB(id) && id < "s5"
			return behaviour
		}},
		"half refuses connections": {35 * time.Millisecond, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			if inB(id) && id < "s5" {
				return refusing()
			}
			return good(work)
		}},
		"all slow":                   {35 * time.Millisecond, func(fleet.ServerID, time.Time) replicaBehaviour { return good(5 * work) }},
		"all slow, few requests":     {time.Second, func(fleet.ServerID, time.Time) replicaBehaviour { return good(5 * work) }},
		"no requests":                {20 * time.Second, allHealthy},
		"one request, and no answer": {20 * time.Second, func(id fleet.ServerID, _ time.Time) replicaBehaviour { return replicaBehaviour{hangs: inB(id)} }},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				s := newEngineNeedingBothZones(t, test.behave)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go s.engine.MonitorZones(ctx, s)
				const lasting, step = 12 * time.Second, 10 * time.Millisecond
				go s.runLoad(s.fanoutRoute, test.every, lasting)
				var notReady []bool
				for range lasting / step {
					time.Sleep(step)
					notReady = append(notReady, s.engine.MayBeIsolated(time.Now()))
					if s.engine.Isolated() {
						t.Error("instance considers itself isolated")
						return
					}
				}
				const apart = int(readinessInterval / step)
				for i := apart; i < len(notReady); i++ {
					if notReady[i] && notReady[i-apart] {
						t.Errorf("not ready at %v and one second before", time.Duration(i+1)*step)
						return
					}
				}
			})
		})
	}
}

// TestUnreachableZoneIsReported replays a zone of 24 instances with half a request a second each, which loses the
// connection to the other zone. It guards against instances that notice only with their next request and report
// themselves ready until then. Sightings arrive after 300 ms, as they do through the hub.
func TestUnreachableZoneIsReported(t *testing.T) {
	const instances, lag = 24, 300 * time.Millisecond
	for name, reporting := range map[string]bool{"reported": true, "each alone": false} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				is := is.New(t)
				cutOffAt := time.Now().Add(10 * time.Second)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				var engines []*testEngine
				for range instances {
					s := newEngineNeedingBothZones(t, func(id fleet.ServerID, now time.Time) replicaBehaviour {
						return replicaBehaviour{silent: now.After(cutOffAt) && strings.HasSuffix(string(id), "-b"), delay: work, outcome: good(work).outcome}
					})
					s.engine.reportSighting = func(seen sighting.Sighting) {
						if reporting && seen.Zone != "" {
							time.AfterFunc(lag, func() {
								for _, other := range engines {
									other.engine.ApplySightings([]sighting.Sighting{seen})
								}
							})
						}
					}
					engines = append(engines, s)
				}
				for _, s := range engines {
					go s.engine.MonitorZones(ctx, s)
				}
				for n := 0; time.Since(cutOffAt) < readinessInterval; n++ {
					s := engines[n%instances]
					go func() { s.run(s.fanoutRoute) }()
					time.Sleep(2 * time.Second / instances)
					is.True(time.Now().After(cutOffAt) || !s.engine.MayBeIsolated(time.Now()))
				}
				notReadyCount := 0
				for _, s := range engines {
					if s.engine.MayBeIsolated(time.Now()) {
						notReadyCount++
					}
				}
				if reporting {
					is.Equal(notReadyCount, instances)
				} else {
					is.True(notReadyCount < instances)
				}
			})
		})
	}
}

// TestReportedUnreachable guards against another instance's report that still counts after an answer from the zone, or
// that never expires.
func TestReportedUnreachable(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := &zoneReachability{}
	is.True(!r.reportedUnreachable(now))
	is.True(r.recordReport(now))
	is.True(!r.recordReport(now.Add(zoneReportTTL / 2))) // an earlier report is in effect
	is.True(r.reportedUnreachable(now.Add(zoneReportTTL)))
	is.True(!r.reportedUnreachable(now.Add(2 * zoneReportTTL)))
	r.recordAnswer(now.Add(zoneReportTTL * 3 / 4))
	is.True(!r.reportedUnreachable(now.Add(zoneReportTTL)))
}

// TestReportAloneDoesNotIsolate guards against instances that others can take out of rotation by reports alone: only
// the instance's own unsuccessful sends and probes count.
func TestReportAloneDoesNotIsolate(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newEngineNeedingBothZones(t, func(id fleet.ServerID, _ time.Time) replicaBehaviour {
			behaviour := good(work)
			behaviour.silent = id == "s0-b" || id == "s1-b" || id == "s2-b" // down independently of the zone
			return behaviour
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go s.engine.MonitorZones(ctx, s)
		s.run(s.fanoutRoute)
		for range 500 {
			s.engine.ApplySightings([]sighting.Sighting{{Zone: "b", ObservedAt: time.Now()}, {Zone: "a", ObservedAt: time.Now()}, {Zone: "none", ObservedAt: time.Now()}})
			time.Sleep(20 * time.Millisecond)
			is.True(!s.engine.MayBeIsolated(time.Now()))
		}
	})
}
