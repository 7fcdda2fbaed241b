package burn

// The page is written with fmt and html.EscapeString because html/template added 4 MB of code to the program that is
// never called, 2.3 MB of it resident in every entry instance.

import (
	"fmt"
	"html"
	"strings"
	"time"
)

const pageHeader = `<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Burn report of %[1]s UTC</title>
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
<p>The six hours before %[1]s UTC, from %[2]d entry instances: %[3]s.
Instances that have left the instance list are not counted.</p>
`

// htmlBuilder collects the text of the page. printf does not escape its values: every name or text that comes from
// outside the package must pass through escape.
type htmlBuilder struct{ strings.Builder }

func (b *htmlBuilder) printf(format string, values ...any) {
	fmt.Fprintf(&b.Builder, format, values...)
}

func escape(text string) string { return html.EscapeString(text) }

func formatDateTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05") }

// render returns the whole page.
func (p *htmlPage) render() string {
	b := &htmlBuilder{}
	b.printf(pageHeader, formatDateTime(p.Taken), len(p.Instances), escape(joinNames(p.Instances)))
	p.renderGaps(b)
	p.renderPlot(b)
	p.renderObjectives(b)
	for _, objective := range p.Details {
		if objective.Bad() > 0 {
			objective.renderSpenders(b)
		}
	}
	b.printf("</body>\n</html>\n")
	return b.String()
}

func joinNames[T ~string](names []T) string {
	all := make([]string, len(names))
	for i, name := range names {
		all[i] = string(name)
	}
	return strings.Join(all, ", ")
}

func (p *htmlPage) renderGaps(b *htmlBuilder) {
	if p.Complete {
		b.printf("<p>No gap is known.</p>\n")
		return
	}
	b.printf("<div class=\"missing\"><p>Data is missing:</p><ul>\n")
	for _, gap := range p.Gaps {
		b.printf("<li>%s (%s) from %s to %s: %s</li>\n",
			escape(string(gap.Instance)), escape(string(gap.Zone)), formatDateTime(gap.From), formatDateTime(gap.To), escape(gap.Cause))
	}
	b.printf("</ul></div>\n")
}

// renderPlot writes the SVG with its legend.
func (p *htmlPage) renderPlot(b *htmlBuilder) {
	b.printf("<svg viewBox=\"0 0 %g %g\" role=\"img\" aria-label=\"Burn rate over 5 minutes of each application\">\n", p.Width, p.Height)
	for _, gap := range p.ShadedGaps {
		b.printf("<rect x=\"%s\" y=\"%g\" width=\"%s\" height=\"%g\" fill=\"#d55e00\" fill-opacity=\"0.08\"><title>%s</title></rect>\n",
			gap.X, p.Top, gap.Width, p.InnerHeight, escape(gap.Label))
	}
	for _, level := range p.RateTicks {
		b.printf("<line x1=\"%g\" x2=\"%g\" y1=\"%[3]s\" y2=\"%[3]s\" stroke=\"#ddd\"/>", p.Left, p.Right, level.Y)
		b.printf("<text x=\"8\" y=\"%s\" font-size=\"11\">%s</text>\n", level.Y, level.Label)
	}
	for _, threshold := range p.ThresholdTicks {
		b.printf("<line x1=\"%g\" x2=\"%g\" y1=\"%[3]s\" y2=\"%[3]s\" stroke=\"#b00000\" stroke-dasharray=\"6 4\"/>", p.Left, p.Right, threshold.Y)
		b.printf("<text x=\"%g\" y=\"%s\" dy=\"-3\" font-size=\"11\" fill=\"#b00000\">pages above %s</text>\n", p.Left, threshold.Y, threshold.Label)
	}
	for _, hour := range p.HourTicks {
		b.printf("<text x=\"%s\" y=\"%g\" dy=\"-8\" font-size=\"11\" text-anchor=\"middle\">%s</text>\n", hour.X, p.Height, hour.Label)
	}
	for _, c := range p.Curves {
		for _, path := range c.Paths {
			b.printf("<path d=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\"><title>%s</title></path>\n", path, c.Colour, escape(c.Name))
		}
	}
	b.printf("</svg>\n<p>Burn rate of the last 5 minutes at each minute (UTC): ")
	for _, c := range p.Curves {
		b.printf("<span style=\"color: %s\">&#9632;</span> %s ", c.Colour, escape(c.Name))
	}
	b.printf("\nA time without queries has no line; a shaded time has counts missing.</p>\n")
}

func (p *htmlPage) renderObjectives(b *htmlBuilder) {
	b.printf("<table>\n<tr><th>objective</th><th>target</th><th>good</th><th>bad</th>")
	if len(p.Details) > 0 {
		for _, rate := range p.Details[0].BurnRates {
			b.printf("<th>%s</th>", escape(rate.Window))
		}
	}
	b.printf("<th>state</th></tr>\n")
	for _, objective := range p.Details {
		b.printf("<tr><td>%s</td><td>%s</td><td class=\"number\">%d</td><td class=\"number\">%d</td>",
			escape(objective.Name), escape(objective.Target()), objective.Good(), objective.Bad())
		for _, rate := range objective.BurnRates {
			b.printf("<td class=\"number\">%.2f</td>", rate.BurnRate)
		}
		b.printf("<td class=\"%[1]s\">%[1]s</td></tr>\n", escape(objective.Alert))
	}
	b.printf("</table>\n")
}

func (o objectiveDetail) renderSpenders(b *htmlBuilder) {
	b.printf("<h2>%s</h2>\n<table><tr><th>shard</th><th>server</th><th>zone</th><th>why</th><th>count</th></tr>\n", escape(o.Name))
	for _, spender := range o.Spenders {
		b.printf("<tr><td>%s</td><td>%s</td><td>%s</td><td>%s</td><td class=\"number\">%d</td></tr>\n",
			escape(string(spender.Shard)), escape(string(spender.Server)), escape(string(spender.Zone)), escape(spender.Why()), spender.Count)
	}
	b.printf("</table>\n<ul>")
	for _, group := range o.Groups {
		b.printf("<li>%s</li>", escape(fmt.Sprint(group)))
	}
	b.printf("</ul>\n")
}
