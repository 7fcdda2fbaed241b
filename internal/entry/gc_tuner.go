package entry

// Adjusts the garbage collector's target percentage (GOGC) to the load. An entry instance has a live heap of a few
// megabytes, so with the runtime's default a collection starts after every few megabytes of allocation, several times a
// second under load. While queries run, more garbage is allowed; an idle instance returns to the default, because it
// must use little memory.

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	gcTuneInterval = time.Second
	// minBusyBytes is the least allocation in an interval of an instance that is under load. Heartbeats, reads of the
	// instance list and status requests allocate well below it.
	minBusyBytes = 1 << 20
	// maxQuietIntervals is the number of consecutive intervals without load after which the percentage returns to the
	// default. A pause between two bursts is shorter.
	maxQuietIntervals = 5
	// maxGarbageBytes is the garbage that may accumulate between two collections under load. The percentage is derived
	// from it, between defaultGCPercent and maxGCPercent.
	maxGarbageBytes = 24 << 20
	// minBusyIntervals is the number of consecutive intervals under load after which the percentage is raised. The
	// start of the process allocates much for a second and does not count as load.
	minBusyIntervals = 2
	defaultGCPercent = 100
	maxGCPercent     = 800
)

// gcTuner computes the garbage collector's target percentage from the allocation rate of the process.
type gcTuner struct {
	percent     int
	busy, quiet int
}

// next returns the percentage for the next interval, and whether it changed. allocated is the number of bytes allocated
// in the last interval, and live the size of the live heap in bytes.
func (c *gcTuner) next(allocated, live uint64) (percent int, changed bool) {
	if allocated < minBusyBytes {
		c.quiet++
		c.busy = 0
	} else {
		c.busy++
		c.quiet = 0
	}
	wanted := defaultGCPercent
	if c.quiet < maxQuietIntervals && (c.busy >= minBusyIntervals || c.percent > defaultGCPercent) {
		wanted = int(min(max(maxGarbageBytes*100/max(live, 1), defaultGCPercent), maxGCPercent))
	}
	if allocated < minBusyBytes && wanted > c.percent {
		wanted = c.percent // only an interval under load raises the percentage
	}
	// Setting the percentage stops the world briefly, so changes of less than a quarter are skipped.
	if wanted == c.percent || wanted != defaultGCPercent && wanted > c.percent*3/4 && wanted < c.percent*5/4 {
		return c.percent, false
	}
	c.percent = wanted
	return wanted, true
}

// tuneGC adjusts the percentage once per gcTuneInterval until ctx ends. It does nothing if the operator has set GOGC.
func tuneGC(ctx context.Context) {
	if os.Getenv("GOGC") != "" {
		return
	}
	samples := []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}, {Name: "/gc/heap/live:bytes"}}
	c := gcTuner{percent: defaultGCPercent, quiet: maxQuietIntervals}
	metrics.Read(samples)
	before := samples[0].Value.Uint64()
	ticker := time.NewTicker(gcTuneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		metrics.Read(samples)
		allocated := samples[0].Value.Uint64() - before
		before += allocated
		percent, changed := c.next(allocated, samples[1].Value.Uint64())
		if !changed {
			continue
		}
		debug.SetGCPercent(percent)
		if percent == defaultGCPercent {
			debug.FreeOSMemory()
		}
	}
}
