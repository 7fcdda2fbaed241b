package memory

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// TestReadAll guards against a truncated message or one that is longer than allowed, against memory that is taken for
// more than has arrived, and against a message that is rejected although there is room for its size.
func TestReadAll(t *testing.T) {
	errCut := errors.New("cut")
	message := func(size int) io.Reader { return strings.NewReader(strings.Repeat("x", size)) }
	for name, test := range map[string]struct {
		reader          io.Reader
		expected, limit int64
		room            int64
		size            int
		err             error
	}{
		"empty":                      {message(0), 0, 100, 0, 0, nil},
		"small, nothing is taken":    {message(uncountedBytes - 1), uncountedBytes - 1, 1 << 20, 0, uncountedBytes - 1, nil},
		"small, length not known":    {message(300), -1, 1 << 20, 0, 300, nil},
		"large, just enough room":    {message(1 << 20), 1 << 20, 1 << 20, 1 << 20, 1 << 20, nil},
		"large, byte by byte":        {iotest.OneByteReader(message(20000)), -1, 1 << 20, 1 << 20, 20000, nil},
		"announced too long":         {message(0), 101, 100, 1 << 20, 0, ErrTooLong},
		"too long":                   {message(1 << 20), -1, 1000, 1 << 20, 0, ErrTooLong},
		"without end":                {io.MultiReader(message(1<<20), iotest.ErrReader(errCut)), -1, 1000, 1 << 20, 0, ErrTooLong},
		"cut":                        {io.MultiReader(message(10000), iotest.ErrReader(errCut)), -1, 1 << 20, 1 << 20, 0, errCut},
		"no room":                    {message(1 << 20), -1, 1 << 21, 100_000, 1 << 16, ErrFull},
		"much announced, few arrive": {message(100), 1 << 30, 1 << 31, 0, 100, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			account := New(test.room)
			held := account.OpenReservation()
			text, err := ReadAll(test.reader, test.expected, test.limit, held.Take)
			is.Equal(err, test.err)
			is.Equal(len(text), test.size)
			is.True(bytes.Count(text, []byte("x")) == len(text))
			is.True(account.Peak() <= test.room)
			held.Close()
			held.Close() // a second call returns nothing to the account
			is.Equal(account.Used(), int64(0))
		})
	}
}

// TestChild guards against one purpose that takes what others need, and against bytes that are returned to one account
// only.
func TestChild(t *testing.T) {
	is := is.New(t)
	parent := New(1000)
	first, second := parent.Child(4), parent.Child(1)
	one, two := first.OpenReservation(), second.OpenReservation()
	is.True(one.Take(250))
	is.True(!one.Take(1))
	is.True(first.NearlyFull())
	is.True(!parent.NearlyFull() && !second.NearlyFull())
	is.True(two.Take(750))
	is.True(!two.Take(1)) // the parent has no room left
	is.True(second.NearlyFull())
	one.Close()
	is.True(two.Take(250))
	two.Close()
	is.Equal(parent.Used(), int64(0))
	is.True(!one.Take(1)) // closed

	var none *Account
	unbounded := none.Child(4).OpenReservation()
	is.True(unbounded.Take(1 << 40))
	unbounded.Close()
	is.True(!none.NearlyFull())
}
