package allocator

import (
	"math"
	"strconv"
	"time"

	"clementineyard/wire"
)

const (
	// clockSlack is how much slower than this VM's steady clock a worker's may run: 2%, as the platform states.
	clockSlack = 0.98
	// lapseMargin covers the time that a worker takes to end what has lapsed.
	lapseMargin = 20 * time.Millisecond
	// holdWait is how long a hold waits for an end. A third of the lease leaves room for two failures.
	holdWait = 300 * time.Millisecond
	// leaseReserve is what must be left of a worker's lease for a start: the time of a start and of the next hold.
	leaseReserve = 250 * time.Millisecond
	// probeFirst and probeMost bound the pause between looks at a worker that does not answer.
	probeFirst = 50 * time.Millisecond
	probeMost  = 400 * time.Millisecond
	// stopAgain is the pause after which an unanswered stop is sent again.
	stopAgain = 150 * time.Millisecond
	// orphanWait is how long a run of an unknown job goes on after it was seen first. Entry VMs send their jobs again to a
	// new owner within a few round trips.
	orphanWait = 400 * time.Millisecond
	// endedKeep is how long the end of an unknown job's run, and a job's outcome, is remembered. A client asks again 1.3 s
	// after it lost its entry VM; an entry VM that was frozen for some seconds asks when it wakes.
	endedKeep = 10 * time.Second
	// lateFactor times the objective is when a job earns nothing any more.
	lateFactor = 3
	// neverFitsAfter is how long a job waits for a worker that is large enough to be reported.
	neverFitsAfter = 2 * time.Second
	// forgetAfter is how long a worker may be unreachable before it is forgotten. It reports again when it is back.
	forgetAfter = 15 * time.Second
	// roomWait is how long a job waits here before its taker asks other cells again. They say every 0.2 s whether they have
	// room.
	roomWait = 60 * time.Millisecond
	// refuseFactor times the objective is when a job that has not begun is refused: a client that is told sooner can go
	// elsewhere, and little is earned by what begins later.
	refuseFactor = 1.4
	// warmUp is how long a new owner refuses nothing that still earns something: it has to hear its workers first. After a
	// loss of power of all VMs half of the workers report within 0.3 s.
	warmUp = 400 * time.Millisecond
	// maxMisfits bounds how many tasks in a row may find no room before a pass ends.
	maxMisfits = 12
	// newRunTime is expected of a task whose queue has no results yet and that declares no size.
	newRunTime = 200 * time.Millisecond
	// learnWeight is the weight of a new run time in a queue's mean.
	learnWeight = 0.05
	// speedWeight is the weight of a new run time in a worker's speed, and speedLimit bounds how far one result counts.
	speedWeight = 0.15
	speedLimit  = 5
	// quarantineAfter failures in a row, of more than one job, leave a worker out for quarantineFirst, doubled up to
	// quarantineMost.
	quarantineAfter = 3
	quarantineFirst = time.Second
	quarantineMost  = 8 * time.Second
	// hangFactor times the expected run time, and at least hangLeast, without progress is when a run counts as hanging.
	hangFactor = 3
	hangLeast  = 500 * time.Millisecond
)

// Resources are what a task asks for or a worker has.
type Resources struct {
	// Millicores are thousandths of a core; Memory is in MiB.
	Millicores, Memory, Accelerators int64
}

