package planner

import (
	"math"
	"slices"
	"time"
)

// Resources are the resources that a task asks for or that a worker has.
type Resources struct {
	// Millicores are thousandths of a core, and Accelerators counts devices.
	Millicores, MemoryMiB, Accelerators int64
}

func (r Resources) fitsIn(o Resources) bool {
	return r.Millicores <= o.Millicores && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.Millicores + o.Millicores, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.Millicores - o.Millicores, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Run is a run that is under way on a worker.
type Run struct {
	Ask       Resources
	StartedAt time.Time
	// Expected is how long the run is expected to take there. 0 means that nothing is known; no reservation then relies on its
	// end.
	Expected time.Duration
}

// Worker is a worker that may get tasks.
type Worker struct {
	// Capacity is what the worker has, and Free what its runs leave of it.
	Capacity, Free Resources
	// Slowdown is how many times longer than expected tasks take on the worker. Band orders workers by it, fastest first: those
	// of one band count as equally fast.
	Slowdown float64
	Band     int
	// MaxStarts bounds how many tasks may start on the worker in this pass; 0 where that is not bounded. No reservation is made on a
	// worker that has a bound, as the ends of its runs do not tell when it gets further starts.
	MaxStarts int
}

// The preferences of a worker for a step's tasks. A value between Best and Never is a penalty; the lowest is preferred, before
// the worker's speed and room.
const (
	Best  uint8 = 0
	Never uint8 = math.MaxUint8
)

// Step is a number of waiting tasks that are alike.
type Step struct {
	// Tasks is the number of the tasks, each of which asks for Ask and is expected to take RunTime.
	Tasks   int
	Ask     Resources
	RunTime time.Duration
	// Preferences holds the preference of each worker; nil when all are Best.
	Preferences []uint8
	// Limits holds how many of the tasks each worker may get; nil when that is unlimited. Make counts it down. Steps that share
	// their limits share the slice.
	Limits []int
	// Whole is true for tasks that are of use only together. Behind a step that is short of room they start only if all of them
	// can: a job that is started in part may never be completed, and its work is then wasted.
	Whole bool
	// Overdue is true when the first reservation was not kept. No later step then starts on the worker that is reserved, also not
	// one that seems to end in time.
	Overdue bool
	// Keep is the index of the worker on which the reservation should stay, if it is Overdue; -1 when there is none.
	Keep int
}

// Input is what a plan is made from. Steps come in the order in which they are to start.
type Input struct {
	Now     time.Time
	Workers []Worker
	Steps   []Step
	// Runs returns the runs of a worker. It is called only for workers on which a reservation may be made.
	Runs func(worker int) []Run
}

// Start is a task that starts now.
type Start struct {
	// Step and Worker are indices into the Input.
	Step, Worker int
}

// Reservation is the room that a worker keeps for a task.
type Reservation struct {
	Step, Worker int
	// At is when the task is expected to start.
	At time.Time
}

// Plan is the result of a pass.
type Plan struct {
	Starts       []Start
	Reservations []Reservation
	// Waiting holds how many tasks of each step have neither a start nor a reservation.
	Waiting []int
}

// FirstShort returns the index of the first step that has a task without a start; -1 when all tasks start.
func (p *Plan) FirstShort() int {
	first := slices.IndexFunc(p.Waiting, func(n int) bool { return n > 0 })
	for _, r := range p.Reservations {
		if first < 0 || r.Step < first {
			first = r.Step
		}
	}
	return first
}
