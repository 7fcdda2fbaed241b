package burn

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"
)

// The size and margins of the plot in units of the SVG view box, and its scales.
const (
	plotWidth, plotHeight = 960.0, 320.0
	plotLeft, plotBottom  = 50.0, 30.0
	plotTop, plotRight    = 12.0, 12.0
	// plotWindow is the window of each plotted burn rate in minutes. It is the shortest of windows.
	plotWindow = 5
	// minScaleMax is the lower bound of the vertical scale's maximum, so that the threshold of 14.4 is always visible.
	minScaleMax = 16.0
)

// plotColours can be told apart by readers with the common forms of colour blindness. It is the palette of Okabe and
// Ito with the last colour in place of its yellow.
var plotColours = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000", "#999933"}

// curve is the burn rate of one application over time. Each element of Paths is the data of an SVG path; the curve is
// interrupted where the application had no queries.
type curve struct {
	Name, Colour string
	Paths        []string
}

// tick is a labelled position on an axis. Only the coordinate along that axis is set.
type tick struct {
	X, Y  string
	Label string
}

// shadedInterval marks a period with missing counts.
type shadedInterval struct{ X, Width, Label string }

// htmlPage is the report with the contents and coordinates of its plot.
type htmlPage struct {
	Report
	Width, Height, Left, Right, Top, Bottom, InnerHeight float64
	Curves                                               []curve
	HourTicks, RateTicks                                 []tick
	ThresholdTicks                                       []tick
	ShadedGaps                                           []shadedInterval
	Details                                              []objectiveDetail
}

// objectiveDetail is an objective of the report with its derived texts.
type objectiveDetail struct {
	ObjectiveReport
	Name   string
	Groups []Group
}

// WritePage writes the report as one self-contained HTML page, which loads no other resource.
func WritePage(output io.Writer, report Report) error {
	p := htmlPage{
		Report: report, Width: plotWidth, Height: plotHeight, Left: plotLeft, Right: plotWidth - plotRight, Top: plotTop,
		Bottom: plotHeight - plotBottom, InnerHeight: plotHeight - plotBottom - plotTop,
	}
	scaleMax := minScaleMax
	ratesByKey := make(map[Key][]float64)
	for _, line := range report.Objectives {
		if line.Service == "" {
			ratesByKey[line.Key] = burnRatesByMinute(line, report.Taken)
			for _, rate := range ratesByKey[line.Key] {
				if !math.IsNaN(rate) {
					scaleMax = max(scaleMax, rate*1.05)
				}
			}
		}
		p.Details = append(p.Details, objectiveDetail{line, line.Name(), line.Groups()})
	}
	for _, line := range report.Objectives {
		if rates, plotted := ratesByKey[line.Key]; plotted {
			p.Curves = append(p.Curves, curve{line.Name(), plotColours[len(p.Curves)%len(plotColours)], svgPaths(rates, scaleMax)})
		}
	}
	p.addAxes(scaleMax)
	_, err := io.WriteString(output, p.render())
	return err
}

// burnRatesByMinute returns, for each minute of the history, the burn rate over the plotWindow minutes that end with
// it. NaN means that there were no queries.
func burnRatesByMinute(line ObjectiveReport, now time.Time) []float64 {
	firstMinute := now.Unix()/60 - HistoryMinutes + 1
	var counts [HistoryMinutes][2]int64
	for _, b := range line.Buckets {
		if index := b.Minute - firstMinute; index >= 0 && index < HistoryMinutes {
			counts[index] = [2]int64{b.Good, b.Bad}
		}
	}
	rates := make([]float64, HistoryMinutes)
	for minute := range rates {
		var good, bad int64
		for _, count := range counts[max(0, minute-plotWindow+1) : minute+1] {
			good += count[0]
			bad += count[1]
		}
		rates[minute] = math.NaN()
		if good+bad > 0 {
			rates[minute] = RateOf(good, bad, line.Percent)
		}
	}
	return rates
}

// plotX returns the x coordinate of a minute of the history.
func plotX(minute float64) float64 {
	return plotLeft + (plotWidth-plotLeft-plotRight)*minute/(HistoryMinutes-1)
}

// plotY returns the y coordinate of a burn rate on a scale from 0 to scaleMax.
func plotY(rate, scaleMax float64) float64 {
	return plotHeight - plotBottom - (plotHeight-plotBottom-plotTop)*rate/scaleMax
}

// svgPaths returns the SVG paths of the burn rates, one for each sequence of consecutive minutes with queries.
func svgPaths(rates []float64, scaleMax float64) []string {
	var finished []string
	var path strings.Builder
	for minute, rate := range append(rates, math.NaN()) {
		if math.IsNaN(rate) {
			if path.Len() > 0 {
				finished = append(finished, path.String())
				path.Reset()
			}
			continue
		}
		if path.Len() == 0 {
			// A path extends half a minute beyond its first and last points, so that a single minute is visible.
			fmt.Fprintf(&path, "M%.1f %.1f", plotX(float64(minute)-0.5), plotY(rate, scaleMax))
		}
		fmt.Fprintf(&path, "L%.1f %.1f", plotX(float64(minute)+0.5), plotY(rate, scaleMax))
	}
	return finished
}

// addAxes sets the ticks of both axes, the thresholds and the shaded gaps.
func (p *htmlPage) addAxes(scaleMax float64) {
	historyStart := p.Taken.Add(-HistoryMinutes * time.Minute)
	for hours := range HistoryMinutes/60 + 1 {
		x := plotX(float64(hours) * 60 * (HistoryMinutes - 1) / HistoryMinutes)
		p.HourTicks = append(p.HourTicks, tick{X: fmt.Sprintf("%.1f", x), Label: historyStart.Add(time.Duration(hours) * time.Hour).UTC().Format("15:04")})
	}
	for level := range 5 {
		rate := scaleMax * float64(level) / 4
		p.RateTicks = append(p.RateTicks, tick{Y: fmt.Sprintf("%.1f", plotY(rate, scaleMax)), Label: fmt.Sprintf("%.0f", rate)})
	}
	for _, w := range windows {
		if len(p.ThresholdTicks) == 0 || p.ThresholdTicks[len(p.ThresholdTicks)-1].Label != fmt.Sprintf("%g", w.threshold) {
			p.ThresholdTicks = append(p.ThresholdTicks, tick{Y: fmt.Sprintf("%.1f", plotY(w.threshold, scaleMax)), Label: fmt.Sprintf("%g", w.threshold)})
		}
	}
	for _, gap := range p.Gaps {
		from, to := max(0, gap.From.Sub(historyStart).Minutes()), min(HistoryMinutes-1, gap.To.Sub(historyStart).Minutes())
		if to > from {
			p.ShadedGaps = append(p.ShadedGaps, shadedInterval{
				fmt.Sprintf("%.1f", plotX(from)), fmt.Sprintf("%.1f", plotX(to)-plotX(from)), gap.Instance + ": " + gap.Cause,
			})
		}
	}
}
