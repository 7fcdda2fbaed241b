package lookup

import (
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

// minLoggedLimitChange is the relative change of a named limit from which it is logged. A replica may name a slightly
// different limit in each answer.
const minLoggedLimitChange = 0.1

// requestLimit is the request rate that a replica has named in its last answer.
type requestLimit struct {
	named bool
	// perSecond is how many requests a second the replica takes from all instances together.
	perSecond float64
	// since is when the replica first named a limit, logged the limit that the log last had, and sends the number of
	// sends to the replica since then.
	since  time.Time
	logged float64
	sends  [sendKinds]int
}

// record records what an answer states about the limit. The limit ends with an answer that names none, unless that
// answer may not be the replica's own.
func (l *requestLimit) record(id fleet.ServerID, now time.Time, outcome *Outcome) {
	switch {
	case outcome.RequestLimit != nil:
		l.perSecond = *outcome.RequestLimit
		if !l.named {
			l.named, l.since, l.logged, l.sends = true, now, l.perSecond, [sendKinds]int{}
			klog.InfoS("Replica named a request limit", "replica", id, "per-second", l.perSecond)
		} else if difference := l.perSecond - l.logged; max(difference, -difference) > minLoggedLimitChange*l.logged {
			l.logged = l.perSecond
			klog.InfoS("Replica changed its request limit", "replica", id, "per-second", l.perSecond)
		}
	case l.named && outcome.answered() && outcome.Reason != verdict.BadAnswer && outcome.Reason != verdict.Misdirected:
		l.named = false
		klog.InfoS("Replica ended its request limit", "replica", id, "per-second", l.perSecond, "after", now.Sub(l.since).Round(time.Millisecond),
			"first", l.sends[FirstSend], "hedges", l.sends[HedgeSend], "retries", l.sends[RetrySend])
	}
}

// countLimitedSend counts a send to the replica if it names a request limit, and reports whether it does.
func (h *replicaHealth) countLimitedSend(kind SendKind) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.requestLimit.sends[kind]++
	return h.requestLimit.named
}
