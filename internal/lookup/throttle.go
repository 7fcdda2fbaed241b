package lookup

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// lateThreshold is the smoothed share of late requests up to which nothing is refused, because a replica that
	// stalls also rejects parts and makes some requests late. lateShareWeight is the weight of one request in that
	// share.
	lateThreshold   = 0.5
	lateShareWeight = 0.15
	// decreaseFactor multiplies the admitted share after a request that was late because replicas rejected its parts;
	// increaseStep is added to it after a request that was not.
	decreaseFactor = 0.7
	increaseStep   = 0.04
	// recoveryStep is added instead of increaseStep once no request has been late for recoveryWindow.
	recoveryStep = 0.15
	// minAdmittedShare keeps some requests running, which show when the replicas have capacity again.
	minAdmittedShare = 0.2
)

// throttle admits a share of the requests over one set of shards, by additive increase and multiplicative decrease. It
// covers two overloads that a limit on requests in progress does not: one that spreads over many instances, each of
// which has only few requests in progress, and one of a few shards that have lost replicas and reject what every
// request needs, while the other shards answer early.
type throttle struct {
	mutex sync.Mutex
	shard fleet.ServiceID
	// refusedShare is 1 less the admitted share, so that the zero value admits everything.
	refusedShare float64
	// credit grows by the admitted share with each request; a credit of 1 admits one request.
	credit float64
	// lastLate is when a request was last late.
	lastLate time.Time
	// lateShare is the smoothed share of requests that were late because their parts were rejected.
	lateShare float64
}

// admit reports whether a request is admitted.
func (t *throttle) admit() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.refusedShare <= 0 {
		return true
	}
	t.credit += 1 - t.refusedShare
	if t.credit < 1 {
		return false
	}
	t.credit--
	return true
}

// currentRefusedShare returns the share of requests that are refused.
func (t *throttle) currentRefusedShare() float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.refusedShare
}

// observe records whether a request was late because its parts were rejected.
func (t *throttle) observe(now time.Time, overloaded bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	previous := t.refusedShare
	if overloaded {
		t.lastLate = now
		t.lateShare += lateShareWeight * (1 - t.lateShare)
	} else {
		t.lateShare -= lateShareWeight * t.lateShare
	}
	switch {
	case overloaded && t.lateShare < lateThreshold:
	case overloaded:
		t.refusedShare = min(1-minAdmittedShare, 1-(1-previous)*decreaseFactor)
	case now.Sub(t.lastLate) > recoveryWindow:
		t.refusedShare = max(0, previous-recoveryStep)
	default:
		t.refusedShare = max(0, previous-increaseStep)
	}
	switch {
	case previous <= 0 && t.refusedShare > 0:
		klog.InfoS("Throttling of requests started", "shard", t.shard)
	case previous > 0 && t.refusedShare <= 0:
		klog.InfoS("Throttling of requests ended", "shard", t.shard)
	}
}
