// Package memory accounts for the bytes that a process holds for messages of others, so that many large messages at
// once cannot exhaust its memory.
//
// An account is a counter, not an allocator: a reader takes bytes before it allocates them and returns them by closing
// its reservation. The package does no I/O of its own and never waits.
package memory

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// ErrFull is returned by a read for which the account has no room.
var ErrFull = errors.New("memory limit for messages reached")

// ErrTooLong is returned by a read of a message that exceeds its length limit.
var ErrTooLong = errors.New("message exceeds its length limit")

// Account limits the bytes that may be held at the same time. It is safe for concurrent use. Reservations of a nil
// account are not limited.
type Account struct {
	limit      int64
	used, peak atomic.Int64
	// parent is the account in which the bytes count as well; nil for none.
	parent *Account
}

// New returns an account with a limit in bytes.
func New(limit int64) *Account { return &Account{limit: limit} }

// Child returns an account whose limit is that of this one divided by divisor. Bytes taken from the child count in both
// accounts, so that one purpose cannot use up what others need. The child of a nil account is nil.
func (a *Account) Child(divisor int64) *Account {
	if a == nil {
		return nil
	}
	return &Account{limit: a.limit / divisor, parent: a}
}

// Used returns the bytes that are currently taken.
func (a *Account) Used() int64 { return a.used.Load() }

// Peak returns the most bytes that were taken at the same time.
func (a *Account) Peak() int64 { return a.peak.Load() }

// NearlyFull reports whether less than an eighth is left in the account or one of its parents, so that new work should
// be refused.
func (a *Account) NearlyFull() bool {
	return a != nil && (a.used.Load() > a.limit-a.limit/8 || a.parent.NearlyFull())
}

func (a *Account) take(bytes int64) bool {
	used := a.used.Add(bytes)
	if used > a.limit || a.parent != nil && !a.parent.take(bytes) {
		a.used.Add(-bytes)
		return false
	}
	for {
		peak := a.peak.Load()
		if used <= peak || a.peak.CompareAndSwap(peak, used) {
			return true
		}
	}
}

func (a *Account) release(bytes int64) {
	a.used.Add(-bytes)
	if a.parent != nil {
		a.parent.release(bytes)
	}
}

// OpenReservation returns an empty reservation.
func (a *Account) OpenReservation() *Reservation { return &Reservation{account: a} }

// Reservation is the bytes that one task has taken from an account. It is safe for concurrent use. A nil reservation is
// not limited.
type Reservation struct {
	account *Account
	mutex   sync.Mutex
	taken   int64
	closed  bool
}

// Take takes bytes from the account and reports whether it could. It takes none if the account has no room for all of
// them or the reservation is closed.
func (r *Reservation) Take(bytes int) bool {
	if r == nil || r.account == nil {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed || !r.account.take(int64(bytes)) {
		return false
	}
	r.taken += int64(bytes)
	return true
}

// Close returns all taken bytes to the account. Further calls do nothing.
func (r *Reservation) Close() {
	if r == nil || r.account == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.account.release(r.taken)
	r.taken, r.closed = 0, true
}

// uncountedBytes is the size up to which a message is read without taking anything from the account: most messages are
// smaller, and the buffer of a connection is as large.
const uncountedBytes = 4 << 10

// ReadAll reads until EOF. The buffer grows with the bytes that have arrived, whatever length was announced, and each
// growth is taken by reserve first. expected is the announced length, or negative if unknown; limit is the length limit
// of the message. With ErrFull it also returns what has arrived.
func ReadAll(reader io.Reader, expected, limit int64, reserve func(bytes int) bool) ([]byte, error) {
	if expected > limit {
		return nil, ErrTooLong
	}
	size := int64(uncountedBytes)
	if expected >= 0 {
		size = min(size, expected+1) // one more byte, so that EOF is read without growing the buffer
	}
	text := make([]byte, 0, size)
	for {
		n, err := reader.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		switch {
		case int64(len(text)) > limit:
			return nil, ErrTooLong
		case err == io.EOF:
			return text, nil
		case err != nil:
			return nil, err
		case len(text) < cap(text):
			continue
		}
		larger := min(int64(cap(text))*2, limit+1)
		if !reserve(int(larger) - cap(text)) {
			return text, ErrFull
		}
		text = append(make([]byte, 0, larger), text...)
	}
}
