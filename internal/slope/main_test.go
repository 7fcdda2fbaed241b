package main

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestRun guards against fitting single runs instead of medians, against reading the GOMAXPROCS suffix as the size, and
// against leaving a series that grows faster than the size unmarked.
func TestRun(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(run(strings.NewReader(`goos: linux
BenchmarkLine/10-8   	 100	 21 ns/op
BenchmarkLine/10-8   	 100	 9000 ns/op
BenchmarkLine/10-8   	 100	 20 ns/op
BenchmarkLine/20-8   	 100	 41 ns/op
BenchmarkLine/30-8   	 100	 61 ns/op
BenchmarkLine/40-8   	 100	 81 ns/op
BenchmarkCurve/n=1   	 100	 1 ns/op	 5 B/op
BenchmarkCurve/n=2   	 100	 4 ns/op	 5 B/op
BenchmarkCurve/n=10  	 100	 100 ns/op	 5 B/op
BenchmarkCurve/n=50  	 100	 9000 ns/op	 5 B/op
BenchmarkFew/1       	 100	 1 ns/op
`), &out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 4)
	is.Equal(strings.Fields(lines[1])[:6], []string{"Line", "ns/op", "4", "1", "2", "81"})
	is.True(!strings.Contains(lines[1], "bends up"))
	is.True(strings.Contains(lines[2], "bends up"))
	is.True(!strings.Contains(lines[3], "bends up"))
	f := fit([]point{{1, 3}, {2, 5}, {3, 7}})
	is.True(math.Abs(f.residual) < 1e-9)
	is.True(run(strings.NewReader("PASS"), &out) != nil)
}
