package generator

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"clementineyard/cmd/loader/internal/replier"
	"clementineyard/cmd/loader/internal/waiter"
	"clementineyard/internal/listener"
	"clementineyard/internal/recorder"
)

const (
	// Delay is the emulated one-way delay between a caller and an entry VM.
	Delay = 3 * time.Millisecond
	// answerGrace is how long after its deadline a caller still waits for an answer.
	answerGrace = 2 * time.Second
	// maxConns stays below the 4,096 connections that a listener takes.
	maxConns      = 4000
	resubmitAfter = 20 * time.Millisecond
)

// Outcomes of a call. Closed is a connection that ended without an answer: the caller knows that nothing is known.
// NoAnswer is a call that stayed without any answer well past its deadline.
const (
	Answered = "answered"
	NotRun   = "notRun"
	Unknown  = "unknown"
	Closed   = "closed"
	NoAnswer = "noAnswer"
)

// Entry is one entry process as callers see it.
type Entry struct{ Address, FailureDomain string }

// Client calls the entry processes in turn, as the platform's load balancer does.
type Client struct {
	entries []Entry
	next    atomic.Uint64
	http    fasthttp.Client
	// open holds the keys of the jobs that wait for their answer.
	open sync.Map
}

// NewClient returns a Client for the entry processes.
func NewClient(entries []Entry) *Client {
	return &Client{entries: entries, http: fasthttp.Client{
		MaxConnsPerHost: maxConns, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp4", addr, time.Second)
			if err != nil {
				return nil, &dialError{err}
			}
			return c, nil
		},
	}}
}

type dialError struct{ error }

// Result is what became of a call.
type Result struct {
	Call
	// ID is the call's key, or the ID in its payload.
	ID      string
	Outcome string
	Reason  string
	// Complete is true when every task has a good answer; an answered call without it failed.
	Complete bool
	// Good counts the tasks with a good answer.
	Good int
	// Done is when the caller had the answer, counted as At.
	Done time.Duration
}

// Latency counts from the intended time, so that a stalled system or load generator cannot hide waiting.
func (r *Result) Latency() time.Duration { return r.Done - r.At }

// Ratio is the latency over the ideal.
func (r *Result) Ratio() float64 { return float64(r.Latency()) / float64(r.Ideal()) }

// Ideal is the longest task's run time and the way to the entry VM and back.
func (r *Result) Ideal() time.Duration {
	longest := time.Duration(0)
	for _, d := range r.Runs {
		longest = max(longest, d)
	}
	return longest + 2*Delay
}

// InTime reports a whole answer within the timeout.
func (r *Result) InTime() bool {
	return r.Outcome == Answered && r.Complete && r.Latency() <= r.Timeout+2*Delay
}

// Run offers the calls at their times and waits for the last one.
func (c *Client) Run(start time.Time, calls []Call) []Result {
	out := make([]Result, len(calls))
	var wg sync.WaitGroup
	for i := range calls {
		waiter.Until(start.Add(calls[i].At))
		wg.Go(func() { out[i] = c.do(start, calls[i]) })
	}
	wg.Wait()
	return out
}

func (c *Client) do(start time.Time, call Call) Result {
	entry := c.turn()
	r := Result{Call: call, ID: recorder.NewKey(entry.FailureDomain, time.Now()).String()}
	sent := start.Add(call.At + Delay)
	deadline := sent.Add(call.Timeout)
	waiter.Until(sent)
	if len(call.Runs) > 1 {
		c.open.Store(r.ID, nil)
		defer c.open.Delete(r.ID)
	}
	for !c.try(&r, entry, deadline) && time.Now().Before(deadline) {
		waiter.Until(time.Now().Add(resubmitAfter))
		entry = c.turn()
	}
	waiter.Until(time.Now().Add(Delay))
	r.Done = time.Since(start)
	return r
}

// Open returns the keys of the jobs that wait for their answer.
func (c *Client) Open() []string {
	var out []string
	c.open.Range(func(key, _ any) bool {
		out = append(out, key.(string))
		return true
	})
	return out
}

func (c *Client) turn() Entry { return c.entries[c.next.Add(1)%uint64(len(c.entries))] }

// try makes one call; it returns false when the call may be made again through another entry process.
func (c *Client) try(r *Result, entry Entry, deadline time.Time) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r.fill(req, entry.Address, time.Until(deadline))
	if err := c.http.DoDeadline(req, resp, deadline.Add(answerGrace)); err != nil {
		return r.lost(err)
	}
	r.Outcome = string(resp.Header.Peek(listener.HeaderOutcome))
	r.Reason = string(resp.Header.Peek(listener.HeaderReason))
	if len(r.Runs) > 1 {
		r.readJob(resp.Body())
		return true
	}
	if r.Outcome == Answered {
		r.Complete = string(resp.Header.Peek(listener.HeaderServerStatus)) == strconv.Itoa(fasthttp.StatusOK)
		r.Good = 1
	}
	return true
}

// lost records a call without an answer. A connection that was refused is the load balancer's business, which takes
// the next entry process; after a closed one only a call with a key is safe to make again.
func (r *Result) lost(err error) bool {
	var dial *dialError
	switch {
	case errors.As(err, &dial):
		r.Outcome = NoAnswer
		return false
	case errors.Is(err, fasthttp.ErrTimeout):
		r.Outcome = NoAnswer
		return true
	}
	r.Outcome, r.Reason = Closed, err.Error()
	return !r.Keyed
}

func (r *Result) fill(req *fasthttp.Request, address string, timeout time.Duration) {
	millis := max(timeout.Milliseconds(), 1)
	req.Header.SetMethod(fasthttp.MethodPost)
	if len(r.Runs) > 1 {
		req.SetRequestURI("http://" + address + "/v1/jobs")
		req.SetBodyRaw(r.job(millis))
		return
	}
	req.SetRequestURI("http://" + address + "/v1/requests/" + r.Service + "/" + r.Task)
	req.Header.Set(listener.HeaderTeam, r.Team)
	req.Header.Set(listener.HeaderTimeout, strconv.FormatInt(millis, 10))
	if r.Keyed {
		req.Header.Set(listener.HeaderKey, r.ID)
	}
	req.SetBodyRaw(r.payload(0))
}

func (r *Result) payload(i int) []byte {
	b, err := json.Marshal(replier.Work{RunMilliseconds: r.Runs[i].Milliseconds(), ID: r.ID, Cores: r.Cores})
	if err != nil {
		panic(err) // A struct of numbers and a string always marshals.
	}
	return b
}

func (r *Result) job(millis int64) []byte {
	j := listener.Job{Key: r.ID, Team: r.Team, Service: r.Service, TimeoutMilliseconds: &millis}
	for i := range r.Runs {
		j.Tasks = append(j.Tasks, listener.JobTask{ID: strconv.Itoa(i), Task: r.Task, Payload: r.payload(i)})
	}
	b, err := json.Marshal(j)
	if err != nil {
		panic(err) // The payloads are valid JSON, and nothing else can fail.
	}
	return b
}

func (r *Result) readJob(body []byte) {
	var a listener.JobAnswer
	if json.Unmarshal(body, &a) != nil {
		return
	}
	r.Complete = a.State == "complete"
	for _, t := range a.Tasks {
		if t.Outcome == Answered && t.Status == fasthttp.StatusOK {
			r.Good++
		}
	}
}
