// Command slope fits a line to the results of benchmarks that ran at several input sizes.
//
// It reads the output of `go test -bench` on standard input, takes the median of repeated runs, and groups the
// benchmarks whose names differ only in their last number, which is the size. For each group and unit with at least
// four sizes it prints intercept, slope, value at the largest size and residual of a least-squares line. A group whose
// values grow faster than the size is marked "bends up", because the line understates its values at larger sizes.
package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// superlinearExponent is the exponent above which values count as growing faster than the size. Values proportional to
// the size gave exponents between 0.9 and 1.1 on a shared machine.
const superlinearExponent = 1.15

type point struct{ size, value float64 }

// series identifies a group of benchmarks by their name without the size, and one unit of their results.
type series struct{ name, unit string }

// The last number in a benchmark's name is its size. A suffix such as -10, which go test adds for GOMAXPROCS, is not.
var (
	benchmarkLine = regexp.MustCompile(`^Benchmark(\S+?)(-\d+)?\s+\d+\s+(.+)$`)
	sizeInName    = regexp.MustCompile(`^(.*?[/=])(\d+)(\D*)$`)
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "slope:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	runs, order, err := parseBenchmarks(in)
	if err != nil {
		return err
	}
	if len(order) == 0 {
		return fmt.Errorf("the input has no benchmark with a size in its name")
	}
	fmt.Fprintf(out, "%-34s %-16s %5s %12s %12s %12s %9s %9s\n", "benchmark", "unit", "sizes", "intercept", "slope", "at largest", "residual", "exponent")
	for _, s := range order {
		points := medians(runs[s])
		if len(points) < 4 {
			continue
		}
		f := fit(points)
		note := ""
		if exponent(points) > superlinearExponent {
			note = "  bends up"
		}
		fmt.Fprintf(out, "%-34s %-16s %5d %12.4g %12.4g %12.4g %8.1f%% %9.2f%s\n",
			s.name, s.unit, len(points), f.intercept, f.slope, points[len(points)-1].value, 100*f.residual, exponent(points), note)
	}
	return nil
}

// parseBenchmarks returns the results of each series by size, and the series in the order of their first lines.
func parseBenchmarks(in io.Reader) (map[series]map[float64][]float64, []series, error) {
	runs := make(map[series]map[float64][]float64)
	var order []series
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		parsed := benchmarkLine.FindStringSubmatch(scanner.Text())
		if parsed == nil {
			continue
		}
		named := sizeInName.FindStringSubmatch(parsed[1])
		if named == nil {
			continue
		}
		size, err := strconv.ParseFloat(named[2], 64)
		if err != nil {
			return nil, nil, err
		}
		fields := strings.Fields(parsed[3])
		for i := 0; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, nil, fmt.Errorf("value in line %q: %w", scanner.Text(), err)
			}
			s := series{strings.TrimRight(named[1], "/=") + named[3], fields[i+1]}
			if runs[s] == nil {
				runs[s] = make(map[float64][]float64)
				order = append(order, s)
			}
			runs[s][size] = append(runs[s][size], value)
		}
	}
	return runs, order, scanner.Err()
}

// medians returns the median of the runs at each size, sorted by size.
func medians(runs map[float64][]float64) []point {
	points := make([]point, 0, len(runs))
	for size, values := range runs {
		slices.Sort(values)
		middle := len(values) / 2
		median := values[middle]
		if len(values)%2 == 0 {
			median = (values[middle-1] + values[middle]) / 2
		}
		points = append(points, point{size, median})
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.size, b.size) })
	return points
}

// lineFit is a least-squares line. Its residual is the root mean square of the deviations, divided by the mean value.
type lineFit struct{ intercept, slope, residual float64 }

func fit(points []point) lineFit {
	var meanSize, meanValue float64
	for _, p := range points {
		meanSize += p.size / float64(len(points))
		meanValue += p.value / float64(len(points))
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.size - meanSize) * (p.value - meanValue)
		variance += (p.size - meanSize) * (p.size - meanSize)
	}
	f := lineFit{slope: covariance / variance}
	f.intercept = meanValue - f.slope*meanSize
	var squares float64
	for _, p := range points {
		deviation := p.value - f.intercept - f.slope*p.size
		squares += deviation * deviation / float64(len(points))
	}
	if meanValue != 0 {
		f.residual = math.Sqrt(squares) / math.Abs(meanValue)
	}
	return f
}

// exponent returns the slope of the least-squares line through the logarithms: 1 if the value is proportional to the
// size, below 1 if the value also has a fixed part, above 1 if it grows faster than the size. It returns 0 if a value
// is not positive.
func exponent(points []point) float64 {
	logs := make([]point, 0, len(points))
	for _, p := range points {
		if p.value <= 0 {
			return 0
		}
		logs = append(logs, point{math.Log(p.size), math.Log(p.value)})
	}
	return fit(logs).slope
}
