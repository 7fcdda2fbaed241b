package schedule

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	singles = 5
	pairs   = 2
	// runBound ends a run in any case.
	runBound = 140 * time.Second
)

// drawn returns the faults of a seed: the first episodes have one fault each, the others two.
func drawn(seed uint64) [][]kind {
	all := kinds()
	random := rand.New(rand.NewPCG(seed, 2))
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var episodes [][]kind
	for range singles {
		episodes = append(episodes, all[:1])
		all = all[1:]
	}
	for range pairs {
		episodes = append(episodes, all[:2])
		all = all[2:]
	}
	return episodes
}

// TestSchedules guards the invariants of docs/design.md under faults at any moment, one or two at a time, with
// separate processes. MEDLARLATCH_SEED=N runs the schedule of another seed.
func TestSchedules(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), runBound)
			defer cancel()
			r, stop := start(ctx, t, seed)
			for number, chosen := range drawn(seed) {
				r.episode(ctx, number+1, chosen...)
			}
			stop()
			before := len(r.broken)
			r.checkRevisions()
			r.checkCalls(ctx)
			for _, broken := range r.broken[before:] {
				t.Log(broken)
			}
			if len(r.broken) > 0 {
				t.Fatalf("seed %d: %d breaches", seed, len(r.broken))
			}
		})
	}
}

// TestEveryFaultIsDrawn guards against a fault that no seed of CI has alone.
func TestEveryFaultIsDrawn(t *testing.T) {
	alone := make(map[string]bool)
	for _, seed := range fixedSeeds {
		for _, episode := range drawn(seed) {
			if len(episode) == 1 {
				alone[episode[0].name] = true
			}
		}
	}
	for _, k := range kinds() {
		if !alone[k.name] {
			t.Errorf("no seed of CI has %q alone", k.name)
		}
	}
}
