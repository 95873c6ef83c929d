package scheduler

import (
	"time"

	"clementineyard/internal/estimator"
	"clementineyard/internal/placer"
	"clementineyard/wire"
)

// Resources is what a task asks of a worker, or what a worker offers.
type Resources = placer.Resources

// Announcement describes a backend server or worker under a lease.
type Announcement = placer.Announcement

// Service is the part of a task file that the scheduler needs.
type Service struct {
	Name      string
	OnWorkers bool
	// MaxQueued bounds the waiting tasks; zero means 100,000.
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
	// MayRun is true when no answer came in time: the server may still run the task.
	MayRun bool
	// RunTime is the time from the start to the answer.
	RunTime time.Duration
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
	// Load selects the load score of workers.
	Load placer.Load
}

// Expired is a queued task that was removed without being started.
type Expired struct {
	ID     uint64
	Reason wire.Reason
}

// Stats is what the scheduler knows of itself.
type Stats struct {
	// Queued counts the waiting tasks, Short and Long by class; held tasks are included.
	Queued, Short, Long int
	// Running counts the tasks in flight.
	Running int
	// Overran counts the running tasks that run much longer than predicted.
	Overran int
	// Quarantined counts the servers in quarantine or on probation.
	Quarantined int
	// Learned counts the tasks of services whose run time is known from enough results.
	Learned int
	// Refused counts the refused submissions by reason.
	Refused map[wire.Reason]uint64
	// Wait compares the waits predicted at admission with the real ones.
	Wait estimator.WaitError
}