func (r Resources) fits(o Resources) bool {
	return r.Millicores <= o.Millicores && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// times returns how often ask fits into r; a task that asks for nothing fits without limit.
func (r Resources) times(ask Resources) int64 {
	n := int64(math.MaxInt32)
	for _, p := range [][2]int64{{r.Millicores, ask.Millicores}, {r.Memory, ask.Memory}, {r.Accelerators, ask.Accelerators}} {
		if p[1] > 0 {
			n = min(n, max(p[0], 0)/p[1])
		}
	}
	return n
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.Millicores + o.Millicores, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.Millicores - o.Millicores, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Step is a group of equal tasks.
type Step struct {
	Count int
	Ask   Resources
	// Estimate is the declared run time; it may be off by much. 0 when none is declared.
	Estimate time.Duration
	// DependsOn lists earlier steps whose tasks must all be done first.
	DependsOn []int
	// Requirement is a label that the worker must have; DataRack one that it should have.
	Requirement, DataRack string
	// AntiAffinity is the most tasks of the step on one worker; 0 when unlimited.
	AntiAffinity int
}

// Job is a best-effort job.
type Job struct {
	ID, Queue, Service, Spec string
	Steps                    []Step
	// Taker is the entry VM that holds the client's request, in the run that Incarnation names.
	Taker       string
	Incarnation uint64
	// Arrived is when the client's request arrived at the taker.
	Arrived time.Time
	// MayRun is true where an earlier owner may have started tasks.
	MayRun bool
	// OnlyWithRoom is true where the job is to be answered at once when it cannot start whole. Otherwise it is answered so
	// when it has not begun within roomWait, unless MayRun is true.
	OnlyWithRoom bool
	MaxAttempts  int
	Priority     int
	// The objective is Stretch times the longest run time and Target more.
	Stretch float64
	Target  time.Duration
}

// Listing is what a worker says of its runs.
type Listing struct {
	// Born is when the worker's incarnation started; 0 where it does not say.
	Born int64
	// Clock is the worker's clock in milliseconds when it answered.
	Clock   int64
	Running []Running
	Ended   []Ended
}

// Running is a run that a worker lists.
type Running struct {
	Task    string
	Attempt int
	// Percent is how much of the work is done.
	Percent int
}

// Ended is the end of a run that a worker lists.
type Ended struct {
	Number  uint64
	Task    string
	Attempt int
	How     End
}

// End is how a run ended.
type End int

// The ends of a run.
const (
	EndOther End = iota
	EndDone
	EndFailed
	EndStopped
	EndLapsed
)

// HoldOrder is the next look at a worker.
type HoldOrder struct {
	Worker *wire.WorkerReport
	// Until is the lease's end on the worker's clock in milliseconds; 0 leaves the lease as it is.
	Until int64
	// Ack is the number up to which ends are taken note of.
	Ack uint64
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
}

// Start is an order to start a task.
type Start struct {
	Worker  *wire.WorkerReport
	Task    string
	Attempt int
	Spec    string
	// Until is a lease's end on the worker's clock in milliseconds.
	Until int64
}

// Stop is an order to stop a run.
type Stop struct {
	Worker  *wire.WorkerReport
	Task    string
	Attempt int
}

// Answer is a job's outcome.
type Answer struct {
	Job        *Job
	Kind       wire.FleetOutcome_Kind
	RetryAfter time.Duration
	Reason     string
}

// Verdict is what is known of an order.
type Verdict int

// The verdicts on an order.
const (
	// Done: the worker did what it was told, or had done so before.
	Done Verdict = iota + 1
	// Unknown: no answer came; the order may still be carried out.
	Unknown
	// Gone: nothing listens at the worker's address, so nothing runs there.
	Gone
	// OtherIncarnation: another worker answers at the address.
	OtherIncarnation
	// Fenced: the worker has seen a higher fence.
	Fenced
	// Old: the attempt is not higher than one that was stopped or ended there.
	Old
	// Late: the lease had ended before the order arrived.
	Late
	// NoRoom: the worker guards its capacity, and the task does not fit.
	NoRoom
	// Unhealthy: the worker has refused the order and done nothing.
	Unhealthy
	// Invalid: the worker cannot read the order.
	Invalid
)

var verdictNames = [...]string{
	"none", "done", "unknown", "gone", "otherIncarnation", "fenced", "old", "late", "noRoom", "unhealthy", "invalid",
}

func (v Verdict) String() string { return verdictNames[v] }

// Output is what one call asks of its caller.
type Output struct {
	Starts  []Start
	Stops   []Stop
	Answers []Answer
	// Abandoned names the jobs that ended without an answer, since nobody waits for one.
	Abandoned []string
	// Notes are decisions for the log.
	Notes []Note
	// Deposed is true once a worker has seen a higher fence.
	Deposed bool
}

// Note is a decision that touches a run or a worker, with what decided it.
type Note struct {
	Text string
	Args []any
}

// taskName is the name of a task of a job without occurrences.
func taskName(job string, step, index int) string {
	return job + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}
