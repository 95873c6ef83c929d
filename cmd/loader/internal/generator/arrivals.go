package generator

import (
	"math/rand/v2"
	"time"
)

// Phase is a time with one mean rate of arrivals per second.
type Phase struct {
	Rate float64
	For  time.Duration
}

// Ramp returns phases whose rate grows evenly.
func Ramp(from, to float64, over time.Duration, steps int) []Phase {
	var out []Phase
	for i := range steps {
		share := (float64(i) + 0.5) / float64(steps)
		out = append(out, Phase{from + (to-from)*share, over / time.Duration(steps)})
	}
	return out
}

// Call is one request, or a job when it has several tasks.
type Call struct {
	// At is the intended time, counted from the start of the load.
	At            time.Duration
	Service, Task string
	Team          string
	// Runs holds the run time of each task; a job has more than one.
	Runs []time.Duration
	// Cores is what a task uses on a worker.
	Cores   float64
	Timeout time.Duration
	// Keyed calls carry a key and are resubmitted when the connection closes.
	Keyed bool
}

// Arrivals returns the calls of a Poisson process whose rate follows the phases. pick chooses what arrives.
func Arrivals(rng *rand.Rand, phases []Phase, pick func(*rand.Rand) Call) []Call {
	var out []Call
	var begin time.Duration
	for _, p := range phases {
		end := begin + p.For
		// The exponential distribution has no memory, so each phase may begin with a fresh gap.
		for t := begin + gap(rng, p.Rate); t < end; t += gap(rng, p.Rate) {
			c := pick(rng)
			c.At = t
			out = append(out, c)
		}
		begin = end
	}
	return out
}

func gap(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// Uniform draws a run time evenly between the bounds, in whole milliseconds as the stand-in takes them.
func Uniform(rng *rand.Rand, from, to time.Duration) time.Duration {
	return (from + time.Duration(rng.Int64N(int64(to-from)+1))).Round(time.Millisecond)
}
