package scheduler

import (
	"time"

	"clementineyard/internal/estimator"
	"clementineyard/internal/placer"
	"clementineyard/wire"
)

// Resources is an amount of worker resources: what a task asks for, or what a worker offers.
type Resources = placer.Resources

// Announcement describes a backend server or worker under a lease.
type Announcement = placer.Announcement

// Service is the part of a service's task file that the scheduler uses.
type Service struct {
	Name string
	// OnWorkers is true when the tasks run on workers instead of backend servers.
	OnWorkers bool
	// MaxQueued limits the service's waiting tasks; zero means 100,000.
	MaxQueued int
	// TeamWeights maps a team to its weight in fair sharing; a team that is not listed has weight 1.
	TeamWeights map[string]int
	// TeamQuotas maps a team to the maximum number of its running tasks; a team that is not listed has no limit.
	TeamQuotas map[string]int
	// QueueOnOverload keeps tasks queued until their deadline instead of refusing those whose deadline looks
	// unreachable.
	QueueOnOverload bool
	Tasks           []TaskSpec
}

// TaskSpec describes one type of task of a service.
type TaskSpec struct {
	Name          string
	NonIdempotent bool
	// Declared is the declared run time; zero when there is none.
	Declared time.Duration
	// Ask is the resources that each task asks of a worker.
	Ask Resources
}

// Task is one task to schedule.
type Task struct {
	// ID is unique within the owner's epoch.
	ID            uint64
	Service, Name string
	Team          string
	// Submission is the key of the task's submission; empty for a request without a key.
	Submission string
	Deadline   time.Time
	// Ask overrides the task file's resources unless it is zero.
	Ask Resources
	// Declared is the caller's estimate of the run time; zero when there is none.
	Declared time.Duration
	// Held tasks are queued but do not start before Release is called, while their record is being replicated.
	Held bool
}

// Start tells the caller to send a task to a server.
type Start struct {
	Task    Task
	Server  string
	Address string
}

// Refusal is the reason why a submission was not admitted, with advice on when to retry.
type Refusal struct {
	Reason        wire.Reason
	RetryAfter    time.Duration
	EstimatedWait time.Duration
}

// Result is the result of a started task.
type Result struct {
	// Failed is true when the server answered with an error or did not answer.
	Failed bool
	// NotStarted is true when the task provably did not start on the server.
	NotStarted bool
	// MayStillRun is true when no answer came in time: the server may still be running the task.
	MayStillRun bool
	// RunTime is the time from the start to the answer.
	RunTime time.Duration
}

// CancelState is the state in which a cancellation found its task.
type CancelState int

// The possible states of a task at its cancellation.
const (
	CancelUnknown CancelState = iota
	CancelQueued
	CancelRunning
)

// Policy selects the scheduling policy.
type Policy int

// PolicyBaseline places tasks on random servers, first in first out, with unlimited queues and no learning.
// Measurements compare the default policy with it.
const (
	PolicyDefault Policy = iota
	PolicyBaseline
)

// Config configures a Scheduler.
type Config struct {
	// Seed makes random choices reproducible.
	Seed   uint64
	Policy Policy
	// Load selects how the load of workers is scored.
	Load placer.LoadScore
}

// Expired is a queued task that was removed without being started, and the reason.
type Expired struct {
	ID     uint64
	Reason wire.Reason
}

// Stats is a snapshot of the scheduler's gauges and counters.
type Stats struct {
	// Queued counts the waiting tasks, QueuedShort and QueuedLong those of each class; held tasks are included.
	Queued, QueuedShort, QueuedLong int
	// Running counts the tasks in flight.
	Running int
	// Overrun counts the running tasks that have run much longer than predicted.
	Overrun int
	// Quarantined counts the servers in quarantine or on probation.
	Quarantined int
	// LearnedTaskTypes counts the task types whose run time is known from enough results.
	LearnedTaskTypes int
	// Refused counts the refused submissions by reason.
	Refused map[wire.Reason]uint64
	// WaitError compares the waits predicted at admission with the actual ones.
	WaitError estimator.WaitError
}
