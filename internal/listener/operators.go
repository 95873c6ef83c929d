package listener

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"clementineyard/internal/acceptor"
	"clementineyard/internal/configurer"
	"clementineyard/wire"
)

// FileChange is one task file of a ChangeRequest.
type FileChange struct {
	Service string `json:"service"`
	// Content is the task file as plain JSON; absent when the service is removed.
	Content json.RawMessage `json:"content,omitempty"`
	Removed bool            `json:"removed,omitempty"`
}

// EvacuationChange begins or ends the evacuation of a failure domain in a ChangeRequest.
type EvacuationChange struct {
	FailureDomain string `json:"failureDomain"`
	Evacuated     bool   `json:"evacuated"`
}

// ChangeRequest is the JSON body of POST /v1/changes.
type ChangeRequest struct {
	// ID identifies the change. A change that is sent again with the same ID gets the answer of the first one.
	ID string `json:"id"`
	// BaseVersion is the version of the configuration that the change was made from.
	BaseVersion uint64       `json:"baseVersion"`
	Author      string       `json:"author"`
	Files       []FileChange `json:"files"`
	// Evacuations holds the failure domains whose evacuation begins or ends.
	Evacuations []EvacuationChange `json:"evacuations,omitempty"`
}

// ChangeAnswer is the JSON body of the answer to POST /v1/changes.
type ChangeAnswer struct {
	// Verdict is "accepted", "conflict", "noMajority", "invalid", "notLeader" or "unknown".
	Verdict string `json:"verdict"`
	// Version is the version that the change made, or the version in force on a conflict.
	Version uint64 `json:"version"`
	// WinnerID, WinnerAuthor and WinnerVersion describe the change that a conflicting change lost against.
	WinnerID      string `json:"winnerId,omitempty"`
	WinnerAuthor  string `json:"winnerAuthor,omitempty"`
	WinnerVersion uint64 `json:"winnerVersion,omitempty"`
	Detail        string `json:"detail,omitempty"`
}

// ConfigurationAnswer is the JSON body of the answer to GET /v1/configuration.
type ConfigurationAnswer struct {
	Version uint64 `json:"version"`
	// Files holds the task files in force by service.
	Files map[string]json.RawMessage `json:"files"`
	// Evacuated holds the failure domains that are evacuated.
	Evacuated []string `json:"evacuated"`
}

// OperatorAPI serves the HTTP API for operators: health, readiness, metrics, status, audit trail and configuration.
type OperatorAPI struct {
	// Token is the operators' bearer token. An empty token admits everyone; the settings allow that on loopback only.
	Token string
	// Current returns the configuration in force.
	Current func() *configurer.Configuration
	// Propose proposes a change of the configuration and calls done once with its result.
	Propose func(ch *wire.Change, deadline time.Time, done func(*wire.ChangeResult))
	// Status and Audit return the values that are written as JSON bodies of GET /v1/status and GET /v1/audit.
	Status func() any
	Audit  func() any
	// Explain calls done once with the Explanation of a submission, without submitting it; with nil when its owner cannot be asked.
	Explain func(s *wire.Submission, deadline time.Time, done func(json.RawMessage))
	// TasksPerJob is the limit of the callers' listener.
	TasksPerJob int
	// Ready reports whether this entry VM can take requests, and if not, why.
	Ready func() (bool, string)
	// Metrics serves GET /metrics.
	Metrics http.Handler
	// Now returns the current time.
	Now func() time.Time
	// Acceptor decodes large bodies one at a time; it may be nil.
	Acceptor *acceptor.Acceptor
}

// maxChangedFiles bounds the task files of one change.
const maxChangedFiles = 10_000

// changeBody is the body of a change with a bound on its files.
type changeBody struct {
	ChangeRequest
	Files boundedList[FileChange] `json:"files"`
}

// changeTimeout bounds the wait for the result of a proposed change.
const changeTimeout = 5 * time.Second

// changeVerdicts maps each verdict to its name in JSON and its HTTP status.
var changeVerdicts = map[wire.ChangeResult_Verdict]struct {
	name   string
	status int
}{
	wire.ChangeResult_VERDICT_ACCEPTED:    {"accepted", fasthttp.StatusOK},
	wire.ChangeResult_VERDICT_CONFLICT:    {"conflict", fasthttp.StatusConflict},
	wire.ChangeResult_VERDICT_NO_MAJORITY: {"noMajority", fasthttp.StatusServiceUnavailable},
	wire.ChangeResult_VERDICT_INVALID:     {"invalid", fasthttp.StatusUnprocessableEntity},
	wire.ChangeResult_VERDICT_NOT_LEADER:  {"notLeader", fasthttp.StatusServiceUnavailable},
	wire.ChangeResult_VERDICT_UNKNOWN:     {"unknown", fasthttp.StatusGatewayTimeout},
}

