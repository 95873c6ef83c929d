package plotter

import (
	"html/template"
	"io"
	"math"
)

// Wait is the waiting time, in milliseconds, of the jobs of one size under one placement.
type Wait struct {
	Placement, Queue string
	// From and To bound the size of the tasks, as a part of a worker.
	From, To      float64
	Offered       int
	InObjective   float64
	P50, P90, P99 float64
}

// WaitPage holds what the page of waiting times shows.
type WaitPage struct {
	Title string
	Waits []Wait
}

var waitPage = template.Must(template.New("waits").Funcs(template.FuncMap{"bar": waitWidth}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>clementineyard: waiting times</title>
<style>body{font:14px sans-serif;margin:2em;max-width:70em}td,th{padding:.1em .6em;text-align:left}
.planned{fill:#2a6}.other{fill:#999}</style>
<h1>{{.Title}}</h1>
<p>Waiting time of completed jobs by the size of their tasks, as a part of a worker, on a logarithmic scale from 1 ms: what a job took
beyond its longest task. From dark to light: the median, the 90th and the 99th percentile.</p>
<table><tr><th>queue<th>size<th>placement<th>waiting time<th>p50 ms<th>p90 ms<th>p99 ms<th>in objective<th>jobs</tr>
{{range .Waits}}<tr><td>{{.Queue}}<td>{{printf "%.3f to %.3f" .From .To}}<td>{{.Placement}}<td><svg width="480" height="18">
<rect class="{{if eq .Placement "planned"}}planned{{else}}other{{end}}" y="1" height="16" opacity=".25" width="{{bar .P99}}"/>
<rect class="{{if eq .Placement "planned"}}planned{{else}}other{{end}}" y="3" height="12" opacity=".5" width="{{bar .P90}}"/>
<rect class="{{if eq .Placement "planned"}}planned{{else}}other{{end}}" y="6" height="6" width="{{bar .P50}}"/></svg>
<td>{{printf "%.1f" .P50}}<td>{{printf "%.1f" .P90}}<td>{{printf "%.1f" .P99}}<td>{{printf "%.4f" .InObjective}}<td>{{.Offered}}</tr>
{{end}}</table></html>
`))

// waitWidth returns the width of a bar in pixels.
func waitWidth(milliseconds float64) int {
	return int(pixelsPerDecade * math.Log10(math.Max(milliseconds, 1)))
}

// WriteWaitPage writes the page of waiting times.
func WriteWaitPage(p WaitPage, out io.Writer) error { return waitPage.Execute(out, p) }
