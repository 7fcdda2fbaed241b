package schedule

// The checks of the history of one run. Letters such as (a) refer to the properties in docs/proof.md.

import (
	"context"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/standin"
	"github.com/medlarlatch/medlarlatch/pkg/api"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Bounds from docs/design.md.
const (
	maxAdoptionDelay = 5 * time.Second
	// serverGracePeriod is how long an owner waits for a server beyond a deadline. It cannot distinguish a server that
	// takes longer from one that has stopped.
	serverGracePeriod = 100 * time.Millisecond
	maxZoneOutDelay   = 3 * time.Second
)

// checkServers checks the observations of each server in one episode: requests in flight against its slots, connections
// against its limit, requests before the first answer after a restart, and requests after it began to leave. Requests
// in flight are not checked if the process of the servers stalled for longer than serverGracePeriod.
func (r *run) checkServers(ctx context.Context) {
	report, err := r.cluster.Observed(ctx)
	if err != nil {
		r.addViolation("the observations of the servers cannot be read: %v", err)
		return
	}
	serversOverSlots, stalled := 0, report.MaxStallMillis > serverGracePeriod.Milliseconds()
	for id, seen := range report.Servers {
		maxInFlight, maxUnanswered := seen.Slots, 1
		if r.doubleSlotsAllowed.Load() {
			maxInFlight, maxUnanswered = 2*seen.Slots, 2
		}
		if stalled && seen.PeakInFlight > maxInFlight {
			r.t.Logf("(e) %s: %d requests in flight with %d slots, not checked: the process of the servers stalled for %d ms: %q",
				id, seen.PeakInFlight, seen.Slots, report.MaxStallMillis, seen.OverSlotsDetails)
		} else if seen.PeakInFlight > maxInFlight {
			r.addViolation("(e) %s: %d requests in flight with %d slots: %q", id, seen.PeakInFlight, seen.Slots, seen.OverSlotsDetails)
		} else if seen.PeakInFlight > seen.Slots {
			serversOverSlots++
		}
		if seen.PeakConnections > seen.ConnectionLimit || seen.RefusedConnections > 0 && seen.PeakConnections >= seen.ConnectionLimit && !r.serverConnectionsClosed.Load() {
			r.addViolation("(e) %s: %d connections with a limit of %d, %d refused", id, seen.PeakConnections, seen.ConnectionLimit, seen.RefusedConnections)
		}
		if seen.PeakUnanswered > maxUnanswered && stalled {
			r.t.Logf("(e) %s: %d requests in flight before the first answer after a restart, not checked: the process of the servers stalled for %d ms",
				id, seen.PeakUnanswered, report.MaxStallMillis)
		} else if seen.PeakUnanswered > maxUnanswered {
			r.addViolation("(e) %s: %d requests in flight before the first answer after a restart", id, seen.PeakUnanswered)
		}
		if seen.AfterLeaving > 0 {
			r.addViolation("(f) %s: %d requests more than 3 s after it began to leave", id, seen.AfterLeaving)
		}
	}
	if stalled {
		r.t.Logf("(e) the process of the servers stalled for up to %d ms", report.MaxStallMillis)
	}
	if serversOverSlots > 0 {
		r.t.Logf("(e) %d servers above their slots, but within the double slots that are allowed under this fault", serversOverSlots)
	}
}

// checkOutOfServicePeriods checks that the servers of a zone that is out of service get no requests later than
// maxZoneOutDelay after the change was accepted and every instance could learn of it.
func (r *run) checkOutOfServicePeriods() {
	r.mutex.Lock()
	periods := r.outOfServicePeriods
	r.outOfServicePeriods = nil
	r.mutex.Unlock()
	r.monitor.mutex.Lock()
	reports := r.monitor.serverReports
	r.monitor.mutex.Unlock()
	for _, o := range periods {
		from := r.configReachableByAllFrom(o.from, o.to).Add(maxZoneOutDelay)
		first, last, samples := int64(-1), int64(0), 0
		for _, sample := range reports {
			if sample.at.Before(from) || sample.at.After(o.to) {
				continue
			}
			last = r.queriesInZone(sample.report, o.zone)
			if first < 0 {
				first = last
			}
			samples++
		}
		if samples == 0 {
			r.t.Logf("(f) %s not checked: it was not out of service long enough after the other fault", o.zone)
		} else if last != first {
			r.addViolation("(f) servers of %s got %d requests later than 3 s after the zone was taken out of service and before its return", o.zone, last-first)
		}
	}
}

// queriesInZone returns the number of queries that reached the servers of a zone.
func (r *run) queriesInZone(report standin.Report, zone string) (count int64) {
	for id, seen := range report.Servers {
		if r.monitor.zoneByServer[id] == zone {
			count += seen.Queries
		}
	}
	return count
}

// checkAdoption checks that each accepted configuration change is in force at each instance at most maxAdoptionDelay
// after the instance could learn of it.
func (r *run) checkAdoption() {
	r.mutex.Lock()
	accepted := r.acceptedChanges
	r.mutex.Unlock()
	r.monitor.mutex.Lock()
	defer r.monitor.mutex.Unlock()
	for _, c := range accepted {
		for n, e := range r.cluster.Entries {
			from, reachable := r.configReachableFrom(n, c.at, c.at.Add(maxAdoptionDelay))
			if !reachable || time.Since(from) < maxAdoptionDelay+monitorTimeout+monitorInterval {
				continue // checked after a later episode
			}
			if at, ok := adoptedAt(r.monitor.entryStates[n], c.revision); !ok || at.Sub(from) > maxAdoptionDelay {
				r.addViolation("(g) %s: revision %d in force %s after the instance could learn of it (seen in force: %t)", e.Name, c.revision, at.Sub(from), ok)
			}
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.acceptedChanges = recentChanges(r.acceptedChanges)
}

// recentChanges returns the changes that are too recent to be checked at every instance.
func recentChanges(changes []configChange) []configChange {
	var recent []configChange
	for _, c := range changes {
		if time.Since(c.at) < 2*maxAdoptionDelay+maxRecoveryTime {
			recent = append(recent, c)
		}
	}
	return recent
}

// adoptedAt returns when a revision or a later one came into force at an instance. For a later revision it returns the
// time of the reading, which may be later.
func adoptedAt(states []entryState, revision uint64) (time.Time, bool) {
	for _, s := range states {
		if s.revision == revision {
			return s.since, true
		}
		if s.revision > revision {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// checkRevisions checks that the revision in force at a ready instance never decreases, also across a restart.
func (r *run) checkRevisions() {
	r.monitor.mutex.Lock()
	defer r.monitor.mutex.Unlock()
	for n, states := range r.monitor.entryStates {
		highest := uint64(0)
		for _, s := range states {
			if s.ready && s.revision < highest {
				r.addViolation("(g) %s reverted from revision %d to %d", r.cluster.Entries[n].Name, highest, s.revision)
			}
			highest = max(highest, s.revision)
		}
	}
}

// checkCalls checks all calls of the run against the data and against the servers' record of executions.
func (r *run) checkCalls(ctx context.Context) {
	runs, err := r.cluster.Executions(ctx)
	if err != nil {
		r.addViolation("the execution record cannot be read: %v", err)
		return
	}
	complete := 0
	for _, a := range r.load.queries {
		r.checkCall(a)
		if a.answer != nil {
			r.checkAnswer(a, runs)
			if a.answer.Coverage.Answered == a.answer.Coverage.Asked {
				complete++
			}
		}
		if a.refusal != nil {
			r.checkRefusedQuery(a, runs)
		}
	}
	for key, attempts := range r.load.attemptsByKey {
		r.checkEffect(key, attempts, runs.Effects[settlementApplication+" "+key])
	}
	r.t.Logf("%d queries, %d answered, %d completely; %d requests that must not run twice, %d took effect",
		len(r.load.queries), r.load.answered, complete, len(r.load.attemptsByKey), len(runs.Effects))
	if complete == 0 || len(runs.Effects) == 0 {
		r.addViolation("the load did not reach the servers: no complete answer or no executed request")
	}
}

// checkAnswer checks (a) and (b) for an answer: it comes from one snapshot, matches the data and counts the shards
// correctly. It also checks the verdicts on missing shards.
func (r *run) checkAnswer(a attempt, runs standin.Executions) {
	if err := r.cluster.Check(searchApplication, a.query, a.answer); err != nil {
		r.addViolation("(a) (b) %s: %v", a.query.ID, err)
	}
	r.checkMissing(a.query.ID, a.answer.Coverage.Missing, runs)
}

// checkMissing checks (d) for the missing shards of a query: the verdict "not run" or "ran" must match the record.
func (r *run) checkMissing(id string, missing []api.Missing, runs standin.Executions) {
	for _, m := range missing {
		count := runs.Tagged[id+" "+m.Shard]
		if m.Verdict == verdict.NotRun && count > 0 || m.Verdict == verdict.Ran && count == 0 {
			r.addViolation("(d) %s: shard %s is missing with %s (%s) and ran %d times", id, m.Shard, m.Verdict, m.Reason, count)
		}
	}
}

// checkRefusedQuery checks (d) for a refused query, over the shards of the index versions 1 and 2.
func (r *run) checkRefusedQuery(a attempt, runs standin.Executions) {
	count := 0
	shards := r.cluster.Application(searchApplication).Index(1)
	for shard := range r.cluster.Application(searchApplication).Index(2) {
		shards[shard] = ""
	}
	for shard := range shards {
		count += runs.Tagged[a.query.ID+" "+shard]
	}
	if a.refusal.Verdict == verdict.NotRun && count > 0 || a.refusal.Verdict == verdict.Ran && count == 0 {
		r.addViolation("(d) %s: refused with %s (%s: %s) and ran at %d shards", a.query.ID, a.refusal.Verdict, a.refusal.Reason, a.refusal.Detail, count)
	}
	if a.refusal.Coverage != nil {
		r.checkMissing(a.query.ID, a.refusal.Coverage.Missing, runs)
	}
}

// checkEffect checks (c) and (d) for one key, given how many times it took effect. With a ticket, "not run" applies to
// the ticket and is final, so that one such refusal rules out any execution. Without a ticket it applies to that
// attempt only, because the caller may have sent the request again.
func (r *run) checkEffect(key string, attempts []attempt, count int) {
	ran, notRun := false, attempts[0].query.Ticket == ""
	responses := ""
	for _, a := range attempts {
		r.checkCall(a)
		ran = ran || a.answer != nil || a.refusal != nil && a.refusal.Verdict == verdict.Ran
		refused := a.refusal != nil && a.refusal.Verdict == verdict.NotRun
		if a.query.Ticket == "" {
			notRun = notRun && refused
		} else {
			notRun = notRun || refused
		}
		switch {
		case a.refusal != nil:
			responses += " " + a.refusal.Verdict.String() + "/" + a.refusal.Reason.String() + " (" + a.refusal.Detail + ")"
		case a.answer != nil:
			responses += " answer"
			if err := r.cluster.Check(settlementApplication, a.query, a.answer); err != nil {
				r.addViolation("(a) (b) %s: %v", key, err)
			}
		default:
			responses += " " + a.err.Error()
		}
	}
	switch {
	case count > 1:
		r.addViolation("(c) %s ran %d times:%s", key, count, responses)
	case ran && count == 0 || notRun && count > 0:
		r.addViolation("(d) %s ran %d times:%s", key, count, responses)
	}
}

// checkCall checks (h) and (i). A call may fail without a response only if its instance was killed or paused meanwhile.
// A "not run" refusal must come within half of the deadline, unless the instance was killed or paused meanwhile, and
// must have a retry-after time, unless the ticket was reused for another request.
func (r *run) checkCall(a attempt) {
	if a.err != nil && r.wasRunning(a.entry, a.started, a.ended) {
		r.addViolation("(h) %s at %s after %s: %v", a.query.ID, r.cluster.Entries[a.entry].Name, a.ended.Sub(a.started), a.err)
	}
	if a.refusal == nil || a.refusal.Verdict != verdict.NotRun {
		return
	}
	if a.refusal.RetryAfterMillis <= 0 && a.refusal.Reason != verdict.TicketReused {
		r.addViolation("(i) %s: %s (%s) without a retry-after time", a.query.ID, a.refusal.Reason, a.refusal.Detail)
	}
	if elapsed := a.ended.Sub(a.started); elapsed > a.deadline/2 && r.wasRunning(a.entry, a.started, a.ended) {
		r.addViolation("(i) %s: %s (%s) after %s of %s", a.query.ID, a.refusal.Reason, a.refusal.Detail, elapsed, a.deadline)
	}
}
