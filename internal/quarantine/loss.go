package quarantine

import (
	"slices"
	"time"
)

const (
	// lossTTL is how long a lost answer may turn out to be due to a crash: a replica that starts again registers within
	// some heartbeats.
	lossTTL = 15 * time.Second
	// maxLosses bounds the losses that are kept; the oldest are forgotten first.
	maxLosses = 512
)

// loss is a request that ended without an answer of the replica at the address, which may have crashed.
type loss struct {
	identity Fingerprint
	address  string
	crash    Crash
}

// RecordLoss records that a request ended without an answer of the replica at the address. If another process registers
// with that address soon, the replica had crashed, also if it refused no connection or was taken for running since.
func (l *Ledger) RecordLoss(identity Fingerprint, address string, crash Crash) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	expired := 0
	for expired < len(l.losses) && (crash.At.Sub(l.losses[expired].crash.At) > lossTTL || len(l.losses)-expired >= maxLosses) {
		expired++
	}
	l.losses = append(slices.Delete(l.losses, 0, expired), loss{identity, address, crash})
	l.lost.Store(int32(len(l.losses)))
}

// HasLosses reports whether ConfirmLosses may find something. It takes no lock.
func (l *Ledger) HasLosses() bool { return l.lost.Load() > 0 }

// ConfirmLosses records a crash for each loss whose replica has been replaced: startedAt returns the start time, in Unix
// milliseconds, of the process that is registered with an address, and 0 if there is none.
func (l *Ledger) ConfirmLosses(startedAt func(address string) int64, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.losses = slices.DeleteFunc(l.losses, func(lost loss) bool {
		replaced := startedAt(lost.address) > lost.crash.StartedAt
		if replaced {
			l.recordCrash(lost.identity, lost.crash)
		}
		return replaced || now.Sub(lost.crash.At) > lossTTL
	})
	l.lost.Store(int32(len(l.losses)))
}
