package forwarding

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// unreachableBackoff is how long an instance that does not reach the replicas of a route is not asked for the route
	// again.
	unreachableBackoff = 3 * time.Second
	// minBusyBackoff is the shortest time for which an instance that refused for lack of room is not asked again.
	minBusyBackoff = 100 * time.Millisecond
	// silentBackoff is how long an instance that did not answer is not asked for any route.
	silentBackoff = 3 * time.Second
	// servedMemory is how long an instance that has served a route is preferred for it.
	servedMemory = 15 * time.Second
	// explorationRate is the number of choices of which one falls on an instance that has not served the route yet, so
	// that the load spreads.
	explorationRate = 8
	// minPause and maxPause bound the time for which a route is not forwarded after every instance that was asked has
	// refused. It doubles with each consecutive time.
	minPause = 250 * time.Millisecond
	maxPause = 2 * time.Second
	// failedMemory is how long other instances are preferred to one at which a request of the route failed. An instance
	// that has just been partitioned does not know it yet, and its requests fail by their deadline.
	failedMemory = 3 * time.Second
	// maxFailures is the number of consecutive requests of a route that failed at the instances that were asked, from
	// which the route is not forwarded for a while if no other instance is left. A few fail for other reasons than their
	// replicas. maxFailed is the number of instances at which that is so, from which others are not tried either.
	maxFailures = 3
	maxFailed   = 6
	// maxRoutes bounds the routes of which the state is kept.
	maxRoutes = 1000
)

// Helpers decides which instances are asked to serve a request. It is safe for concurrent use.
type Helpers struct {
	mutex       sync.Mutex
	random      *rand.Rand
	instances   []directory.Instance // those that may be asked
	silentUntil map[fleet.InstanceID]time.Time
	routes      map[string]*routeHelpers
	// helped is set while the last request that was forwarded, of any route, was served.
	helped bool
}

// routeHelpers is what is known of the instances for one route.
type routeHelpers struct {
	refusedUntil map[fleet.InstanceID]time.Time
	servedAt     map[fleet.InstanceID]time.Time
	failedAt     map[fleet.InstanceID]time.Time
	pausedUntil  time.Time
	exhausted    int // consecutive times that the route was paused
	failures     int // consecutive requests that failed at the instance that was asked
}

// NewHelpers returns a Helpers that knows no instances.
func NewHelpers(random *rand.Rand) *Helpers {
	return &Helpers{random: random, silentUntil: make(map[fleet.InstanceID]time.Time), routes: make(map[string]*routeHelpers)}
}

// SetInstances sets the instances that may be asked, without this one.
func (h *Helpers) SetInstances(instances []directory.Instance) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.instances = slices.DeleteFunc(slices.Clone(instances), func(i directory.Instance) bool { return i.PeerAddress == "" })
	known := make(map[fleet.InstanceID]bool, len(h.instances))
	for _, instance := range h.instances {
		known[instance.ID] = true
	}
	for id := range h.silentUntil {
		if !known[id] {
			delete(h.silentUntil, id)
		}
	}
}

// Available reports whether an instance can be asked for the route now.
func (h *Helpers) Available(route string, now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	state := h.route(route)
	return !now.Before(state.pausedUntil) && slices.ContainsFunc(h.instances, func(i directory.Instance) bool { return h.mayAsk(state, i.ID, now) })
}

// mayAsk reports whether the instance can be asked for the route now. The caller holds the mutex.
func (h *Helpers) mayAsk(state *routeHelpers, id fleet.InstanceID, now time.Time) bool {
	return !now.Before(h.silentUntil[id]) && !now.Before(state.refusedUntil[id])
}

