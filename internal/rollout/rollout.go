// Package rollout moves the traffic of a service to the replicas of another version when the operators order it, and
// back if that version is bad.
//
// Each entry instance sends a part of its own requests to the ordered version, so that the sum over the instances stays
// within the bound without a message on the path of a request. For each order one instance, the first in rendezvous order
// that answers, is the coordinator: the others report their counts to it every reportInterval, and its answer carries the
// stage. Any instance can take its place, because reports hold totals. An instance whose own counts condemn the version
// stops by itself, and one without a coordinator stops sending to the version until it has one again. The outcome is
// written to the store under the condition that neither the order nor the status has changed.
//
// The types below the Manager are decisions without I/O. The package runs nothing while there is no order.
package rollout

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Limits bounds what an ordered version may get before it is known to be good.
type Limits struct {
	// Share of the service's requests, and Tolerance in requests, over all instances together.
	Share, Tolerance float64
	// RollbackWithin is the time after which no instance may send to a version that has given some tens of bad answers.
	RollbackWithin time.Duration
	// Expected is set where operators order roll-outs, so that a version that appears may be about to be ordered.
	Expected bool
}

// Stage is how far a roll-out has got at an instance.
type Stage int

//go:generate go tool stringer -type=Stage -linecomment -output=stage_string.go

const (
	// Trial sends a small part of the requests to the ordered version, spread over time.
	Trial Stage = iota // trial
	// Load sends requests to one replica of the ordered version in bursts, in which it gets as many as it will get in the
	// end.
	Load // load
	// Full sends all requests to the ordered version.
	Full // full
	// Completed is Full after the store has the outcome; the former replicas stop.
	Completed // completed
	// RolledBack sends nothing to the ordered version any more.
	RolledBack // rolled-back
)

// final reports whether the stage is an outcome.
func (s Stage) final() bool { return s >= Completed }

// state returns what the store shows of the stage.
func (s Stage) state() directory.RollOutState {
	switch s {
	case Completed:
		return directory.RollOutCompleted
	case RolledBack:
		return directory.RollOutRolledBack
	case Trial, Load, Full:
	}
	return directory.RollOutRunning
}

// ErrStatusChanged is returned by StatusStore.WriteStatus if the order or its status has changed.
var ErrStatusChanged = errors.New("the order or the status of the roll-out has changed")

// StatusStore is the part of the store that shows the operators the status of a roll-out.
type StatusStore interface {
	// WriteStatus writes the state of an order if neither the order nor the status, which had the revision former, has
	// changed. A call that fails otherwise may still take effect.
	WriteStatus(ctx context.Context, order directory.RollOut, state directory.RollOutState, former uint64) (directory.RollOutStatus, error)
	// ReadStatus returns the status of the service; the zero value if there is none.
	ReadStatus(ctx context.Context, service fleet.ServiceID) (directory.RollOutStatus, error)
}

// Outcome is what a send showed about a replica.
type Outcome int

const (
	// NoEvidence is the outcome of a send that the replica did not run or did not answer: it may be full, leaving, gone or
	// cut off, which says nothing about its version.
	NoEvidence Outcome = iota
	// Answered is a success.
	Answered
	// Failed is an answer that is a failure.
	Failed
	// Unfinished is a send that was given up before its answer. It shows that the replica is slow if that answers another
	// request later.
	Unfinished
)

// The parts of the bound that the stages may use. What Trial and Load leave is for the time after Full in which a version
// may still turn bad, and for instances that count each other differently.
const (
	trialPart, trialTolerance = 0.3, 0.15
	mostPart, mostTolerance   = 0.85, 0.65
)

// admits reports whether an instance may send one more request to the ordered version, after the given numbers of
// requests that its replicas answered and that it has sent to the version. Each instance adds a fraction of a request
// that depends on its rank before rounding down, so that the sum over many instances with few requests each is not
// rounded to nothing and stays within the bound.
func (l Limits) admits(requests, sent int, part, tolerance float64, rank, instances int) bool {
	allowed := part*l.Share*float64(requests) + tolerance*l.Tolerance/float64(instances)
	return sent+1 <= int(math.Floor(allowed+(float64(rank)+0.5)/float64(instances)))
}

// most returns how many requests a bad version may get in all, if the requests up to now go on at their rate.
func (l Limits) most(order directory.RollOut, elapsed time.Duration, requests int) float64 {
	return l.Share*float64(requests)*max(1, order.Within.Seconds()/elapsed.Seconds()) + l.Tolerance
}

// schedule is when an order goes from stage to stage, as times since the order.
type schedule struct{ within time.Duration }

const (
	// minSettleTime is how long a replica that has just started may be slow.
	minSettleTime = 3 * time.Second
	// minFullTime is the time before the end in which all instances have to move and report it, and the store to take the
	// outcome. It is not taken before completeMargin, because a version may turn bad once it gets all requests.
	minFullTime    = 1700 * time.Millisecond
	completeMargin = 500 * time.Millisecond
	// burstPart is how long a burst of the stage Load lasts at most, as a part of the time of the order: some instances
	// among many have a request now and then only.
	burstPart = 0.2
)

// bursts are the bursts of the stage Load: when each begins, as a part of the time of the order, and which parts of the
// bound are used up then.
var bursts = []struct{ at, part, tolerance float64 }{{0.5, 0.55, 0.4}, {0.7, 0.75, 0.65}}

// settleTime is how long after its registration the answers of a replica do not count as slow.
func (s schedule) settleTime() time.Duration { return min(minSettleTime, s.within/4) }

func (s schedule) loadAt() time.Duration { return time.Duration(bursts[0].at * float64(s.within)) }

// fullAt returns when all requests go to a version that is judged good: as late as it can be completed in time, and
// earlier only if the bound on what a bad version gets leaves room for the requests of the time until the end.
func (s schedule) fullAt(limits Limits, elapsed time.Duration, requests, sent int) time.Duration {
	most := time.Duration(0.3 * float64(s.within))
	lead := most
	if rate := float64(requests) / elapsed.Seconds(); rate > 0 {
		left := mostPart*limits.Share*rate*s.within.Seconds() + mostTolerance*limits.Tolerance - float64(sent)
		lead = time.Duration(max(0, left) / rate * float64(time.Second))
	}
	return s.within - min(max(lead, minFullTime), max(most, min(minFullTime, s.within/2)))
}

// burst returns the parts of the bound that a burst in progress may use; ok is false if there is none.
func (s schedule) burst(elapsed time.Duration) (part, tolerance float64, ok bool) {
	for _, b := range bursts {
		if since := elapsed.Seconds()/s.within.Seconds() - b.at; since >= 0 && since < burstPart {
			return b.part, b.tolerance, true
		}
	}
	return 0, 0, false
}

// minAnswers is the number of answers from which a version can be judged good. A version of a service with fewer than
// quietRequests requests since the order is judged by what there is.
const (
	minAnswers    = 8
	quietRequests = 25
)

// verdict is the decision on a version at a time.
type verdict int

const (
	undecided verdict = iota
	good
	bad
)

// decide judges the version by the finding about all its answers.
func decide(finding Finding, doubtful bool, answers, requests int) verdict {
	switch {
	case finding.below(condemnProbability):
		return bad
	case doubtful:
		return undecided
	case answers >= minAnswers || requests < quietRequests:
		return good
	}
	return undecided
}
