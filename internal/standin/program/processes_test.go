package program

// Tests with separate processes on loopback. The test binary also runs as the stand-ins and the entry instances: with
// the environment variable set, it executes a command of cmd/standin instead of the tests.

import (
	"context"
	"os"
	"runtime/pprof"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/standin/cluster"
	"github.com/medlarlatch/medlarlatch/pkg/api"
)

const runEnvironmentVariable = "MEDLARLATCH_RUN_STANDIN"

func TestMain(m *testing.M) {
	if os.Getenv(runEnvironmentVariable) != "" {
		stop := startProfile()
		code := Run(os.Args[1:])
		stop()
		os.Exit(code)
	}
	os.Exit(m.Run())
}

// startProfile starts a CPU profile of an entry instance in the directory that MEDLARLATCH_PROFILE names. The returned
// function ends the profile; it does nothing in other processes or if the variable is not set.
func startProfile() (stop func()) {
	directory := os.Getenv("MEDLARLATCH_PROFILE")
	if directory == "" || os.Args[1] != "entry" {
		return func() {}
	}
	file, err := os.CreateTemp(directory, "entry-*.pprof")
	if err != nil || pprof.StartCPUProfile(file) != nil {
		return func() {}
	}
	return pprof.StopCPUProfile
}

func start(t *testing.T, applications ...string) *cluster.Cluster {
	t.Helper()
	return startWithDeadline(t, 0, applications...)
}

// startWithDeadline starts a cluster whose applications have the given deadline; 0 keeps the deadlines of the example
// catalogues. Tests that require complete answers need a longer deadline, because with those of the examples the
// instances correctly refuse some queries on a busy machine.
func startWithDeadline(t *testing.T, deadline time.Duration, applications ...string) *cluster.Cluster {
	t.Helper()
	c, err := cluster.Start(context.Background(), cluster.Options{
		Program: os.Args[0], Environment: []string{runEnvironmentVariable + "=1"}, Seed: 1, Applications: applications,
		Zones: []string{"zone-a", "zone-a", "zone-b", "zone-c"}, Versions: []uint64{1},
		BalancerDelay: 500 * time.Millisecond, Deadline: deadline, Logs: testLog{t},
	})
	t.Cleanup(c.Close)
	is.New(t).NoErr(err)
	return c
}

// testLog is an io.Writer that writes to the test's log.
type testLog struct{ t *testing.T }

func (l testLog) Write(text []byte) (int, error) {
	l.t.Log(string(text))
	return len(text), nil
}

// TestWholePath guards against components that do not work together. Queries of callers reach every shard through each
// of four entry instances, and each answer is checked against the data.
func TestWholePath(t *testing.T) {
	check := is.New(t)
	ctx := context.Background()
	c := start(t, "marshal-search")
	complete := 0
	for n := range 200 {
		query := api.Query{ID: "q", DeadlineMillis: 1000, Query: c.Application("marshal-search").Data.Query(uint64(n))}
		answer, refusal, err := c.Query(ctx, n%4, "marshal-search", query)
		check.NoErr(err)
		if refusal != nil {
			t.Logf("refused: %+v", refusal)
			continue
		}
		check.NoErr(c.Check("marshal-search", query, answer))
		if answer.Coverage.Answered == 20 {
			complete++
		} else {
			t.Logf("%+v", answer.Coverage)
		}
	}
	t.Logf("%d of 200 answers complete", complete)
	check.True(complete > 150)
}