// Handle serves one HTTP request. Health and readiness need no token, because the platform's load balancer polls them.
func (o *OperatorAPI) Handle(ctx *fasthttp.RequestCtx) {
	path, method := string(ctx.Path()), string(ctx.Method())
	if method == fasthttp.MethodGet && path == "/health" {
		writeJSON(ctx, fasthttp.StatusOK, map[string]string{"status": "alive"})
		return
	}
	if method == fasthttp.MethodGet && path == "/ready" {
		o.ready(ctx)
		return
	}
	if !o.authorized(ctx) {
		writeJSON(ctx, fasthttp.StatusUnauthorized, map[string]string{"error": "operator's token is missing or wrong"})
		return
	}
	switch {
	case method == fasthttp.MethodGet && path == "/metrics":
		fasthttpadaptor.NewFastHTTPHandler(o.Metrics)(ctx)
	case method == fasthttp.MethodGet && path == "/v1/status":
		writeJSON(ctx, fasthttp.StatusOK, o.Status())
	case method == fasthttp.MethodGet && path == "/v1/audit":
		writeJSON(ctx, fasthttp.StatusOK, o.Audit())
	case method == fasthttp.MethodGet && path == "/v1/configuration":
		o.configuration(ctx)
	case method == fasthttp.MethodPost && path == "/v1/explanations":
		o.explain(ctx)
	case method == fasthttp.MethodPost && path == "/v1/changes":
		o.change(ctx)
	default:
		writeJSON(ctx, fasthttp.StatusNotFound, map[string]string{"error": "no " + method + " at " + path})
	}
}

func (o *OperatorAPI) ready(ctx *fasthttp.RequestCtx) {
	ok, detail := o.Ready()
	status := fasthttp.StatusOK
	if !ok {
		status = fasthttp.StatusServiceUnavailable
	}
	writeJSON(ctx, status, map[string]any{"ready": ok, "detail": detail})
}

// authorized reports whether the request carries the operators' token, which it compares in constant time.
func (o *OperatorAPI) authorized(ctx *fasthttp.RequestCtx) bool {
	if o.Token == "" {
		return true
	}
	token := strings.TrimPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	// Comparing hashes, which all have one length, does not reveal the token's length.
	gotHash, wantHash := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(o.Token))
	return subtle.ConstantTimeCompare(gotHash[:], wantHash[:]) == 1
}

func (o *OperatorAPI) configuration(ctx *fasthttp.RequestCtx) {
	cfg := o.Current()
	out := ConfigurationAnswer{Version: cfg.Version, Files: map[string]json.RawMessage{}, Evacuated: cfg.EvacuatedDomains()}
	for service, content := range cfg.Files {
		out.Files[service] = content
	}
	writeJSON(ctx, fasthttp.StatusOK, out)
}

func (o *OperatorAPI) change(ctx *fasthttp.RequestCtx) {
	in := changeBody{Files: boundedList[FileChange]{max: maxChangedFiles, field: "files"}}
	if reqErr := decodeLimited(o.Acceptor, ctx.PostBody(), &in); reqErr != nil {
		writeJSON(ctx, fasthttp.StatusBadRequest, ChangeAnswer{Verdict: "invalid", Detail: reqErr.Error()})
		return
	}
	if in.ID == "" || in.Author == "" || len(in.Files.elements)+len(in.Evacuations) == 0 {
		writeJSON(ctx, fasthttp.StatusBadRequest, ChangeAnswer{Verdict: "invalid", Detail: "id, author, and files or evacuations must be given"})
		return
	}
	ch := &wire.Change{Id: in.ID, BaseVersion: in.BaseVersion, Author: in.Author, UnixMillis: o.Now().UnixMilli()}
	for _, f := range in.Files.elements {
		ch.Files = append(ch.Files, &wire.ServiceFile{Service: f.Service, Content: f.Content, Removed: f.Removed})
	}
	for _, e := range in.Evacuations {
		ch.Evacuations = append(ch.Evacuations, &wire.Evacuation{FailureDomain: e.FailureDomain, Active: e.Evacuated})
	}
	results := make(chan *wire.ChangeResult, 1)
	o.Propose(ch, o.Now().Add(changeTimeout), func(r *wire.ChangeResult) { results <- r })
	r := <-results
	v := changeVerdicts[r.Verdict]
	writeJSON(ctx, v.status, ChangeAnswer{
		Verdict: v.name, Version: r.Version, WinnerID: r.WinnerId, WinnerAuthor: r.WinnerAuthor,
		WinnerVersion: r.WinnerVersion, Detail: r.Detail,
	})
}
