package placer

import "time"

// Resources is what a task asks of a worker, or what a worker offers.
type Resources struct {
	// Millicores counts thousandths of a core.
	Millicores int64
	// Memory counts bytes.
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
	// Services names what the server runs. A worker that names none takes the tasks of every service on workers.
	Services    []string
	Slots       int
	Connections int
	Capacity    Resources
	Rack        string
	// Running counts the tasks that the server itself says it is running.
	Running    int
	Usage      Resources
	Leaving    bool
	LeaseUntil time.Time
}

// Outcome is what a finished task says of its server.
type Outcome int

// Ignored results neither count for nor against a server.
const (
	Succeeded Outcome = iota
	Failed
	Ignored
)

// Load selects the load score of workers.
type Load int

// The variants are measured side by side (design, Q8).
const (
	// LoadReportAndPlacements is the last reports plus own placements since, but at least what own tasks reserve.
	LoadReportAndPlacements Load = iota
	// LoadLastReport is the last report alone.
	LoadLastReport
	// LoadSmoothedReport is an exponentially smoothed report.
	LoadSmoothedReport
)

// Config constructs a Placer.
type Config struct {
	Seed uint64
	Load Load
	// NoQuarantine lets results say nothing of a server.
	NoQuarantine bool
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.Millicores + o.Millicores, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.Millicores - o.Millicores, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

func (r Resources) atLeast(o Resources) Resources {
	return Resources{max(r.Millicores, o.Millicores), max(r.Memory, o.Memory), max(r.Accelerators, o.Accelerators)}
}

func (r Resources) fits(o Resources) bool {
	return r.Millicores <= o.Millicores && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

func (r Resources) mostly(o Resources, weight float64) Resources {
	mix := func(a, b int64) int64 { return b + int64(float64(a-b)*weight) }
	return Resources{mix(r.Millicores, o.Millicores), mix(r.Memory, o.Memory), mix(r.Accelerators, o.Accelerators)}
}

// fraction is the largest part of any capacity that r takes.
func (r Resources) fraction(capacity Resources) float64 {
	part := func(a, b int64) float64 {
		if b <= 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return max(part(r.Millicores, capacity.Millicores), part(r.Memory, capacity.Memory),
		part(r.Accelerators, capacity.Accelerators))
}

// times is how often an ask fits into r as a whole.
func (r Resources) times(ask Resources) float64 {
	n := float64(unlimitedSlots)
	for _, d := range [...][2]int64{
		{r.Millicores, ask.Millicores}, {r.Memory, ask.Memory}, {r.Accelerators, ask.Accelerators},
	} {
		if d[1] > 0 {
			n = min(n, float64(d[0])/float64(d[1]))
		}
	}
	return n
}
