package burn

import (
	"fmt"
	"html/template"
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
	return pageTemplate.Execute(output, p)
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

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"time": func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05") },
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Burn report of {{time .Taken}} UTC</title>
<style>
body { font: 14px/1.4 sans-serif; margin: 2em; max-width: 1000px; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border: 1px solid #999; padding: 2px 8px; text-align: left; }
td.number { text-align: right; }
.missing { border-left: 6px solid #d55e00; padding-left: 1em; }
.page { font-weight: bold; color: #b00000; }
</style>
</head>
<body>
<h1>Burn report</h1>
<p>The six hours before {{time .Taken}} UTC, from {{len .Instances}} entry instances: {{range $i, $n := .Instances}}{{if $i}}, {{end}}{{$n}}{{end}}.
Instances that have left the instance list are not counted.</p>
{{if .Complete}}<p>No gap is known.</p>{{else}}<div class="missing"><p>Data is missing:</p><ul>
{{range .Gaps}}<li>{{.Instance}} ({{.Zone}}) from {{time .From}} to {{time .To}}: {{.Cause}}</li>
{{end}}</ul></div>{{end}}
<svg viewBox="0 0 {{.Width}} {{.Height}}" role="img" aria-label="Burn rate over 5 minutes of each application">
{{range .Missing}}<rect x="{{.X}}" y="{{$.Top}}" width="{{.Width}}" height="{{$.Inner}}" fill="#d55e00" fill-opacity="0.08"><title>{{.Label}}</title></rect>
{{end}}{{range .Levels}}<line x1="{{$.Left}}" x2="{{$.Right}}" y1="{{.Y}}" y2="{{.Y}}" stroke="#ddd"/><text x="8" y="{{.Y}}" font-size="11">{{.Label}}</text>
{{end}}{{range .Thresholds}}<line x1="{{$.Left}}" x2="{{$.Right}}" y1="{{.Y}}" y2="{{.Y}}" stroke="#b00000" stroke-dasharray="6 4"/><text x="{{$.Left}}" y="{{.Y}}" dy="-3" font-size="11" fill="#b00000">pages above {{.Label}}</text>
{{end}}{{range .Hours}}<text x="{{.X}}" y="{{$.Height}}" dy="-8" font-size="11" text-anchor="middle">{{.Label}}</text>
{{end}}{{range $c := .Curves}}{{range .Paths}}<path d="{{.}}" fill="none" stroke="{{$c.Colour}}" stroke-width="1.5"><title>{{$c.Name}}</title></path>
{{end}}{{end}}</svg>
<p>Burn rate of the last 5 minutes at each minute (UTC): {{range .Curves}}<span style="color: {{.Colour}}">&#9632;</span> {{.Name}} {{end}}
A time without queries has no line; a shaded time has counts missing.</p>
<table>
<tr><th>objective</th><th>target</th><th>good</th><th>bad</th>{{with .Detail}}{{range (index . 0).Burn}}<th>{{.Window}}</th>{{end}}{{end}}<th>state</th></tr>
{{range .Detail}}<tr><td>{{.Name}}</td><td>{{.Target}}</td><td class="number">{{.Good}}</td><td class="number">{{.Bad}}</td>{{range .Burn}}<td class="number">{{printf "%.2f" .Burn}}</td>{{end}}<td class="{{.Alert}}">{{.Alert}}</td></tr>
{{end}}</table>
{{range .Detail}}{{if .Bad}}<h2>{{.Name}}</h2>
<table><tr><th>shard</th><th>server</th><th>zone</th><th>why</th><th>count</th></tr>
{{range .Spenders}}<tr><td>{{.Shard}}</td><td>{{.Server}}</td><td>{{.Zone}}</td><td>{{.Why}}</td><td class="number">{{.Count}}</td></tr>
{{end}}</table>
<ul>{{range .Groups}}<li>{{.}}</li>{{end}}</ul>
{{end}}{{end}}</body>
</html>
`))
