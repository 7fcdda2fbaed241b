package lookup

import (
	"time"

	"github.com/medlarlatch/medlarlatch/internal/workload"
)

const (
	// A replica's speed is the average over speedSamples answers, of which none counts as more than maxSpeedRatio: the
	// machines of replicas differ by less, and what is slower is in trouble, which passes. The first speedPrior answers
	// count less, because one of them says little.
	speedSamples  = 300
	speedPrior    = 10
	maxSpeedRatio = 2
)

// replicaSpeed is the lasting ratio of the time of a replica's answers to what is expected of the replicas of its
// service, waiting behind the requests of other instances included. The zero value is the ratio 1.
type replicaSpeed struct{ excess, samples float64 }

func (s *replicaSpeed) ratio() float64 { return 1 + s.excess }

func (s *replicaSpeed) observe(ratio float64) {
	s.samples = min(s.samples+1, speedSamples)
	s.excess += (min(ratio, maxSpeedRatio) - 1 - s.excess) / (s.samples + speedPrior)
}

// estimate returns the estimate of the request's work. It is the mean of the route if the engine learns no costs.
func (e *Engine) estimate(request *Request) workload.Request {
	if e.costs == nil {
		return workload.Request{}
	}
	class := workload.Class{Route: request.Route.Name, Bytes: request.Bytes}
	if request.Customer != nil {
		class.Customer = request.Customer.Name
	}
	return e.costs.Request(class)
}

// expectedTime returns the time after which a send of a request is usually answered, given the mean of its route. It is
// at least the mean: a request that is less work may wait behind another one. It leaves the shard aside, so that one
// whose replica is slow or stalls does not get more time for it.
func expectedTime(estimate workload.Request, mean time.Duration) time.Duration {
	return time.Duration(max(estimate.OwnRatio(), 1) * float64(mean))
}

// pendingWork returns the work of this instance's sends in progress, in multiples of the mean of their routes. Light
// sends count as the mean: the other instances, whose sends are not known here, probably have heavier ones there. The
// caller holds the lock.
func (h *replicaHealth) pendingWork() (work float64) {
	for i := range h.pending {
		work += h.pending[i].work
	}
	return work
}
