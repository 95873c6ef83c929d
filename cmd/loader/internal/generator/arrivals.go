package generator

import (
	"math/rand/v2"
	"time"
)

// Phase is a period with a constant mean rate of arrivals per second.
type Phase struct {
	Rate     float64
	Duration time.Duration
}

// Ramp returns phases of equal length whose rate changes linearly over a period, in the given number of steps.
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
	// At is the intended time of the call, counted from the start of the load.
	At            time.Duration
	Service, Task string
	Team          string
	// RunTimes holds the run time of each task; a job has more than one.
	RunTimes []time.Duration
	// Cores is the number of cores that a task uses on a worker; 0 means one.
	Cores   float64
	Timeout time.Duration
	// Keyed calls have an idempotency key and are resubmitted when the connection closes without an answer.
	Keyed bool
}

// Arrivals returns the calls of a Poisson process whose rate follows the phases. It sets the time of each call that
// pick returns.
func Arrivals(rng *rand.Rand, phases []Phase, pick func(*rand.Rand) Call) []Call {
	var out []Call
	var begin time.Duration
	for _, p := range phases {
		end := begin + p.Duration
		// The exponential distribution is memoryless, so each phase may begin with a newly drawn inter-arrival time.
		for t := begin + interArrivalTime(rng, p.Rate); t < end; t += interArrivalTime(rng, p.Rate) {
			c := pick(rng)
			c.At = t
			out = append(out, c)
		}
		begin = end
	}
	return out
}

func interArrivalTime(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// Uniform returns a run time drawn uniformly between the bounds, in whole milliseconds as stand-in servers accept them.
func Uniform(rng *rand.Rand, from, to time.Duration) time.Duration {
	return (from + time.Duration(rng.Int64N(int64(to-from)+1))).Round(time.Millisecond)
}
