package allocator

import (
	"math"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"clementineyard/wire"
)

const (
	// minClockRate is the lowest rate of a worker's clock relative to this VM's monotonic clock. The platform states a
	// drift of at most 2%.
	minClockRate = 0.98
	// expiryMargin covers the time that a worker takes to end its runs once their lease has expired.
	expiryMargin = 20 * time.Millisecond
	// holdPollTime is how long a worker may delay its reply to a hold until a run ends. A third of the lease leaves room
	// for two failed holds.
	holdPollTime = 300 * time.Millisecond
	// fencingDelay is how long an earlier owner that lives on may take to learn that it is replaced, once a worker has seen
	// this owner's fence: its open hold at that worker lasts for holdPollTime and a margin of 0.2 s for the reply.
	fencingDelay = holdPollTime + 200*time.Millisecond
	// maxPause is how long an owner may be inactive without suspecting that it is replaced. The voters replace an owner at
	// the earliest 0.5 s after its last sign of life, or 0.25 s after its connection ended, which a pause does not cause.
	maxPause = 400 * time.Millisecond
	// resumeDelay is how long an owner starts nothing after a pause: the time in which workers that have a new owner refuse
	// its holds. A round trip takes less than a millisecond, and some tens of them on a small busy VM.
	resumeDelay = 100 * time.Millisecond
	// successionDelay is how long the voters wait at least, after an owner's last sign of life, before they replace it.
	successionDelay = 250 * time.Millisecond
	// minLeaseLeft is how much of a worker's lease must be left for a start to be sent: the time of the start and of the
	// next hold.
	minLeaseLeft = 250 * time.Millisecond
	// settleTimeout is how long a start without a reply waits for a listing that shows whether it was carried out: the time
	// that a worker may take to answer a probe, and a margin.
	settleTimeout = 120 * time.Millisecond
	// overdueFactor times its expected run time after a run was started, its end is overdue: the reply to the hold that tells
	// it may be lost. The worker is then probed every overdueProbeInterval at most, or once an expected run time where that
	// is longer. One run in ten takes so long by itself.
	overdueFactor        = 1.5
	overdueProbeInterval = 100 * time.Millisecond
	// lostHoldGrace is how long the reply to a hold may come after a probe has listed ends that it should have told. Then it
	// counts as lost, and another hold is sent without waiting for its time-out.
	lostHoldGrace = 20 * time.Millisecond
	// probeBackoffMin and probeBackoffMax bound the delay between holds to a worker that does not answer.
	probeBackoffMin = 50 * time.Millisecond
	probeBackoffMax = 400 * time.Millisecond
	// stopRetryDelay is the delay before an unacknowledged stop is sent again.
	stopRetryDelay = 150 * time.Millisecond
	// orphanGracePeriod is how long the run of an unknown job may continue after it was first listed. Entry VMs resubmit
	// their jobs to a new owner within a few round trips.
	orphanGracePeriod = 400 * time.Millisecond
	// outcomeRetention is how long a job's outcome, and the end of an unknown job's run, is kept. A client asks again 1.3
	// s after it lost its entry VM; an entry VM that was frozen for some seconds asks when it resumes.
	outcomeRetention = 10 * time.Second
	// maxOutcomes bounds the outcomes that are kept when a job is cancelled that is not known here: clients choose the ids.
	maxOutcomes = 20_000
	// forgetWorkerAfter is how long a worker may be unreachable before it gets a hold only every silentProbeInterval.
	forgetWorkerAfter   = 15 * time.Second
	silentProbeInterval = 5 * time.Second
	// removeWorkerAfter is how long a worker may be unreachable before it is removed: as long as entry VMs keep a report.
	// Until then no report may tell that the worker is back, as voters pass on only changed ones.
	removeWorkerAfter = 10 * time.Minute
	// defaultRunTime is the expected run time of a task without an estimate whose queue has no results yet.
	defaultRunTime = 200 * time.Millisecond
	// runTimeWeight is the weight of a new sample in the moving averages of a queue.
	runTimeWeight = 0.05
	// slowdownWeight is the weight of a new sample in a worker's slowdown.
	slowdownWeight = 0.15
	// maxRunTimeRatio bounds the ratio of a run time to the expected or estimated one, so that no single result counts for
	// too much.
	maxRunTimeRatio = 5
	// quarantineThreshold is how many consecutive failures, of more than one job, quarantine a worker. The first
	// quarantine lasts quarantineMin; each further one lasts twice as long, up to quarantineMax.
	quarantineThreshold = 3
	quarantineMin       = time.Second
	quarantineMax       = 8 * time.Second
	// A run counts as hung when it has taken hangFactor times its expected run time, and at least minHangTime, and has
	// made no progress for minHangTime.
	hangFactor  = 3
	minHangTime = 500 * time.Millisecond
	// maxOrdersInFlight bounds the starts without a result, and the stops. Each holds a goroutine and a request of the owner, and
	// tasks that request no resources would otherwise all start at once.
	maxOrdersInFlight = 512
	// maxRunsPerWorker bounds the runs of a worker where its capacity does not, as for tasks that request no resources.
	maxRunsPerWorker = 1000
)

