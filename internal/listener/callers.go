package listener

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"clementineyard/internal/configurer"
	"clementineyard/internal/parser"
	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

const (
	maxTimeout   = 10 * time.Minute
	timeoutRange = "must be a number of milliseconds from 1 to 600000"
	maxIDBytes   = 128
	// headerValueRule is the rule of isHeaderValue for callers.
	headerValueRule = "must hold no control characters and no space at either end"
	// answerGrace is how long after the deadline a caller waits for the end of work that was already under way.
	answerGrace = time.Second
	// maxCores keeps thousandths of a core within an integer.
	maxCores = 1e6
	// maxCancelKeys bounds one cancellation; at 64 bytes a key it fits into the default body limit.
	maxCancelKeys = 10000
)

// Callers is the callers' interface.
type Callers struct {
	FailureDomain string
	Limits        parser.Limits
	Current       func() *configurer.Configuration
	Submit        func(s *wire.Submission, deadline time.Time, reply func(*wire.Answer))
	// Lookup finds a submission's state without starting anything.
	Lookup func(key string, deadline time.Time, reply func(*wire.Answer))
	// Cancel cancels submissions on all homes named by the keys.
	Cancel func(c *wire.Cancellation, deadline time.Time, done func(*wire.CancellationResult))
	// Floor is the issue time below which the own failure domain's owner refuses new keys.
	Floor func() time.Time
	Now   func() time.Time
}

// issueTime is the time of a new key. After the loss of its records an owner refuses keys from before a floor that lies
// shortly ahead; a key that is issued at the floor is accepted at once.
func (c *Callers) issueTime() time.Time {
	now := c.Now()
	if f := c.Floor(); f.After(now) {
		return f.Add(time.Millisecond)
	}
	return now
}

// Handle serves one HTTP request.
func (c *Callers) Handle(ctx *fasthttp.RequestCtx) {
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case method == fasthttp.MethodPost && strings.HasPrefix(path, "/v1/requests/"):
		c.request(ctx, strings.TrimPrefix(path, "/v1/requests/"))
	case method == fasthttp.MethodPost && path == "/v1/jobs":
		c.job(ctx)
	case method == fasthttp.MethodGet && strings.HasPrefix(path, "/v1/jobs/"):
		c.lookup(ctx, strings.TrimPrefix(path, "/v1/jobs/"))
	case method == fasthttp.MethodPost && path == "/v1/keys":
		writeJSON(ctx, fasthttp.StatusOK, map[string]string{"key": recorder.NewKey(c.FailureDomain, c.issueTime()).String()})
	case method == fasthttp.MethodPost && path == "/v1/cancellations":
		c.cancel(ctx)
	default:
		writeBadInput(ctx, &badInput{
			reason: wire.Reason_REASON_INVALID, status: fasthttp.StatusNotFound,
			field: "path", detail: "no " + method + " at this path",
		})
	}
}

// request serves a single request: the body goes to the server as it is.
func (c *Callers) request(ctx *fasthttp.RequestCtx, path string) {
	service, task, ok := strings.Cut(path, "/")
	if !ok || service == "" || task == "" {
		writeBadInput(ctx, invalid("path", "want /v1/requests/{service}/{task}"))
		return
	}
	timeout, bad := parseTimeout(string(ctx.Request.Header.Peek(HeaderTimeout)), HeaderTimeout)
	if bad != nil {
		writeBadInput(ctx, bad)
		return
	}
	body := append([]byte(nil), ctx.PostBody()...)
	s := &wire.Submission{
		Key: string(ctx.Request.Header.Peek(HeaderKey)), Team: string(ctx.Request.Header.Peek(HeaderTeam)),
		Service: service, Single: true, Tasks: []*wire.Task{{
			Id: "0", Name: task, Payload: body, ContentType: string(ctx.Request.Header.ContentType()),
		}},
	}
	deadline, bad := c.check(s, timeout)
	if bad != nil {
		writeBadInput(ctx, bad)
		return
	}
	a := c.wait(s, deadline)
	if len(a.Tasks) == 1 && a.Tasks[0].Outcome == wire.Outcome_OUTCOME_ANSWERED {
		t := a.Tasks[0]
		setOutcome(ctx, wire.Outcome_OUTCOME_ANSWERED, wire.Reason_REASON_NONE)
		ctx.Response.Header.Set(HeaderServerStatus, strconv.Itoa(int(t.Status)))
		ctx.SetContentType(t.ContentType)
		ctx.SetBody(t.Payload)
		return
	}
	setRetryAfter(ctx, a.RetryAfterMillis)
	writeFailure(ctx, status(a.Outcome, a.Reason), a.Outcome, a.Reason, "", a.Detail)
}

