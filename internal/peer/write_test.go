package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWritesToASlowReader guards against frames that are lost, mixed or out of order when the kernel accepts only part
// of what a sender writes, and against a sender that waits for the reader.
func TestWritesToASlowReader(t *testing.T) {
	check := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	defer func() { _ = listener.Close() }()
	near, err := net.Dial("tcp", listener.Addr().String())
	check.NoErr(err)
	far, err := listener.Accept()
	check.NoErr(err)
	defer func() { _ = far.Close() }()
	limits := Limits{SilenceTimeout: 5 * time.Second}.withDefaults()
	s := newStream(near, limits)
	s.maxFrameBytes.Store(int64(limits.MaxFrameBytes))
	defer func() { _ = s.Close() }()
	const senders, frames, size = 4, 60, 40 << 10
	var group sync.WaitGroup
	for sender := range senders {
		group.Go(func() {
			for n := range frames {
				body := append(bytes.Repeat([]byte{'x'}, size), fmt.Sprintf("%d-%03d", sender, n)...)
				if err := s.enqueue(outboundFrame{body, nil}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait() // nothing was read, and 9 MB do not fit into the kernel's buffers
	next := make([]int, senders)
	for range senders * frames {
		var header [frameHeaderBytes]byte
		_, err := io.ReadFull(far, header[:])
		check.NoErr(err)
		body := make([]byte, binary.BigEndian.Uint32(header[:]))
		_, err = io.ReadFull(far, body)
		check.NoErr(err)
		var sender, n int
		_, err = fmt.Sscanf(string(body[size:]), "%d-%d", &sender, &n)
		check.NoErr(err)
		check.Equal(n, next[sender])
		next[sender]++
	}
}
