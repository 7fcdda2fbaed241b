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

// TestSlotsAreHeldUntilTheTransportReturns guards against a slot that is reused while the server still works on a
// cancelled or timed-out call.
func TestSlotsAreHeldUntilTheTransportReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(1, 2)
		h.warmUp("s0")
		server := h.servers["s0"]
		server.update(func(b *fakeServer) { b.ignoresCancel, b.serviceTime = true, 300*time.Millisecond })
		first := h.send("s0", 1, time.Second, nil)
		h.send("s0", 1, 50*time.Millisecond, nil)
		synctest.Wait()
		h.Cancel("c", first)
		time.Sleep(100 * time.Millisecond)
		is.Equal(h.Statuses()[0].InUse, 2)
		h.send("s0", 1, 2*time.Second, nil)
		time.Sleep(time.Second)
		peak, _ := server.load()
		is.Equal(peak, 2)
	})
}

// TestOneResultPerPartWithinSlots guards against parts with no result or with two, more calls in flight than slots, and
// tasks, slots or queue entries that remain after the end, for random mixes of parts, hedges, cancellations, failures
// and refreshes.
func TestOneResultPerPartWithinSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			h := newHarness(2, 3)
			var sent uint64
			for range 300 {
				server := fleet.ServerID([]string{"s0", "s1"}[random.IntN(2)])
				backend := h.servers[server]
				switch random.IntN(12) {
				case 0:
					h.Cancel("c", h.attempts-min(h.attempts, random.Uint64N(6)))
				case 1:
					backend.mutex.Lock()
					backend.serviceTime = time.Duration(1+random.IntN(60)) * time.Millisecond
					backend.ignoresCancel = random.IntN(2) == 0
					backend.failure = nil
					if random.IntN(3) == 0 {
						reasons := []verdict.Reason{verdict.Shedding, verdict.ConnectFailed, verdict.SilentConnection}
						backend.failure = verdict.New(verdict.NotRun, reasons[random.IntN(3)], "")
					}
					backend.mutex.Unlock()
				case 2:
					h.Refresh()
				default:
					h.send(server, 1+random.IntN(3), time.Duration(random.IntN(200))*time.Millisecond, func(p *query.Part) {
						p.Hedge = random.IntN(4) == 0
						p.Service = []fleet.ServiceID{"x", "settle", "batch"}[random.IntN(3)]
					})
				}
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				sent = h.attempts
			}
			time.Sleep(10 * time.Second)
			got := map[uint64]int{}
			for _, result := range h.takeResults() {
				got[result.Attempt]++
			}
			for id := uint64(1); id <= sent; id++ {
				if got[id] != 1 {
					t.Errorf("seed %d: part %d has %d results", seed, id, got[id])
				}
			}
			for _, status := range h.Statuses() {
				if peak, _ := h.servers[status.Server].load(); peak > 3 {
					t.Errorf("seed %d: %d calls in flight at %s", seed, peak, status.Server)
				}
				if status.InUse != 0 || status.Queued != 0 || len(h.existingLimiter(status.Server).tasks) != 0 {
					t.Errorf("seed %d: %+v after the end", seed, status)
				}
			}
		})
	})
}

// TestOwnershipChangeWithFrozenOwner guards against a frozen previous owner that adds more than one set of slots to the
// load of the new owner. After the freeze only the calls that had passed the fence check may still be sent.
func TestOwnershipChangeWithFrozenOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(1, 2)
		h.warmUp("s0")
		server := h.servers["s0"]
		// The calls of the frozen owner last longer than the freeze and the claim delay together.
		server.update(func(b *fakeServer) { b.serviceTime, b.ignoresCancel = 3*time.Second, true })
		h.send("s0", 6, 4*time.Second, nil)
		synctest.Wait()
		h.update(func(h *harness) { h.fenced = true })
		time.Sleep(fleet.ClaimDelay)
		next := h.newOwner("e1")
		next.Fresh = func() bool { return true }
		for attempt := range uint64(6) {
			next.Run(context.Background(), "c", []query.Part{{Attempt: 1000 + attempt, Service: "x", Server: "s0", Deadline: time.Now().Add(9 * time.Second)}}, func(query.Result) {})
		}
		time.Sleep(time.Second)
		peak, _ := server.load()
		is.Equal(peak, 2+1) // one set of slots, and the new owner's cold ramp
		time.Sleep(20 * time.Second)
		peak, calls := server.load()
		is.True(peak <= 4)    // never more than two sets
		is.True(calls <= 2+6) // the resumed owner's queue was refused, not sent
	})
}

// TestHedgeBudget guards against hedges that add more than 5% load in any minute, and against a hedge to a cold server.
func TestHedgeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(1, 2)
		h.send("s0", 1, time.Second, asHedge)
		is.Equal(h.countReasons(), map[verdict.Reason]int{verdict.HedgeRefused: 1}) // cold
		h.warmUp("s0")
		var hedges, requests [180]int
		for second := range len(hedges) {
			for range 1 + 30*(second%3) {
				h.send("s0", 1, time.Second, nil)
				time.Sleep(12 * time.Millisecond)
				h.send("s0", 1, time.Second, asHedge)
				time.Sleep(4 * time.Millisecond)
			}
			time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second)))
			for _, result := range h.takeResults() {
				requests[second]++
				if result.Err != nil {
					requests[second]--
				} else if result.Attempt%2 == 1 {
					hedges[second]++
				}
			}
		}
		for end := 60; end <= len(hedges); end++ {
			hedgeSum, requestSum := 0, 0
			for second := end - 60; second < end; second++ {
				hedgeSum, requestSum = hedgeSum+hedges[second], requestSum+requests[second]
			}
			is.True(hedgeSum > 0)
			if float64(hedgeSum) > 0.05*float64(requestSum) {
				t.Errorf("seconds %d to %d: %d hedges in %d requests", end-60, end, hedgeSum, requestSum)
			}
		}
	})
}

