package requester

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"clementineyard/internal/listener"
)

const (
	// callTimeout is longer than the 5 s that an entry VM takes at most to answer a change.
	callTimeout = 8 * time.Second
	// maxAttempts and retryPause bound the repetitions of a change whose result is unknown: about 5 s of pauses outlast
	// several elections of a leader.
	maxAttempts = 10
	retryPause  = 500 * time.Millisecond
)

// Verdicts of a change, as the operators' listener writes them.
const (
	VerdictAccepted  = "accepted"
	VerdictConflict  = "conflict"
	VerdictNotLeader = "notLeader"
	VerdictUnknown   = "unknown"
	VerdictInvalid   = "invalid"
)

// Config constructs a Requester.
type Config struct {
	// Entry is the IP:port of the listener.
	Entry string
	// Token is the operators' token; empty when the listener asks for none.
	Token string
	// Sleep waits between two attempts.
	Sleep func(time.Duration)
}

// Requester talks to one listener of one entry VM.
type Requester struct {
	cfg  Config
	http fasthttp.Client
}

// New returns a Requester.
func New(cfg Config) *Requester {
	return &Requester{cfg: cfg, http: fasthttp.Client{NoDefaultUserAgentHeader: true}}
}

// response is an HTTP answer.
type response struct {
	status int
	body   []byte
}

func (r *Requester) do(method, path string, body []byte, timeout time.Duration) (response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + r.cfg.Entry + path)
	if r.cfg.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+r.cfg.Token)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if err := r.http.DoTimeout(req, resp, timeout); err != nil {
		return response{}, eris.Wrapf(err, "%s %s%s", method, r.cfg.Entry, path)
	}
	return response{resp.StatusCode(), append([]byte(nil), resp.Body()...)}, nil
}

// neverSent reports whether the connection could not be made, so that no byte of the request was sent.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || (errors.As(err, &op) && op.Op == "dial")
}

// Get returns the body of a successful GET.
func (r *Requester) Get(path string) (json.RawMessage, error) {
	resp, err := r.do(fasthttp.MethodGet, path, nil, callTimeout)
	if err != nil {
		return nil, err
	}
	if resp.status != fasthttp.StatusOK {
		return nil, eris.Errorf("GET %s%s: status %d: %s", r.cfg.Entry, path, resp.status, resp.body)
	}
	return resp.body, nil
}

// Configuration returns the configuration in force.
func (r *Requester) Configuration() (*listener.ConfigurationAnswer, error) {
	b, err := r.Get("/v1/configuration")
	if err != nil {
		return nil, err
	}
	out := &listener.ConfigurationAnswer{}
	if err := json.Unmarshal(b, out); err != nil {
		return nil, eris.Wrap(err, "read configuration")
	}
	return out, nil
}

// Publish sends a change. While its result is unknown it is sent again with the same id, which gets its first answer.
// The verdict is VerdictUnknown when the change may still come into force.
func (r *Requester) Publish(change listener.ChangeRequest) (listener.ChangeAnswer, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return listener.ChangeAnswer{}, eris.Wrap(err, "write change")
	}
	var last listener.ChangeAnswer
	var lastErr error
	mayBeInForce := false
	for i := range maxAttempts {
		if i > 0 {
			r.cfg.Sleep(retryPause)
		}
		last, lastErr = r.publishOnce(body)
		switch {
		case lastErr == nil && last.Verdict != VerdictUnknown && last.Verdict != VerdictNotLeader:
			// A refusal for want of a majority says nothing about an earlier attempt; the other verdicts do.
			if mayBeInForce && last.Verdict != VerdictAccepted && last.Verdict != VerdictConflict {
				last.Verdict, last.Detail = VerdictUnknown, "sent, then refused: "+last.Verdict
			}
			return last, nil
		case lastErr == nil && last.Verdict == VerdictNotLeader:
		default:
			mayBeInForce = mayBeInForce || !neverSent(lastErr)
		}
	}
	if mayBeInForce {
		detail := last.Detail
		if lastErr != nil {
			detail = lastErr.Error()
		}
		return listener.ChangeAnswer{Verdict: VerdictUnknown, Detail: detail}, nil
	}
	return last, lastErr
}

// publishOnce returns an error when no verdict came.
func (r *Requester) publishOnce(body []byte) (listener.ChangeAnswer, error) {
	var out listener.ChangeAnswer
	resp, err := r.do(fasthttp.MethodPost, "/v1/changes", body, callTimeout)
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(resp.body, &out); err == nil && out.Verdict != "" {
		return out, nil
	}
	detail := eris.Errorf("POST %s/v1/changes: status %d: %s", r.cfg.Entry, resp.status, resp.body)
	if resp.status >= fasthttp.StatusInternalServerError {
		return out, detail
	}
	return listener.ChangeAnswer{Verdict: VerdictInvalid, Detail: detail.Error()}, nil
}
