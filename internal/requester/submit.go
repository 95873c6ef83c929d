package requester

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
	"github.com/valyala/fasthttp"

	"clementineyard/internal/listener"
	"clementineyard/internal/parser"
)

// answerGrace is added to a job's timeout to get the timeout of the HTTP request.
const answerGrace = 5 * time.Second

// Result is the outcome of a submitted job.
type Result int

// The results; their values are the exit codes of the submit command.
const (
	Complete Result = iota
	Failed
	NotRun
	Unknown
)

// Key requests a new submission key from the callers' listener.
func (r *Requester) Key() (string, error) {
	resp, err := r.do(fasthttp.MethodPost, "/v1/keys", nil, callTimeout)
	if err != nil {
		return "", err
	}
	var out struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(resp.body, &out); err != nil || out.Key == "" {
		return "", eris.Errorf("POST %s/v1/keys: status %d: %s", r.cfg.Address, resp.status, resp.body)
	}
	return out.Key, nil
}

// ReadJob parses a job in JSON with comments.
func ReadJob(b []byte) (*listener.Job, error) {
	std, err := hujson.Standardize(b)
	if err != nil {
		return nil, eris.Wrap(err, "parse job")
	}
	j := &listener.Job{}
	if err := json.Unmarshal(std, j); err != nil {
		return nil, eris.Wrap(err, "parse job")
	}
	return j, nil
}

// Submit sends a job once and returns its result and the body of the response. newKey is true if the job's key was made
// for this call: only then does a connection that was not established prove that the job did not run.
func (r *Requester) Submit(j *listener.Job, newKey bool) (Result, json.RawMessage, error) {
	body, err := json.Marshal(j)
	if err != nil {
		return NotRun, nil, eris.Wrap(err, "encode job")
	}
	timeout := parser.MaxTimeout
	if j.TimeoutMilliseconds != nil && *j.TimeoutMilliseconds > 0 {
		timeout = min(timeout, time.Duration(*j.TimeoutMilliseconds)*time.Millisecond)
	}
	resp, err := r.do(fasthttp.MethodPost, "/v1/jobs", body, timeout+answerGrace)
	switch {
	case err != nil && newKey && notSent(err):
		return NotRun, nil, err
	case err != nil:
		return Unknown, nil, err
	}
	var out struct{ Outcome, State string }
	if err := json.Unmarshal(resp.body, &out); err != nil {
		return Unknown, nil, eris.Errorf("POST %s/v1/jobs: status %d: %s", r.cfg.Address, resp.status, resp.body)
	}
	return resultOf(out.Outcome, out.State), resp.body, nil
}

// resultOf returns the result that the fields outcome and state of an answer stand for.
func resultOf(outcome, state string) Result {
	switch {
	case outcome == "answered" && state == "complete":
		return Complete
	case outcome == "answered":
		return Failed
	case outcome == "notRun":
		return NotRun
	}
	return Unknown
}
