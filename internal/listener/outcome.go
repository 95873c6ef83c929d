package listener

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"clementineyard/wire"
)

// Headers of the HTTP API for callers, see docs/callers.md.
const (
	HeaderTeam         = "Clementineyard-Team"
	HeaderKey          = "Clementineyard-Key"
	HeaderTimeout      = "Clementineyard-Timeout-Ms"
	HeaderOutcome      = "Clementineyard-Outcome"
	HeaderReason       = "Clementineyard-Reason"
	HeaderServerStatus = "Clementineyard-Server-Status"
)

const jsonType = "application/json"

var outcomeNames = map[wire.Outcome]string{
	wire.Outcome_OUTCOME_ANSWERED: "answered",
	wire.Outcome_OUTCOME_NOT_RUN:  "notRun",
	wire.Outcome_OUTCOME_UNKNOWN:  "unknown",
}

// ReasonName returns a reason's name in camel case without its prefix, for example "queueFull" for REASON_QUEUE_FULL.
// It returns "" for REASON_NONE.
func ReasonName(r wire.Reason) string {
	if r == wire.Reason_REASON_NONE {
		return ""
	}
	words := strings.Split(strings.ToLower(strings.TrimPrefix(r.String(), "REASON_")), "_")
	for i := 1; i < len(words); i++ {
		words[i] = strings.ToUpper(words[i][:1]) + words[i][1:]
	}
	return strings.Join(words, "")
}

// refusalStatus maps reasons to their HTTP status where it differs from the default of the outcome.
var refusalStatus = map[wire.Reason]int{
	wire.Reason_REASON_INVALID:          fasthttp.StatusBadRequest,
	wire.Reason_REASON_KEY_TOO_NEW:      fasthttp.StatusBadRequest,
	wire.Reason_REASON_TEAM_NOT_ALLOWED: fasthttp.StatusForbidden,
	wire.Reason_REASON_UNKNOWN_SERVICE:  fasthttp.StatusNotFound,
	wire.Reason_REASON_UNKNOWN_TASK:     fasthttp.StatusNotFound,
	wire.Reason_REASON_UNKNOWN_KEY:      fasthttp.StatusNotFound,
	wire.Reason_REASON_CONFLICT:         fasthttp.StatusConflict,
	wire.Reason_REASON_NEVER_FITS:       fasthttp.StatusUnprocessableEntity,
	wire.Reason_REASON_EXPIRED:          fasthttp.StatusGone,
	wire.Reason_REASON_RECORDS_LOST:     fasthttp.StatusGone,
	wire.Reason_REASON_QUOTA_EXCEEDED:   fasthttp.StatusTooManyRequests,
	wire.Reason_REASON_DEADLINE_PASSED:  fasthttp.StatusServiceUnavailable,
	wire.Reason_REASON_HOME_UNREACHABLE: fasthttp.StatusGatewayTimeout,
}

// httpStatus returns the HTTP status of an outcome and its reason.
func httpStatus(o wire.Outcome, r wire.Reason) int {
	if o == wire.Outcome_OUTCOME_ANSWERED {
		return fasthttp.StatusOK
	}
	if o == wire.Outcome_OUTCOME_UNKNOWN && r == wire.Reason_REASON_DEADLINE_PASSED {
		return fasthttp.StatusGatewayTimeout
	}
	if s, ok := refusalStatus[r]; ok {
		return s
	}
	if o == wire.Outcome_OUTCOME_UNKNOWN {
		return fasthttp.StatusBadGateway
	}
	return fasthttp.StatusServiceUnavailable
}

// Failure is the JSON body of every response that carries no answer.
type Failure struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	// Field names the header or JSON field at fault, where there is one.
	Field  string `json:"field,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// requestError says why an HTTP request is refused as invalid.
type requestError struct {
	reason wire.Reason
	// status is the HTTP status; 0 stands for the default of the reason.
	status int
	field  string
	detail string
}

func (e *requestError) Error() string { return e.field + ": " + e.detail }

// invalidField returns the error for an invalid header or JSON field, with status 400.
func invalidField(field, detail string) *requestError {
	return &requestError{reason: wire.Reason_REASON_INVALID, status: fasthttp.StatusBadRequest, field: field, detail: detail}
}

func writeRequestError(ctx *fasthttp.RequestCtx, e *requestError) {
	status := e.status
	if status == 0 {
		status = httpStatus(wire.Outcome_OUTCOME_NOT_RUN, e.reason)
	}
	writeFailure(ctx, status, wire.Outcome_OUTCOME_NOT_RUN, e.reason, e.field, e.detail)
}

func writeFailure(ctx *fasthttp.RequestCtx, status int, o wire.Outcome, r wire.Reason, field, detail string) {
	setOutcome(ctx, o, r)
	writeJSON(ctx, status, Failure{Outcome: outcomeNames[o], Reason: ReasonName(r), Field: field, Detail: detail})
}

func setOutcome(ctx *fasthttp.RequestCtx, o wire.Outcome, r wire.Reason) {
	ctx.Response.Header.Set(HeaderOutcome, outcomeNames[o])
	if r != wire.Reason_REASON_NONE {
		ctx.Response.Header.Set(HeaderReason, ReasonName(r))
	}
}

// setRetryAfter sets the headers with the retry delay: in seconds, rounded up, and in milliseconds. A delay of 0 sets
// none.
func setRetryAfter(ctx *fasthttp.RequestCtx, millis int64) {
	if millis <= 0 {
		return
	}
	seconds := (millis + 999) / 1000
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	ctx.Response.Header.Set("Clementineyard-Retry-After-Ms", strconv.FormatInt(millis, 10))
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(jsonType)
	ctx.SetBody(b)
}
