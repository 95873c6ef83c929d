package parser

// TaskFile describes one service and its tasks. It is kept next to the service's code.
type TaskFile struct {
	Service string `json:"service"`
	// AllowedTeams lists the teams that may submit tasks; empty admits every team.
	AllowedTeams []string `json:"callers,omitempty"`
	// RunsOn is "backendServers" (the default) or "workers".
	RunsOn string `json:"runsOn,omitempty"`
	// MaxQueued bounds the service's queued tasks in one failure domain; 0 stands for DefaultMaxQueued.
	MaxQueued int `json:"maxQueued,omitempty"`
	// Shares holds the teams' weights for fair sharing while more tasks are queued than can start. A team that is not
	// named has weight 1.
	Shares map[string]int `json:"shares,omitempty"`
	// Quotas bounds a team's running tasks in one failure domain.
	Quotas map[string]int `json:"quotas,omitempty"`
	// Overload is "refuse" (the default: refuse at once what cannot meet its deadline) or
	// "queue" (queue it until its deadline passes).
	Overload string `json:"overload,omitempty"`
	// Tasks lists the tasks that callers may submit.
	Tasks []TaskSpec `json:"tasks"`
}

// TaskSpec describes one task of a service.
type TaskSpec struct {
	Name string `json:"name"`
	// NonIdempotent tasks are sent to a server at most once and need a submission key.
	NonIdempotent bool `json:"nonIdempotent,omitempty"`
	// Timeout is the time from receipt to the deadline when the caller sets none.
	Timeout Duration `json:"timeout,omitzero"`
	// ExpectedRunTime is the initial estimate of the run time, used until run times have been measured.
	ExpectedRunTime Duration `json:"expectedRunTime,omitzero"`
	// Cores, Memory and Accelerators are the resources that the task needs on a worker, for example 1.5, "2GiB" and 1.
	Cores        float64 `json:"cores,omitempty"`
	Memory       Bytes   `json:"memory,omitempty"`
	Accelerators int     `json:"accelerators,omitempty"`
}
