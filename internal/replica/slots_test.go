package replica

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/query"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Guards against a slot that is reused while the server still works on a cancelled or timed-out call.
func TestSlotsAreHeldUntilTheTransportReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, 2)
		r.warm("s0")
		server := r.servers["s0"]
		server.set(func(b *backend) { b.ignoresCancel, b.took = true, 300*time.Millisecond })
		first := r.send("s0", 1, time.Second, nil)
		r.send("s0", 1, 50*time.Millisecond, nil)
		synctest.Wait()
		r.Cancel("c", first)
		time.Sleep(100 * time.Millisecond)
		is.Equal(r.Servers()[0].InUse, 2)
		r.send("s0", 1, 2*time.Second, nil)
		time.Sleep(time.Second)
		peak, _ := server.seen()
		is.Equal(peak, 2)
	})
}

// Guards against a part without a result, a part with two, more calls in flight than slots, and hedges
// over their budget, for any mix of parts, cancellations, faults and changes of the share.
func TestOneResultPerPartWithinSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			r := newRig(2, 3)
			var sent uint64
			for range 300 {
				server := fleet.ServerID([]string{"s0", "s1"}[random.IntN(2)])
				backend := r.servers[server]
				switch random.IntN(12) {
				case 0:
					r.Cancel("c", r.attempts-min(r.attempts, random.Uint64N(6)))
				case 1:
					backend.mutex.Lock()
					backend.took = time.Duration(1+random.IntN(60)) * time.Millisecond
					backend.ignoresCancel = random.IntN(2) == 0
					backend.fails = nil
					if random.IntN(3) == 0 {
						reasons := []verdict.Reason{verdict.Shedding, verdict.ConnectFailed, verdict.SilentConnection}
						backend.fails = verdict.New(verdict.NotRun, reasons[random.IntN(3)], "")
					}
					backend.mutex.Unlock()
				case 2:
					r.Refresh()
				default:
					r.send(server, 1+random.IntN(3), time.Duration(random.IntN(200))*time.Millisecond, func(p *query.Part) {
						p.Hedge = random.IntN(4) == 0
						p.Service = []fleet.ServiceID{"x", "settle", "batch"}[random.IntN(3)]
					})
				}
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				sent = r.attempts
			}
			time.Sleep(10 * time.Second)
			got := map[uint64]int{}
			for _, result := range r.take() {
				got[result.Attempt]++
			}
			for id := uint64(1); id <= sent; id++ {
				if got[id] != 1 {
					t.Errorf("seed %d: part %d has %d results", seed, id, got[id])
				}
			}
			for _, status := range r.Servers() {
				if peak, _ := r.servers[status.Server].seen(); peak > 3 {
					t.Errorf("seed %d: %d calls in flight at %s", seed, peak, status.Server)
				}
				if status.InUse != 0 || status.Queued != 0 || len(r.known(status.Server).tasks) != 0 {
					t.Errorf("seed %d: %+v after the end", seed, status)
				}
			}
		})
	})
}

// Guards against more load than a frozen previous owner's set of slots on top of the new owner's: after
// a pause only the calls past the fence check can still be sent.
func TestOwnershipChangeWithFrozenOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, 2)
		r.warm("s0")
		server := r.servers["s0"]
		// The calls of the frozen owner last as long as the pause and the claim delay together.
		server.set(func(b *backend) { b.took, b.ignoresCancel = 3*time.Second, true })
		r.send("s0", 6, 4*time.Second, nil)
		synctest.Wait()
		r.change(func(r *rig) { r.stale = true })
		time.Sleep(fleet.ClaimDelay)
		next := r.owner("e1")
		next.Fresh = func() bool { return true }
		for attempt := range uint64(6) {
			next.Run(context.Background(), "c", []query.Part{{Attempt: 1000 + attempt, Service: "x", Server: "s0", Deadline: time.Now().Add(9 * time.Second)}}, func(query.Result) {})
		}
		time.Sleep(time.Second)
		peak, _ := server.seen()
		is.Equal(peak, 2+1) // one set of slots, and the new owner's cold ramp
		time.Sleep(20 * time.Second)
		peak, calls := server.seen()
		is.True(peak <= 4)    // never more than two sets
		is.True(calls <= 2+6) // the resumed owner's queue was refused, not sent
	})
}

// Guards against hedges that add more than 5% load, or that reach a server which is not warm, is
// shedding or has no free slot.
func TestHedgeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, 2)
		r.send("s0", 1, time.Second, hedge)
		is.Equal(r.reasons(), map[verdict.Reason]int{verdict.HedgeRefused: 1}) // cold
		r.warm("s0")
		var hedges, requests [180]int
		for second := range len(hedges) {
			for range 1 + 30*(second%3) {
				r.send("s0", 1, time.Second, nil)
				time.Sleep(12 * time.Millisecond)
				r.send("s0", 1, time.Second, hedge)
				time.Sleep(4 * time.Millisecond)
			}
			time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second)))
			for _, result := range r.take() {
				requests[second]++
				if result.Err != nil {
					requests[second]--
				} else if result.Attempt%2 == 1 {
					hedges[second]++
				}
			}
		}
		for end := 60; end <= len(hedges); end++ {
			h, n := 0, 0
			for second := end - 60; second < end; second++ {
				h, n = h+hedges[second], n+requests[second]
			}
			is.True(h > 0)
			if float64(h) > 0.05*float64(n) {
				t.Errorf("seconds %d to %d: %d hedges in %d requests", end-60, end, h, n)
			}
		}
	})
}

