package generator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histogram holds values from 0.001 to 600,000, to three digits: ratios, and milliseconds.
const (
	highest = int64(10*time.Minute/time.Millisecond) * scale
	digits  = 3
	scale   = 1000
)

// Select returns the results that match.
func Select(rs []Result, match func(*Result) bool) []Result {
	var out []Result
	for i := range rs {
		if match(&rs[i]) {
			out = append(out, rs[i])
		}
	}
	return out
}

// Quantile returns a quantile (0 to 100) of a value of the results; 0 without results. A value beyond the histogram's
// range counts as its highest, so that no slow call is left out.
func Quantile(rs []Result, quantile float64, value func(*Result) float64) float64 {
	h := hdrhistogram.New(1, highest, digits)
	for i := range rs {
		_ = h.RecordValue(min(int64(scale*value(&rs[i])), highest))
	}
	return float64(h.ValueAtQuantile(quantile)) / scale
}
