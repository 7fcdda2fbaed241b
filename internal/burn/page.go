package burn

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"
)

// The plot's size and margins, in the units of the SVG's view box.
const (
	plotWidth, plotHeight = 960.0, 320.0
	plotLeft, plotBottom  = 50.0, 30.0
	plotTop, plotRight    = 12.0, 12.0
	// plotSpan is the window of each plotted point, the shortest of the burn windows.
	plotSpan = 5
	// plotFloor is the least top of the vertical scale, so that the threshold of 14.4 always shows.
	plotFloor = 16.0
)

// plotColours are distinct for readers with the common forms of colour blindness (the palette of Okabe and Ito).
var plotColours = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000", "#999933"}

// curve is one line of the plot. It breaks where there was no query.
type curve struct {
	Name, Colour string
	Paths        []string
}

type tick struct {
	X, Y  string
	Label string
}

type shade struct{ X, Width, Label string }

type page struct {
	Report
	Width, Height, Left, Right, Top, Bottom, Inner float64
	Curves                                         []curve
	Hours, Levels                                  []tick
	Thresholds                                     []tick
	Missing                                        []shade
	Detail                                         []detail
}

type detail struct {
	Line
	Name   string
	Groups []Group
}

// WritePage writes the report as one HTML page that refers to nothing outside itself.
func WritePage(output io.Writer, report Report) error {
	p := page{
		Report: report, Width: plotWidth, Height: plotHeight, Left: plotLeft, Right: plotWidth - plotRight, Top: plotTop,
		Bottom: plotHeight - plotBottom, Inner: plotHeight - plotBottom - plotTop,
	}
	top := plotFloor
	series := make(map[Key][]float64)
	for _, line := range report.Objectives {
		if line.Service == "" {
			series[line.Key] = overTime(line, report.Taken)
			for _, burn := range series[line.Key] {
				if !math.IsNaN(burn) {
					top = max(top, burn*1.05)
				}
			}
		}
		p.Detail = append(p.Detail, detail{line, line.Name(), line.Groups()})
	}
	for _, line := range report.Objectives {
		if points, plotted := series[line.Key]; plotted {
			p.Curves = append(p.Curves, curve{line.Name(), plotColours[len(p.Curves)%len(plotColours)], paths(points, top)})
		}
	}
	p.axes(top)
	_, err := io.WriteString(output, p.render())
	return err
}

// overTime returns the burn rate of the plotSpan minutes up to each minute; NaN without queries.
func overTime(line Line, now time.Time) []float64 {
	first := now.Unix()/60 - Minutes + 1
	var counts [Minutes][2]int64
	for _, b := range line.Buckets {
		if at := b.Minute - first; at >= 0 && at < Minutes {
			counts[at] = [2]int64{b.Good, b.Bad}
		}
	}
	points := make([]float64, Minutes)
	for at := range points {
		var good, bad int64
		for _, count := range counts[max(0, at-plotSpan+1) : at+1] {
			good += count[0]
			bad += count[1]
		}
		points[at] = math.NaN()
		if good+bad > 0 {
			points[at] = RateOf(good, bad, line.Percent)
		}
	}
	return points
}

func plotX(minute float64) float64 {
	return plotLeft + (plotWidth-plotLeft-plotRight)*minute/(Minutes-1)
}

func plotY(burn, top float64) float64 {
	return plotHeight - plotBottom - (plotHeight-plotBottom-plotTop)*burn/top
}

// paths returns the SVG paths of the points, one for each run of minutes with queries.
func paths(points []float64, top float64) []string {
	var all []string
	var path strings.Builder
	for at, burn := range append(points, math.NaN()) {
		if math.IsNaN(burn) {
			if path.Len() > 0 {
				all = append(all, path.String())
				path.Reset()
			}
			continue
		}
		if path.Len() == 0 {
			// A run of one minute has a visible length of one minute.
			fmt.Fprintf(&path, "M%.1f %.1f", plotX(float64(at)-0.5), plotY(burn, top))
		}
		fmt.Fprintf(&path, "L%.1f %.1f", plotX(float64(at)+0.5), plotY(burn, top))
	}
	return all
}

func (p *page) axes(top float64) {
	begin := p.Taken.Add(-Minutes * time.Minute)
	for hours := range Minutes/60 + 1 {
		x := plotX(float64(hours) * 60 * (Minutes - 1) / Minutes)
		p.Hours = append(p.Hours, tick{X: fmt.Sprintf("%.1f", x), Label: begin.Add(time.Duration(hours) * time.Hour).UTC().Format("15:04")})
	}
	for level := range 5 {
		burn := top * float64(level) / 4
		p.Levels = append(p.Levels, tick{Y: fmt.Sprintf("%.1f", plotY(burn, top)), Label: fmt.Sprintf("%.0f", burn)})
	}
	for _, w := range windows {
		if len(p.Thresholds) == 0 || p.Thresholds[len(p.Thresholds)-1].Label != fmt.Sprintf("%g", w.threshold) {
			p.Thresholds = append(p.Thresholds, tick{Y: fmt.Sprintf("%.1f", plotY(w.threshold, top)), Label: fmt.Sprintf("%g", w.threshold)})
		}
	}
	for _, gap := range p.Gaps {
		from, to := max(0, gap.From.Sub(begin).Minutes()), min(Minutes-1, gap.To.Sub(begin).Minutes())
		if to > from {
			p.Missing = append(p.Missing, shade{
				fmt.Sprintf("%.1f", plotX(from)), fmt.Sprintf("%.1f", plotX(to)-plotX(from)), gap.Instance + ": " + gap.Cause,
			})
		}
	}
}
