package admission

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

const (
	modelDuration  = 45 * time.Second
	settleDuration = 5 * time.Second
)

// model is a simulated backend server: a FIFO queue in front of a number of slots.
type model struct {
	slots int
	// initial is the limiter's initial limit, at which the wait in the queue alone is five times the deadline.
	initial           int
	service, deadline time.Duration
	serviceTime       func(service time.Duration) time.Duration
}

// capacity returns the queries per second that the slots can serve.
func (m model) capacity() float64 { return float64(m.slots) / m.service.Seconds() }

// goodput sends queries at a multiple of the model's capacity and returns the answers within the deadline per second,
// measured after settleDuration, and the number of refusals.
func goodput(t *testing.T, limiter *Limiter, multiple float64, m model) (perSecond float64, refused int) {
	var answeredInTime atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		slots := make(chan struct{}, m.slots)
		interval := time.Duration(float64(time.Second) / (m.capacity() * multiple))
		began := time.Now()
		for time.Since(began) < modelDuration {
			time.Sleep(interval)
			deadline := time.Now().Add(m.deadline)
			permit, err := limiter.Admit(catalogue.Interactive, deadline)
			if err != nil {
				refused++
				if err.Verdict != verdict.NotRun || err.RetryAfter <= 0 {
					t.Errorf("refused with %v, retry after %v", err, err.RetryAfter)
				}
				continue
			}
			service := m.serviceTime(m.service)
			go func() {
				slots <- struct{}{}
				time.Sleep(service)
				<-slots
				inTime := !time.Now().After(deadline)
				if inTime && time.Since(began) > settleDuration && time.Since(began) <= modelDuration {
					answeredInTime.Add(1)
				}
				outcome := Completed
				if !inTime {
					outcome = Overloaded
				}
				permit.Done(outcome)
			}()
		}
		time.Sleep(time.Minute) // let the last query end
	})
	return float64(answeredInTime.Load()) / (modelDuration - settleDuration).Seconds(), refused
}

// TestGoodputUnderOverload guards against a collapse of goodput under overload, where every query is served after its
// deadline. The limiter starts with a limit at which the wait in the queue alone is five times the deadline.
func TestGoodputUnderOverload(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	constant := func(service time.Duration) time.Duration { return service }
	exponential := func(service time.Duration) time.Duration {
		return time.Duration(random.ExpFloat64() * float64(service))
	}
	models := map[string]model{
		"constant":       {20, 1000, 10 * time.Millisecond, 100 * time.Millisecond, constant},
		"exponential":    {20, 1000, 10 * time.Millisecond, 100 * time.Millisecond, exponential},
		"few slow slots": {4, 100, 100 * time.Millisecond, 500 * time.Millisecond, constant},
	}
	for name, m := range models {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peak := 0.0
			goodputAt := make(map[float64]float64)
			for _, multiple := range []float64{0.5, 0.8, 0.95, 1, 2, 5} {
				limiter := New(Limits{Min: 4, Initial: m.initial, Max: 4096})
				perSecond, refused := goodput(t, limiter, multiple, m)
				goodputAt[multiple] = perSecond
				peak = max(peak, perSecond)
				t.Logf("load %.2f of capacity: goodput %.0f/s, %d refused, %+v", multiple, perSecond, refused, limiter.State())
			}
			is.True(peak >= 0.9*m.capacity())
			is.True(goodputAt[2] >= 0.9*peak)
			is.True(goodputAt[5] >= 0.9*peak)
		})
	}
}

// TestClasses guards against queries of one class using up the limit that is reserved for a more urgent class.
func TestClasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limiter := New(Limits{Min: 10, Initial: 10, Max: 10})
		admitted := func(class catalogue.Class) int {
			count := 0
			for range 100 {
				if _, err := limiter.Admit(class, time.Now().Add(time.Second)); err == nil {
					count++
				}
			}
			return count
		}
		is.Equal(admitted(catalogue.Batch), 5)
		is.Equal(admitted(catalogue.Settlement), 4)
		is.Equal(admitted(catalogue.Interactive), 1)
	})
}

