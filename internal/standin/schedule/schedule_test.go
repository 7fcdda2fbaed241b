package schedule

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// A schedule has first the episodes with one fault, then those with two.
	singleFaultEpisodes = 5
	doubleFaultEpisodes = 2
	// runTimeout bounds the duration of a run.
	runTimeout = 140 * time.Second
)

// drawEpisodes returns the faults of each episode of a seed. No fault occurs twice.
func drawEpisodes(seed uint64) [][]faultKind {
	all := faultKinds()
	random := rand.New(rand.NewPCG(seed, 2))
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var episodes [][]faultKind
	for range singleFaultEpisodes {
		episodes = append(episodes, all[:1])
		all = all[1:]
	}
	for range doubleFaultEpisodes {
		episodes = append(episodes, all[:2])
		all = all[2:]
	}
	return episodes
}

// TestSchedules guards against violations of the invariants of docs/design.md when one or two faults occur at a time.
// The entry instances are separate processes. MEDLARLATCH_SEED=N runs the schedule of another seed.
func TestSchedules(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
			defer cancel()
			r, stop := start(ctx, t, seed)
			for number, kinds := range drawEpisodes(seed) {
				r.episode(ctx, number+1, kinds...)
			}
			stop()
			before := len(r.violations)
			r.checkRevisions()
			r.checkCalls(ctx)
			for _, violation := range r.violations[before:] {
				t.Log(violation)
			}
			if len(r.violations) > 0 {
				t.Fatalf("seed %d: %d violations", seed, len(r.violations))
			}
		})
	}
}

// TestEveryFaultIsDrawn guards against a fault that no seed of CI has in an episode of its own.
func TestEveryFaultIsDrawn(t *testing.T) {
	alone := make(map[string]bool)
	for _, seed := range ciSeeds {
		for _, episode := range drawEpisodes(seed) {
			if len(episode) == 1 {
				alone[episode[0].name] = true
			}
		}
	}
	for _, k := range faultKinds() {
		if !alone[k.name] {
			t.Errorf("no seed of CI has an episode with only the fault %q", k.name)
		}
	}
}
