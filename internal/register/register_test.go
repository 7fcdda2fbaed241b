package register

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// registry is a fake of the store's leases.
type registry struct {
	mutex  sync.Mutex
	down   bool
	lease  uint64
	ends   time.Time
	listed bool
	calls  int
}

var errDown = errors.New("down")

func (r *registry) step() (ended bool, err error) {
	r.calls++
	if r.down {
		return false, errDown
	}
	if r.lease != 0 && time.Now().After(r.ends) {
		r.lease, r.listed = 0, false
	}
	return r.lease == 0, nil
}

func (r *registry) Grant(_ context.Context, lasting time.Duration) (uint64, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, err := r.step(); err != nil {
		return 0, err
	}
	r.lease, r.ends = uint64(r.calls), time.Now().Add(lasting)
	return r.lease, nil
}

func (r *registry) Put(_ context.Context, lease uint64) error { return r.touch(lease, true) }

func (r *registry) Renew(_ context.Context, lease uint64) error { return r.touch(lease, false) }

func (r *registry) touch(lease uint64, put bool) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ended, err := r.step()
	if err != nil {
		return err
	}
	if ended || lease != r.lease {
		return ErrLeaseEnded
	}
	r.listed = r.listed || put
	if !put {
		r.ends = time.Now().Add(lasting)
	}
	return nil
}

func (r *registry) now() (listed bool, calls int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.lease != 0 && time.Now().After(r.ends) {
		r.listed = false
	}
	return r.listed, r.calls
}

// TestEntryStays guards against an entry that lapses while its instance runs, against one that is not written again after
// an outage of the store, and against more calls than renewals need.
func TestEntryStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &registry{}
		ctx, stop := context.WithCancel(t.Context())
		go New(r, time.Second, rand.New(rand.NewPCG(1, 1))).Run(ctx)
		for range 30 {
			time.Sleep(4 * time.Second)
			listed, _ := r.now()
			is.True(listed)
		}
		_, calls := r.now()
		is.True(calls < 120)
		r.mutex.Lock()
		r.down = true
		r.mutex.Unlock()
		time.Sleep(2 * lasting)
		listed, _ := r.now()
		is.True(!listed)
		r.mutex.Lock()
		r.down = false
		r.mutex.Unlock()
		time.Sleep(2 * renewInterval)
		listed, _ = r.now()
		is.True(listed)
		stop()
		time.Sleep(renewInterval)
	})
}
