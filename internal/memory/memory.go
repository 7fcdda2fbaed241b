// Package memory keeps an account of the bytes that a process holds for what others send it, so that many large messages at
// once cannot end it.
//
// The account is a count, not an allocator: whoever reads takes bytes before it holds them and gives them back with its
// reservation. It does no I/O and never waits.
package memory

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// ErrFull is the error of a read for which the account has no room.
var ErrFull = errors.New("no memory left for the message")

// ErrTooLong is the error of a read beyond its own bound.
var ErrTooLong = errors.New("the message is longer than allowed")

// Account is the bytes that may be held together. It is safe for concurrent use; nil stands for one without a bound.
type Account struct {
	limit      int64
	used, peak atomic.Int64
	// whole is the account that this one is a part of; nil for none.
	whole *Account
}

// New returns an account of the number of bytes.
func New(limit int64) *Account { return &Account{limit: limit} }

// Part returns an account of a part of this one, as a divisor. What is taken from it counts in both, so that one purpose cannot
// take what others need.
func (a *Account) Part(divisor int64) *Account {
	if a == nil {
		return nil
	}
	return &Account{limit: a.limit / divisor, whole: a}
}

// Used returns the bytes that are taken now.
func (a *Account) Used() int64 { return a.used.Load() }

// Peak returns the most bytes that were taken at a time.
func (a *Account) Peak() int64 { return a.peak.Load() }

// Full tells whether less than an eighth is left, here or in the whole, so that new work should be refused.
func (a *Account) Full() bool {
	return a != nil && (a.used.Load() > a.limit-a.limit/8 || a.whole.Full())
}

func (a *Account) take(bytes int64) bool {
	used := a.used.Add(bytes)
	if used > a.limit || a.whole != nil && !a.whole.take(bytes) {
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

func (a *Account) give(bytes int64) {
	a.used.Add(-bytes)
	if a.whole != nil {
		a.whole.give(bytes)
	}
}

// Open returns an empty reservation.
func (a *Account) Open() *Reservation { return &Reservation{account: a} }

// Reservation is what one task has taken. It is safe for concurrent use; nil stands for one without a bound.
type Reservation struct {
	account *Account
	mutex   sync.Mutex
	taken   int64
	closed  bool
}

// Take takes bytes. It fails if the account has no room or the reservation is closed.
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

// Close gives everything back. A second call does nothing.
func (r *Reservation) Close() {
	if r == nil || r.account == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.account.give(r.taken)
	r.taken, r.closed = 0, true
}

// uncounted is the size up to which a message is read without taking anything: most are smaller, and a connection's buffer
// holds as much.
const uncounted = 4 << 10

// ReadAll reads to the end. What is held grows with the bytes that have arrived, whatever length was announced, and is taken
// by reserve first; expected is that length or below 0, most the longest message. With ErrFull it returns what has arrived.
func ReadAll(reader io.Reader, expected, most int64, reserve func(bytes int) bool) ([]byte, error) {
	if expected > most {
		return nil, ErrTooLong
	}
	size := int64(uncounted)
	if expected >= 0 {
		size = min(size, expected+1) // one more to see the end without growing
	}
	text := make([]byte, 0, size)
	for {
		n, err := reader.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		switch {
		case int64(len(text)) > most:
			return nil, ErrTooLong
		case err == io.EOF:
			return text, nil
		case err != nil:
			return nil, err
		case len(text) < cap(text):
			continue
		}
		larger := min(int64(cap(text))*2, most+1)
		if !reserve(int(larger) - cap(text)) {
			return text, ErrFull
		}
		text = append(make([]byte, 0, larger), text...)
	}
}
