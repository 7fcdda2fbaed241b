package entry

import "time"

// workerIdle is how long a worker waits for its next part. It spans the pauses between parts under load, and an
// idle instance keeps no worker.
const workerIdle = time.Second

// workers run the parts. A worker's stack has grown to what a call needs; a new goroutine for each part would grow
// its own again, which cost a tenth of the processor time of a part.
type workers struct {
	waiting chan func()
}

func newWorkers() *workers {
	return &workers{waiting: make(chan func())}
}

// run runs the work on an idle worker, or on a new one if none is idle, and returns at once.
func (w *workers) run(work func()) {
	select {
	case w.waiting <- work:
	default:
		go w.serve(work)
	}
}

func (w *workers) serve(work func()) {
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		work()
		idle.Reset(workerIdle)
		select {
		case work = <-w.waiting:
		case <-idle.C:
			return
		}
	}
}