func (c *Callers) job(ctx *fasthttp.RequestCtx) {
	var in Job
	if bad := decodeBody(ctx.PostBody(), &in); bad != nil {
		writeBadInput(ctx, bad)
		return
	}
	s, bad := in.submission(c.Limits.TasksPerJob)
	if bad != nil {
		writeBadInput(ctx, bad)
		return
	}
	var timeout time.Duration
	if in.TimeoutMilliseconds != nil {
		if timeout, bad = checkTimeout(*in.TimeoutMilliseconds, "timeoutMilliseconds"); bad != nil {
			writeBadInput(ctx, bad)
			return
		}
	}
	deadline, bad := c.check(s, timeout)
	if bad != nil {
		writeBadInput(ctx, bad)
		return
	}
	writeAnswer(ctx, c.wait(s, deadline))
}

func (c *Callers) lookup(ctx *fasthttp.RequestCtx, key string) {
	if _, err := recorder.ParseKey(key); err != nil {
		writeBadInput(ctx, invalid("key", err.Error()))
		return
	}
	done := make(chan *wire.Answer, 1)
	c.Lookup(key, c.Now().Add(parser.DefaultTimeout), func(a *wire.Answer) { done <- a })
	writeAnswer(ctx, <-done)
}

func (c *Callers) cancel(ctx *fasthttp.RequestCtx) {
	var in struct {
		Team string   `json:"team"`
		Keys []string `json:"keys"`
	}
	if bad := decodeBody(ctx.PostBody(), &in); bad != nil {
		writeBadInput(ctx, bad)
		return
	}
	if in.Team == "" {
		writeBadInput(ctx, invalid("team", "must be given"))
		return
	}
	if len(in.Keys) > maxCancelKeys {
		writeBadInput(ctx, invalid("keys", "must hold at most "+strconv.Itoa(maxCancelKeys)+" keys"))
		return
	}
	done := make(chan *wire.CancellationResult, 1)
	req := &wire.Cancellation{Team: in.Team, Keys: in.Keys}
	c.Cancel(req, c.Now().Add(parser.DefaultTimeout), func(r *wire.CancellationResult) { done <- r })
	r := <-done
	if r == nil {
		writeFailure(ctx, fasthttp.StatusBadGateway, wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_HOME_UNREACHABLE, "", "")
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, CancelAnswer{NotStarted: r.NotStarted, Running: r.Running, Ignored: r.Ignored})
}

// check validates a submission and returns its deadline. What the configuration says of a submission with a key is left
// to its owner, who looks for the key first: an entry VM whose configuration differs must not call work that ran "not run".
func (c *Callers) check(s *wire.Submission, timeout time.Duration) (time.Time, *badInput) {
	if s.Team == "" {
		return time.Time{}, invalid("team", "must be given")
	}
	if !isHeaderValue(s.Team) {
		return time.Time{}, invalid("team", headerValueRule)
	}
	cfg := c.Current()
	if s.Key != "" {
		if _, err := recorder.ParseKey(s.Key); err != nil {
			return time.Time{}, invalid("key", err.Error())
		}
	} else if bad := checkAllowed(cfg, s); bad != nil {
		return time.Time{}, bad
	}
	longest := time.Duration(0)
	for _, t := range s.Tasks {
		if spec := cfg.Task(s.Service, t.Name); spec != nil {
			longest = max(longest, spec.Timeout.Duration)
		}
	}
	if timeout == 0 {
		timeout = longest
	}
	if timeout == 0 {
		timeout = parser.DefaultTimeout
	}
	s.ContentHash = contentHash(s)
	return c.Now().Add(min(timeout, maxTimeout)), nil
}

