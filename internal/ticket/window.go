package ticket

import (
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// window holds the latest tickets of one incarnation by their sequence numbers, which start at 0. A ticket with a
// number below firstSequence has been evicted and is never executed. The window is guarded by the lock of its Runner.
type window struct {
	maxTickets    int
	ttl           time.Duration
	firstSequence uint64
	// entries holds the tickets with consecutive sequence numbers from firstSequence on.
	entries []*windowEntry
	// used has a bit for each of the last usedHistory sequence numbers, which is set once the ticket has been used. It
	// shows that a ticket that was evicted unused has not run.
	used []uint64
	// retained lists the entries whose answer or coverage is kept, in the order of completion; retainedBytes is the sum
	// of their sizes.
	retained         []*windowEntry
	retainedBytes    int
	maxRetainedBytes int
}

// usedHistory is the number of the latest sequence numbers for which the window knows whether the ticket was used.
const usedHistory = 1 << 20

// windowEntry is one issued ticket; execution is nil until its first use.
type windowEntry struct {
	issued    time.Time
	digest    Digest
	execution *execution
	evicted   bool
}

// execution is the execution of a ticket's request. The outcome does not change after done is closed, so that callers
// that waited for it get it even if the window drops it at once.
type execution struct {
	done    chan struct{}
	outcome Outcome
}

func newWindow(settings Settings) window {
	return window{
		maxTickets: settings.MaxTickets, ttl: settings.TTL, maxRetainedBytes: settings.MaxOutcomeBytes,
		used: make([]uint64, usedHistory/64),
	}
}

func (w *window) nextSequence() uint64 { return w.firstSequence + uint64(len(w.entries)) }

// issue adds a ticket to the window and returns its sequence number.
func (w *window) issue(now time.Time) uint64 {
	sequence := w.nextSequence()
	w.used[sequence%usedHistory/64] &^= 1 << (sequence % 64)
	w.entries = append(w.entries, &windowEntry{issued: now})
	w.evict(now)
	return sequence
}

// evict removes the oldest entries while there are more than maxTickets or the oldest one is past its retention. A used
// ticket is retained for twice the TTL, because its caller may still retry after the TTL; an unused one for the TTL.
func (w *window) evict(now time.Time) {
	for len(w.entries) > 0 {
		oldest := w.entries[0]
		retention := w.ttl
		if oldest.execution != nil {
			retention *= 2
		}
		if len(w.entries) <= w.maxTickets && now.Sub(oldest.issued) < retention {
			return
		}
		oldest.evicted = true
		w.dropResult(oldest)
		w.entries[0] = nil
		w.entries = w.entries[1:]
		w.firstSequence++
	}
}

// find returns the entry of a ticket that may be used or retried. After a refusal with NotRun the ticket must never be
// executed; this holds because time and firstSequence only increase.
func (w *window) find(sequence uint64, now time.Time) (*windowEntry, *verdict.Error) {
	if sequence >= w.nextSequence() {
		return nil, unknownTicket("this incarnation has not issued the ticket's sequence number")
	}
	if sequence < w.firstSequence {
		return nil, w.expiredRefusal(sequence)
	}
	entry := w.entries[sequence-w.firstSequence]
	if entry.execution == nil && now.Sub(entry.issued) >= w.ttl {
		return nil, w.expiredRefusal(sequence)
	}
	return entry, nil
}

// expiredRefusal returns the refusal of an expired ticket: NotRun if it is known to be unused, MayHaveRun otherwise.
func (w *window) expiredRefusal(sequence uint64) *verdict.Error {
	recorded := w.nextSequence()-sequence <= usedHistory
	if recorded && w.used[sequence%usedHistory/64]&(1<<(sequence%64)) == 0 {
		return verdict.New(verdict.NotRun, verdict.TicketExpired, "the ticket expired unused")
	}
	return verdict.New(verdict.MayHaveRun, verdict.TicketExpired, "the ticket expired, and its outcome, if any, is no longer held")
}

// bind binds an unused ticket to the request with this digest and gives it an unfinished execution.
func (w *window) bind(sequence uint64, entry *windowEntry, digest Digest) {
	w.used[sequence%usedHistory/64] |= 1 << (sequence % 64)
	entry.digest = digest
	entry.execution = &execution{done: make(chan struct{})}
}

// complete finishes the entry's execution with the outcome and drops the oldest retained answers and coverages over
// maxRetainedBytes.
func (w *window) complete(entry *windowEntry, outcome Outcome) {
	entry.execution.outcome = outcome
	close(entry.execution.done)
	if size := outcome.size(); size > 0 && !entry.evicted {
		w.retained = append(w.retained, entry)
		w.retainedBytes += size
	}
	for len(w.retained) > 0 && (w.retainedBytes > w.maxRetainedBytes || w.retained[0].evicted) {
		w.dropResult(w.retained[0])
		w.retained[0] = nil
		w.retained = w.retained[1:]
	}
}

// dropResult drops the answer or the coverage of an entry whose execution has finished. It replaces the execution, so
// that callers that waited for the old one keep its outcome.
func (w *window) dropResult(entry *windowEntry) {
	if entry.execution == nil || !entry.execution.finished() || entry.execution.outcome.size() == 0 {
		return
	}
	w.retainedBytes -= entry.execution.outcome.size()
	entry.execution = &execution{done: entry.execution.done, outcome: entry.execution.outcome.withoutResult()}
}

// finished reports whether the outcome is set.
func (e *execution) finished() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}
