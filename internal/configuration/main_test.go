package configuration_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the generated schedules a fixed seed, so that every run has the same verdict. Another
// seed can be given with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
