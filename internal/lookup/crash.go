package lookup

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/panics"
	"github.com/medlarlatch/medlarlatch/internal/quarantine"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// crashCheckTimeout bounds the time to find out whether a replica that closed a connection has crashed: some round trips
// between regions. It delays the repeat of a request whose connection was lost.
const crashCheckTimeout = 100 * time.Millisecond

// crashCheck is a check of a replica that several sends wait for.
type crashCheck struct {
	done    chan struct{}
	crashed bool // valid once done is closed
}

// hasCrashed reports whether a replica that has closed a connection refuses others as well, which a replica does whose
// process has ended. A replica that is leaving has not crashed.
func (e *Engine) hasCrashed(to *member) bool {
	if e.prober == nil {
		return false
	}
	check, running := to.health.joinCrashCheck()
	if check == nil {
		return running
	}
	if !running {
		crashed, now := e.refuses(to), time.Now()
		if crashed {
			e.lastCrashAt.Store(now.UnixNano())
		}
		to.health.endCrashCheck(check, crashed, now)
	}
	<-check.done
	return check.crashed
}

// refuses reports whether the replica refuses a connection. A panic in the Prober says nothing about the replica.
func (e *Engine) refuses(to *member) (refused bool) {
	defer panics.Recover("check whether a replica has crashed", func() { refused = false })
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return e.prober.Refuses(ctx, to.Replica)
}

// joinCrashCheck returns the running check, or a new one that the caller must run and end; running says which. It returns
// nil if the answer, which running then is, is known already.
func (h *replicaHealth) joinCrashCheck() (check *crashCheck, running bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case h.selfReport.leaving:
		return nil, false
	case !h.crashedAt.IsZero():
		return nil, true
	case h.crashCheck != nil:
		return h.crashCheck, true
	}
	h.crashCheck = &crashCheck{done: make(chan struct{})}
	return h.crashCheck, false
}

// lastCrash returns when this instance last found a replica to have crashed.
func (e *Engine) lastCrash() time.Time { return time.Unix(0, e.lastCrashAt.Load()) }

func (h *replicaHealth) endCrashCheck(check *crashCheck, crashed bool, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if crashed {
		h.crashedAt = now
		h.startSuspicion(now, verdict.ConnectFailed)
	}
	h.crashCheck = nil
	check.crashed = crashed
	close(check.done)
}

// recordSuspicion records what the end of a send says about whether the request crashes replicas, and returns the
// request's standing if its replica has crashed. answered says whether other replicas have answered the request.
func (e *Engine) recordSuspicion(request *Request, send *replicaSend, outcome *Outcome, seen observation, crashed, answered bool, now time.Time) quarantine.Standing {
	to := send.to
	if seen.alive {
		klog.InfoS("Replica that was taken for crashed still runs", "replica", to.ID, "started-at", to.StartedAt)
		e.quarantine.RecordAlive(to.ID, to.StartedAt, now)
	}
	if request.Fingerprint == nil {
		return quarantine.Unsuspected
	}
	lost := outcome.lostConnection() || seen.silent
	if lost && !to.health.isLeaving() {
		crash := quarantine.Crash{Replica: to.ID, StartedAt: to.StartedAt, Service: to.Service, At: now, Suspected: send.suspected, Answered: answered}
		e.quarantine.RecordLoss(request.fingerprint(), to.Address, crash)
		if seen.silent && send.suspected {
			e.quarantine.RecordSilence(request.fingerprint(), now)
		}
		if crashed {
			return e.quarantine.RecordCrash(request.fingerprint(), crash)
		}
	}
	if outcome.answered() && outcome.Verdict == verdict.Ran && !e.quarantine.Empty() {
		e.quarantine.RecordAnswer(request.fingerprint(), to.Service, now)
	}
	return quarantine.Unsuspected
}

// confirmLosses finds out which replicas that lost requests have been replaced since.
func (e *Engine) confirmLosses(view *directory.View, now time.Time) {
	if !e.quarantine.HasLosses() {
		return
	}
	startedAt := make(map[string]int64)
	for _, replicas := range view.Replicas {
		for _, replica := range replicas {
			startedAt[replica.Address] = max(startedAt[replica.Address], replica.StartedAt)
		}
	}
	e.quarantine.ConfirmLosses(func(address string) int64 { return startedAt[address] }, now)
}

// LastAnswer returns when the process of a replica, which started at the given Unix time in milliseconds, last answered
// this instance; zero if it never did or is not known.
func (e *Engine) LastAnswer(replica fleet.ServerID, startedAt int64) time.Time {
	e.updateMutex.Lock()
	defer e.updateMutex.Unlock()
	known := e.replicas[replica]
	if known.health == nil || known.replica.StartedAt != startedAt {
		return time.Time{}
	}
	known.health.mutex.Lock()
	defer known.health.mutex.Unlock()
	return known.health.lastAnswer
}

func (h *replicaHealth) isLeaving() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.selfReport.leaving
}
