package parser

// TaskFile describes one service's tasks. It stands beside the service's code.
type TaskFile struct {
	Service string `json:"service"`
	// Callers lists the teams that may submit; empty admits every team.
	Callers []string `json:"callers,omitempty"`
	// RunsOn is "backendServers" (the default) or "workers".
	RunsOn string `json:"runsOn,omitempty"`
	// MaxQueued bounds the tasks that wait in one failure domain; 0 takes the default of 20,000.
	MaxQueued int `json:"maxQueued,omitempty"`
	// Shares weighs teams against each other while more work waits than can start; a team not named weighs 1.
	Shares map[string]int `json:"shares,omitempty"`
	// Quotas caps a team's running tasks in one failure domain.
	Quotas map[string]int `json:"quotas,omitempty"`
	// Overload is "refuse" (the default: refuse early what cannot meet its deadline) or
	// "queue" (hold it until its deadline passes).
	Overload string `json:"overload,omitempty"`
	// Tasks lists the tasks callers may name.
	Tasks []TaskSpec `json:"tasks"`
}

// TaskSpec describes one task of a service.
type TaskSpec struct {
	Name string `json:"name"`
	// NonIdempotent tasks are sent at most once and need a submission key.
	NonIdempotent bool `json:"nonIdempotent,omitempty"`
	// Timeout is the time from receipt to the deadline when the caller sets none.
	Timeout Duration `json:"timeout,omitzero"`
	// ExpectedRunTime is a first guess, used until run times have been learned.
	ExpectedRunTime Duration `json:"expectedRunTime,omitzero"`
	// Cores, Memory and Accelerators are asked of a worker, for example 1.5, "2GiB" and 1.
	Cores        float64 `json:"cores,omitempty"`
	Memory       Bytes   `json:"memory,omitempty"`
	Accelerators int     `json:"accelerators,omitempty"`
}
