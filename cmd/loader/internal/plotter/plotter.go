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
	// barScale is the width in pixels of a factor of ten; response times differ by several of them.
	barScale = 160
	maxLine  = 1 << 20
)

// line is what a page needs of one measured line.
type line struct {
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

var page = template.Must(template.New("page").Funcs(template.FuncMap{"bar": bar, "share": share}).Parse(`<!doctype html>
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

// bar returns the width of a bar; a ratio of 1 has a tenth of a decade, so that it can be seen.
func bar(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	return int(barScale * (0.1 + math.Log10(math.Max(ratio, 1))))
}

func share(part, whole int64) string {
	if whole == 0 {
		return ""
	}
	b, _ := json.Marshal(math.Round(1000*float64(part)/float64(whole)) / 10)
	return string(b) + "%"
}

// Plot reads the JSON lines of a measurement and writes the page.
func Plot(in io.Reader, out io.Writer) error {
	var lines []line
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		var l line
		if err := json.Unmarshal(sc.Bytes(), &l); err != nil {
			return eris.Wrapf(err, "line %d", len(lines)+1)
		}
		lines = append(lines, l)
	}
	if err := sc.Err(); err != nil {
		return eris.Wrap(err, "read lines")
	}
	return page.Execute(out, lines)
}