// TestTimeLeft guards against admitting queries that cannot meet their deadline, and against refusing all queries after
// one slow period because the latency estimate is never corrected.
func TestTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limiter := New(DefaultLimits())
		for range 40 {
			permit, err := limiter.Admit(catalogue.Interactive, time.Now().Add(time.Second))
			is.True(err == nil)
			time.Sleep(50 * time.Millisecond)
			permit.Done(Completed)
		}
		first, err := limiter.Admit(catalogue.Interactive, time.Now().Add(10*time.Millisecond))
		is.True(err == nil) // admitted because no other query is in progress
		_, err = limiter.Admit(catalogue.Interactive, time.Now().Add(10*time.Millisecond))
		is.Equal(err.Reason, verdict.DeadlineTooShort)
		first.Done(Completed)
		first.Done(Completed)
		is.Equal(limiter.State().InFlight, 0)
		_, err = limiter.Admit(catalogue.Interactive, time.Now())
		is.Equal(err.Reason, verdict.DeadlinePassed)
	})
}

// TestOutcomeOf guards against overload that goes uncounted because it shows as coverage below the floor or as a
// partial answer: the limit then stays so high that every answer is late.
func TestOutcomeOf(t *testing.T) {
	partial := func(reason verdict.Reason) *api.Coverage {
		return &api.Coverage{Asked: 2, Answered: 1, Missing: []api.Missing{{Shard: "a", Reason: reason}}}
	}
	cases := map[string]struct {
		coverage *api.Coverage
		refusal  *api.Refusal
		want     Outcome
	}{
		"answer":             {&api.Coverage{Asked: 1, Answered: 1}, nil, Completed},
		"partial, late":      {partial(verdict.DeadlinePassed), nil, Overloaded},
		"partial, lost":      {partial(verdict.ConnectFailed), nil, Completed},
		"below floor, full":  {partial(verdict.Overloaded), &api.Refusal{Reason: verdict.CoverageBelowFloor}, Overloaded},
		"below floor, lost":  {partial(verdict.ConnectFailed), &api.Refusal{Reason: verdict.CoverageBelowFloor}, Failed},
		"shedding":           {nil, &api.Refusal{Reason: verdict.Shedding}, Overloaded},
		"no snapshot at all": {nil, &api.Refusal{Reason: verdict.NoSnapshot}, Failed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(OutcomeOf(c.coverage, c.refusal), c.want) })
	}
}

// TestApplicationsAreApart guards against the overload of one application causing refusals for another one that has
// servers of its own.
func TestApplicationsAreApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group := NewGroup(Limits{Min: 2, Initial: 2, Max: 2})
		deadline := time.Now().Add(time.Second)
		for range 2 {
			_, refusal := group.Admit("busy", catalogue.Interactive, deadline)
			is.True(refusal == nil)
		}
		_, refusal := group.Admit("busy", catalogue.Interactive, deadline)
		is.Equal(refusal.Reason, verdict.Overloaded)
		permit, refusal := group.Admit("idle", catalogue.Batch, deadline)
		is.True(refusal == nil)
		is.Equal(group.State().InFlight, 3)
		permit.Done(Completed)
		is.Equal(group.State().InFlight, 2)
	})
}

// TestRetryAfterGrowsWithRefusals guards against a retry-after time that does not grow with the number of refused
// callers: refusing their retries then uses the processor time that answers need.
func TestRetryAfterGrowsWithRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New(Limits{Min: 1, Initial: 1, Max: 1})
		deadline := func() time.Time { return time.Now().Add(time.Second) }
		var first, last time.Duration
		for range 10 * minWindowQueries {
			permit, refusal := limiter.Admit(catalogue.Interactive, deadline())
			is.New(t).True(refusal == nil)
			for range 20 {
				_, refusal = limiter.Admit(catalogue.Interactive, deadline())
				last = refusal.RetryAfter
			}
			if first == 0 {
				first = last
			}
			time.Sleep(10 * time.Millisecond)
			permit.Done(Completed)
		}
		is.New(t).True(last > 10*first && last <= maxRetryAfter)
	})
}
