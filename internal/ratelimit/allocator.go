package ratelimit

import (
	"slices"
	"sync"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/customer"
	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// assignmentValidity is how long an allocator goes on without hearing of the store. A new allocator grants nothing
	// for as long, unless it was one in the epoch before, or the allocators of that epoch confirm that they know of the new
	// one. It is longer than most outages of the store, since an outage beyond it leaves limited customers without tokens.
	assignmentValidity = 15 * time.Minute
	// validityMargin is by how much an allocator ends sooner at least: a message about the store may be under way, and the
	// tokens that it granted last are in the same window as the first ones of the new allocator.
	validityMargin = 10 * time.Second
)

// allocatorsOf returns the allocators of a customer among the members: in rendezvous order, first one of each zone. It
// returns at most n, and fewer if there are fewer members.
func allocatorsOf(name string, members []directory.AssignmentMember, n int) []directory.AssignmentMember {
	ids, byID := make([]fleet.InstanceID, 0, len(members)), make(map[fleet.InstanceID]directory.AssignmentMember, len(members))
	for _, member := range members {
		ids = append(ids, member.ID)
		byID[member.ID] = member
	}
	fleet.SortByWeight("limits/"+name, ids)
	chosen, others := make([]directory.AssignmentMember, 0, n), make([]directory.AssignmentMember, 0, len(ids))
	zones := make(map[fleet.ZoneID]bool)
	for _, id := range ids {
		if member := byID[id]; !zones[member.Zone] {
			zones[member.Zone] = true
			chosen = append(chosen, member)
		} else {
			others = append(others, member)
		}
	}
	chosen = append(chosen, others...)
	return chosen[:min(n, len(chosen))]
}

// allocatorCount returns the number of allocators of each customer. While the members change it is the larger number of
// both epochs, which makes the smaller shares.
func allocatorCount(assignment *directory.Assignment) int {
	return min(maxAllocators, max(len(assignment.Members), len(assignment.Previous)))
}

// allocator grants tokens of the shares that the assignment gives to this instance. It is safe for concurrent use.
type allocator struct {
	self   fleet.InstanceID
	bounds Bounds
	// fullAt is when the buckets are full for the first time: tokens of an earlier process can no longer be part of the
	// same window.
	fullAt time.Duration
	// graceDue gets a value when the grace after the start is needed.
	graceDue chan struct{}

	mutex      sync.Mutex
	assignment *directory.Assignment
	count      int
	// learnedAt is when this process learned of the epoch; heardAt is when the store was last heard, directly or not.
	learnedAt, heardAt time.Duration
	buckets            map[string]*bucket
	roles              map[string]role
	// confirmed holds the members of the epoch before that know of the current one.
	confirmed map[fleet.InstanceID]bool
	// grace says whether the grace after the start may be used.
	grace bool
}

// role says whether this instance is an allocator of a customer in the current epoch, and was one in the epoch before.
// replaced are the allocators of the epoch before.
type role struct {
	current, previous bool
	replaced          []directory.AssignmentMember
}

func newAllocator(self fleet.InstanceID, bounds Bounds, firstStart bool, now time.Duration) *allocator {
	a := &allocator{self: self, bounds: bounds, fullAt: now + bounds.memory(), buckets: make(map[string]*bucket), graceDue: make(chan struct{}, 1)}
	if firstStart {
		a.fullAt = now
	}
	return a
}

// setAssignment puts an assignment into effect unless it is not later than the one in effect.
func (a *allocator) setAssignment(assignment *directory.Assignment, now time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if assignment == nil || a.assignment != nil && assignment.Epoch <= a.assignment.Epoch {
		return false
	}
	a.assignment, a.count, a.learnedAt = assignment, allocatorCount(assignment), now
	a.roles, a.confirmed = make(map[string]role), make(map[fleet.InstanceID]bool)
	return true
}

// heard records that the store was heard, directly or through another instance.
func (a *allocator) heard(at time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.heardAt = max(a.heardAt, at)
}

