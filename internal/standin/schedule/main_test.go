// Package schedule tests entry instances, run as separate processes, under fault schedules drawn from a seed. It
// records what callers, backend servers and operators observe and checks this history against the invariants of
// docs/design.md.
//
// Each run has its own cluster and history. The package has no code outside tests, and it never changes how an entry
// instance behaves.
package schedule

import (
	"os"
	"testing"

	"github.com/medlarlatch/medlarlatch/internal/seed"
	"github.com/medlarlatch/medlarlatch/internal/standin/program"
)

// runEnvironmentVariable makes the test binary execute a command of cmd/standin instead of the tests.
const runEnvironmentVariable = "MEDLARLATCH_RUN_STANDIN"

// ciSeeds are the seeds whose schedules run in CI. Together they contain every fault in an episode of its own;
// TestEveryFaultIsDrawn checks that.
var ciSeeds = []uint64{1, 4, 5, 6, 73, 78}

// seeds returns the seed that MEDLARLATCH_SEED gives, or those of CI.
func seeds() []uint64 {
	if given, ok := seed.FromEnvironment(); ok {
		return []uint64{given}
	}
	return ciSeeds
}

func TestMain(m *testing.M) {
	if os.Getenv(runEnvironmentVariable) != "" {
		os.Exit(program.Run(os.Args[1:]))
	}
	os.Exit(m.Run())
}
