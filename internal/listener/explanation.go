package listener

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"clementineyard/internal/parser"
	"clementineyard/wire"
)

// Verdicts of an Explanation.
const (
	// VerdictStarts: all tasks could start now.
	VerdictStarts = "starts"
	// VerdictWaits: the job would be admitted, and some tasks would wait.
	VerdictWaits = "waits"
	// VerdictRefused: the job would be refused.
	VerdictRefused = "refused"
	// VerdictKnown: the job's key is queued or running already, so that the job would get that one's answer.
	VerdictKnown = "known"
)

// Explanation is the JSON body of the answer to POST /v1/explanations: what would become of a job if it were submitted now.
type Explanation struct {
	// Service and Version name the task file that applies, by the version of the configuration in force at the owner.
	Service string `json:"service"`
	Version uint64 `json:"version"`
	// FailureDomain is where the job would run, and Owner the entry VM that decides there, in Epoch.
	FailureDomain string `json:"failureDomain"`
	Owner         string `json:"owner"`
	Epoch         uint64 `json:"epoch"`
	Verdict       string `json:"verdict"`
	// Reason is why the job would be refused, and RetryAfterMilliseconds the earliest retry that the refusal would advise.
	Reason                 string `json:"reason,omitempty"`
	RetryAfterMilliseconds int64  `json:"retryAfterMilliseconds,omitempty"`
	// StartMilliseconds is until the last task is expected to start, and EndMilliseconds until it is expected to end.
	StartMilliseconds int64                  `json:"startMilliseconds"`
	EndMilliseconds   int64                  `json:"endMilliseconds"`
	Tasks             []ExplainedTasks       `json:"tasks,omitempty"`
	Candidates        []ExplanationCandidate `json:"candidates,omitempty"`
}

// ExplainedTasks tells of the tasks of a job that are of one type and ask for the same.
type ExplainedTasks struct {
	Task  string  `json:"task"`
	Count int     `json:"count"`
	Class string  `json:"class"`
	Cores float64 `json:"cores"`
	// QueuedAhead counts the waiting tasks of the class, and TeamQueued those of the team among them.
	QueuedAhead         int   `json:"queuedAhead"`
	TeamQueued          int   `json:"teamQueued"`
	RunTimeMilliseconds int64 `json:"runTimeMilliseconds"`
	WaitMilliseconds    int64 `json:"waitMilliseconds"`
	// Servers counts the candidates, and Free those that could take a task now.
	Servers int `json:"servers"`
	Free    int `json:"free"`
}

// ExplanationCandidate is a server that serves the job's service.
type ExplanationCandidate struct {
	Task   string  `json:"task"`
	Server string  `json:"server"`
	Load   float64 `json:"load"`
	// FreeCores is what a worker has left; 0 for a backend server.
	FreeCores float64 `json:"freeCores"`
	// Rejected is why the server cannot take the task now; empty when it can.
	Rejected string `json:"rejected"`
}

// explanationTimeout bounds the wait for an explanation by another entry VM.
const explanationTimeout = 2 * time.Second

// explain serves POST /v1/explanations. Its body is a job as for POST /v1/jobs, whose key may be absent.
func (o *OperatorAPI) explain(ctx *fasthttp.RequestCtx) {
	in, reqErr := decodeJob(o.Acceptor, ctx.PostBody(), o.TasksPerJob)
	if reqErr != nil {
		writeRequestError(ctx, reqErr)
		return
	}
	s, reqErr := o.explainedSubmission(in)
	if reqErr != nil {
		writeRequestError(ctx, reqErr)
		return
	}
	answers := make(chan json.RawMessage, 1)
	o.Explain(s, o.Now().Add(explanationTimeout), func(b json.RawMessage) { answers <- b })
	b := <-answers
	if b == nil {
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, map[string]string{"error": "the owner of the failure domain cannot be asked"})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, b)
}

// explainedSubmission validates a job and returns the submission that it would make.
func (o *OperatorAPI) explainedSubmission(in *Job) (*wire.Submission, *requestError) {
	key := in.Key
	if key == "" {
		// Keys only name the home and an earlier submission; without one the job would run here.
		in.Key = "none"
	}
	s, reqErr := in.toSubmission(o.TasksPerJob)
	if reqErr != nil {
		return nil, reqErr
	}
	s.Key = key
	var timeout time.Duration
	if in.TimeoutMilliseconds != nil {
		if timeout, reqErr = checkTimeout(*in.TimeoutMilliseconds, "timeoutMilliseconds"); reqErr != nil {
			return nil, reqErr
		}
	}
	if s.Team == "" || !isHeaderValue(s.Team) {
		return nil, invalidField("team", "must be given; "+headerValueRule)
	}
	if timeout == 0 {
		timeout = longestTimeout(o.Current(), s)
	}
	if timeout == 0 {
		timeout = parser.DefaultTimeout
	}
	s.TimeoutMillis = min(timeout, maxTimeout).Milliseconds()
	return s, nil
}
