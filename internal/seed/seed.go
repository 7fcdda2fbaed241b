// Package seed gives property-based tests that use rapid a fixed seed, so that every run of the same code has the same
// result. The environment variable MEDLARLATCH_SEED sets another seed; "make soak" uses new seeds and prints them.
// The package keeps no state beyond the flags that it sets, and only tests import it.
package seed

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

const (
	seedVariable = "MEDLARLATCH_SEED"
	// defaultSeed is used when the variable is not set, as in CI.
	defaultSeed = "20261204"
)

// Run runs a package's tests with the seed and exits. TestMain calls it. Rapid's files of failing cases are turned off.
func Run(m *testing.M) {
	value := os.Getenv(seedVariable)
	if value == "" {
		value = defaultSeed
	}
	settings := map[string]string{"rapid.seed": value, "rapid.nofailfile": "true"}
	for name, setting := range settings {
		if err := flag.Set(name, setting); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", seedVariable, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

// FromEnvironment returns the seed set by the environment variable, for tests that use a seed without rapid. It returns
// false if the variable is not set or is not a number.
func FromEnvironment() (uint64, bool) {
	value, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64)
	return value, err == nil
}