// Resources are the resources that a task requests or that a worker has.
type Resources struct {
	// Millicores are thousandths of a core, and Accelerators counts devices.
	Millicores, MemoryMiB, Accelerators int64
}

// fitsIn reports whether r is at most o in every dimension.
func (r Resources) fitsIn(o Resources) bool {
	return r.Millicores <= o.Millicores && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

// capacityFor returns how many tasks that each request ask fit into r: math.MaxInt32 when ask is zero.
func (r Resources) capacityFor(ask Resources) int64 {
	n := int64(math.MaxInt32)
	for _, p := range [][2]int64{{r.Millicores, ask.Millicores}, {r.MemoryMiB, ask.MemoryMiB}, {r.Accelerators, ask.Accelerators}} {
		if p[1] > 0 {
			n = min(n, max(p[0], 0)/p[1])
		}
	}
	return n
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.Millicores + o.Millicores, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.Millicores - o.Millicores, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count int
	Ask   Resources
	// Estimate is the declared run time of a task, which may be far off; 0 when none is declared.
	Estimate time.Duration
	// DependsOn holds the indices of the earlier steps that must be complete before this one starts.
	DependsOn []int
	// Requirement is a label that the worker must have, and DataRack one that it should have; empty when there is none.
	Requirement, DataRack string
	// AntiAffinity is the maximum number of the step's tasks on one worker; 0 when unlimited.
	AntiAffinity int
}

// Job is a best-effort job.
type Job struct {
	ID, Queue, Service, Spec string
	Steps                    []Step
	// Taker is the entry VM that holds the client's request, and Incarnation identifies its process. Submission numbers the
	// requests that the process has taken.
	Taker                   string
	Incarnation, Submission uint64
	// ArrivedAt is when the client's request arrived at the taker.
	ArrivedAt time.Time
	// MayHaveStarted is true when an earlier owner may have started tasks of the job.
	MayHaveStarted bool
	// MayRunElsewhere is true when another cell has given the job up and may still run tasks of it.
	MayRunElsewhere bool
	// RejectIfFull asks for an immediate NO_ROOM answer when the job's first steps cannot start as a whole; where tasks compete for
	// workers, when they are not expected to start as a whole soon (plannedRoom). Otherwise
	// NO_ROOM is the answer when the job has not started within spilloverDelay. With MayHaveStarted that is so only if
	// RejectIfFull is true, and once the runs of earlier owners are known.
	RejectIfFull bool
	MaxAttempts  int
	// Priority is that of the job's queue; 0 is the most urgent.
	Priority int
	// Origin is the failure domain of the taker, and Account the client's account; empty where not known.
	Origin, Account string
	// The latency objective is StretchFactor times the expected run time of the longest chain of steps, plus
	// TargetLatency.
	StretchFactor float64
	TargetLatency time.Duration
}

// stepBytes is what a step takes in memory beside its labels and dependencies.
const stepBytes = 160

// Size returns about how many bytes the job takes in memory: its steps may take ten times the bytes in which they were sent.
func (j *Job) Size() int {
	n := len(j.Spec) + stepBytes*len(j.Steps)
	for i := range j.Steps {
		s := &j.Steps[i]
		n += 8*len(s.DependsOn) + len(s.Requirement) + len(s.DataRack)
	}
	return n
}

// CancelledReason is the reason in the outcome of a job that its client has cancelled.
const CancelledReason = "cancelled by the client"

const (
	// MaxTasks bounds the tasks of one job, so that a small message cannot ask for more memory than a VM has.
	MaxTasks = 10_000
	// MaxEstimate bounds the declared run time of a task. Tasks run for less than a second.
	MaxEstimate = 24 * time.Hour
	// maxAge bounds how long ago a job's request may have arrived. Clients wait for some seconds.
	maxAge = time.Hour
)

// Validate returns an error for a job with values that an Allocator cannot handle. now is when it arrived here.
func (j *Job) Validate(now time.Time) error {
	tasks := 0
	for i, s := range j.Steps {
		tasks += min(max(s.Count, 0), MaxTasks+1)
		switch {
		case s.Count <= 0 || tasks > MaxTasks:
			return eris.Errorf("job: steps[%d]: a count of tasks below 1, or more than %d tasks in total", i, MaxTasks)
		case s.Ask.Millicores < 0 || s.Ask.MemoryMiB < 0 || s.Ask.Accelerators < 0 || s.AntiAffinity < 0:
			return eris.Errorf("job: steps[%d]: a negative amount", i)
		case s.Estimate < 0 || s.Estimate > MaxEstimate:
			return eris.Errorf("job: steps[%d]: an estimate of %v is out of range", i, s.Estimate)
		}
		for _, d := range s.DependsOn {
			if d < 0 || d >= i {
				return eris.Errorf("job: steps[%d] depends on %d, which is no earlier step", i, d)
			}
		}
	}
	switch age := now.Sub(j.ArrivedAt); {
	case len(j.Steps) == 0:
		return eris.New("job: no steps")
	case !(j.StretchFactor >= 0 && j.StretchFactor <= math.MaxInt32) || j.TargetLatency < 0 || j.TargetLatency > MaxEstimate:
		return eris.New("job: the stretch factor or the target latency is out of range")
	case age < 0 || age > maxAge:
		return eris.Errorf("job: an age of %v is out of range", age)
	}
	return nil
}

// Listing is a worker's reply to a hold: the runs that are under way and those that have ended.
type Listing struct {
	// Born is when the worker's incarnation started; 0 when the worker does not state it.
	Born int64
	// Clock is the worker's clock in milliseconds when it answered.
	Clock   int64
	Running []ListedRun
	Ended   []RunEnd
	// Incomplete is true when the worker lists runs under way that could not be decoded. The absence of a run then proves
	// nothing.
	Incomplete bool
}

// ListedRun is a run that a worker lists as under way.
type ListedRun struct {
	Task    string
	Attempt int
	// Percent is the run's progress, from 0 to 100.
	Percent int
}

// RunEnd is a run that a worker lists as ended.
type RunEnd struct {
	// Number is the end's sequence number in the worker's incarnation.
	Number  uint64
	Task    string
	Attempt int
	Kind    EndKind
}

// EndKind is how a run ended.
type EndKind int

// The ways in which a run can end.
const (
	// EndOther is any end that has no constant of its own.
	EndOther EndKind = iota
	EndDone
	EndFailed
	EndStopped
	// EndLeaseExpired: the worker ended the run because its lease had expired.
	EndLeaseExpired
)

// HoldOrder is an order to hold a worker: it renews the worker's lease, acknowledges ends and asks for a Listing.
type HoldOrder struct {
	Worker *wire.WorkerReport
	// LeaseEnd is the lease's new end on the worker's clock in milliseconds; 0 leaves the lease as it is.
	LeaseEnd int64
	// Ack acknowledges the ends up to this number, which the worker may forget.
	Ack uint64
	// PollTime is how long the worker may delay its reply until a run ends.
	PollTime time.Duration
	// Number is the number of the hold to this worker; 0 for a probe.
	Number uint64
	// Probe is true for an order beside a hold that is in flight. It only asks for the Listing, as the reply to a start or to
	// the hold seems to be lost.
	Probe bool
}

// StartOrder is an order to start a task.
type StartOrder struct {
	Worker  *wire.WorkerReport
	Task    string
	Attempt int
	Spec    string
	// LeaseEnd is the lease's end on the worker's clock in milliseconds.
	LeaseEnd int64
}

// StopOrder is an order to stop a run.
type StopOrder struct {
	Worker *wire.WorkerReport
	// Born is the worker's current incarnation, which may be later than that of its newest report.
	Born    int64
	Task    string
	Attempt int
}

// Answer is the outcome of a job, for its taker.
type Answer struct {
	Job  *Job
	Kind wire.FleetOutcome_Kind
	// NeverStarted is true with NO_ROOM if nothing of the job is known to have run here, also when it was submitted before.
	NeverStarted bool
	// HeldBy is the cell that has the job, with HELD.
	HeldBy string
	// RetryAfter is how long the client should wait before it submits the job again; 0 when nothing is advised.
	RetryAfter time.Duration
	Reason     string
}

// Verdict is the result of an order to a worker, as far as it is known.
type Verdict int

// The results of an order.
const (
	// Done: the worker carried out the order, now or before.
	Done Verdict = iota + 1
	// Unknown: no reply arrived; the order may still be carried out.
	Unknown
	// NotDelivered: no connection could be opened, so the order was not carried out. The worker may still run its tasks: a
	// partition can refuse connections.
	NotDelivered
	// OtherIncarnation: another incarnation, or another worker, answers at the address.
	OtherIncarnation
	// Fenced: the worker has seen a higher fencing token.
	Fenced
	// StaleAttempt: the attempt is not higher than one that was stopped or has ended on the worker.
	StaleAttempt
	// LeaseExpired: the lease had expired before the order arrived.
	LeaseExpired
	// NoRoom: the worker enforces its capacity, and the task does not fit.
	NoRoom
	// Unhealthy: the worker refused the order and did nothing.
	Unhealthy
	// Invalid: the worker cannot decode the order.
	Invalid
)

var verdictNames = [...]string{
	"none", "done", "unknown", "notDelivered", "otherIncarnation", "fenced", "old", "late", "noRoom", "unhealthy", "invalid",
}

func (v Verdict) String() string { return verdictNames[v] }

// Output is what the caller of an Allocator's method has to carry out.
type Output struct {
	Starts  []StartOrder
	Stops   []StopOrder
	Answers []Answer
	// Claims holds the claims to make for this cell, and Withdrawals those that end as nothing of their jobs runs here.
	Claims, Withdrawals []Claim
	// Rosters holds the rosters to propose to the voters.
	Rosters []RosterOrder
	// Abandoned holds the ids of the jobs that ended without an answer, as nobody waits for one.
	Abandoned []string
	// LogEntries describe decisions.
	LogEntries []LogEntry
	// Counts names a counter for each event that adds one to it.
	Counts []string
	// Deposed is true when a worker has seen a higher fencing token, so that another owner has replaced this one.
	Deposed bool
}

// Claim states that this cell has a job. The numbers of an allocator's claims differ.
type Claim struct {
	Job    string
	Number uint64
	// Confirmed is true if the cell has the job already, as the claim is repeated or something of the job may run here.
	Confirmed bool
}

// ClaimResult is what is known after a claim.
type ClaimResult struct {
	// Holder is the cell that has the job: this one if no reply arrived, as cells that are cut off from the others go on.
	Holder string
	// ClaimedBefore is true if this cell had claimed the job before, and Verified if a register has answered that knows all claims.
	ClaimedBefore, Verified bool
	// Index is that of the agreed state by which the registers were asked.
	Index uint64
}

// LogEntry is a log entry on a decision about a job, a run or a worker. Args alternates keys and values.
type LogEntry struct {
	Message string
	Args    []any
}

// taskName returns the name of a task: the job's id, occurrence 0, the step and the index, separated by dots.
func taskName(job string, step, index int) string {
	return job + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}
