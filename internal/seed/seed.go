// Package seed gives rapid's generated tests a fixed seed, so that every run of the same code has the
// same verdict. The variable MEDLARLATCH_SEED sets another one; "make soak" uses new ones and prints them.
// The package keeps no state beyond the flags that it sets, and the product never imports it.
package seed

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

const (
	variable = "MEDLARLATCH_SEED"
	// standard is the seed of CI.
	standard = "20261204"
)

// Run runs a package's tests with the seed; call it from TestMain.
func Run(m *testing.M) {
	value := os.Getenv(variable)
	if value == "" {
		value = standard
	}
	settings := map[string]string{"rapid.seed": value, "rapid.nofailfile": "true"}
	for name, setting := range settings {
		if err := flag.Set(name, setting); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", variable, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

// Given returns the seed that the variable sets, for tests that draw from a seed without rapid.
func Given() (uint64, bool) {
	value, err := strconv.ParseUint(os.Getenv(variable), 10, 64)
	return value, err == nil
}
