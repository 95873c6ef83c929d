package listener

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/valyala/fasthttp"

	"clementineyard/internal/acceptor"
	"clementineyard/internal/configurer"
	"clementineyard/internal/parser"
	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

const (
	maxTimeout   = 10 * time.Minute
	timeoutRange = "must be a number of milliseconds from 1 to 600000"
	maxIDBytes   = 128
	// headerValueRule is the error detail for a value that isHeaderValue rejects.
	headerValueRule = "must be UTF-8 and hold no control characters and no space at either end"
	// deadlineGrace is how long after a submission's deadline the listener still waits for its answer, in case its
	// tasks were already running.
	deadlineGrace = time.Second
	// maxCores keeps a number of cores, counted in thousandths, far within an int64.
	maxCores = 1e6
	// maxCancelKeys bounds the keys of one cancellation. At 64 bytes a key they fit into the default body limit.
	maxCancelKeys = 10000
)

// CallerAPI serves the HTTP API for callers: requests, jobs, lookups, keys and cancellations.
type CallerAPI struct {
	// FailureDomain is this entry VM's failure domain.
	FailureDomain string
	Limits        parser.Limits
	// Current returns the configuration in force.
	Current func() *configurer.Configuration
	// Submit runs a submission and calls reply once with its answer.
	Submit func(s *wire.Submission, deadline time.Time, reply func(*wire.Answer))
	// Lookup finds a submission's state without starting anything.
	Lookup func(key string, deadline time.Time, reply func(*wire.Answer))
	// Cancel cancels submissions in every failure domain that the keys name. It calls done with nil when an owner
	// cannot be reached.
	Cancel func(c *wire.Cancellation, deadline time.Time, done func(*wire.CancellationResult))
	// KeyHome returns the failure domain that the keys issued here name; nil stands for FailureDomain.
	KeyHome func() string
	// Floor returns the issue time before which the owner of this failure domain refuses keys.
	Floor func() time.Time
	// Now returns the current time.
	Now func() time.Time
	// Acceptor decodes large bodies one at a time; it may be nil.
	Acceptor *acceptor.Acceptor
}

func (c *CallerAPI) keyHome() string {
	if c.KeyHome == nil {
		return c.FailureDomain
	}
	return c.KeyHome()
}

// issueTime returns the issue time for a new key. An owner that has lost its records refuses keys issued before a floor
// slightly in the future; a key issued just after that floor is accepted at once.
func (c *CallerAPI) issueTime() time.Time {
	now := c.Now()
	if f := c.Floor(); f.After(now) {
		return f.Add(time.Millisecond)
	}
	return now
}

// Handle serves one HTTP request.
func (c *CallerAPI) Handle(ctx *fasthttp.RequestCtx) {
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case method == fasthttp.MethodPost && strings.HasPrefix(path, "/v1/requests/"):
		c.request(ctx, strings.TrimPrefix(path, "/v1/requests/"))
	case method == fasthttp.MethodPost && path == "/v1/jobs":
		c.job(ctx)
	case method == fasthttp.MethodGet && strings.HasPrefix(path, "/v1/jobs/"):
		c.lookup(ctx, strings.TrimPrefix(path, "/v1/jobs/"))
	case method == fasthttp.MethodPost && path == "/v1/keys":
		writeJSON(ctx, fasthttp.StatusOK, map[string]string{"key": recorder.NewKey(c.keyHome(), c.issueTime()).String()})
	case method == fasthttp.MethodPost && path == "/v1/cancellations":
		c.cancel(ctx)
	default:
		writeRequestError(ctx, &requestError{
			reason: wire.Reason_REASON_INVALID, status: fasthttp.StatusNotFound,
			field: "path", detail: "no " + method + " at this path",
		})
	}
}

