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
	// callTimeout is longer than the 5 s within which an entry VM answers a change.
	callTimeout = 8 * time.Second
	// maxAttempts and retryDelay bound the retries of a change whose result is unknown: about 5 s in total, which is
	// longer than several elections of a leader.
	maxAttempts = 10
	retryDelay  = 500 * time.Millisecond
)

// Verdicts on a change, as the operators' listener returns them.
const (
	VerdictAccepted  = "accepted"
	VerdictConflict  = "conflict"
	VerdictNotLeader = "notLeader"
	VerdictUnknown   = "unknown"
	VerdictInvalid   = "invalid"
)

// Config holds the parameters of a Requester.
type Config struct {
	// Address is the IP:port of the listener.
	Address string
	// Token is the operators' token. It is empty if the listener requires none.
	Token string
	// Sleep is called between two attempts.
	Sleep func(time.Duration)
}

// Requester sends requests to one listener of an entry VM.
type Requester struct {
	cfg  Config
	http fasthttp.Client
}

// New returns a Requester.
func New(cfg Config) *Requester {
	return &Requester{cfg: cfg, http: fasthttp.Client{NoDefaultUserAgentHeader: true}}
}

// response is an HTTP response.
type response struct {
	status int
	body   []byte
}

// do sends one request and returns the response, whatever its status.
func (r *Requester) do(method, path string, body []byte, timeout time.Duration) (response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + r.cfg.Address + path)
	if r.cfg.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+r.cfg.Token)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if err := r.http.DoTimeout(req, resp, timeout); err != nil {
		return response{}, eris.Wrapf(err, "%s %s%s", method, r.cfg.Address, path)
	}
	return response{resp.StatusCode(), append([]byte(nil), resp.Body()...)}, nil
}

// notSent reports whether err means that the connection was not established, so that no byte of the request was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || (errors.As(err, &op) && op.Op == "dial")
}

// Get returns the body of the response to a GET request. It returns an error for any status but 200.
func (r *Requester) Get(path string) (json.RawMessage, error) {
	resp, err := r.do(fasthttp.MethodGet, path, nil, callTimeout)
	if err != nil {
		return nil, err
	}
	if resp.status != fasthttp.StatusOK {
		return nil, eris.Errorf("GET %s%s: status %d: %s", r.cfg.Address, path, resp.status, resp.body)
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
		return nil, eris.Wrap(err, "decode configuration")
	}
	return out, nil
}

// Explain returns the body of the response that tells what would become of a job, which is not submitted.
func (r *Requester) Explain(job *listener.Job) (json.RawMessage, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, eris.Wrap(err, "encode job")
	}
	resp, err := r.do(fasthttp.MethodPost, "/v1/explanations", body, callTimeout)
	if err != nil {
		return nil, err
	}
	if resp.status != fasthttp.StatusOK {
		return nil, eris.Errorf("POST %s/v1/explanations: status %d: %s", r.cfg.Address, resp.status, resp.body)
	}
	return resp.body, nil
}

// Publish sends a change. While the result is unknown, it sends the change again with the same id, for which the leader
// returns the result of the first attempt. The verdict is VerdictUnknown if the change may still be applied.
func (r *Requester) Publish(change listener.ChangeRequest) (listener.ChangeAnswer, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return listener.ChangeAnswer{}, eris.Wrap(err, "encode change")
	}
	var last listener.ChangeAnswer
	var lastErr error
	mayBeApplied := false
	for i := range maxAttempts {
		if i > 0 {
			r.cfg.Sleep(retryDelay)
		}
		last, lastErr = r.publishOnce(body)
		switch {
		case lastErr == nil && last.Verdict != VerdictUnknown && last.Verdict != VerdictNotLeader:
			// A refusal because of a missing majority says nothing about an earlier attempt; acceptance and conflict
			// do.
			if mayBeApplied && last.Verdict != VerdictAccepted && last.Verdict != VerdictConflict {
				last.Verdict, last.Detail = VerdictUnknown, "sent, then refused: "+last.Verdict
			}
			return last, nil
		case lastErr == nil && last.Verdict == VerdictNotLeader:
		default:
			mayBeApplied = mayBeApplied || !notSent(lastErr)
		}
	}
	if mayBeApplied {
		detail := last.Detail
		if lastErr != nil {
			detail = lastErr.Error()
		}
		return listener.ChangeAnswer{Verdict: VerdictUnknown, Detail: detail}, nil
	}
	return last, lastErr
}

// publishOnce sends a change once. It returns an error if no verdict arrives, but VerdictInvalid for a status below
// 500.
func (r *Requester) publishOnce(body []byte) (listener.ChangeAnswer, error) {
	var out listener.ChangeAnswer
	resp, err := r.do(fasthttp.MethodPost, "/v1/changes", body, callTimeout)
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(resp.body, &out); err == nil && out.Verdict != "" {
		return out, nil
	}
	detail := eris.Errorf("POST %s/v1/changes: status %d: %s", r.cfg.Address, resp.status, resp.body)
	if resp.status >= fasthttp.StatusInternalServerError {
		return out, detail
	}
	return listener.ChangeAnswer{Verdict: VerdictInvalid, Detail: detail.Error()}, nil
}
