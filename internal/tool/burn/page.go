package burn

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

// The size of a plot in SVG user units.
const (
	plotWidth  = 260.0
	plotHeight = 70.0
)

// plot draws the burn rate over time, and a line at the rate 1, which uses up the
// budget exactly.
func plot(burn Burn) template.HTML {
	maxRate := 2.0
	for _, point := range burn.Points {
		maxRate = max(maxRate, point.Rate*1.1)
	}
	y := func(rate float64) float64 { return plotHeight - rate/maxRate*plotHeight }
	var line strings.Builder
	for i, point := range burn.Points {
		x := plotWidth
		if len(burn.Points) > 1 {
			x = float64(i) / float64(len(burn.Points)-1) * plotWidth
		}
		fmt.Fprintf(&line, "%.1f,%.1f ", x, y(point.Rate))
	}
	// Safe without escaping: only numbers are inserted.
	return template.HTML(fmt.Sprintf(
		`<svg viewBox="-34 -4 %.0f %.0f" width="%.0f" role="img" aria-label="burn rate over time">`+
			`<line x1="0" x2="%.0f" y1="%.1f" y2="%.1f" class="limit"/><line x1="0" x2="%.0f" y1="%.1f" y2="%.1f" class="axis"/>`+
			`<text x="-4" y="%.1f" text-anchor="end">1</text><text x="-4" y="6" text-anchor="end">%.1f</text>`+
			`<polyline points="%s" class="rate"/></svg>`,
		plotWidth+40, plotHeight+8, plotWidth+40, plotWidth, y(1), y(1), plotWidth, plotHeight, plotHeight, y(1)+3, maxRate, line.String()))
}

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"plot":    plot,
	"percent": func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) },
	"number":  func(x float64) string { return fmt.Sprintf("%.2f", x) },
	"count":   func(x float64) string { return fmt.Sprintf("%.0f", x) },
	"bar":     func(x float64) string { return fmt.Sprintf("%.0f", 100*min(1, max(0, x))) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;margin:2rem;color:#1c2530;background:#fafbfc}
h1{font-size:1.5rem;margin:0}p{color:#566;max-width:52rem}
table{border-collapse:collapse;background:#fff;box-shadow:0 1px 3px #0002}
th,td{padding:.5rem .8rem;text-align:left;border-bottom:1px solid #e6eaee;vertical-align:middle}
td.n{text-align:right;font-variant-numeric:tabular-nums}th{background:#f0f3f6;font-weight:600}
.fires{background:#b3261e;color:#fff;padding:.1rem .5rem;border-radius:.6rem;white-space:nowrap}
.calm{color:#2e7d4f}.bar{width:7rem;height:.6rem;background:#eceff2;border-radius:.3rem;overflow:hidden}
.bar i{display:block;height:100%;background:#2e7d4f}.bar.low i{background:#c98500}
svg text{font-size:9px;fill:#667}.limit{stroke:#b3261e;stroke-dasharray:4 3}.axis{stroke:#aab}.rate{fill:none;stroke:#24609c;stroke-width:1.6}
</style></head><body>
<h1>Service-level burn</h1>
<p>{{.At.Format "2006-01-02 15:04:05 MST"}}, {{.Samples}} samples. A burn rate of 1 uses up the error budget exactly; the plots show it over five minutes, with 1 as the dashed line. A pair of windows fires when both burn faster than its threshold.</p>
<table><thead><tr><th>Organisation</th><th>Route</th><th>Objective</th><th>Requests</th><th>Missed</th><th>Budget left</th><th>5 min</th><th>1 h</th><th>Fires</th><th>Burn rate</th></tr></thead><tbody>
{{range .Burns}}<tr><td>{{if .Organisation}}{{.Organisation}}{{else}}(none){{end}}</td><td>{{.Route}}</td><td>{{.Objective}}</td><td class="n">{{count .Events}}</td><td class="n">{{count .Bad}}</td>
<td>{{percent .Left}}<div class="bar{{if lt .Left 0.5}} low{{end}}"><i style="width:{{bar .Left}}%"></i></div></td>
<td class="n">{{number (index .Short 0)}}</td><td class="n">{{number (index .Long 0)}}</td>
<td>{{if .Fires}}<span class="fires">{{.Fires}}</span>{{else}}<span class="calm">calm</span>{{end}}</td><td>{{plot .}}</td></tr>
{{end}}</tbody></table></body></html>
`))

// HTML writes the report as one self-contained HTML page.
func (report Report) HTML(out io.Writer) error {
	return page.Execute(out, report)
}
