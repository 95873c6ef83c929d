package placer

import "time"

// Resources is an amount of worker resources: what a task asks for, or what a worker offers.
type Resources struct {
	// Millicores is in thousandths of a core.
	Millicores int64
	// Memory is in bytes.
	Memory       int64
	Accelerators int64
}

// Announcement describes a backend server or worker under a lease.
type Announcement struct {
	Name        string
	Incarnation uint64
	Worker      bool
	// Address is IP:port.
	Address string
	// Services lists the services that the server runs. A worker that lists none takes the tasks of every service on
	// workers.
	Services []string
	// Slots is the maximum number of tasks at once; zero means unlimited on a worker and no slots on a backend
	// server.
	Slots int
	// Connections limits the tasks at once in addition to Slots; zero means no limit.
	Connections int
	Capacity    Resources
	Rack        string
	// Running is the number of tasks that the server itself reports as running.
	Running int
	// Usage is the resources in use as reported by the worker, tasks of others included.
	Usage      Resources
	Leaving    bool
	LeaseUntil time.Time
}

// Outcome is what the result of a task says about its server.
type Outcome int

// Ignored results count neither for nor against a server.
const (
	Succeeded Outcome = iota
	Failed
	Ignored
)

// LoadScore selects how the load of workers is scored.
type LoadScore int

// The variants are compared by measurements (design, Q8).
const (
	// LoadReportAndPlacements is the usage of others, estimated from the reports, plus what own tasks were
	// allocated, but at least the occupied resources.
	LoadReportAndPlacements LoadScore = iota
	// LoadLastReport is the last reported usage.
	LoadLastReport
	// LoadSmoothedReport is the exponentially smoothed reported usage.
	LoadSmoothedReport
)

// Config configures a Placer.
type Config struct {
	// Seed makes random choices reproducible.
	Seed uint64
	Load LoadScore
	// NoQuarantine disables quarantines: results have no effect on a server.
	NoQuarantine bool
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.Millicores + o.Millicores, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.Millicores - o.Millicores, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// elementwiseMax returns the larger of r and o in each resource.
func (r Resources) elementwiseMax(o Resources) Resources {
	return Resources{max(r.Millicores, o.Millicores), max(r.Memory, o.Memory), max(r.Accelerators, o.Accelerators)}
}

// fitsIn reports whether r is at most o in each resource.
func (r Resources) fitsIn(o Resources) bool {
	return r.Millicores <= o.Millicores && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// smoothedWith returns r smoothed exponentially with the new value o; weight is the weight of r.
func (r Resources) smoothedWith(o Resources, weight float64) Resources {
	blend := func(a, b int64) int64 { return b + int64(float64(a-b)*weight) }
	return Resources{blend(r.Millicores, o.Millicores), blend(r.Memory, o.Memory), blend(r.Accelerators, o.Accelerators)}
}

// dominantShare returns the largest fraction of any resource of the capacity that r takes.
func (r Resources) dominantShare(capacity Resources) float64 {
	ratio := func(a, b int64) float64 {
		if b <= 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return max(ratio(r.Millicores, capacity.Millicores), ratio(r.Memory, capacity.Memory),
		ratio(r.Accelerators, capacity.Accelerators))
}

// fitCount returns how many times an ask fits into r, at most unlimitedSlots.
func (r Resources) fitCount(ask Resources) float64 {
	count := float64(unlimitedSlots)
	for _, pair := range [...][2]int64{
		{r.Millicores, ask.Millicores}, {r.Memory, ask.Memory}, {r.Accelerators, ask.Accelerators},
	} {
		if pair[1] > 0 {
			count = min(count, float64(pair[0])/float64(pair[1]))
		}
	}
	return count
}