// TestHedgeNeedsAWarmServerWithAFreeSlot guards against a hedge that the budget allows, but to a server that is not
// warm, is shedding or has no free slot.
func TestHedgeNeedsAWarmServerWithAFreeSlot(t *testing.T) {
	tests := map[string]struct {
		fault   func(*harness)
		refused int
	}{
		"warm": {func(*harness) {}, 0},
		"cold": {func(h *harness) { h.servers["s0"].update(func(b *fakeServer) { b.startMark = "2" }) }, 1},
		"shedding": {func(h *harness) {
			h.servers["s0"].update(func(b *fakeServer) { b.failure = verdict.New(verdict.NotRun, verdict.Shedding, "") })
		}, 1},
		"no free slot": {func(h *harness) {
			h.servers["s0"].update(func(b *fakeServer) { b.serviceTime = 500 * time.Millisecond })
			h.send("s0", 1, time.Second, nil)
		}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(1, 2)
				h.warmUp("s0")
				h.warmUp("s0")
				test.fault(h)
				h.send("s0", 1, time.Second, nil)
				time.Sleep(20 * time.Millisecond)
				h.countReasons()
				h.send("s0", 1, time.Second, asHedge)
				is.Equal(h.countReasons()[verdict.HedgeRefused], test.refused)
				time.Sleep(time.Second)
			})
		})
	}
}

// TestQueueIsBoundedInTimeAndOrderedByClass guards against a part that is queued although its deadline cannot be met,
// and against batch work that is served before interactive work.
func TestQueueIsBoundedInTimeAndOrderedByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(1, 1)
		h.warmUp("s0")
		h.servers["s0"].update(func(*fakeServer) {})
		h.send("s0", 1, time.Second, nil)
		h.send("s0", 2, time.Second, func(p *query.Part) { p.Service = "batch" })
		h.send("s0", 1, time.Second, func(p *query.Part) { p.Service = "settle" })
		last := h.send("s0", 1, time.Second, nil)
		h.send("s0", 1, 15*time.Millisecond, nil)
		refused := h.takeResults()
		is.Equal(len(refused), 1) // refused at once
		is.Equal(refused[0].Err.Reason, verdict.Overloaded)
		is.Equal(refused[0].Err.Verdict, verdict.NotRun)
		is.True(refused[0].Err.RetryAfter > 0)
		time.Sleep(time.Second)
		var order []uint64
		for _, result := range h.takeResults() {
			order = append(order, result.Attempt)
		}
		is.Equal(order, []uint64{last - 4, last, last - 1, last - 3, last - 2})
	})
}

// TestHandover guards against a new owner that treats a server as cold although the handover said it is warm, and
// against one that uses slots still held by calls of the previous owner.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(1, 3)
		h.warmUp("s0")
		server := h.servers["s0"]
		server.update(func(b *fakeServer) { b.serviceTime = 400 * time.Millisecond })
		h.send("s0", 2, time.Second, nil)
		synctest.Wait()
		handed := h.Handover([]fleet.ServerID{"s0", "s9"})
		is.Equal(len(handed), 1)
		h.Owner = h.newOwner("e1")
		h.Adopt(handed)
		h.update(func(h *harness) { h.slots = 0 })
		h.Refresh() // the handover arrives before the claim
		h.update(func(h *harness) { h.slots = 3 })
		h.Refresh()
		is.Equal(h.Statuses()[0].State, Warm)
		h.send("s0", 6, 8*time.Second, nil)
		time.Sleep(3 * time.Second)
		peak, _ := server.load()
		is.Equal(peak, 3)
		is.Equal(h.countReasons()[verdict.None], 8)
	})
}

// TestLaggingStateEndpoint guards against a lagging state endpoint whose old response makes a restarted server leaving
// or cold again, and against a restarted server that stays excluded because its previous process was leaving.
func TestLaggingStateEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(1, 2)
		h.warmUp("s0")
		h.ApplyStateHint("s0", "1", true)
		is.Equal(h.Statuses()[0].State, Leaving)
		h.ApplyStateHint("s0", "1", false)
		is.Equal(h.Statuses()[0].State, Leaving)
		h.ApplyStateHint("s0", "2", false)
		is.Equal(h.Statuses()[0].State, Cold)
		h.servers["s0"].update(func(b *fakeServer) { b.startMark = "2" })
		h.warmUp("s0")
		h.ApplyStateHint("s0", "1", true)
		is.Equal(h.Statuses()[0].State, Warm)
	})
}

// TestStateOfUnlistedServersIsRemoved guards against state that accumulates for every server ever listed, and against a
// server that is listed again and keeps the ramp of its previous listing.
func TestStateOfUnlistedServersIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(1, 2)
		h.warmUp("s0")
		server := h.listed["s0"]
		h.update(func(h *harness) { delete(h.listed, "s0") })
		h.send("s0", 1, time.Second, nil)
		is.Equal(h.countReasons(), map[verdict.Reason]int{verdict.NoReplica: 1})
		h.Refresh()
		is.Equal(len(h.Statuses()), 0)
		h.update(func(h *harness) { h.listed["s0"] = server })
		h.send("s0", 1, time.Second, nil)
		synctest.Wait()
		is.Equal(h.Statuses()[0].State, Cold)
		time.Sleep(time.Second)
		is.Equal(h.countReasons(), map[verdict.Reason]int{verdict.None: 1})
	})
}
