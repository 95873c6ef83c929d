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
	// TimeoutMilliseconds counts from receipt; absent means the longest timeout of the job's tasks.
	TimeoutMilliseconds *int64    `json:"timeoutMilliseconds,omitempty"`
	Tasks               []JobTask `json:"tasks"`
}

// JobTask is one task of a Job.
type JobTask struct {
	ID   string `json:"id"`
	Task string `json:"task"`
	// Payload is any JSON value; the server receives its bytes.
	Payload json.RawMessage `json:"payload,omitempty"`
	// RunTimeMilliseconds is the caller's guess.
	RunTimeMilliseconds int64        `json:"runTimeMilliseconds,omitempty"`
	Cores               float64      `json:"cores,omitempty"`
	Memory              parser.Bytes `json:"memory,omitempty"`
	Accelerators        int64        `json:"accelerators,omitempty"`
}

// JobAnswer is the JSON body of a job's answer.
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
	// Payload is the server's answer: as it is when it is JSON, else as a JSON string.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// CancelAnswer is the JSON body of the answer to POST /v1/cancellations.
type CancelAnswer struct {
	// NotStarted counts tasks that will never start, Running those that had started and were asked to stop, and
	// Ignored the keys that are unknown, finished or of another team.
	NotStarted int64 `json:"notStarted"`
	Running    int64 `json:"running"`
	Ignored    int64 `json:"ignored"`
}

var stateNames = map[wire.State]string{
	wire.State_STATE_ACCEPTED: "running",
	wire.State_STATE_COMPLETE: "complete",
	wire.State_STATE_FAILED:   "failed",
}

func (j *Job) submission(maxTasks int) (*wire.Submission, *badInput) {
	if j.Key == "" {
		return nil, invalid("key", "must be given; POST /v1/keys returns one")
	}
	if len(j.Tasks) == 0 || len(j.Tasks) > maxTasks {
		return nil, invalid("tasks", "must hold 1 to "+strconv.Itoa(maxTasks)+" tasks, got "+strconv.Itoa(len(j.Tasks)))
	}
	s := &wire.Submission{Key: j.Key, Team: j.Team, Service: j.Service, Tasks: make([]*wire.Task, len(j.Tasks))}
	seen := make(map[string]struct{}, len(j.Tasks))
	// Two allocations for all tasks: they are kept and dropped together.
	tasks, asks := make([]wire.Task, len(j.Tasks)), make([]wire.Resources, len(j.Tasks))
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if bad := t.check(i); bad != nil {
			return nil, bad
		}
		if _, twice := seen[t.ID]; twice {
			return nil, invalid(taskField(i)+".id", "is used twice")
		}
		seen[t.ID] = struct{}{}
		w, ask := &tasks[i], &asks[i]
		ask.Millicores, ask.Memory, ask.Accelerators = int64(t.Cores*1000), int64(t.Memory), t.Accelerators
		w.Id, w.Name, w.Payload, w.DeclaredMillis, w.Ask = t.ID, t.Task, t.Payload, t.RunTimeMilliseconds, ask
		w.ContentType = jsonType
		s.Tasks[i] = w
	}
	return s, nil
}

// check validates one task; i is its position in the job.
func (t *JobTask) check(i int) *badInput {
	switch {
	case t.ID == "" || len(t.ID) > maxIDBytes:
		return invalid(taskField(i)+".id", "must hold 1 to 128 bytes")
	case !isHeaderValue(t.ID):
		return invalid(taskField(i)+".id", headerValueRule)
	case t.RunTimeMilliseconds < 0 || t.RunTimeMilliseconds > maxTimeout.Milliseconds():
		return invalid(taskField(i)+".runTimeMilliseconds", "must be a number from 0 to 600000")
	case t.Cores < 0 || t.Cores > maxCores || t.Accelerators < 0:
		return invalid(taskField(i), "cores and accelerators must not be negative, nor cores above 1000000")
	}
	return nil
}

func taskField(i int) string { return "tasks[" + strconv.Itoa(i) + "]" }

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
	s := status(a.Outcome, a.Reason)
	if a.State == wire.State_STATE_ACCEPTED {
		s = fasthttp.StatusAccepted
	}
	writeJSON(ctx, s, out)
}

func jsonPayload(b []byte) json.RawMessage {
	if len(b) == 0 {
		return nil
	}
	if json.Valid(b) {
		return b
	}
	q, err := json.Marshal(string(b))
	if err != nil {
		return nil
	}
	return q
}
