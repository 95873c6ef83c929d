package scheduler

import (
	"time"

	"clementineyard/wire"
)

// Resources is what a task asks of a worker, or what a worker offers.
type Resources struct {
	// Millicores counts thousandths of a core.
	Millicores int64
	// Memory counts bytes.
	Memory       int64
	Accelerators int64
}

// Service is the part of a task file that the scheduler needs.
type Service struct {
	Name      string
	OnWorkers bool
	MaxQueued int
	// Shares weighs teams; a team not named weighs 1.
	Shares map[string]int
	// Quotas caps a team's running tasks.
	Quotas map[string]int
	// QueueOnOverload holds tasks until their deadline instead of refusing those whose deadline looks unreachable.
	QueueOnOverload bool
	Tasks           []TaskSpec
}

// TaskSpec is the part of a task's description that the scheduler needs.
type TaskSpec struct {
	Name          string
	NonIdempotent bool
	Declared      time.Duration
	Ask           Resources
}

// Task is one unit of work.
type Task struct {
	// ID is unique within the owner's epoch.
	ID            uint64
	Service, Name string
	Team          string
	// Submission is the key of the task's submission; empty for a request without a key.
	Submission string
	Deadline   time.Time
	// Ask overrides the task file's resources where it is not zero.
	Ask Resources
	// Declared is the caller's guess of the run time; zero when there is none.
	Declared time.Duration
	// Held tasks wait in the queue but do not start before Release, while their record is replicated.
	Held bool
}

// Start tells the caller to send one task to one server.
type Start struct {
	Task    Task
	Server  string
	Address string
}

// Refusal says why a submission is not admitted.
type Refusal struct {
	Reason        wire.Reason
	RetryAfter    time.Duration
	EstimatedWait time.Duration
}

// Result is what became of a started task.
type Result struct {
	// Failed is true when the server answered with an error or did not answer.
	Failed bool
	// NotStarted is true when the work provably did not start on the server.
	NotStarted bool
	// RunTime is the time from the start to the answer.
	RunTime time.Duration
}

// Announcement describes a backend server or worker under a lease.
type Announcement struct {
	Name        string
	Incarnation uint64
	Worker      bool
	// Address is IP:port.
	Address     string
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

// CancelState tells what a cancellation found.
type CancelState int

// The states a cancellation can find.
const (
	CancelUnknown CancelState = iota
	CancelledQueued
	CancelRunning
)

// Policy selects the decisions.
type Policy int

// PolicyBaseline is random choice of server, first in first out, unlimited queue, no learning; for measurements.
const (
	PolicyDefault Policy = iota
	PolicyBaseline
)

// Config constructs a Scheduler.
type Config struct {
	// Seed makes random choices repeatable.
	Seed   uint64
	Policy Policy
}
