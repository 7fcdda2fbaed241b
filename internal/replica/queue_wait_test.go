package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// TestQueuedPartIsRefusedBehindHungCall guards against a part that waits until its deadline behind a call that hangs.
// Its coordinator would then have no time left to try another replica or to refuse the query.
func TestQueuedPartIsRefusedBehindHungCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(1, 1)
		h.warmUp("s0")
		h.servers["s0"].update(func(b *fakeServer) { b.ignoresCancel, b.serviceTime = true, time.Second })
		const left = 400 * time.Millisecond
		h.send("s0", 1, left, nil)
		synctest.Wait()
		h.send("s0", 1, left, nil)
		time.Sleep(left / 2)
		is.Equal(h.countReasons()[verdict.Overloaded], 1)
		time.Sleep(time.Second)
		is.Equal(len(h.takeResults()), 1)
	})
}

// TestQueuedPartRunsWhileQueueDrains guards against a part that is removed from the queue although the calls ahead of
// it end as fast as expected.
func TestQueuedPartRunsWhileQueueDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(1, 1)
		h.warmUp("s0")
		h.send("s0", 30, 400*time.Millisecond, nil) // 10 ms each
		time.Sleep(time.Second)
		is.Equal(h.countReasons()[verdict.None], 30)
	})
}
