package lookup

import (
	"math"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

//go:generate go tool stringer -type=SendKind -linecomment -output=send_kind_string.go

// SendKind is the reason for which a request is sent to a replica.
type SendKind int

const (
	// FirstSend is the first send of a part, or one after sends that did not reach a replica.
	FirstSend SendKind = iota // first
	// HedgeSend is a send while an earlier one has no answer.
	HedgeSend // hedge
	// RetrySend is a send after a failed one.
	RetrySend // retry
	sendKinds = iota
)

// kind returns the kind of the send.
func (s *replicaSend) kind() SendKind {
	switch {
	case s.hedge:
		return HedgeSend
	case s.paidFrom != nil:
		return RetrySend
	}
	return FirstSend
}

// A replica that names a request limit relies on a bound on the requests of all instances together: in any 4 s, 1.5
// times what the limit allows, and 5 more. The instances divide the limit among themselves without asking each other.
// Each share is a token bucket, and all buckets may be full at once. The sum stays within the bound if as many
// instances as fit into the part of it beyond the limit itself have a bucket: the users of the limit. With 118 full
// buckets, the first requests after a pause alone would exceed the bound.
const (
	// usedShare is the part of a limit that the instances use together. The rest is for requests that arrive closer
	// together than they were sent, and for instances that have not yet learnt of the limit.
	usedShare = 0.9
	// All buckets together hold up to tokensPerLimit times the limit and extraTokens more; there are at most as many users.
	tokensPerLimit, extraTokens = 1.9, 3
	// maxTokenInterval bounds the time between two tokens of a user, and with it the time in which a user finds that the
	// limit has ended.
	maxTokenInterval = 5 * time.Second
	// bucketTime is the time in which an empty bucket fills if it holds more than one token. Tokens are saved up for the
	// moments in which the other replicas of a shard stall.
	bucketTime = time.Second
	// trialShare is the part of a limit that the other instances use. They send a request now and then to find out
	// whether the limit has ended.
	trialShare = 0.2
	// trialWindow is the time for which a trial may be sent, as a share of the interval between two trials. Trials that
	// fall into a pause of the callers must not all be sent after it.
	trialWindow = 0.1
	// minRequestLimit is the limit that is assumed for replicas that name a lower one. Without any request, no instance
	// could find out that the limit has ended.
	minRequestLimit = 0.1
	// maxLimitWait caps the time until an instance may send to the replica again. By then other instances may have
	// tokens left, or another replica may take the request.
	maxLimitWait = time.Second
	// limitTimerMargin is added to the time of the next token, so that rounding does not make a request wait again.
	limitTimerMargin = time.Millisecond
	// hintInterval is the time after a trial at the hint of another instance that found the limit still in force, in which
	// further hints are ignored. Peers are not authenticated, and hints must not lift a limit.
	hintInterval = 10 * time.Second
	// minLoggedLimitChange is the relative change of a named limit from which it is logged. A replica may name a slightly
	// different limit in each answer.
	minLoggedLimitChange = 0.1
)

// requestShare is the part of a replica's request limit that this instance may use.
type requestShare struct {
	// perSecond is the number of tokens a second, and burst how many tokens the bucket holds.
	perSecond, burst float64
	// trial is set for an instance that is not among the users of the limit.
	trial bool
}

// requestShare returns the part of a limit that this instance may use. The users are consecutive in the order of the
// instances, beginning at a position from 0 to 1. That order is the same for all replicas, so that an instance that may
// use one limited shard of an index may use the others as well: a request needs nearly all of them.
func (s *instanceSet) requestShare(limit, position float64) requestShare {
	limit = max(limit, minRequestLimit)
	instances := float64(max(s.count, 1))
	maxTokens := tokensPerLimit*limit + extraTokens
	users := math.Floor(min(instances, maxTokens, max(1, limit*maxTokenInterval.Seconds())))
	if others := instances - users; others > 0 {
		if offset := math.Mod(float64(s.rank)-math.Floor(position*instances)+instances, instances); offset >= users {
			return requestShare{perSecond: trialShare * usedShare * limit / others, burst: 1, trial: true}
		}
		limit *= 1 - trialShare
	}
	perSecond := usedShare * limit / users
	return requestShare{perSecond: perSecond, burst: max(1, min(maxTokens/users, perSecond*bucketTime.Seconds()))}
}

// requestLimit is the request rate that a replica has named in its last answer, and this instance's use of it.
type requestLimit struct {
	named bool
	// perSecond is how many requests a second the replica takes from all instances together.
	perSecond float64
	// position is where the users of the limit begin in the order of the instances.
	position float64
	// tokens is the number of tokens at the time refilled. It is negative after concurrent sends that each found the
	// last token.
	tokens   float64
	refilled time.Time
	// hinted is set from the hint of another instance that the limit has ended until the next answer. hintsFrom is when
	// hints are accepted again.
	hinted    bool
	hintsFrom time.Time
	// since is when the replica first named a limit, logged the limit that the log last had, and sends the number of
	// sends to the replica since then.
	since  time.Time
	logged float64
	sends  [sendKinds]int
}

// record records what an answer states about the limit. The limit ends with an answer that names none, unless that
// answer may not be the replica's own. The result reports whether other instances may not know yet that it has ended.
func (l *requestLimit) record(id fleet.ServerID, instances *instanceSet, now time.Time, outcome *Outcome) (ended bool) {
	if outcome.RequestLimit != nil && l.hinted {
		l.hinted, l.hintsFrom = false, now.Add(hintInterval)
	}
	switch {
	case outcome.RequestLimit != nil && !l.named:
		l.named, l.perSecond, l.since, l.logged, l.sends = true, *outcome.RequestLimit, now, *outcome.RequestLimit, [sendKinds]int{}
		if l.refilled.IsZero() { // the instances begin at different levels, so that their tokens do not come at the same time
			l.tokens, l.refilled = float64(instances.rank)/float64(max(instances.count, 1)), now
		}
		share := instances.requestShare(l.perSecond, l.position)
		klog.InfoS("Replica named a request limit", "replica", id, "per-second", l.perSecond, "share", share.perSecond, "trial", share.trial, "instances", instances.count)
	case outcome.RequestLimit != nil:
		l.refill(instances, now)
		l.perSecond = *outcome.RequestLimit
		if math.Abs(l.perSecond-l.logged) > minLoggedLimitChange*l.logged {
			l.logged = l.perSecond
			klog.InfoS("Replica changed its request limit", "replica", id, "per-second", l.perSecond)
		}
	case l.named && outcome.answered() && outcome.Reason != verdict.BadAnswer && outcome.Reason != verdict.Misdirected:
		ended = !l.hinted
		l.named, l.hinted = false, false
		klog.InfoS("Replica ended its request limit", "replica", id, "per-second", l.perSecond, "after", now.Sub(l.since).Round(time.Millisecond),
			"first", l.sends[FirstSend], "hedges", l.sends[HedgeSend], "retries", l.sends[RetrySend])
	}
	return ended
}

// hint lets this instance send the replica a request at once, to find out whether its limit has ended as another
// instance says. It reports whether the hint was accepted.
func (l *requestLimit) hint(instances *instanceSet, now time.Time) bool {
	if !l.named || l.hinted || now.Before(l.hintsFrom) {
		return false
	}
	l.refill(instances, now)
	l.tokens = max(l.tokens, 1)
	l.hinted = true
	return true
}

// refill adds the tokens of the time since the last refill and returns this instance's share.
func (l *requestLimit) refill(instances *instanceSet, now time.Time) requestShare {
	share := instances.requestShare(l.perSecond, l.position)
	l.tokens += share.perSecond * max(0, now.Sub(l.refilled).Seconds())
	l.refilled = now
	switch {
	case !share.trial || l.hinted:
		l.tokens = min(l.tokens, share.burst)
	case l.tokens > 1+trialWindow:
		l.tokens = math.Mod(l.tokens, 1)
	}
	return share
}

// nextAt returns the earliest time at which this instance may send to the replica, and maxLimitWait from now if that is
// later.
func (l *requestLimit) nextAt(instances *instanceSet, now time.Time) time.Time {
	if !l.named {
		return now
	}
	share := l.refill(instances, now)
	if l.tokens >= 1 {
		return now
	}
	wait := min((1-l.tokens)/share.perSecond, maxLimitWait.Seconds())
	return now.Add(time.Duration(wait*float64(time.Second)) + limitTimerMargin)
}

// take counts a send.
func (l *requestLimit) take(instances *instanceSet, now time.Time, kind SendKind) {
	if l.named {
		l.refill(instances, now)
		l.tokens--
		l.sends[kind]++
	}
}

// setLimitPosition sets where the users of the replica's request limit begin. The replicas of a service have different
// users, so that as many instances as possible may use one of them.
func (h *replicaHealth) setLimitPosition(position float64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.requestLimit.position = position
}

// limited reports whether the replica names a request limit.
func (h *replicaHealth) limited() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.requestLimit.named
}

// hintLimitEnded tells the replica's limit that it has ended according to another instance, and reports whether the hint
// was accepted.
func (h *replicaHealth) hintLimitEnded(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.requestLimit.hint(h.instances.Load(), now)
}
