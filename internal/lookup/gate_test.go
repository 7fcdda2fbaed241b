package lookup

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// queueing is a fake of replicas that process some requests at a time and queue the others, like the users' ones.
type queueing struct {
	mutex  sync.Mutex
	slots  map[fleet.ServerID]chan struct{}
	random *rand.Rand
}

// work returns a processing time with the users' spread of a third.
func (q *queueing) work() time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return time.Duration(float64(work) * math.Exp(0.35*q.random.NormFloat64()))
}

func (q *queueing) slotsOf(id fleet.ServerID, count int) chan struct{} {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.slots[id] == nil {
		q.slots[id] = make(chan struct{}, count)
	}
	return q.slots[id]
}

func (q *queueing) Send(ctx context.Context, request *Request, to directory.Replica, _ Bounds) Outcome {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	slots := q.slotsOf(to.ID, to.Slots)
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.Cancelled}
	}
	defer func() { <-slots }()
	select {
	case <-time.After(q.work()):
		return good(0).outcome
	case <-ctx.Done():
		return Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.Cancelled}
	}
}

// crowd runs requests at a multiple of what the replicas can do, for five seconds, and returns how many of those that the
// replicas could serve were answered within the objective, and the results.
func crowd(t *testing.T, times float64, unbounded bool) (served float64, all []timed) {
	s := newStage(t, nil)
	q := &queueing{slots: make(map[fleet.ServerID]chan struct{}), random: rand.New(rand.NewPCG(3, 4))}
	s.engine.sender = q
	s.engine.SetInstances("i0", named(1))
	const slots = 2 * 2 // of one shard
	capacity := slots / (work.Seconds() * math.Exp(0.35*0.35/2))
	every := time.Duration(float64(time.Second) / (capacity * times))
	if unbounded {
		s.engine.gates.Store(s.fan.Shards[0], &gate{adapted: time.Now().Add(time.Hour)})
	}
	const lasting = 5 * time.Second
	all = s.load(s.fan, every, lasting)
	inTime := 0
	for _, result := range all {
		if result.Failure == nil && result.took <= objective {
			inTime++
		}
	}
	possible := min(float64(len(all)), capacity*lasting.Seconds())
	return float64(inTime) / possible, all
}

// crowdTarget is the share of what the replicas can do that is served in time at two and three times the load
// (docs/platform.md).
const crowdTarget = 0.85

// TestCrowdTwice and TestCrowdThreeTimes replay two and three times the load that the replicas can serve. They guard against
// a collapse in which every request is started and nearly none is answered in time, and against requests that wait long
// before they are refused.
func TestCrowdTwice(t *testing.T) { checkCrowd(t, 2) }

func TestCrowdThreeTimes(t *testing.T) { checkCrowd(t, 3) }

func checkCrowd(t *testing.T, times float64) {
	t.Helper()
	var without, with float64
	var all []timed
	inBubble(t, func(t *testing.T) { without, _ = crowd(t, times, true) })
	inBubble(t, func(t *testing.T) { with, all = crowd(t, times, false) })
	t.Logf("of what the replicas can do %.2f is served in time, without the gate %.2f", with, without)
	is := is.New(t)
	is.True(with > crowdTarget)
	is.True(with > 2*without)
	for _, result := range all {
		if result.Failure != nil && result.Failure.Reason == verdict.Overloaded {
			is.Equal(result.Failure.Verdict, verdict.NotRun)
			is.True(result.Failure.RetryAfter > 0)
			is.Equal(result.Trace.Sends, 0)
			is.True(result.took <= objective/4)
		}
	}
}

// TestNoCrowd guards against refusals at a load that the replicas can serve.
func TestNoCrowd(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		served, all := crowd(t, 0.6, false)
		is.True(served > 0.97)
		for _, result := range all {
			is.True(result.Failure == nil)
		}
	})
}

