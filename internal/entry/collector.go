package entry

// The pace of the garbage collector. An entry instance has a live heap of a few megabytes, so at the runtime's
// default a collection starts every few megabytes of garbage, several times a second under load. While queries
// run, more garbage is allowed; an idle instance goes back to the default, because it must stay small.

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	collectorInterval = time.Second
	// busyBytes is the allocation per interval from which an instance counts as busy. Heartbeats, the instance list
	// and status requests allocate well below it.
	busyBytes = 1 << 20
	// quietIntervals without load end the larger allowance, so that a pause between two bursts does not.
	quietIntervals = 5
	// garbageBytes is how much garbage may come together under load.
	garbageBytes = 24 << 20
	// busyIntervals of load begin it. A start allocates much for a second and is no load.
	busyIntervals  = 2
	defaultPercent = 100
	mostPercent    = 800
)

// collector decides the garbage collector's percentage from what the process allocates.
type collector struct {
	percent     int
	busy, quiet int
}

// next returns the percentage for the following interval, and whether it changed.
func (c *collector) next(allocated, live uint64) (percent int, changed bool) {
	if allocated < busyBytes {
		c.quiet++
		c.busy = 0
	} else {
		c.busy++
		c.quiet = 0
	}
	wanted := defaultPercent
	if c.quiet < quietIntervals && (c.busy >= busyIntervals || c.percent > defaultPercent) {
		wanted = int(min(max(garbageBytes*100/max(live, 1), defaultPercent), mostPercent))
	}
	if allocated < busyBytes && wanted > c.percent {
		wanted = c.percent // only load raises it
	}
	// A change stops the world for a moment, so small ones are left out.
	if wanted == c.percent || wanted != defaultPercent && wanted > c.percent*3/4 && wanted < c.percent*5/4 {
		return c.percent, false
	}
	c.percent = wanted
	return wanted, true
}

// paceCollector follows the load until ctx ends. A percentage that the operator has set stays.
func paceCollector(ctx context.Context) {
	if os.Getenv("GOGC") != "" {
		return
	}
	samples := []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}, {Name: "/gc/heap/live:bytes"}}
	c := collector{percent: defaultPercent, quiet: quietIntervals}
	metrics.Read(samples)
	before := samples[0].Value.Uint64()
	ticker := time.NewTicker(collectorInterval)
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
		if percent == defaultPercent {
			debug.FreeOSMemory()
		}
	}
}