// checkAllowed checks a request without a key against the configuration in force.
func checkAllowed(cfg *configurer.Configuration, s *wire.Submission) *badInput {
	if cfg.Version == 0 {
		return &badInput{reason: wire.Reason_REASON_NO_CONFIGURATION, detail: "this entry VM knows no configuration yet"}
	}
	r := cfg.Refusal(s)
	if r == wire.Reason_REASON_NONE && cfg.Task(s.Service, s.Tasks[0].Name).NonIdempotent {
		return invalid(HeaderKey, "a non-idempotent task needs a key")
	}
	if r == wire.Reason_REASON_NONE {
		return nil
	}
	return &badInput{reason: r, field: refusedFields[r], detail: "see the task file in force for service " + strconv.Quote(s.Service)}
}

var refusedFields = map[wire.Reason]string{
	wire.Reason_REASON_UNKNOWN_SERVICE:  "service",
	wire.Reason_REASON_UNKNOWN_TASK:     "task",
	wire.Reason_REASON_TEAM_NOT_ALLOWED: "team",
}

func (c *Callers) wait(s *wire.Submission, deadline time.Time) *wire.Answer {
	done := make(chan *wire.Answer, 1)
	c.Submit(s, deadline, func(a *wire.Answer) { done <- a })
	overdue := time.NewTimer(deadline.Sub(c.Now()) + answerGrace)
	defer overdue.Stop()
	select {
	case a := <-done:
		return a
	case <-overdue.C:
		return &wire.Answer{
			Key: s.Key, Outcome: wire.Outcome_OUTCOME_UNKNOWN, State: wire.State_STATE_FAILED,
			Reason: wire.Reason_REASON_DEADLINE_PASSED, Detail: "no answer within the deadline",
		}
	}
}

func parseTimeout(s, field string) (time.Duration, *badInput) {
	if s == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, invalid(field, timeoutRange)
	}
	return checkTimeout(ms, field)
}

// checkTimeout refuses what would overflow or be cut off silently.
func checkTimeout(ms int64, field string) (time.Duration, *badInput) {
	if ms <= 0 || ms > maxTimeout.Milliseconds() {
		return 0, invalid(field, timeoutRange)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// isHeaderValue reports whether a header carries s to a server unchanged. Line breaks become spaces there and outer
// spaces are cut off, so that two task ids of a job could become one.
func isHeaderValue(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return strings.Trim(s, " ") == s
}

// contentHash covers what a resubmission must repeat: team, service, and each task's id, name and payload. Guesses of
// run times, asked resources and the timeout may differ.
func contentHash(s *wire.Submission) []byte {
	h := sha256.New()
	put := func(b []byte) {
		h.Write([]byte(strconv.Itoa(len(b))))
		h.Write([]byte{':'})
		h.Write(b)
	}
	put([]byte(s.Team))
	put([]byte(s.Service))
	for _, t := range s.Tasks {
		put([]byte(t.Id))
		put([]byte(t.Name))
		put(t.Payload)
	}
	return h.Sum(nil)[:16]
}

// decodeBody is strict: an unknown field is more likely a misspelt one than one that may be ignored.
func decodeBody(b []byte, v any) *badInput {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return invalid("body", err.Error())
	}
	if d.More() {
		return invalid("body", "holds more than one JSON value")
	}
	return nil
}
