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

// fakeRegistry is a fake of the store's leases.
type fakeRegistry struct {
	mutex  sync.Mutex
	down   bool
	lease  uint64
	ends   time.Time
	listed bool
	calls  int
}

var errDown = errors.New("down")

func (r *fakeRegistry) beginCall() (ended bool, err error) {
	r.calls++
	if r.down {
		return false, errDown
	}
	if r.lease != 0 && time.Now().After(r.ends) {
		r.lease, r.listed = 0, false
	}
	return r.lease == 0, nil
}

func (r *fakeRegistry) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, err := r.beginCall(); err != nil {
		return 0, err
	}
	r.lease, r.ends = uint64(r.calls), time.Now().Add(ttl)
	return r.lease, nil
}

func (r *fakeRegistry) Put(_ context.Context, lease uint64) error { return r.useLease(lease, true) }

func (r *fakeRegistry) Renew(_ context.Context, lease uint64) error { return r.useLease(lease, false) }

func (r *fakeRegistry) useLease(lease uint64, put bool) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ended, err := r.beginCall()
	if err != nil {
		return err
	}
	if ended || lease != r.lease {
		return ErrLeaseEnded
	}
	r.listed = r.listed || put
	if !put {
		r.ends = time.Now().Add(leaseTTL)
	}
	return nil
}

func (r *fakeRegistry) state() (listed bool, calls int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.lease != 0 && time.Now().After(r.ends) {
		r.listed = false
	}
	return r.listed, r.calls
}

// TestEntryStaysRegistered guards against a registration that expires while its instance runs, against one that is not
// written again after an outage of the store, and against more calls than renewals need.
func TestEntryStaysRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &fakeRegistry{}
		ctx, stop := context.WithCancel(t.Context())
		go New(r, time.Second, rand.New(rand.NewPCG(1, 1))).Run(ctx)
		for range 30 {
			time.Sleep(4 * time.Second)
			listed, _ := r.state()
			is.True(listed)
		}
		_, calls := r.state()
		is.True(calls < 120)
		r.mutex.Lock()
		r.down = true
		r.mutex.Unlock()
		time.Sleep(2 * leaseTTL)
		listed, _ := r.state()
		is.True(!listed)
		r.mutex.Lock()
		r.down = false
		r.mutex.Unlock()
		time.Sleep(2 * renewInterval)
		listed, _ = r.state()
		is.True(listed)
		stop()
		time.Sleep(renewInterval)
	})
}
