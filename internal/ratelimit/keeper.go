package ratelimit

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

var errNoAnswer = errors.New("no answer")

// AssignmentStore holds the assignment, and the claims of the grace after a start, in the store.
type AssignmentStore interface {
	// ReadAssignment returns the assignment in the store, not an older state, and its revision; nil and 0 if there is none.
	ReadAssignment(ctx context.Context) (*directory.Assignment, uint64, error)
	// WriteAssignment replaces the assignment if it still has the revision.
	WriteAssignment(ctx context.Context, assignment *directory.Assignment, revision uint64) error
	// ClaimGrace reports whether no process of this instance has made a claim within the given time.
	ClaimGrace(ctx context.Context, within time.Duration) (bool, error)
}

const (
	// formationTime is how long the registered instances must stay the same before the first assignment is made, so that
	// instances that start together are all in it.
	formationTime = 3 * time.Second
	// joinTime is how long an instance must be registered before it becomes a member. absenceTime is how long it must
	// have been gone before it is removed; it is longer than a restart, because each change leaves some customers
	// with fewer allocators for assignmentValidity.
	joinTime, absenceTime = 10 * time.Second, 5 * time.Minute
	// changeInterval is the time between two changes: the next one must not be made before all instances that were
	// allocators in the epoch before have ended.
	changeInterval = assignmentValidity + time.Minute
	// turn is how much later each further instance tries to write a change, and maxTurns bounds it.
	turn, maxTurns = time.Second, 8
	// storeTimeout limits the calls for one change, retryInterval is the pause after them.
	storeTimeout, retryInterval = time.Second, 2 * time.Second
)

// keeper writes the assignment when the instances change. All instances do so, each a little later than the one before
// it; conditional writes keep them apart.
type keeper struct {
	self     fleet.InstanceID
	store    AssignmentStore
	restored atomic.Bool

	mutex    sync.Mutex
	started  time.Duration
	observed bool
	// instances maps the registered instances to the time since when they are; gone maps others to when they were last.
	instances map[fleet.InstanceID]registration
	gone      map[fleet.InstanceID]time.Duration
	changedAt time.Duration
	// dueSince is when the change that is to be made first became due; nextTry is the earliest time of the next try.
	dueSince, nextTry time.Duration
	due               bool
}

type registration struct {
	zone  fleet.ZoneID
	since time.Duration
}

func newKeeper(self fleet.InstanceID, store AssignmentStore) *keeper {
	return &keeper{self: self, store: store, instances: make(map[fleet.InstanceID]registration), gone: make(map[fleet.InstanceID]time.Duration)}
}

// setInstances records the registered instances.
func (k *keeper) setInstances(instances []directory.Instance, now time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.observed {
		k.observed, k.started, k.changedAt = true, now, now
	}
	current := make(map[fleet.InstanceID]registration, len(instances))
	for _, instance := range instances {
		if instance.PeerAddress == "" {
			continue
		}
		since := now
		if previous, ok := k.instances[instance.ID]; ok && previous.zone == instance.Zone {
			since = previous.since
		} else {
			k.changedAt = now
		}
		current[instance.ID] = registration{instance.Zone, since}
		delete(k.gone, instance.ID)
	}
	for id := range k.instances {
		if _, ok := current[id]; !ok {
			k.gone[id], k.changedAt = now, now
		}
	}
	k.instances = current
}

// next returns the assignment that is to replace the known one, or nil.
func (k *keeper) next(known *directory.Assignment, learnedAt, now time.Duration) *directory.Assignment {
	if known == nil {
		if len(k.instances) == 0 || now-k.changedAt < formationTime {
			return nil
		}
		return &directory.Assignment{Epoch: 1, Members: k.members(func(fleet.InstanceID) bool { return true }, nil)}
	}
	if len(known.Previous) > 0 && now-learnedAt < changeInterval {
		return nil
	}
	if len(known.Previous) > 0 && !slices.Equal(known.Previous, known.Members) {
		return &directory.Assignment{Epoch: known.Epoch + 1, Members: known.Members, Previous: known.Members}
	}
	members := k.members(func(id fleet.InstanceID) bool { return now-k.instances[id].since >= joinTime },
		slices.DeleteFunc(slices.Clone(known.Members), func(m directory.AssignmentMember) bool { return k.absent(m.ID, now) }))
	if len(members) == 0 || slices.Equal(members, known.Members) {
		return nil
	}
	return &directory.Assignment{Epoch: known.Epoch + 1, Members: members, Previous: known.Members}
}

// absent reports whether a member has been gone for absenceTime. One that was not seen since the start has been gone
// since then.
func (k *keeper) absent(id fleet.InstanceID, now time.Duration) bool {
	if _, registered := k.instances[id]; registered {
		return false
	}
	since, known := k.gone[id]
	if !known {
		since = k.started
	}
	return now-since >= absenceTime
}

// members returns the given members and the registered instances that join, ordered by ID.
func (k *keeper) members(joins func(fleet.InstanceID) bool, kept []directory.AssignmentMember) []directory.AssignmentMember {
	all := slices.Clone(kept)
	for id, r := range k.instances {
		if !slices.ContainsFunc(kept, func(m directory.AssignmentMember) bool { return m.ID == id }) && joins(id) {
			all = append(all, directory.AssignmentMember{ID: id, Zone: r.zone})
		}
	}
	slices.SortFunc(all, func(a, b directory.AssignmentMember) int { return fleet.CompareWeights(0, 0, a.ID, b.ID) })
	return all
}

// step makes the change that is due, if it is this instance's turn.
func (k *keeper) step(ctx context.Context, known *directory.Assignment, learnedAt, now time.Duration) {
	next := k.plan(known, learnedAt, now)
	if next == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := k.write(callCtx, known, next); err != nil {
		klog.InfoS("Allocators of customers' limits not written", "epoch", next.Epoch, "err", err)
	}
}

// plan returns the assignment that this instance is to write now, or nil.
func (k *keeper) plan(known *directory.Assignment, learnedAt, now time.Duration) *directory.Assignment {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	next := k.next(known, learnedAt, now)
	if next == nil && known != nil && k.restored.Load() {
		next = known
	}
	if next == nil {
		k.due = false
		return nil
	}
	if !k.due {
		k.due, k.dueSince = true, now
	}
	rank := slices.Index(slices.Sorted(maps.Keys(k.instances)), k.self)
	if rank < 0 {
		rank = maxTurns
	}
	if now < k.nextTry || now-k.dueSince < time.Duration(min(rank, maxTurns))*turn {
		return nil
	}
	k.nextTry = now + retryInterval
	return next
}

// write writes the next assignment unless the store has a later one than the known one. A store that has lost the known
// one gets that first.
func (k *keeper) write(ctx context.Context, known, next *directory.Assignment) error {
	current, revision, err := k.store.ReadAssignment(ctx)
	if err != nil {
		return err
	}
	switch {
	case current != nil && (known == nil || current.Epoch > known.Epoch):
		return nil // it is on its way here
	case known != nil && (current == nil || current.Epoch < known.Epoch):
		next = known
	case next == known:
		k.restored.Store(false)
		return nil
	}
	return k.store.WriteAssignment(ctx, next, revision)
}
