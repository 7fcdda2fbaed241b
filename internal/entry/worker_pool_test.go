package entry

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestWorkers guards against work that waits for a busy worker, work that is lost, and workers that do not end when
// idle: synctest fails the test if a goroutine remains.
func TestWorkers(t *testing.T) {
	synctest.Test(t, func(_ *testing.T) {
		w := newWorkerPool()
		for range 3 {
			var group sync.WaitGroup
			release := make(chan struct{})
			group.Add(20)
			for range 20 {
				w.run(func() {
					<-release // if run waited for a busy worker, release would never be closed
					group.Done()
				})
			}
			close(release)
			group.Wait()
			synctest.Wait()
			time.Sleep(workerIdleTimeout / 2)
		}
		time.Sleep(2 * workerIdleTimeout)
	})
}
