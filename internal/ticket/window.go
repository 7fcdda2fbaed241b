package ticket

import (
	"time"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// window holds the tickets of one incarnation in the order of their sequence numbers, which start at
// 0. Its user holds a lock. A sequence number below low has left the window and never runs.
type window struct {
	most  int
	valid time.Duration
	low   uint64
	// entries holds the sequence numbers from low on.
	entries []*entry
	// used has a bit for each of the last usedBits sequence numbers, so that a ticket that left the
	// window unused is still known not to have run.
	used []uint64
	// remembered lists the entries with an answer or a coverage from the oldest on; bytes is the sum of their sizes.
	remembered []*entry
	bytes      int
	mostBytes  int
}

const usedBits = 1 << 20

// entry is one issued ticket; run is nil until the first use.
type entry struct {
	issued time.Time
	digest Digest
	run    *run
	// gone is set when the entry has left the window.
	gone bool
}

// run is one execution. The outcome does not change after done is closed, so that those who waited
// get it also when the window drops it at once.
type run struct {
	done    chan struct{}
	outcome Outcome
}

func newWindow(settings Settings) window {
	return window{
		most: settings.WindowCount, valid: settings.Valid, mostBytes: settings.OutcomeBytes,
		used: make([]uint64, usedBits/64),
	}
}

func (w *window) next() uint64 { return w.low + uint64(len(w.entries)) }

func (w *window) issue(now time.Time) uint64 {
	sequence := w.next()
	w.used[sequence%usedBits/64] &^= 1 << (sequence % 64)
	w.entries = append(w.entries, &entry{issued: now})
	w.trim(now)
	return sequence
}

// trim drops the oldest entries. A used one stays until twice the time of validity, because its
// caller still repeats it then; an unused one needs no entry once it is past its time.
func (w *window) trim(now time.Time) {
	for len(w.entries) > 0 {
		oldest := w.entries[0]
		keep := w.valid
		if oldest.run != nil {
			keep *= 2
		}
		if len(w.entries) <= w.most && now.Sub(oldest.issued) < keep {
			return
		}
		oldest.gone = true
		w.forget(oldest)
		w.entries[0] = nil
		w.entries = w.entries[1:]
		w.low++
	}
}

// find returns the entry of a ticket that may be used or repeated. Whoever gets a refusal with NotRun
// relies on it that the ticket never runs afterwards; time and low only grow.
func (w *window) find(sequence uint64, now time.Time) (*entry, *verdict.Error) {
	if sequence >= w.next() {
		return nil, unknown("this incarnation has not issued the ticket")
	}
	if sequence < w.low {
		return nil, w.expired(sequence)
	}
	found := w.entries[sequence-w.low]
	if found.run == nil && now.Sub(found.issued) >= w.valid {
		return nil, w.expired(sequence)
	}
	return found, nil
}

func (w *window) expired(sequence uint64) *verdict.Error {
	known := w.next()-sequence <= usedBits
	if known && w.used[sequence%usedBits/64]&(1<<(sequence%64)) == 0 {
		return verdict.New(verdict.NotRun, verdict.TicketExpired, "the ticket was never used and is past its time")
	}
	return verdict.New(verdict.MayHaveRun, verdict.TicketExpired, "the ticket is outside the window")
}

// use binds an unused ticket to a request.
func (w *window) use(sequence uint64, found *entry, digest Digest) {
	w.used[sequence%usedBits/64] |= 1 << (sequence % 64)
	found.digest = digest
	found.run = &run{done: make(chan struct{})}
}

// settle sets the outcome and drops the oldest answers above the bound.
func (w *window) settle(found *entry, outcome Outcome) {
	found.run.outcome = outcome
	close(found.run.done)
	if size := outcome.size(); size > 0 && !found.gone {
		w.remembered = append(w.remembered, found)
		w.bytes += size
	}
	for len(w.remembered) > 0 && (w.bytes > w.mostBytes || w.remembered[0].gone) {
		w.forget(w.remembered[0])
		w.remembered[0] = nil
		w.remembered = w.remembered[1:]
	}
}

// forget drops the answer of an entry, or a refusal's coverage.
func (w *window) forget(found *entry) {
	if found.run == nil || !found.run.ended() || found.run.outcome.size() == 0 {
		return
	}
	w.bytes -= found.run.outcome.size()
	found.run = &run{done: found.run.done, outcome: found.run.outcome.reduced()}
}

func (r *run) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}
