package plotter

import (
	"bufio"
	"encoding/json"
	"html/template"
	"io"
	"math"

	"github.com/rotisserie/eris"
)

const (
	// pixelsPerDecade is the width in pixels of a factor of ten. The scale is logarithmic, as response times differ by
	// several orders of magnitude.
	pixelsPerDecade = 160
	maxLineBytes    = 1 << 20
)

// measurement holds the fields of one line of the benchmark that the page shows.
type measurement struct {
	Scenario     string  `json:"scenario"`
	Policy       string  `json:"policy"`
	Offered      int64   `json:"offered"`
	Answered     int64   `json:"answered"`
	Refused      int64   `json:"refusedNotRun"`
	Unknown      int64   `json:"unknown"`
	P50OverIdeal float64 `json:"p50OverIdeal"`
	P99OverIdeal float64 `json:"p99OverIdeal"`
	Target       string  `json:"target"`
	Met          bool    `json:"met"`
	Note         string  `json:"note"`
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{"bar": barWidth, "share": percentage}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>clementineyard: measurements</title>
<style>body{font:14px sans-serif;margin:2em;max-width:70em}td,th{padding:.2em .6em;text-align:left;vertical-align:top}
.ours{fill:#2a6}.other{fill:#999}.no{color:#b00}</style>
<h1>Measurements</h1>
<p>Response time over the ideal on a logarithmic scale: the dark bar is the median, the light one the 99th percentile.
An empty bar means that the scenario measures something else; its figures stand in measurements.md.</p>
<table><tr><th>scenario<th>policy<th>over ideal<th>p50<th>p99<th>answered<th>target<th>met</tr>
{{range .}}<tr><td>{{.Scenario}}<td>{{.Policy}}<td><svg width="520" height="22">
<rect class="{{if eq .Policy "clementineyard"}}ours{{else}}other{{end}}" y="2" height="18" opacity=".35" width="{{bar .P99OverIdeal}}"/>
<rect class="{{if eq .Policy "clementineyard"}}ours{{else}}other{{end}}" y="6" height="10" width="{{bar .P50OverIdeal}}"/></svg>
<td>{{printf "%.3f" .P50OverIdeal}}<td>{{printf "%.3f" .P99OverIdeal}}<td>{{share .Answered .Offered}}<td>{{.Target}}
<td{{if not .Met}} class="no"{{end}}>{{.Met}}{{if .Note}}<br><small>{{.Note}}</small>{{end}}</tr>
{{end}}</table></html>
`))

// barWidth returns the width of a bar in pixels. A ratio of 1 gets a tenth of a decade, so that its bar is visible.
func barWidth(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	return int(pixelsPerDecade * (0.1 + math.Log10(math.Max(ratio, 1))))
}

// percentage returns part of whole in percent with one decimal, or an empty text when whole is 0.
func percentage(part, whole int64) string {
	if whole == 0 {
		return ""
	}
	b, _ := json.Marshal(math.Round(1000*float64(part)/float64(whole)) / 10)
	return string(b) + "%"
}

// WritePage reads the JSON lines of a benchmark and writes the page. It returns an error that names the first line that
// is not valid JSON.
func WritePage(in io.Reader, out io.Writer) error {
	var measurements []measurement
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var m measurement
		if err := json.Unmarshal(scanner.Bytes(), &m); err != nil {
			return eris.Wrapf(err, "line %d", len(measurements)+1)
		}
		measurements = append(measurements, m)
	}
	if err := scanner.Err(); err != nil {
		return eris.Wrap(err, "read lines")
	}
	return page.Execute(out, measurements)
}
