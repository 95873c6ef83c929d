package generator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms hold times from 1 µs to 10 minutes and ratios from 0.001 to 600,000, to three digits.
const (
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
	// ratioScale keeps three decimals of a ratio in the histogram's integers.
	ratioScale = 1000
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

// OverIdeal returns a quantile (0 to 100) of the latencies over their ideals; 0 without results.
func OverIdeal(rs []Result, quantile float64) float64 {
	h := hdrhistogram.New(1, highest, digits)
	for i := range rs {
		record(h, int64(ratioScale*float64(rs[i].Latency())/float64(rs[i].Ideal())))
	}
	return float64(h.ValueAtQuantile(quantile)) / ratioScale
}

// Latency returns a quantile (0 to 100) of the latencies; 0 without results.
func Latency(rs []Result, quantile float64) time.Duration {
	h := hdrhistogram.New(1, highest, digits)
	for i := range rs {
		record(h, rs[i].Latency().Microseconds())
	}
	return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
}

// record counts a value beyond the histogram's range as its highest, so that no slow call is left out.
func record(h *hdrhistogram.Histogram, v int64) {
	if h.RecordValue(min(v, highest)) != nil {
		_ = h.RecordValue(highest)
	}
}
