package measure

import (
	"fmt"
	"html"
	"strings"
)

// chart is a bar chart with one group of bars for each case.
type chart struct {
	title          string
	groups, series []string
	values         [][]float64
}

var colours = []string{"#b0b0b0", "#2f6f9f"}

// svg draws the chart with horizontal bars and the value at the end of each.
func (c chart) svg() string {
	const left, width, bar, gap, top = 230, 420.0, 16, 12, 60
	most := 0.0
	for _, values := range c.values {
		for _, value := range values {
			most = max(most, value)
		}
	}
	if most <= 0 {
		most = 1
	}
	group := bar*len(c.series) + gap
	var out strings.Builder
	fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" width="760" height="%d" font-family="sans-serif" font-size="12">`+"\n", top+group*len(c.groups)+10)
	fmt.Fprintf(&out, `<rect width="100%%" height="100%%" fill="white"/><text x="10" y="20" font-size="14">%s</text>`+"\n", html.EscapeString(c.title))
	for i, name := range c.series {
		fmt.Fprintf(&out, `<rect x="%d" y="32" width="12" height="12" fill="%s"/><text x="%d" y="43">%s</text>`+"\n", 10+110*i, colours[i], 26+110*i, name)
	}
	for g, name := range c.groups {
		y := top + g*group
		fmt.Fprintf(&out, `<text x="%d" y="%d" text-anchor="end">%s</text>`+"\n", left-8, y+bar+4, html.EscapeString(name))
		for i, value := range c.values[g] {
			fmt.Fprintf(&out, `<rect x="%d" y="%d" width="%.1f" height="%d" fill="%s"/><text x="%.1f" y="%d">%.1f</text>`+"\n",
				left, y+i*bar, max(0, value)/most*width, bar-2, colours[i], left+6+max(0, value)/most*width, y+i*bar+12, value)
		}
	}
	out.WriteString("</svg>\n")
	return out.String()
}
