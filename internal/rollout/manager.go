package rollout

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// PeerClient calls a method of another instance.
type PeerClient interface {
	Call(ctx context.Context, address, method string, params, into any) error
}

// Options are the dependencies of a Manager.
type Options struct {
	Self   directory.Instance
	Limits Limits
	// OrderDelay is the longest usual time from the write of an order until an instance knows it.
	OrderDelay time.Duration
	Store      StatusStore
	Peers      PeerClient
	// OnChange is called when Split may return something else than before.
	OnChange func()
	Random   *rand.Rand
}

// Counters holds totals since the start. Trials counts the requests that were sent to an ordered version before it was
// judged, Written the status written to the store.
type Counters struct{ Orders, Trials, Completed, RolledBack, Written atomic.Int64 }

// Manager holds this instance's part of all roll-outs. It is safe for concurrent use.
type Manager struct {
	Options
	counters Counters
	wake     chan struct{}
	changed  chan struct{}
	// active is the number of orders. While it is 0, sends are not observed.
	active atomic.Int64

	mutex sync.Mutex
	// instances are the registered instances, self included once it is registered.
	instances []directory.Instance
	orders    map[fleet.ServiceID]*progress
	// barred holds the versions of orders that were withdrawn, replaced or rolled back. Their replicas are used only if no
	// others are left.
	barred map[fleet.ServiceID]map[string]bool
	// versions holds when each version of a service was first seen; zero for those of the first view.
	versions  map[fleet.ServiceID]map[string]time.Time
	holdsEnd  time.Time
	skipUntil map[fleet.InstanceID]time.Time
}

// New returns a manager without orders.
func New(options Options) *Manager {
	return &Manager{
		Options: options, wake: make(chan struct{}, 1), changed: make(chan struct{}, 1), orders: make(map[fleet.ServiceID]*progress),
		barred: make(map[fleet.ServiceID]map[string]bool), skipUntil: make(map[fleet.InstanceID]time.Time),
	}
}

// Counters returns the counters, which continue to change.
func (m *Manager) Counters() *Counters { return &m.counters }

// SetView adopts the orders, the replicas and the instances of a view.
func (m *Manager) SetView(view *directory.View) {
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.instances = slices.DeleteFunc(slices.Clone(view.Instances), func(i directory.Instance) bool { return slices.Contains(view.Unregistered, i.ID) })
	m.trackVersions(view, now)
	listed := make(map[fleet.ServiceID]bool, len(view.RollOuts))
	for _, ordered := range view.RollOuts {
		listed[ordered.Service] = true
		p := m.adoptOrder(ordered.RollOut, now.Add(-m.OrderDelay), now)
		p.listed = true
		if p.adoptStatus(ordered.Status) {
			m.logStage(p, "store")
		}
	}
	for service, p := range m.orders {
		// An order that only a peer has told of comes with a later view, or is an old one.
		if !listed[service] && (p.listed || p.elapsed(now) > 2*p.order.Within) {
			klog.InfoS("Roll-out withdrawn", "service", service, "version", p.order.Version, "stage", p.stage)
			m.drop(p)
		}
	}
	for _, p := range m.orders {
		m.setRank(p)
	}
	m.active.Store(int64(len(m.orders)))
	signal(m.wake)
}

// adoptOrder returns the progress of an order, which it begins if the order is new. An order that is written again while
// it is carried out goes on; one that is written again after its end begins anew. A restored store has the order at an
// earlier revision.
func (m *Manager) adoptOrder(order directory.RollOut, began, now time.Time) *progress {
	p := m.orders[order.Service]
	if p != nil && p.order.Version == order.Version && (!p.stage.final() || order.Revision <= p.order.Revision) {
		p.order = order
		return p
	}
	if p != nil {
		klog.InfoS("Roll-out replaced", "service", order.Service, "former", p.order.Version, "stage", p.stage, "version", order.Version)
		m.drop(p)
	}
	klog.InfoS("Roll-out ordered", "service", order.Service, "version", order.Version, "within", order.Within, "revision", order.Revision)
	p = newProgress(order, m.Limits, began, now)
	delete(m.barred[order.Service], order.Version)
	m.orders[order.Service] = p
	m.setRank(p)
	m.active.Store(int64(len(m.orders)))
	m.counters.Orders.Add(1)
	return p
}

// drop ends an order that the operators have withdrawn or replaced. Its version was not judged good unless it was
// completed.
func (m *Manager) drop(p *progress) {
	delete(m.orders, p.order.Service)
	if p.stage == Completed {
		return
	}
	if m.barred[p.order.Service] == nil {
		m.barred[p.order.Service] = make(map[string]bool)
	}
	m.barred[p.order.Service][p.order.Version] = true
}