// Choose returns the instance to ask next for the route; ok is false if there is none that can be asked now and is not
// in tried. It prefers instances that have served the route, and then those at which it has not failed a short time ago.
func (h *Helpers) Choose(route string, tried []fleet.InstanceID, now time.Time) (chosen directory.Instance, ok bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	state := h.route(route)
	if now.Before(state.pausedUntil) {
		return directory.Instance{}, false
	}
	var serving, unknown, failed []directory.Instance
	for _, instance := range h.instances {
		switch id := instance.ID; {
		case slices.Contains(tried, id) || !h.mayAsk(state, id, now):
		case now.Sub(state.servedAt[id]) < servedMemory:
			serving = append(serving, instance)
		case now.Sub(state.failedAt[id]) < failedMemory:
			failed = append(failed, instance)
		default:
			unknown = append(unknown, instance)
		}
	}
	candidates := serving
	if len(serving) == 0 || len(unknown) > 0 && h.random.IntN(explorationRate) == 0 {
		candidates = unknown
	}
	if len(candidates) == 0 {
		candidates = failed
	}
	if len(candidates) == 0 {
		return directory.Instance{}, false
	}
	return candidates[h.random.IntN(len(candidates))], true
}

// Served records that the instance answered a request of the route.
func (h *Helpers) Served(route string, id fleet.InstanceID, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	state := h.route(route)
	state.servedAt[id] = now
	delete(state.refusedUntil, id)
	delete(state.failedAt, id)
	state.exhausted, state.failures, h.helped = 0, 0, true
}

// Failed records that a request of the route failed at the instance, or at the replicas that it asked.
func (h *Helpers) Failed(route string, id fleet.InstanceID, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	state := h.route(route)
	delete(state.servedAt, id)
	state.failedAt[id] = now
	if state.failures++; state.failures >= maxFailures && (state.exhausted > 0 || h.othersFailed(state, now)) {
		h.pause(state, now)
	}
}

// othersFailed reports whether a request of the route has failed a short time ago at every instance that may be asked, or
// at so many that the cause is most likely not theirs. The caller holds the mutex.
func (h *Helpers) othersFailed(state *routeHelpers, now time.Time) bool {
	failed, others := 0, 0
	for _, instance := range h.instances {
		switch id := instance.ID; {
		case now.Sub(state.failedAt[id]) < failedMemory:
			failed++
		case h.mayAsk(state, id, now):
			others++
		}
	}
	return others == 0 || failed >= maxFailed
}

// Refused records that the instance refused a request of the route. For an instance without room, retryAfter is the
// time after which it may be asked again.
func (h *Helpers) Refused(route string, id fleet.InstanceID, unreachable bool, retryAfter time.Duration, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	state := h.route(route)
	backoff := min(max(retryAfter, minBusyBackoff), unreachableBackoff)
	if unreachable {
		backoff = unreachableBackoff
		delete(state.servedAt, id)
	}
	state.refusedUntil[id] = now.Add(backoff)
}

// Silent records that the instance did not answer.
func (h *Helpers) Silent(id fleet.InstanceID, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.silentUntil[id] = now.Add(silentBackoff)
	for _, state := range h.routes {
		delete(state.servedAt, id)
	}
}

// Exhausted records that no instance served a request of the route. Requests of the route are not forwarded for a
// while, because most likely its replicas are down for every instance.
func (h *Helpers) Exhausted(route string, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.pause(h.route(route), now)
}

// pause keeps a route from being forwarded for a while. The caller holds the mutex.
func (h *Helpers) pause(state *routeHelpers, now time.Time) {
	state.pausedUntil = now.Add(min(minPause<<min(state.exhausted, 10), maxPause))
	state.exhausted++
	h.helped = false
}

// Helped reports whether the last request that was forwarded was served, so that callers of this instance are better
// off at others.
func (h *Helpers) Helped() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.helped
}

// route returns the state of a route. The caller holds the mutex.
func (h *Helpers) route(name string) *routeHelpers {
	state := h.routes[name]
	if state == nil {
		if len(h.routes) >= maxRoutes {
			clear(h.routes)
		}
		state = &routeHelpers{refusedUntil: make(map[fleet.InstanceID]time.Time), servedAt: make(map[fleet.InstanceID]time.Time), failedAt: make(map[fleet.InstanceID]time.Time)}
		h.routes[name] = state
	}
	return state
}
