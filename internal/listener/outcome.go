package listener

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"clementineyard/wire"
)

// Headers of the callers' interface, see docs/callers.md.
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

// ReasonName writes a reason in camel case without its prefix; REASON_NONE is empty.
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

// refusalStatus holds the status of refusals and unknown outcomes that differ from the outcome's usual one.
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

func status(o wire.Outcome, r wire.Reason) int {
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

// Failure is the JSON body of everything that is not an answer.
type Failure struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	// Field names the header or JSON field at fault, where there is one.
	Field  string `json:"field,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// badInput is a refusal of something that came from outside.
type badInput struct {
	reason wire.Reason
	status int
	field  string
	detail string
}

func (e *badInput) Error() string { return e.field + ": " + e.detail }

func invalid(field, detail string) *badInput {
	return &badInput{reason: wire.Reason_REASON_INVALID, status: fasthttp.StatusBadRequest, field: field, detail: detail}
}

func writeBadInput(ctx *fasthttp.RequestCtx, e *badInput) {
	s := e.status
	if s == 0 {
		s = status(wire.Outcome_OUTCOME_NOT_RUN, e.reason)
	}
	writeFailure(ctx, s, wire.Outcome_OUTCOME_NOT_RUN, e.reason, e.field, e.detail)
}

func writeFailure(ctx *fasthttp.RequestCtx, s int, o wire.Outcome, r wire.Reason, field, detail string) {
	setOutcome(ctx, o, r)
	writeJSON(ctx, s, Failure{Outcome: outcomeNames[o], Reason: ReasonName(r), Field: field, Detail: detail})
}

func setOutcome(ctx *fasthttp.RequestCtx, o wire.Outcome, r wire.Reason) {
	ctx.Response.Header.Set(HeaderOutcome, outcomeNames[o])
	if r != wire.Reason_REASON_NONE {
		ctx.Response.Header.Set(HeaderReason, ReasonName(r))
	}
}

func setRetryAfter(ctx *fasthttp.RequestCtx, millis int64) {
	if millis <= 0 {
		return
	}
	seconds := (millis + 999) / 1000
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	ctx.Response.Header.Set("Clementineyard-Retry-After-Ms", strconv.FormatInt(millis, 10))
}

func writeJSON(ctx *fasthttp.RequestCtx, s int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(s)
	ctx.SetContentType(jsonType)
	ctx.SetBody(b)
}
