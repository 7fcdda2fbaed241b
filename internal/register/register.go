// Package register keeps the entry of this instance in the platform's store under a lease, so that the other instances
// know among how many the bounds are divided and where peers are.
//
// A Keeper owns the lease. A lost lease is replaced; nothing on the request path waits for it, and an instance without
// an entry goes on serving.
package register

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/panics"
)

// ErrLeaseEnded is the error of Renew and Put for a lease that the store no longer has.
var ErrLeaseEnded = errors.New("the lease has ended")

// Registry is the store.
type Registry interface {
	// Grant returns a new lease.
	Grant(ctx context.Context, lasting time.Duration) (lease uint64, err error)
	// Put writes this instance's entry under the lease.
	Put(ctx context.Context, lease uint64) error
	Renew(ctx context.Context, lease uint64) error
}

var errPanicked = errors.New("the call panicked")

const (
	// lasting is how long an entry outlives the last renewal, unless the store's shortest lease is longer. The count of
	// instances may be too high for that long, which only leaves shares unused.
	lasting = 10 * time.Second
	// renewInterval lets two renewals in a row be lost.
	renewInterval = 3 * time.Second
	// retryInterval is the pause after a failed call.
	retryInterval = time.Second
	// callTimeout bounds each call.
	callTimeout = time.Second
)

// Keeper keeps one entry.
type Keeper struct {
	registry Registry
	random   *rand.Rand
	lasting  time.Duration
	lease    uint64
	put      bool
}

// New returns a keeper before a store that grants leases of at least the given time; the random source spreads the calls of
// instances that start together.
func New(registry Registry, shortest time.Duration, random *rand.Rand) *Keeper {
	return &Keeper{registry: registry, lasting: max(lasting, shortest), random: random}
}

// Run keeps the entry until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := renewInterval
		if err := k.round(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("Registration failed", "lease", k.lease, "err", err)
			wait = retryInterval
		}
		timer := time.NewTimer(wait/2 + time.Duration(k.random.Int64N(int64(wait/2))))
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
}

// round takes the next step: a lease, the entry under it, or a renewal.
func (k *Keeper) round(ctx context.Context) (err error) {
	defer panics.Recover("keep the registration", func() { err = errPanicked })
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if k.lease == 0 {
		lease, err := k.registry.Grant(bounded, k.lasting)
		if err != nil {
			return err
		}
		k.lease = lease
	}
	if !k.put {
		return k.settle(k.registry.Put(bounded, k.lease))
	}
	return k.settle(k.registry.Renew(bounded, k.lease))
}

// settle takes the outcome of a call and drops a lease that the store no longer has.
func (k *Keeper) settle(err error) error {
	if errors.Is(err, ErrLeaseEnded) {
		klog.InfoS("Registration lapsed", "lease", k.lease)
		k.lease, k.put = 0, false
		return err
	}
	if err == nil {
		k.put = true
	}
	return err
}
