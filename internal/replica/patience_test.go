package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// Guards against a part that waits until its deadline behind a call that hangs: its coordinator could then neither
// try another replica nor refuse in time.
func TestQueuedPartLeavesTimeBehindAHungCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, 1)
		r.warm("s0")
		r.servers["s0"].set(func(b *backend) { b.ignoresCancel, b.took = true, time.Second })
		const left = 400 * time.Millisecond
		r.send("s0", 1, left, nil)
		synctest.Wait()
		r.send("s0", 1, left, nil)
		time.Sleep(left / 2)
		is.Equal(r.reasons()[verdict.Overloaded], 1)
		time.Sleep(time.Second)
		is.Equal(len(r.take()), 1)
	})
}

// Guards against a part that leaves the queue although the calls ahead end as fast as they were expected to.
func TestQueuedPartStaysWhileTheQueueMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, 1)
		r.warm("s0")
		r.send("s0", 30, 400*time.Millisecond, nil) // 10 ms each
		time.Sleep(time.Second)
		is.Equal(r.reasons()[verdict.None], 30)
	})
}
