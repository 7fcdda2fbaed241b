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

// ErrLeaseEnded is returned by Renew and Put for a lease that the store no longer has.
var ErrLeaseEnded = errors.New("lease has ended")

// Registry is the part of the store that holds registrations.
type Registry interface {
	// Grant returns a new lease that ends after the given time unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Put writes this instance's registration under the lease.
	Put(ctx context.Context, lease uint64) error
	// Renew extends the lease.
	Renew(ctx context.Context, lease uint64) error
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
	lease      uint64
	registered bool
}

// New returns a registrar for a store that grants leases of at least minTTL. The random source spreads the calls of
// instances that start together.
func New(registry Registry, minTTL time.Duration, random *rand.Rand) *Registrar {
	return &Registrar{registry: registry, ttl: max(leaseTTL, minTTL), random: random}
}

// Run keeps the registration until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := renewInterval
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("Registration failed", "lease", r.lease, "err", err)
			wait = retryInterval
		}
		timer := time.NewTimer(wait/2 + time.Duration(r.random.Int64N(int64(wait/2))))
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
}

// step makes the next calls: it obtains a lease if there is none, and then writes the registration under it or renews
// it.
func (r *Registrar) step(ctx context.Context) (err error) {
	defer panics.Recover("renew the registration", func() { err = errPanicked })
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.lease == 0 {
		lease, err := r.registry.Grant(callCtx, r.ttl)
		if err != nil {
			return err
		}
		r.lease = lease
	}
	if !r.registered {
		return r.handleResult(r.registry.Put(callCtx, r.lease))
	}
	return r.handleResult(r.registry.Renew(callCtx, r.lease))
}

// handleResult records the result of Put or Renew and drops a lease that the store no longer has, so that the next step
// obtains a new one.
func (r *Registrar) handleResult(err error) error {
	if errors.Is(err, ErrLeaseEnded) {
		klog.InfoS("Registration lease ended", "lease", r.lease)
		r.lease, r.registered = 0, false
		return err
	}
	if err == nil {
		r.registered = true
	}
	return err
}