// setRank sets the position of this instance among all for the order.
func (m *Manager) setRank(p *progress) {
	ids := []fleet.InstanceID{m.Self.ID}
	for _, instance := range m.instances {
		if instance.ID != m.Self.ID {
			ids = append(ids, instance.ID)
		}
	}
	fleet.SortByWeight("roll-out/"+string(p.order.Service), ids)
	p.rank, p.instances = slices.Index(ids, m.Self.ID), len(ids)
}

// trackVersions records when versions of services were first seen, and forgets those without replicas.
func (m *Manager) trackVersions(view *directory.View, now time.Time) {
	if !m.Limits.Expected {
		return
	}
	first := m.versions == nil
	next := make(map[fleet.ServiceID]map[string]time.Time, len(view.Replicas))
	for service, replicas := range view.Replicas {
		known := make(map[string]time.Time, 1)
		for _, r := range replicas {
			since, seen := m.versions[service][r.Version]
			if !seen && !first && len(m.versions[service]) > 0 {
				since = now
				m.holdsEnd = latest(m.holdsEnd, now.Add(m.OrderDelay))
			}
			known[r.Version] = since
		}
		next[service] = known
		for version := range m.barred[service] {
			if _, listed := known[version]; !listed {
				delete(m.barred[service], version)
			}
		}
	}
	m.versions = next
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Split divides the replicas of a service into those for any request and those for requests that AdmitTrial admits, the
// preferred one first.
// Without an order all are for any request, except that replicas of a version that has just appeared are held back until
// an order for it would be known, and those of a version that was rolled back are not used, as long as others are left.
func (m *Manager) Split(service fleet.ServiceID, replicas []directory.Replica) (usable, trial []directory.Replica) {
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	allowed := replicas
	if p := m.orders[service]; p != nil {
		allowed = m.withoutBarred(service, replicas, func(version string) bool { return version == p.order.Version }, now)
		return p.split(allowed, now)
	}
	return m.withoutBarred(service, replicas, func(string) bool { return false }, now), nil
}

// withoutBarred returns the replicas without those of barred versions and of versions that have just appeared, or all if
// none is left. exempt versions stay.
func (m *Manager) withoutBarred(service fleet.ServiceID, replicas []directory.Replica, exempt func(version string) bool, now time.Time) []directory.Replica {
	barred, known := m.barred[service], m.versions[service]
	if len(barred) == 0 && len(known) < 2 {
		return replicas
	}
	left := make([]directory.Replica, 0, len(replicas))
	others := false
	for _, r := range replicas {
		if exempt(r.Version) {
			left = append(left, r)
		} else if !barred[r.Version] && now.Sub(known[r.Version]) >= m.OrderDelay {
			left, others = append(left, r), true
		}
	}
	if !others {
		return replicas
	}
	return left
}

// AdmitTrial reports whether the next request to the service may go to one of its replicas for trial, and counts it.
// lastResort is set if there are no others.
func (m *Manager) AdmitTrial(service fleet.ServiceID, lastResort bool) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p := m.orders[service]
	if p == nil || !p.admitTrial(lastResort, time.Now()) {
		return false
	}
	m.counters.Trials.Add(1)
	return true
}

// Send is one observed send; nil for one that is not observed.
type Send struct {
	manager *Manager
	p       *progress
	to      directory.Replica
	route   string
}

// BeginSend observes a send to a replica. It returns nil if there is no order for the service.
func (m *Manager) BeginSend(to directory.Replica, route string) *Send {
	if m.active.Load() == 0 {
		return nil
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p := m.orders[to.Service]
	if p == nil || p.settled() {
		return nil
	}
	switch {
	case to.Version != p.order.Version:
		p.formerInFlight++
	case p.stage == Full:
		p.sent++
	}
	return &Send{m, p, to, route}
}

// End records the outcome of the send.
func (s *Send) End(outcome Outcome, elapsed time.Duration) {
	if s == nil {
		return
	}
	s.manager.mutex.Lock()
	defer s.manager.mutex.Unlock()
	if s.to.Version != s.p.order.Version {
		s.p.formerInFlight--
	}
	s.p.observe(s.to, s.route, outcome, elapsed, time.Now())
}

// Status is the state of one order for the metrics.
type Status struct {
	Service fleet.ServiceID
	Stage   Stage
}

// Statuses returns the state of each order.
func (m *Manager) Statuses() (all []Status) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for service, p := range m.orders {
		all = append(all, Status{service, p.stage})
	}
	return all
}

// logStage records a change of the stage; the caller holds the mutex.
func (m *Manager) logStage(p *progress, by string) {
	klog.InfoS("Roll-out changed", "service", p.order.Service, "version", p.order.Version, "stage", p.stage, "by", by, "reason", p.reason,
		"elapsed", p.elapsed(time.Now()), "sent", p.sent, "requests", p.requests)
	switch p.stage {
	case Completed:
		m.counters.Completed.Add(1)
	case RolledBack:
		m.counters.RolledBack.Add(1)
	case Trial, Load, Full:
	}
	signal(m.changed)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
