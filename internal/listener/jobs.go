package listener

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"clementineyard/internal/parser"
	"clementineyard/wire"
)

// Job is the JSON body of POST /v1/jobs.
type Job struct {
	Key     string `json:"key"`
	Team    string `json:"team"`
	Service string `json:"service"`
	// TimeoutMilliseconds counts from receipt of the job. When absent, the longest timeout of the job's tasks applies.
	TimeoutMilliseconds *int64    `json:"timeoutMilliseconds,omitempty"`
	Tasks               []JobTask `json:"tasks"`
}

// JobTask is one task of a Job.
type JobTask struct {
	ID   string `json:"id"`
	Task string `json:"task"`
	// Payload is any JSON value; the server receives its bytes unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
	// RunTimeMilliseconds is the caller's estimate of the run time; 0 when the caller gives none.
	RunTimeMilliseconds int64 `json:"runTimeMilliseconds,omitempty"`
	// Cores, Memory and Accelerators are the resources that the task needs on a worker.
	Cores        float64      `json:"cores,omitempty"`
	Memory       parser.Bytes `json:"memory,omitempty"`
	Accelerators int64        `json:"accelerators,omitempty"`
}

// JobAnswer is the JSON body of the answer to a job or its lookup.
type JobAnswer struct {
	Key     string `json:"key"`
	Outcome string `json:"outcome"`
	// State is "complete", "failed" or "running".
	State  string          `json:"state"`
	Reason string          `json:"reason,omitempty"`
	Detail string          `json:"detail,omitempty"`
	Tasks  []JobTaskAnswer `json:"tasks,omitempty"`
}

// JobTaskAnswer is one task's part of a JobAnswer.
type JobTaskAnswer struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// Status is the HTTP status of the server's answer.
	Status int32 `json:"status,omitempty"`
	// Payload is the body of the server's answer: unchanged when it is JSON, otherwise as a JSON string.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// CancelAnswer is the JSON body of the answer to POST /v1/cancellations.
type CancelAnswer struct {
	// NotStarted counts the tasks that were cancelled before they started.
	NotStarted int64 `json:"notStarted"`
	// Running counts the tasks that had already started and were asked to stop.
	Running int64 `json:"running"`
	// Ignored counts the keys that are unknown, finished or of another team.
	Ignored int64 `json:"ignored"`
}

var stateNames = map[wire.State]string{
	wire.State_STATE_ACCEPTED: "running",
	wire.State_STATE_COMPLETE: "complete",
	wire.State_STATE_FAILED:   "failed",
}

// toSubmission validates the job and converts it to a submission.
func (j *Job) toSubmission(maxTasks int) (*wire.Submission, *requestError) {
	if j.Key == "" {
		return nil, invalidField("key", "must be given; POST /v1/keys returns one")
	}
	if len(j.Tasks) == 0 || len(j.Tasks) > maxTasks {
		return nil, invalidField("tasks", "must hold 1 to "+strconv.Itoa(maxTasks)+" tasks, got "+strconv.Itoa(len(j.Tasks)))
	}
	s := &wire.Submission{Key: j.Key, Team: j.Team, Service: j.Service, Tasks: make([]*wire.Task, len(j.Tasks))}
	seen := make(map[string]struct{}, len(j.Tasks))
	// Tasks and resources take one allocation each, because all tasks of a job have the same lifetime.
	wireTasks, wireResources := make([]wire.Task, len(j.Tasks)), make([]wire.Resources, len(j.Tasks))
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if reqErr := t.validate(i); reqErr != nil {
			return nil, reqErr
		}
		if _, duplicate := seen[t.ID]; duplicate {
			return nil, invalidField(taskField(i)+".id", "is used twice")
		}
		seen[t.ID] = struct{}{}
		task, resources := &wireTasks[i], &wireResources[i]
		resources.Millicores, resources.Memory, resources.Accelerators = int64(t.Cores*1000), int64(t.Memory), t.Accelerators
		task.Id, task.Name, task.Payload, task.DeclaredMillis, task.Ask = t.ID, t.Task, t.Payload, t.RunTimeMilliseconds, resources
		task.ContentType = jsonType
		s.Tasks[i] = task
	}
	return s, nil
}

// validate checks one task; i is its index in the job.
func (t *JobTask) validate(i int) *requestError {
	switch {
	case t.ID == "" || len(t.ID) > maxIDBytes:
		return invalidField(taskField(i)+".id", "must hold 1 to 128 bytes")
	case !isHeaderValue(t.ID):
		return invalidField(taskField(i)+".id", headerValueRule)
	case t.RunTimeMilliseconds < 0 || t.RunTimeMilliseconds > maxTimeout.Milliseconds():
		return invalidField(taskField(i)+".runTimeMilliseconds", "must be a number from 0 to 600000")
	case t.Cores < 0 || t.Cores > maxCores || t.Accelerators < 0:
		return invalidField(taskField(i), "cores and accelerators must not be negative, nor cores above 1000000")
	}
	return nil
}

// taskField returns the path of the i-th task in a job.
func taskField(i int) string { return "tasks[" + strconv.Itoa(i) + "]" }

// writeAnswer writes the answer to a job. A submission that is still running gets status 202.
func writeAnswer(ctx *fasthttp.RequestCtx, a *wire.Answer) {
	out := JobAnswer{
		Key: a.Key, Outcome: outcomeNames[a.Outcome], State: stateNames[a.State], Reason: ReasonName(a.Reason), Detail: a.Detail,
	}
	if len(a.Tasks) > 0 {
		out.Tasks = make([]JobTaskAnswer, 0, len(a.Tasks))
	}
	for _, t := range a.Tasks {
		out.Tasks = append(out.Tasks, JobTaskAnswer{
			ID: t.Id, Outcome: outcomeNames[t.Outcome], Reason: ReasonName(t.Reason), Status: t.Status, Payload: jsonPayload(t.Payload),
		})
	}
	setOutcome(ctx, a.Outcome, a.Reason)
	setRetryAfter(ctx, a.RetryAfterMillis)
	status := httpStatus(a.Outcome, a.Reason)
	if a.State == wire.State_STATE_ACCEPTED {
		status = fasthttp.StatusAccepted
	}
	writeJSON(ctx, status, out)
}

// jsonPayload returns b unchanged when it is JSON, otherwise as a JSON string; nil when b is empty.
func jsonPayload(b []byte) json.RawMessage {
	if len(b) == 0 {
		return nil
	}
	if json.Valid(b) {
		return b
	}
	quoted, err := json.Marshal(string(b))
	if err != nil {
		return nil
	}
	return quoted
}
