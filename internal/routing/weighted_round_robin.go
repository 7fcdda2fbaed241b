package routing

import (
	"sync"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// weightedRoundRobin distributes requests over weighted services by smooth weighted round robin, so that any run of
// requests differs from the weights by less than one request per service. Random choice would miss a weight by several
// per cent in the few hundred requests between two configuration changes.
type weightedRoundRobin struct {
	mutex   sync.Mutex
	current []int
}

// copyFrom continues the distribution at the position of a previous one.
func (s *weightedRoundRobin) copyFrom(previous *weightedRoundRobin) {
	previous.mutex.Lock()
	defer previous.mutex.Unlock()
	s.current = append([]int(nil), previous.current...)
}

// ChooseService returns the service for the next request. A single service gets all requests, whatever its weight; of
// several, those without a positive weight get none. The result is empty if none of several has a positive weight, or
// if the route has no weighted services.
func (r *Route) ChooseService() fleet.ServiceID {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	r.roundRobin.mutex.Lock()
	defer r.roundRobin.mutex.Unlock()
	if len(r.roundRobin.current) != len(r.WeightedServices) {
		r.roundRobin.current = make([]int, len(r.WeightedServices))
	}
	total, best := 0, -1
	for i, weighted := range r.WeightedServices {
		if weighted.Weight <= 0 {
			continue
		}
		total += weighted.Weight
		r.roundRobin.current[i] += weighted.Weight
		if best < 0 || r.roundRobin.current[i] > r.roundRobin.current[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	r.roundRobin.current[best] -= total
	return r.WeightedServices[best].Service
}