// request serves a single request. The server receives the body unchanged.
func (c *CallerAPI) request(ctx *fasthttp.RequestCtx, path string) {
	service, task, ok := strings.Cut(path, "/")
	if !ok || service == "" || task == "" {
		writeRequestError(ctx, invalidField("path", "want /v1/requests/{service}/{task}"))
		return
	}
	// Messages between VMs hold text as UTF-8.
	contentType := string(ctx.Request.Header.ContentType())
	switch {
	case !utf8.ValidString(path):
		writeRequestError(ctx, invalidField("path", "must be UTF-8"))
		return
	case !utf8.ValidString(contentType):
		writeRequestError(ctx, invalidField(fasthttp.HeaderContentType, "must be UTF-8"))
		return
	}
	timeout, reqErr := parseTimeout(string(ctx.Request.Header.Peek(HeaderTimeout)), HeaderTimeout)
	if reqErr != nil {
		writeRequestError(ctx, reqErr)
		return
	}
	body := append([]byte(nil), ctx.PostBody()...)
	s := &wire.Submission{
		Key: string(ctx.Request.Header.Peek(HeaderKey)), Team: string(ctx.Request.Header.Peek(HeaderTeam)),
		Service: service, Single: true, Tasks: []*wire.Task{{
			Id: "0", Name: task, Payload: body, ContentType: contentType,
		}},
	}
	deadline, reqErr := c.prepare(s, timeout)
	if reqErr != nil {
		writeRequestError(ctx, reqErr)
		return
	}
	a := c.submitAndWait(s, deadline)
	if len(a.Tasks) == 1 && a.Tasks[0].Outcome == wire.Outcome_OUTCOME_ANSWERED {
		t := a.Tasks[0]
		setOutcome(ctx, wire.Outcome_OUTCOME_ANSWERED, wire.Reason_REASON_NONE)
		ctx.Response.Header.Set(HeaderServerStatus, strconv.Itoa(int(t.Status)))
		ctx.SetContentType(t.ContentType)
		ctx.SetBody(t.Payload)
		return
	}
	setRetryAfter(ctx, a.RetryAfterMillis)
	writeFailure(ctx, httpStatus(a.Outcome, a.Reason), a.Outcome, a.Reason, "", a.Detail)
}

// job serves POST /v1/jobs.
func (c *CallerAPI) job(ctx *fasthttp.RequestCtx) {
	in, reqErr := decodeJob(c.Acceptor, ctx.PostBody(), c.Limits.TasksPerJob)
	if reqErr != nil {
		writeRequestError(ctx, reqErr)
		return
	}
	s, reqErr := in.toSubmission(c.Limits.TasksPerJob)
	if reqErr != nil {
		writeRequestError(ctx, reqErr)
		return
	}
	var timeout time.Duration
	if in.TimeoutMilliseconds != nil {
		if timeout, reqErr = checkTimeout(*in.TimeoutMilliseconds, "timeoutMilliseconds"); reqErr != nil {
			writeRequestError(ctx, reqErr)
			return
		}
	}
	deadline, reqErr := c.prepare(s, timeout)
	if reqErr != nil {
		writeRequestError(ctx, reqErr)
		return
	}
	writeAnswer(ctx, c.submitAndWait(s, deadline))
}

// lookup serves GET /v1/jobs/{key}.
func (c *CallerAPI) lookup(ctx *fasthttp.RequestCtx, key string) {
	if _, err := recorder.ParseKey(key); err != nil {
		writeRequestError(ctx, invalidField("key", err.Error()))
		return
	}
	answers := make(chan *wire.Answer, 1)
	c.Lookup(key, c.Now().Add(parser.DefaultTimeout), func(a *wire.Answer) { answers <- a })
	writeAnswer(ctx, <-answers)
}

// cancel serves POST /v1/cancellations.
func (c *CallerAPI) cancel(ctx *fasthttp.RequestCtx) {
	in := struct {
		Team string              `json:"team"`
		Keys boundedList[string] `json:"keys"`
	}{Keys: boundedList[string]{max: maxCancelKeys, field: "keys"}}
	if reqErr := decodeLimited(c.Acceptor, ctx.PostBody(), &in); reqErr != nil {
		writeRequestError(ctx, reqErr)
		return
	}
	if in.Team == "" {
		writeRequestError(ctx, invalidField("team", "must be given"))
		return
	}
	results := make(chan *wire.CancellationResult, 1)
	req := &wire.Cancellation{Team: in.Team, Keys: in.Keys.elements}
	c.Cancel(req, c.Now().Add(parser.DefaultTimeout), func(r *wire.CancellationResult) { results <- r })
	r := <-results
	if r == nil {
		writeFailure(ctx, fasthttp.StatusBadGateway, wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_HOME_UNREACHABLE, "", "")
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, CancelAnswer{NotStarted: r.NotStarted, Running: r.Running, Ignored: r.Ignored})
}

// prepare validates a submission, sets its content hash and returns its deadline. A submission with a key is checked
// against the configuration by its owner only, which looks up the key first: an entry VM with another configuration
// must not report "not run" for work that has run.
func (c *CallerAPI) prepare(s *wire.Submission, timeout time.Duration) (time.Time, *requestError) {
	if s.Team == "" {
		return time.Time{}, invalidField("team", "must be given")
	}
	if !isHeaderValue(s.Team) {
		return time.Time{}, invalidField("team", headerValueRule)
	}
	cfg := c.Current()
	if s.Key != "" {
		if _, err := recorder.ParseKey(s.Key); err != nil {
			return time.Time{}, invalidField("key", err.Error())
		}
	} else if reqErr := checkConfiguration(cfg, s); reqErr != nil {
		return time.Time{}, reqErr
	}
	if timeout == 0 {
		timeout = longestTimeout(cfg, s)
	}
	if timeout == 0 {
		timeout = parser.DefaultTimeout
	}
	s.ContentHash = contentHash(s)
	return c.Now().Add(min(timeout, maxTimeout)), nil
}