// TestConnectionsInUse replays a load that the replicas can serve but that meets now and then all connections of a replica in
// use, as with few connections for many instances. It guards against a part or a request that fails instead of waiting for a
// moment, and against one that is held for long.
func TestConnectionsInUse(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newStage(t, nil)
		s.engine.sender = &queueing{slots: make(map[fleet.ServerID]chan struct{}), random: rand.New(rand.NewPCG(3, 4))}
		s.connections = 10 // two for each of the four instances
		s.update(nil)
		const capacity = 200 // requests a second: two replicas of two slots, 20 ms each
		all := s.load(s.fan, time.Second*10/(6*capacity), 3*time.Second)
		whole := 0
		for _, result := range all {
			is.True(result.Failure == nil)
			if result.Missing == 0 && result.took <= objective {
				whole++
			}
		}
		is.True(float64(whole) > 0.9*float64(len(all)))
		all = s.load(s.one, time.Second/(4*capacity), 3*time.Second)
		served := 0
		for _, result := range all {
			if result.Failure == nil {
				served++
				continue
			}
			is.Equal(result.Failure.Reason, verdict.Overloaded)
			is.Equal(result.Failure.Verdict, verdict.NotRun)
			is.True(result.took <= objective/4)
		}
		is.True(served > len(all)/5) // four times what the replicas can do
	})
}

// TestGateKeepsItsCount guards against places that are lost when a request gives up at the moment when one is given to it.
func TestGateKeepsItsCount(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		g := &gate{limit: 2, work: 1}
		var running sync.WaitGroup
		for i := range 200 {
			running.Go(func() {
				time.Sleep(time.Duration(i%7) * time.Millisecond)
				if g.enter(context.Background(), 1, time.Duration(i%5)*time.Millisecond) {
					time.Sleep(time.Millisecond)
					g.leave(1)
				}
			})
		}
		running.Wait()
		is.Equal(g.count, 0)
		is.Equal(g.running, 0.0)
		is.Equal(len(g.queue), 0)
	})
}

// TestLimitFollowsTheWait replays a crowd that comes and goes, as the gate sees it. It guards against a limit that stays while
// the replicas' queues are full, that rises while nothing shows whether they bear more, or that outlasts the crowd.
func TestLimitFollowsTheWait(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		g := &gate{slots: 1}
		const alone = 20 * time.Millisecond
		observe := func(wait time.Duration, times int) {
			for range times {
				time.Sleep(adaptEvery)
				g.observe(time.Now(), time.Duration(earlyFactor*float64(alone))+wait, alone)
			}
		}
		// crowd lets requests come until one finds no place, and returns how many entered.
		crowd := func() int {
			for entered := range 100 {
				if !g.enter(t.Context(), float64(alone), time.Millisecond) {
					return entered
				}
			}
			t.Fatal("there is no limit")
			return 0
		}
		leave := func(count int) {
			for range count {
				g.leave(float64(alone))
			}
		}
		for range 30 {
			is.True(g.enter(t.Context(), float64(alone), 0))
		}
		is.Equal(g.limit, 0.0)
		observe(5*alone, 12)
		begun := g.limit
		is.True(begun > 0 && begun < g.running) // fewer than are in progress
		observe(5*alone, 10)
		is.True(g.limit < begun)
		leave(30)
		full := crowd()
		is.True(full >= 1 && full < 30)
		observe(0, 18)
		more := crowd()
		is.True(more > 0) // the replicas bear more
		leave(full + more)
		unused := g.limit
		observe(0, 5)
		is.Equal(g.limit, unused) // nothing shows that they bear more than this
		observe(0, int(calm/adaptEvery)+1)
		is.Equal(g.limit, 0.0)
	})
}

// TestUndisturbedTime guards against an overload that passes for the usual after some seconds, however many requests there
// are, and against a first guess that is corrected too late.
func TestUndisturbedTime(t *testing.T) {
	is := is.New(t)
	u := &undisturbed{}
	u.nanoseconds.Store(int64(40 * time.Millisecond))
	random, now := rand.New(rand.NewPCG(1, 2)), time.Unix(1000, 0)
	part := func() time.Duration { return time.Duration(float64(work) * math.Exp(0.35*random.NormFloat64())) }
	const perSecond = 2000
	pass := func(seconds int, wait time.Duration) {
		for range seconds * perSecond {
			now = now.Add(time.Second / perSecond)
			u.observe(now, part()+wait)
		}
	}
	pass(1, 0)
	is.True(u.time() < work)
	before := u.time()
	pass(5, 4*work)
	is.True(u.time() < before*5/4)
	pass(20, 0)
	is.True(u.time() < work)
}
