package entry

import "time"

// workerIdleTimeout is how long a worker waits for its next task. It is longer than the pauses between parts under
// load, and short enough that an idle instance keeps no workers.
const workerIdleTimeout = time.Second

// workerPool runs parts on reusable goroutines. The stack of a worker has already grown to the size that a call needs,
// whereas a new goroutine for each part would have to grow its stack again, which took a tenth of the CPU time of a
// part. It is safe for concurrent use.
type workerPool struct {
	tasks chan func()
}

func newWorkerPool() *workerPool {
	return &workerPool{tasks: make(chan func())}
}

// run starts the work on an idle worker, or on a new one if none is idle, and returns immediately.
func (w *workerPool) run(work func()) {
	select {
	case w.tasks <- work:
	default:
		go w.runWorker(work)
	}
}

// runWorker runs work and then further tasks until none arrives within workerIdleTimeout.
func (w *workerPool) runWorker(work func()) {
	idle := time.NewTimer(workerIdleTimeout)
	defer idle.Stop()
	for {
		work()
		idle.Reset(workerIdleTimeout)
		select {
		case work = <-w.tasks:
		case <-idle.C:
			return
		}
	}
}
