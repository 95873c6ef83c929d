package generator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histogram holds ratios, or times in milliseconds, from 0.001 to 600,000 with three significant digits.
const (
	histogramMax      = int64(10*time.Minute/time.Millisecond) * histogramScale
	significantDigits = 3
	histogramScale    = 1000
)

// Select returns the results for which match returns true.
func Select(rs []Result, match func(*Result) bool) []Result {
	var out []Result
	for i := range rs {
		if match(&rs[i]) {
			out = append(out, rs[i])
		}
	}
	return out
}

// Quantile returns a percentile (0 to 100) of a value over the results, or 0 without results. A value above the
// histogram's range counts as its maximum, so that no slow call is left out.
func Quantile(rs []Result, quantile float64, value func(*Result) float64) float64 {
	h := hdrhistogram.New(1, histogramMax, significantDigits)
	for i := range rs {
		_ = h.RecordValue(min(int64(histogramScale*value(&rs[i])), histogramMax))
	}
	return float64(h.ValueAtQuantile(quantile)) / histogramScale
}
