package rollout

import (
	"maps"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/directory"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

const (
	// freshTime is the age up to which a report counts as the present state of its instance: four intervals.
	freshTime = 4 * reportInterval
	// contactTimeout is how long an instance goes on sending to an ordered version without hearing from a coordinator, or
	// a coordinator without a majority of the others. Together with reportInterval it is far below the time within which
	// a bad version must get nothing more.
	contactTimeout = 1500 * time.Millisecond
	// decisionMargin is the time before the end of an order at which a version that was not judged good is rolled back.
	decisionMargin = 700 * time.Millisecond
	// moveTime is how long a request that has chosen a replica may take until it is counted as being sent.
	moveTime = 50 * time.Millisecond
	// compareLag is the lag of the comparison while the former versions still get requests.
	compareLag = 500 * time.Millisecond
	// doubtTime is how long a version must not have been doubtful before it gets all requests, unless the evidence speaks
	// for it since.
	doubtTime = 3 * time.Second
	// maxUnfinished bounds the sends without an answer that are kept for one replica.
	maxUnfinished = 8
)

// progress is the state of one order at one instance. The Manager's mutex guards it.
type progress struct {
	order  directory.RollOut
	limits Limits
	// began is the earliest time at which the order may have been written.
	began time.Time
	stage Stage
	// reason says why the version was rolled back.
	reason string
	// status is what the store has, as far as this instance knows.
	status directory.RollOutStatus

	// requests counts the requests that replicas of the service answered to this instance, sent those that it sent to the
	// ordered version, and own all answers.
	requests, sent int
	own            Evidence
	formerInFlight int
	burstTurns     int // requests during bursts
	targets        int // replicas of the ordered version
	unfinished     map[fleet.ServerID][]unfinishedSend
	// firstSeen is when each replica of the ordered version was first seen. hadFormer is set once replicas of other
	// versions were; retired holds these if they were listed at Full or when Completed began, from when on closed is set.
	firstSeen map[fleet.ServerID]time.Time
	hadFormer bool
	retired   map[fleet.ServerID]bool
	closed    bool

	// rank is the position of this instance among all in an order that depends on the roll-out.
	rank, instances int
	lastContact     time.Time
	// alone holds the evidence of this instance, merged that of all as the coordinator has it.
	alone, merged history
	// listed is set once the store had the order, and not only a peer.
	listed bool
	// movedAt is when this instance last began to choose only replicas of the ordered version; zero while it does not.
	movedAt time.Time
	// reports and gone are used by the coordinator; gone holds the instances whose process was not running when it was
	// asked.
	reports map[fleet.InstanceID]receivedReport
	gone    map[fleet.InstanceID]time.Time
	// completing is set once all instances have moved to the ordered version.
	completing bool
	// doubtedAt is when the evidence was last against the version.
	doubtedAt  time.Time
	writing    bool
	writeAfter time.Time
	failures   int
}

type unfinishedSend struct {
	route   string
	elapsed time.Duration
}

type receivedReport struct {
	report
	at time.Time
}

func newProgress(order directory.RollOut, limits Limits, began, now time.Time) *progress {
	return &progress{
		order: order, limits: limits, began: began, instances: 1, lastContact: now, own: make(Evidence),
		unfinished: make(map[fleet.ServerID][]unfinishedSend), firstSeen: make(map[fleet.ServerID]time.Time), retired: make(map[fleet.ServerID]bool),
		reports: make(map[fleet.InstanceID]receivedReport), gone: make(map[fleet.InstanceID]time.Time),
	}
}

func (p *progress) elapsed(now time.Time) time.Duration { return now.Sub(p.began) }

func (p *progress) schedule() schedule { return schedule{p.order.Within} }

// settled reports whether the outcome is known here and in the store, so that nothing is left to do.
func (p *progress) settled() bool {
	return p.stage.final() && p.status.Final(p.order) && p.status.State == p.stage.state()
}

// split divides the replicas of the service into those for any request and those for the requests that admitTrial
// admits.
func (p *progress) split(replicas []directory.Replica, now time.Time) (usable, trial []directory.Replica) {
	var target, former []directory.Replica
	for _, r := range replicas {
		if r.Version != p.order.Version {
			former = append(former, r)
			continue
		}
		target = append(target, r)
		if _, seen := p.firstSeen[r.ID]; !seen {
			p.firstSeen[r.ID] = now
		}
	}
	p.hadFormer, p.targets = p.hadFormer || len(former) > 0, len(target)
	if p.stage == Full || p.stage == Completed && !p.closed {
		for _, r := range former {
			p.retired[r.ID] = true
		}
	}
	p.closed = p.stage == Completed
	if p.stage != Full || len(target) == 0 {
		p.movedAt = time.Time{}
	} else if p.movedAt.IsZero() {
		p.movedAt = now
	}
	switch {
	case p.stage == Completed:
		return withoutRetired(replicas, p.retired), nil
	case p.stage == RolledBack && len(former) == 0 && p.elapsed(now) > p.order.Within, p.stage == Full && len(target) > 0:
		return target, nil
	case p.stage == RolledBack, p.stage == Full:
		return former, nil
	case !p.hadFormer:
		return target, nil
	}
	return former, p.preferred(target)
}

// preferred returns the replicas in the order in which this instance tries them. In bursts all instances send to the same
// one, so that it gets the load that it would have if the version had all requests.
func (p *progress) preferred(target []directory.Replica) []directory.Replica {
	if p.stage == Load || len(target) == 0 {
		return target
	}
	first := p.rank % len(target)
	return append(target[first:len(target):len(target)], target[:first]...)
}

// withoutRetired returns the replicas that are not retired, or all if none is left. Versions that replace the completed
// one without an order are used like any other.
func withoutRetired(replicas []directory.Replica, retired map[fleet.ServerID]bool) (left []directory.Replica) {
	for _, r := range replicas {
		if !retired[r.ID] {
			left = append(left, r)
		}
	}
	if len(left) == 0 {
		return replicas
	}
	return left
}

// admitTrial reports whether a request may go to the ordered version, and counts it. lastResort is set if no other
// replica is left.
func (p *progress) admitTrial(lastResort bool, now time.Time) bool {
	elapsed := p.elapsed(now)
	if p.stage >= Full || now.Sub(p.lastContact) > contactTimeout {
		return false
	}
	part, tolerance := trialPart, trialTolerance*min(1, max(0, float64(elapsed)/float64(p.schedule().loadAt()/2)))
	switch {
	case lastResort:
		part, tolerance = mostPart, mostTolerance
	case p.stage == Load:
		if share, extra, ok := p.schedule().burst(elapsed); ok {
			if p.burstTurns++; (p.burstTurns+p.rank)%max(p.targets, 1) != 0 {
				return false
			}
			part, tolerance = share, extra
		}
	}
	if !p.limits.admits(p.requests, p.sent, part, tolerance, p.rank, p.instances) {
		return false
	}
	p.sent++
	return true
}

// observe records the end of a send.
func (p *progress) observe(to directory.Replica, route string, outcome Outcome, elapsed time.Duration, now time.Time) {
	switch outcome {
	case NoEvidence:
		return
	case Unfinished:
		if waiting := p.unfinished[to.ID]; len(waiting) < maxUnfinished {
			p.unfinished[to.ID] = append(waiting, unfinishedSend{route, elapsed})
		}
		return
	case Answered, Failed:
	}
	p.requests++
	for _, earlier := range p.unfinished[to.ID] {
		p.count(to, earlier.route, Answered, earlier.elapsed, now)
	}
	delete(p.unfinished, to.ID)
	p.count(to, route, outcome, elapsed, now)
}

func (p *progress) count(to directory.Replica, route string, outcome Outcome, elapsed time.Duration, now time.Time) {
	tally := p.own[route]
	counted := &tally.Former
	if to.Version == p.order.Version {
		counted = &tally.Target
		if first := p.firstSeen[to.ID]; outcome != Failed && (now.Before(to.ColdUntil) || now.Sub(first) < p.schedule().settleTime()) {
			return
		}
	}
	if outcome == Failed {
		counted.Failed++
	} else {
		counted.Times[bucketOf(elapsed)]++
	}
	p.own[route] = tally
}

// moved reports whether this instance neither sends to the former replicas nor waits for one of their answers.
func (p *progress) moved(now time.Time) bool {
	return p.stage == Completed || !p.movedAt.IsZero() && now.Sub(p.movedAt) >= moveTime && p.formerInFlight == 0
}

// adopt follows the stage that another instance is in. What the store has goes before everything else; a roll-back goes
// before a roll-out, because it may be this instance that missed the evidence. Before that, the coordinator decides.
func (p *progress) adopt(stage Stage, reason string, fromCoordinator bool) (changed bool) {
	switch {
	case stage == p.stage || p.stage == Completed:
		return false
	case stage == Completed:
	case p.stage == RolledBack:
		return false
	case stage == RolledBack:
		p.reason = reason
	case p.stage == Full || !fromCoordinator && stage != Full:
		return false
	}
	p.stage = stage
	return true
}

// adoptStatus follows what the store has. It reports whether the stage changed.
func (p *progress) adoptStatus(status directory.RollOutStatus) (changed bool) {
	p.status = status
	if !status.Final(p.order) {
		return false
	}
	stage := Completed
	if status.State == directory.RollOutRolledBack {
		stage = RolledBack
	}
	changed = p.stage != stage
	p.stage = stage
	return changed
}

// report returns this instance's report.
func (p *progress) report(from fleet.InstanceID, now time.Time) report {
	return report{
		From: from, Order: p.order, AgeMillis: p.elapsed(now).Milliseconds(), Stage: p.stage, Reason: p.reason, Moved: p.moved(now),
		Requests: p.requests, Sent: p.sent, Evidence: maps.Clone(p.own),
	}
}

// totals sums up the reports and the own counts.
func (p *progress) totals() (evidence Evidence, requests, sent int) {
	evidence, requests, sent = maps.Clone(p.own), p.requests, p.sent
	for _, r := range p.reports {
		evidence = evidence.plus(r.Evidence)
		requests += r.Requests
		sent += r.Sent
	}
	return evidence, requests, sent
}

func (p *progress) fresh(id fleet.InstanceID, now time.Time) bool {
	r, known := p.reports[id]
	return known && now.Sub(r.at) <= freshTime
}

// majority reports whether this instance and the others whose reports are fresh are more than half of all.
func (p *progress) majority(others []fleet.InstanceID, now time.Time) bool {
	fresh := 1
	for _, id := range others {
		if p.fresh(id, now) {
			fresh++
		}
	}
	return 2*fresh > len(others)+1
}

// allMoved reports whether all instances have moved, also those that are not registered yet but report.
func (p *progress) allMoved(others []fleet.InstanceID, now time.Time) bool {
	for _, id := range others {
		if !p.fresh(id, now) {
			return false
		}
	}
	for id, r := range p.reports {
		if p.fresh(id, now) && !r.Moved {
			return false
		}
	}
	return p.moved(now)
}

// coordinate decides on the next stage as the coordinator of the order. others are the other instances that are
// registered and running. It reports whether the stage changed.
func (p *progress) coordinate(others []fleet.InstanceID, now time.Time) (changed bool) {
	evidence, requests, sent := p.totals()
	p.merged.add(now, evidence, p.lag())
	finding, suspicion := p.merged.assess(now)
	doubtful := suspicion.below(doubtProbability)
	majority := p.majority(others, now)
	if majority {
		p.lastContact = now
	}
	elapsed := p.elapsed(now)
	before := p.stage
	decision := decide(finding, doubtful, p.merged.targetAnswers(), requests)
	switch {
	case doubtful:
		p.doubtedAt = now
	case suspicion.Probability >= deferProbability:
		p.doubtedAt = time.Time{}
	}
	switch {
	case p.stage.final():
	case decision == bad:
		p.rollBack(finding.String())
	case !majority:
	case p.stage == Full && doubtful && float64(sent) > mostPart*p.limits.most(p.order, elapsed, requests):
		p.rollBack("doubtful, and may get no more; " + finding.String())
	case p.stage == Full:
		p.completing = p.mayComplete(suspicion, elapsed, requests) && p.allMoved(others, now)
	case elapsed >= p.order.Within-decisionMargin:
		p.rollBack("not judged good in time; " + finding.String())
	case len(p.firstSeen) == 0: // no replica of the version is registered yet
	case decision == good && now.Sub(p.doubtedAt) >= min(doubtTime, p.order.Within/5) && elapsed >= p.schedule().fullAt(p.limits, elapsed, requests, sent):
		p.stage = Full
	case p.stage == Trial && elapsed >= p.schedule().loadAt() && !doubtful:
		p.stage = Load
	}
	return p.stage != before
}

// mayComplete reports whether a version that has all requests is still good at a time at which the outcome is due. A
// little doubt defers the outcome up to the end of the time of the order.
func (p *progress) mayComplete(suspicion Finding, elapsed time.Duration, requests int) bool {
	doubt := deferProbability
	if elapsed >= p.order.Within {
		doubt = doubtProbability
	}
	return !suspicion.below(doubt) && (elapsed >= p.order.Within-completeMargin || requests < quietRequests)
}

// lag returns the lag of the comparison of the versions.
func (p *progress) lag() time.Duration {
	if p.stage == Full {
		return 0
	}
	return compareLag
}

// judgeAlone assesses this instance's own answers, which may condemn the version before a coordinator does. It reports
// whether they do.
func (p *progress) judgeAlone(now time.Time) (condemned bool) {
	p.alone.add(now, maps.Clone(p.own), p.lag())
	if finding, _ := p.alone.assess(now); !p.stage.final() && finding.below(aloneProbability) {
		p.rollBack(finding.String())
		return true
	}
	return false
}

func (p *progress) rollBack(reason string) {
	p.stage, p.reason, p.completing = RolledBack, reason, false
}

// desired returns the state that the store should have, and whether it has another one.
func (p *progress) desired() (state directory.RollOutState, missing bool) {
	state = p.stage.state()
	if p.stage == Full && p.completing {
		state = directory.RollOutCompleted
	}
	known := p.status.Version == p.order.Version && p.status.Revision > p.order.Revision && p.status.State == state
	return state, !known
}