// longestTimeout returns the longest timeout that the task file has for the submission's tasks; 0 when it has none.
func longestTimeout(cfg *configurer.Configuration, s *wire.Submission) time.Duration {
	longest := time.Duration(0)
	for _, t := range s.Tasks {
		if spec := cfg.Task(s.Service, t.Name); spec != nil {
			longest = max(longest, spec.Timeout.Duration)
		}
	}
	return longest
}

// checkConfiguration checks a submission without a key against the configuration in force.
func checkConfiguration(cfg *configurer.Configuration, s *wire.Submission) *requestError {
	if cfg.Version == 0 {
		return &requestError{reason: wire.Reason_REASON_NO_CONFIGURATION, detail: "this entry VM knows no configuration yet"}
	}
	r := cfg.RefusalReason(s)
	if r == wire.Reason_REASON_NONE && cfg.Task(s.Service, s.Tasks[0].Name).NonIdempotent {
		return invalidField(HeaderKey, "a non-idempotent task needs a key")
	}
	if r == wire.Reason_REASON_NONE {
		return nil
	}
	return &requestError{reason: r, field: fieldByReason[r], detail: "see the task file in force for service " + strconv.Quote(s.Service)}
}

// fieldByReason names the request field that is at fault when the configuration refuses a submission.
var fieldByReason = map[wire.Reason]string{
	wire.Reason_REASON_UNKNOWN_SERVICE:  "service",
	wire.Reason_REASON_UNKNOWN_TASK:     "task",
	wire.Reason_REASON_TEAM_NOT_ALLOWED: "team",
}

// submitAndWait returns the submission's answer, or an unknown outcome once the deadline and deadlineGrace have passed.
func (c *CallerAPI) submitAndWait(s *wire.Submission, deadline time.Time) *wire.Answer {
	answers := make(chan *wire.Answer, 1)
	c.Submit(s, deadline, func(a *wire.Answer) { answers <- a })
	graceTimer := time.NewTimer(deadline.Sub(c.Now()) + deadlineGrace)
	defer graceTimer.Stop()
	select {
	case a := <-answers:
		return a
	case <-graceTimer.C:
		return &wire.Answer{
			Key: s.Key, Outcome: wire.Outcome_OUTCOME_UNKNOWN, State: wire.State_STATE_FAILED,
			Reason: wire.Reason_REASON_DEADLINE_PASSED, Detail: "no answer within the deadline",
		}
	}
}

// parseTimeout parses a timeout in milliseconds. An empty string gives 0, which stands for no timeout.
func parseTimeout(s, field string) (time.Duration, *requestError) {
	if s == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, invalidField(field, timeoutRange)
	}
	return checkTimeout(ms, field)
}

// checkTimeout converts a timeout in milliseconds. It rejects values that would overflow or exceed maxTimeout instead
// of silently truncating them.
func checkTimeout(ms int64, field string) (time.Duration, *requestError) {
	if ms <= 0 || ms > maxTimeout.Milliseconds() {
		return 0, invalidField(field, timeoutRange)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// isHeaderValue reports whether a message carries s to another VM, and an HTTP header carries it to a server unchanged.
// Headers turn line breaks into spaces and lose outer spaces, so that two different task ids of a job could reach a server
// as the same id.
func isHeaderValue(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return utf8.ValidString(s) && strings.Trim(s, " ") == s
}

// contentHash returns a 16-byte hash of what a resubmission must repeat: team, service, and each task's id, name and
// payload. Declared run times, requested resources and the timeout may differ. Each field is prefixed with its length,
// so that different submissions cannot hash the same bytes.
func contentHash(s *wire.Submission) []byte {
	h := sha256.New()
	writeField := func(b []byte) {
		h.Write([]byte(strconv.Itoa(len(b))))
		h.Write([]byte{':'})
		h.Write(b)
	}
	writeField([]byte(s.Team))
	writeField([]byte(s.Service))
	for _, t := range s.Tasks {
		writeField([]byte(t.Id))
		writeField([]byte(t.Name))
		writeField(t.Payload)
	}
	return h.Sum(nil)[:16]
}

// decodeBody decodes a body of exactly one JSON value into v. It rejects unknown fields, because an unknown field is
// more likely a typo than one that is safe to ignore.
func decodeBody(b []byte, v any) *requestError {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		var reqErr *requestError
		if errors.As(err, &reqErr) {
			return reqErr
		}
		return invalidField("body", err.Error())
	}
	if d.More() {
		return invalidField("body", "holds more than one JSON value")
	}
	return nil
}