// Guards against a hedge that the budget allows but the server cannot bear.
func TestHedgeNeedsAWarmServerWithAFreeSlot(t *testing.T) {
	tests := map[string]struct {
		distress func(*rig)
		refused  int
	}{
		"warm": {func(*rig) {}, 0},
		"cold": {func(r *rig) { r.servers["s0"].set(func(b *backend) { b.mark = "2" }) }, 1},
		"shedding": {func(r *rig) {
			r.servers["s0"].set(func(b *backend) { b.fails = verdict.New(verdict.NotRun, verdict.Shedding, "") })
		}, 1},
		"no free slot": {func(r *rig) {
			r.servers["s0"].set(func(b *backend) { b.took = 500 * time.Millisecond })
			r.send("s0", 1, time.Second, nil)
		}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRig(1, 2)
				r.warm("s0")
				r.warm("s0")
				test.distress(r)
				r.send("s0", 1, time.Second, nil)
				time.Sleep(20 * time.Millisecond)
				r.reasons()
				r.send("s0", 1, time.Second, hedge)
				is.Equal(r.reasons()[verdict.HedgeRefused], test.refused)
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a part that waits although its deadline cannot be met, and against batch work that is
// served before interactive work.
func TestQueueIsBoundedInTimeAndOrderedByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, 1)
		r.warm("s0")
		r.servers["s0"].set(func(*backend) {})
		r.send("s0", 1, time.Second, nil)
		r.send("s0", 2, time.Second, func(p *query.Part) { p.Service = "batch" })
		r.send("s0", 1, time.Second, func(p *query.Part) { p.Service = "settle" })
		last := r.send("s0", 1, time.Second, nil)
		r.send("s0", 1, 15*time.Millisecond, nil)
		refused := r.take()
		is.Equal(len(refused), 1) // refused at once
		is.Equal(refused[0].Err.Reason, verdict.Overloaded)
		is.Equal(refused[0].Err.Verdict, verdict.NotRun)
		is.True(refused[0].Err.RetryAfter > 0)
		time.Sleep(time.Second)
		var order []uint64
		for _, result := range r.take() {
			order = append(order, result.Attempt)
		}
		is.Equal(order, []uint64{last - 4, last, last - 1, last - 3, last - 2})
	})
}

// Guards against a new owner that starts warm without having been told, that starts cold although it
// was, or that uses slots which the former owner's calls still hold.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, 3)
		r.warm("s0")
		server := r.servers["s0"]
		server.set(func(b *backend) { b.took = 400 * time.Millisecond })
		r.send("s0", 2, time.Second, nil)
		synctest.Wait()
		handed := r.Handover([]fleet.ServerID{"s0", "s9"})
		is.Equal(len(handed), 1)
		r.Owner = r.owner("e1")
		r.Adopt(handed)
		r.change(func(r *rig) { r.slots = 0 })
		r.Refresh() // the handover arrives before the claim
		r.change(func(r *rig) { r.slots = 3 })
		r.Refresh()
		is.Equal(r.Servers()[0].State, Warm)
		r.send("s0", 6, 8*time.Second, nil)
		time.Sleep(3 * time.Second)
		peak, _ := server.seen()
		is.Equal(peak, 3)
		is.Equal(r.reasons()[verdict.None], 8)
	})
}

// Guards against a lagging state endpoint that makes a server cold again, and against a restarted
// server that stays excluded because its former process was leaving.
func TestStateEndpointIsAHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, 2)
		r.warm("s0")
		r.Hint("s0", "1", true)
		is.Equal(r.Servers()[0].State, Leaving)
		r.Hint("s0", "1", false)
		is.Equal(r.Servers()[0].State, Leaving)
		r.Hint("s0", "2", false)
		is.Equal(r.Servers()[0].State, Cold)
		r.servers["s0"].set(func(b *backend) { b.mark = "2" })
		r.warm("s0")
		r.Hint("s0", "1", true)
		is.Equal(r.Servers()[0].State, Warm)
	})
}

// Guards against state that grows with every server that was ever listed, and against a server that
// returns with the ramp of its former listing.
func TestUnlistedServersAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, 2)
		r.warm("s0")
		server := r.listed["s0"]
		r.change(func(r *rig) { delete(r.listed, "s0") })
		r.send("s0", 1, time.Second, nil)
		is.Equal(r.reasons(), map[verdict.Reason]int{verdict.NoReplica: 1})
		r.Refresh()
		is.Equal(len(r.Servers()), 0)
		r.change(func(r *rig) { r.listed["s0"] = server })
		r.send("s0", 1, time.Second, nil)
		synctest.Wait()
		is.Equal(r.Servers()[0].State, Cold)
		time.Sleep(time.Second)
		is.Equal(r.reasons(), map[verdict.Reason]int{verdict.None: 1})
	})
}
