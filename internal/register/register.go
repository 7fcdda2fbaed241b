// Package register keeps this instance's registration in the platform's store under a lease, so that the other
// instances know among how many the global bounds are divided and at which address this one serves its peers.
//
// A Registrar owns the lease and replaces it when it is lost. No request waits for it, and an instance without a
// registration goes on serving.
package register

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/panics"
)

// Lease is a lease of the store.
type Lease struct {
	// ID is the store's number of the lease; 0 for none. A store that was restored from a copy gives out the numbers
	// after the copy again.
	ID uint64
	// Era is the store's era in which the lease was granted; 0 if the store did not name it.
	Era uint64
}

// ErrLeaseEnded is returned by Renew and Put for a lease that the store no longer has, also if it has one of a later
// era under the same number.
var ErrLeaseEnded = errors.New("lease has ended")

// Registry is the part of the store that holds registrations.
type Registry interface {
	// Grant returns a new lease that ends after the given time unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Put writes this instance's registration under the lease, unless it is there. It returns the store's revision at which
	// the registration was written.
	Put(ctx context.Context, lease Lease) (revision uint64, err error)
	// Renew extends the lease.
	Renew(ctx context.Context, lease Lease) error
}

// Observation is what the store has in place of this instance's registration at a point in its history.
type Observation struct {
	// Era and Revision are the point in the store's history.
	Era, Revision uint64
	// Registered is set if there is a registration with the content that this instance writes.
	Registered bool
	// Lease is the number of the lease of the registration; 0 if it is not known.
	Lease uint64
}

var errPanicked = errors.New("call to the store panicked")

const (
	// leaseTTL is how long a registration outlives the last renewal, unless the store's shortest lease is longer. The
	// number of instances may be too high for that long, which only leaves some shares of the bounds unused.
	leaseTTL = 10 * time.Second
	// renewInterval is the longest pause between two renewals; two successive ones may be lost before the lease ends.
	renewInterval = 3 * time.Second
	// retryInterval is the longest pause after a failed call.
	retryInterval = time.Second
	// callTimeout bounds the duration of each call.
	callTimeout = time.Second
)

// Registrar keeps one registration.
type Registrar struct {
	registry   Registry
	random     *rand.Rand
	ttl        time.Duration
	lease      Lease
	registered bool
	// revision is the store's revision at which the registration was written.
	revision uint64
	// observed holds the latest observation until Run has seen it.
	observed chan Observation
	// restored holds the latest era of the store until Run has seen it.
	restored chan uint64
}

// New returns a registrar for a store that grants leases of at least minTTL. The random source spreads the calls of
// instances that start together.
func New(registry Registry, minTTL time.Duration, random *rand.Rand) *Registrar {
	return &Registrar{registry: registry, ttl: max(leaseTTL, minTTL), random: random, restored: make(chan uint64, 1), observed: make(chan Observation, 1)}
}

// StoreRestored makes the registrar register again, within retryInterval, if its lease is from before the era of the
// store. It never blocks and is safe for concurrent use.
func (r *Registrar) StoreRestored(era uint64) {
	for {
		select {
		case r.restored <- era:
			return
		case <-r.restored: // replaced by the later era
		}
	}
}

// Observe makes the registrar write its registration again, within retryInterval, if the store has another one or none at
// a point in its history after the registration was written. Others may have written or removed it: the operators, a
// process that has the same name, or a call of a former process that the store executed late. It never blocks and is safe
// for concurrent use.
func (r *Registrar) Observe(seen Observation) {
	for {
		select {
		case r.observed <- seen:
			return
		case <-r.observed: // replaced by the later observation
		}
	}
}

// isLost reports whether the registration is no longer the one that was written.
func (r *Registrar) isLost(seen Observation) bool {
	if !r.registered || seen.Era != r.lease.Era || seen.Revision < r.revision {
		return false
	}
	return !seen.Registered || seen.Lease != 0 && seen.Lease != r.lease.ID
}

// Run keeps the registration until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := renewInterval
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("Registration failed", "lease", r.lease.ID, "err", err)
			wait = retryInterval
		}
		r.sleep(ctx, wait)
	}
}

// sleep waits for at least half of the given time and at most all of it. If the store was restored meanwhile and has
// lost the lease, sleep drops the lease and waits for at most retryInterval, so that the instances do not all register
// at the same moment. If the registration is lost, it waits for at most retryInterval as well.
func (r *Registrar) sleep(ctx context.Context, longest time.Duration) {
	timer := time.NewTimer(longest/2 + time.Duration(r.random.Int64N(int64(longest/2))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case era := <-r.restored:
			if r.lease.ID != 0 && r.lease.Era < era {
				klog.InfoS("Registration lost with the restored store", "lease", r.lease.ID, "era", r.lease.Era, "store-era", era)
				r.lease, r.registered = Lease{}, false
				timer.Reset(time.Duration(r.random.Int64N(int64(retryInterval))))
			}
		case seen := <-r.observed:
			if r.isLost(seen) {
				klog.InfoS("Registration replaced or removed by others", "lease", r.lease.ID, "written", r.revision, "revision", seen.Revision,
					"registered", seen.Registered, "other-lease", seen.Lease)
				r.registered = false
				timer.Reset(time.Duration(r.random.Int64N(int64(retryInterval))))
			}
		}
	}
}

// step makes the next calls: it obtains a lease if there is none, and then writes the registration under it or renews
// it.
func (r *Registrar) step(ctx context.Context) (err error) {
	defer panics.Recover("renew the registration", func() { err = errPanicked })
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.lease.ID == 0 {
		lease, err := r.registry.Grant(callCtx, r.ttl)
		if err != nil {
			return err
		}
		r.lease = lease
	}
	if !r.registered {
		revision, err := r.registry.Put(callCtx, r.lease)
		if err == nil {
			r.revision = revision
		}
		return r.handleResult(err)
	}
	return r.handleResult(r.registry.Renew(callCtx, r.lease))
}

// handleResult records the result of Put or Renew and drops a lease that the store no longer has, so that the next step
// obtains a new one.
func (r *Registrar) handleResult(err error) error {
	if errors.Is(err, ErrLeaseEnded) {
		klog.InfoS("Registration lease ended", "lease", r.lease.ID)
		r.lease, r.registered = Lease{}, false
		return err
	}
	if err == nil {
		r.registered = true
	}
	return err
}
