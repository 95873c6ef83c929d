package generator

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

func oneTask(rng *rand.Rand) Call {
	return Call{RunTimes: []time.Duration{Uniform(rng, 50*time.Millisecond, time.Second)}, Timeout: time.Second}
}

// TestArrivalsFollowThePhases guards against a wrong or clustered rate. The counts per phase must lie within four
// standard deviations of a Poisson process, and the coefficient of variation of the inter-arrival times must be near 1;
// evenly spaced calls would have 0.
func TestArrivalsFollowThePhases(t *testing.T) {
	phases := []Phase{{500, 10 * time.Second}, {3000, 10 * time.Second}}
	calls := Arrivals(rand.New(rand.NewPCG(1, 2)), phases, oneTask)
	counts := [2]float64{}
	var gaps, squares, n float64
	for i, c := range calls {
		counts[c.At/(10*time.Second)]++
		if i > 0 && c.At < 10*time.Second {
			g := float64(c.At - calls[i-1].At)
			gaps, squares, n = gaps+g, squares+g*g, n+1
		}
	}
	for i, p := range phases {
		want := p.Rate * p.Duration.Seconds()
		if math.Abs(counts[i]-want) > 4*math.Sqrt(want) {
			t.Errorf("phase %d: %v calls, want about %v", i, counts[i], want)
		}
	}
	mean := gaps / n
	if cv := math.Sqrt(squares/n-mean*mean) / mean; cv < 0.9 || cv > 1.1 {
		t.Errorf("coefficient of variation of the inter-arrival times is %v, want about 1", cv)
	}
}

// TestArrivalsRepeatWithTheSeed guards against loads that cannot be reproduced: all policies must receive the same
// load.
func TestArrivalsRepeatWithTheSeed(t *testing.T) {
	draw := func(seed uint64) []Call {
		return Arrivals(rand.New(rand.NewPCG(seed, 0)), Ramp(100, 1000, time.Second, 10), oneTask)
	}
	if !reflect.DeepEqual(draw(7), draw(7)) {
		t.Error("the same seed gave different calls")
	}
	if reflect.DeepEqual(draw(7), draw(8)) {
		t.Error("different seeds gave the same calls")
	}
}

// TestLatencyCountsFromTheIntendedTime guards against latency measured from the actual send time, which would hide the
// wait of a call that was sent late.
func TestLatencyCountsFromTheIntendedTime(t *testing.T) {
	var rs []Result
	for i := range 100 {
		r := Result{Call: Call{At: time.Second, RunTimes: []time.Duration{94 * time.Millisecond}}, Done: 1100 * time.Millisecond}
		if i >= 90 {
			r.Done = 2 * time.Second
		}
		rs = append(rs, r)
	}
	for _, c := range []struct{ quantile, ratio float64 }{{50, 1}, {99, 10}} {
		if got := Quantile(rs, c.quantile, (*Result).LatencyOverIdeal); math.Abs(got-c.ratio) > c.ratio/100 {
			t.Errorf("quantile %v: %v times the ideal, want %v", c.quantile, got, c.ratio)
		}
	}
	seconds := func(r *Result) float64 { return r.Latency().Seconds() }
	if got := Quantile(rs, 99, seconds); math.Abs(got-1) > 0.01 {
		t.Errorf("99th percentile is %v s, want 1 s", got)
	}
}

// TestSlowestResultIsCounted guards against results that are left out because they exceed the histogram's range.
func TestSlowestResultIsCounted(t *testing.T) {
	rs := []Result{{Call: Call{RunTimes: []time.Duration{time.Second}}, Done: time.Hour}}
	millis := func(r *Result) float64 { return float64(r.Latency().Milliseconds()) }
	if got := Quantile(rs, 99, millis); got < 9*60*1000 {
		t.Errorf("a call of an hour counts as %v ms", got)
	}
}
