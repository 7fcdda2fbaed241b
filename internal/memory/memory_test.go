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

// TestReadAll guards against a message that is cut or longer than allowed, against memory that is taken for more than has
// arrived, and against one that finds no room although its own size is free.
func TestReadAll(t *testing.T) {
	errCut := errors.New("cut")
	whole := func(size int) io.Reader { return strings.NewReader(strings.Repeat("x", size)) }
	for name, test := range map[string]struct {
		reader         io.Reader
		expected, most int64
		room           int64
		size           int
		err            error
	}{
		"empty":                      {whole(0), 0, 100, 0, 0, nil},
		"small, nothing is taken":    {whole(uncounted - 1), uncounted - 1, 1 << 20, 0, uncounted - 1, nil},
		"small, length not known":    {whole(300), -1, 1 << 20, 0, 300, nil},
		"large, just enough room":    {whole(1 << 20), 1 << 20, 1 << 20, 1 << 20, 1 << 20, nil},
		"large, byte by byte":        {iotest.OneByteReader(whole(20000)), -1, 1 << 20, 1 << 20, 20000, nil},
		"announced too long":         {whole(0), 101, 100, 1 << 20, 0, ErrTooLong},
		"too long":                   {whole(1 << 20), -1, 1000, 1 << 20, 0, ErrTooLong},
		"without end":                {io.MultiReader(whole(1<<20), iotest.ErrReader(errCut)), -1, 1000, 1 << 20, 0, ErrTooLong},
		"cut":                        {io.MultiReader(whole(10000), iotest.ErrReader(errCut)), -1, 1 << 20, 1 << 20, 0, errCut},
		"no room":                    {whole(1 << 20), -1, 1 << 21, 100_000, 1 << 16, ErrFull},
		"much announced, few arrive": {whole(100), 1 << 30, 1 << 31, 0, 100, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			account := New(test.room)
			held := account.Open()
			text, err := ReadAll(test.reader, test.expected, test.most, held.Take)
			is.Equal(err, test.err)
			is.Equal(len(text), test.size)
			is.True(bytes.Count(text, []byte("x")) == len(text))
			is.True(account.Peak() <= test.room)
			held.Close()
			held.Close() // a second call gives nothing back
			is.Equal(account.Used(), int64(0))
		})
	}
}

// TestPart guards against one purpose that takes what others need, and against bytes that are given back to one account only.
func TestPart(t *testing.T) {
	is := is.New(t)
	whole := New(1000)
	first, second := whole.Part(4), whole.Part(1)
	one, two := first.Open(), second.Open()
	is.True(one.Take(250))
	is.True(!one.Take(1))
	is.True(first.Full())
	is.True(!whole.Full() && !second.Full())
	is.True(two.Take(750))
	is.True(!two.Take(1)) // the whole has no more
	is.True(second.Full())
	one.Close()
	is.True(two.Take(250))
	two.Close()
	is.Equal(whole.Used(), int64(0))
	is.True(!one.Take(1)) // closed

	var none *Account
	unbounded := none.Part(4).Open()
	is.True(unbounded.Take(1 << 40))
	unbounded.Close()
	is.True(!none.Full())
}
