package measure

import (
	"fmt"
	"html"
	"strings"
)

// chart is a horizontal bar chart with a group of bars for each case and one bar of each series in a group. The field
// values is indexed by group and series.
type chart struct {
	title          string
	groups, series []string
	values         [][]float64
}

// colours holds the fill colour of each series.
var colours = []string{"#b0b0b0", "#2f6f9f"}

// svg returns the chart as an SVG document, with the value at the end of each bar.
func (c chart) svg() string {
	const left, width, bar, gap, top = 230, 420.0, 16, 12, 60
	maxValue := 0.0
	for _, values := range c.values {
		for _, value := range values {
			maxValue = max(maxValue, value)
		}
	}
	if maxValue <= 0 {
		maxValue = 1
	}
	groupHeight := bar*len(c.series) + gap
	var out strings.Builder
	fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" width="760" height="%d" font-family="sans-serif" font-size="12">`+"\n", top+groupHeight*len(c.groups)+10)
	fmt.Fprintf(&out, `<rect width="100%%" height="100%%" fill="white"/><text x="10" y="20" font-size="14">%s</text>`+"\n", html.EscapeString(c.title))
	for i, name := range c.series {
		fmt.Fprintf(&out, `<rect x="%d" y="32" width="12" height="12" fill="%s"/><text x="%d" y="43">%s</text>`+"\n", 10+110*i, colours[i], 26+110*i, name)
	}
	for g, name := range c.groups {
		y := top + g*groupHeight
		fmt.Fprintf(&out, `<text x="%d" y="%d" text-anchor="end">%s</text>`+"\n", left-8, y+bar+4, html.EscapeString(name))
		for i, value := range c.values[g] {
			fmt.Fprintf(&out, `<rect x="%d" y="%d" width="%.1f" height="%d" fill="%s"/><text x="%.1f" y="%d">%.1f</text>`+"\n",
				left, y+i*bar, max(0, value)/maxValue*width, bar-2, colours[i], left+6+max(0, value)/maxValue*width, y+i*bar+12, value)
		}
	}
	out.WriteString("</svg>\n")
	return out.String()
}