// current returns the assignment in effect, the number of allocators of each customer, and when it was learned.
func (a *allocator) current() (*directory.Assignment, int, time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.assignment, a.count, a.learnedAt
}

// grant grants up to want tokens for a customer to an instance that knows the given epoch. If it grants fewer, next is
// the time after which the instance may ask again.
func (a *allocator) grant(who *customer.Customer, asker fleet.InstanceID, epoch uint64, want int, now time.Duration) (granted int, next time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !who.Limited() || !a.isAllocator(who, epoch, now) {
		return 0, maxRetry
	}
	s := a.bounds.newShare(who.Rate, who.Burst, a.count)
	b := a.buckets[who.Name]
	if b == nil {
		b = newBucket(s, now, a.fullAt)
		if now < a.fullAt {
			// The tokens since the start belong to the bucket although nobody asked for them.
			b.level = min(s.rate*max(0, now-(a.fullAt-a.bounds.memory())).Seconds(), s.capacity)
		}
		a.buckets[who.Name] = b
	}
	b.refill(s, now)
	if a.grace && now < a.fullAt {
		b.addGrace()
	}
	granted, next = b.take(asker, want, now)
	if granted < want && now < a.fullAt && !a.grace {
		next = min(next, minRetry) // the grace may be allowed within that
	}
	return granted, next
}

// wantGrace asks for the grace after the start unless this instance is no allocator or its buckets are full anyway.
func (a *allocator) wantGrace(now time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if now < a.fullAt && !a.grace && a.assignment != nil && a.contains(a.assignment.Members) {
		select {
		case a.graceDue <- struct{}{}:
		default:
		}
	}
}

// allowGrace allows the grace after the start.
func (a *allocator) allowGrace() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.grace = true
}

// isAllocator reports whether this instance may grant tokens of the customer's limit. One that knows of a later epoch
// only from the asker waits until it has that.
func (a *allocator) isAllocator(who *customer.Customer, epoch uint64, now time.Duration) bool {
	if a.assignment == nil || epoch > a.assignment.Epoch || now-a.heardAt >= assignmentValidity-max(validityMargin, 2*a.bounds.memory()) {
		return false
	}
	n := a.bounds.newShare(who.Rate, who.Burst, a.count).allocators
	r, known := a.roles[who.Name]
	if !known || a.buckets[who.Name] == nil || a.buckets[who.Name].allocators != n {
		r.replaced = allocatorsOf(who.Name, a.assignment.Previous, n)
		r.current, r.previous = a.contains(allocatorsOf(who.Name, a.assignment.Members, n)), a.contains(r.replaced)
		if a.buckets[who.Name] != nil {
			a.roles[who.Name] = r
		}
	}
	settled := r.previous || now-a.learnedAt >= assignmentValidity ||
		!slices.ContainsFunc(r.replaced, func(m directory.AssignmentMember) bool { return !a.confirmed[m.ID] })
	return r.current && settled
}

func (a *allocator) contains(members []directory.AssignmentMember) bool {
	return slices.ContainsFunc(members, func(m directory.AssignmentMember) bool { return m.ID == a.self })
}

// confirm records that an instance knows of an epoch.
func (a *allocator) confirm(id fleet.InstanceID, epoch uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.assignment != nil && epoch >= a.assignment.Epoch {
		a.confirmed[id] = true
	}
}

// unconfirmed returns the other members of the epoch before that are not known to know of the current one, if this
// instance may have to wait for them.
func (a *allocator) unconfirmed(now time.Duration) (ids []fleet.InstanceID) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.assignment == nil || now-a.learnedAt >= assignmentValidity || slices.Equal(a.assignment.Previous, a.assignment.Members) {
		return nil
	}
	for _, member := range a.assignment.Previous {
		if member.ID != a.self && !a.confirmed[member.ID] {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// forgetFull removes the buckets that a new one could replace, and returns the number of the others.
func (a *allocator) forgetFull(now time.Duration) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for name, b := range a.buckets {
		b.refill(b.share, now)
		if b.full(now) {
			delete(a.buckets, name)
			delete(a.roles, name)
		}
	}
	return len(a.buckets)
}
