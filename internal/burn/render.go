package burn

// The page is written with fmt and html.EscapeString: html/template kept 4 MB of code in the program that is never
// called, and 2.3 MB of it resident in every entry instance.

import (
	"fmt"
	"html"
	"strings"
	"time"
)

const pageHead = `<!DOCTYPE html>
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

// document collects the text of the page; every name that comes from outside passes through escape.
type document struct{ strings.Builder }

func (d *document) add(format string, values ...any) { fmt.Fprintf(&d.Builder, format, values...) }

func escape(text string) string { return html.EscapeString(text) }

func dateAndTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05") }

// render returns the whole page.
func (p *page) render() string {
	d := &document{}
	d.add(pageHead, dateAndTime(p.Taken), len(p.Instances), escape(joined(p.Instances)))
	p.renderGaps(d)
	p.renderPlot(d)
	p.renderObjectives(d)
	for _, each := range p.Detail {
		if each.Bad() > 0 {
			each.renderSpenders(d)
		}
	}
	d.add("</body>\n</html>\n")
	return d.String()
}

func joined[T ~string](names []T) string {
	all := make([]string, len(names))
	for i, name := range names {
		all[i] = string(name)
	}
	return strings.Join(all, ", ")
}

func (p *page) renderGaps(d *document) {
	if p.Complete {
		d.add("<p>No gap is known.</p>\n")
		return
	}
	d.add("<div class=\"missing\"><p>Data is missing:</p><ul>\n")
	for _, gap := range p.Gaps {
		d.add("<li>%s (%s) from %s to %s: %s</li>\n",
			escape(string(gap.Instance)), escape(string(gap.Zone)), dateAndTime(gap.From), dateAndTime(gap.To), escape(gap.Cause))
	}
	d.add("</ul></div>\n")
}

// renderPlot writes the SVG with its legend.
func (p *page) renderPlot(d *document) {
	d.add("<svg viewBox=\"0 0 %g %g\" role=\"img\" aria-label=\"Burn rate over 5 minutes of each application\">\n", p.Width, p.Height)
	for _, missing := range p.Missing {
		d.add("<rect x=\"%s\" y=\"%g\" width=\"%s\" height=\"%g\" fill=\"#d55e00\" fill-opacity=\"0.08\"><title>%s</title></rect>\n",
			missing.X, p.Top, missing.Width, p.Inner, escape(missing.Label))
	}
	for _, level := range p.Levels {
		d.add("<line x1=\"%g\" x2=\"%g\" y1=\"%[3]s\" y2=\"%[3]s\" stroke=\"#ddd\"/>", p.Left, p.Right, level.Y)
		d.add("<text x=\"8\" y=\"%s\" font-size=\"11\">%s</text>\n", level.Y, level.Label)
	}
	for _, threshold := range p.Thresholds {
		d.add("<line x1=\"%g\" x2=\"%g\" y1=\"%[3]s\" y2=\"%[3]s\" stroke=\"#b00000\" stroke-dasharray=\"6 4\"/>", p.Left, p.Right, threshold.Y)
		d.add("<text x=\"%g\" y=\"%s\" dy=\"-3\" font-size=\"11\" fill=\"#b00000\">pages above %s</text>\n", p.Left, threshold.Y, threshold.Label)
	}
	for _, hour := range p.Hours {
		d.add("<text x=\"%s\" y=\"%g\" dy=\"-8\" font-size=\"11\" text-anchor=\"middle\">%s</text>\n", hour.X, p.Height, hour.Label)
	}
	for _, c := range p.Curves {
		for _, path := range c.Paths {
			d.add("<path d=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\"><title>%s</title></path>\n", path, c.Colour, escape(c.Name))
		}
	}
	d.add("</svg>\n<p>Burn rate of the last 5 minutes at each minute (UTC): ")
	for _, c := range p.Curves {
		d.add("<span style=\"color: %s\">&#9632;</span> %s ", c.Colour, escape(c.Name))
	}
	d.add("\nA time without queries has no line; a shaded time has counts missing.</p>\n")
}

func (p *page) renderObjectives(d *document) {
	d.add("<table>\n<tr><th>objective</th><th>target</th><th>good</th><th>bad</th>")
	if len(p.Detail) > 0 {
		for _, burn := range p.Detail[0].Burn {
			d.add("<th>%s</th>", escape(burn.Window))
		}
	}
	d.add("<th>state</th></tr>\n")
	for _, each := range p.Detail {
		d.add("<tr><td>%s</td><td>%s</td><td class=\"number\">%d</td><td class=\"number\">%d</td>",
			escape(each.Name), escape(each.Target()), each.Good(), each.Bad())
		for _, burn := range each.Burn {
			d.add("<td class=\"number\">%.2f</td>", burn.Burn)
		}
		d.add("<td class=\"%[1]s\">%[1]s</td></tr>\n", escape(each.Alert))
	}
	d.add("</table>\n")
}

func (e detail) renderSpenders(d *document) {
	d.add("<h2>%s</h2>\n<table><tr><th>shard</th><th>server</th><th>zone</th><th>why</th><th>count</th></tr>\n", escape(e.Name))
	for _, spender := range e.Spenders {
		d.add("<tr><td>%s</td><td>%s</td><td>%s</td><td>%s</td><td class=\"number\">%d</td></tr>\n",
			escape(string(spender.Shard)), escape(string(spender.Server)), escape(string(spender.Zone)), escape(spender.Why()), spender.Count)
	}
	d.add("</table>\n<ul>")
	for _, group := range e.Groups {
		d.add("<li>%s</li>", escape(fmt.Sprint(group)))
	}
	d.add("</ul>\n")
}
