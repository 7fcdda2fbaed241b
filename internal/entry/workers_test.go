package entry

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestWorkers guards against work that waits for a busy worker, work that is lost, and workers that stay behind:
// a goroutine that is left fails the bubble.
func TestWorkers(t *testing.T) {
	synctest.Test(t, func(_ *testing.T) {
		w := newWorkers()
		for range 3 {
			var group sync.WaitGroup
			release := make(chan struct{})
			group.Add(20)
			for range 20 {
				w.run(func() {
					<-release // all 20 run at the same time, or nothing goes on
					group.Done()
				})
			}
			close(release)
			group.Wait()
			synctest.Wait()
			time.Sleep(workerIdle / 2)
		}
		time.Sleep(2 * workerIdle)
	})
}
