package routing

import (
	"sync"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// spread distributes requests over weighted services by smooth weighted round robin, so that any run of requests
// differs from the weights by less than one request a service. Random choice would miss a weight by several per cent in
// the few hundred requests between two changes.
type spread struct {
	mutex   sync.Mutex
	current []int
}

func (s *spread) carry(former *spread) {
	former.mutex.Lock()
	defer former.mutex.Unlock()
	s.current = append([]int(nil), former.current...)
}

// Choose returns the service that the next request goes to; empty where every weight is zero.
func (r *Route) Choose() fleet.ServiceID {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	r.spread.mutex.Lock()
	defer r.spread.mutex.Unlock()
	if len(r.spread.current) != len(r.Shares) {
		r.spread.current = make([]int, len(r.Shares))
	}
	total, best := 0, -1
	for i, share := range r.Shares {
		if share.Weight <= 0 {
			continue
		}
		total += share.Weight
		r.spread.current[i] += share.Weight
		if best < 0 || r.spread.current[i] > r.spread.current[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	r.spread.current[best] -= total
	return r.Shares[best].Service
}
