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
	// OneWayDelay is the emulated one-way delay between a caller and an entry VM.
	OneWayDelay = 3 * time.Millisecond
	// answerGrace is how long a caller continues to wait for an answer after the deadline.
	answerGrace = 2 * time.Second
	// maxConns is below the 4,096 connections that a listener accepts.
	maxConns      = 4000
	resubmitAfter = 20 * time.Millisecond
)

// Outcomes of a call. Closed is a connection that was closed without an answer, so that the caller cannot tell whether
// the call ran. NoAnswer is a call that could not connect, or that had no answer 2 s after its deadline.
const (
	Answered = "answered"
	NotRun   = "notRun"
	Unknown  = "unknown"
	Closed   = "closed"
	NoAnswer = "noAnswer"
)

// Entry is one entry process: the address of its callers' listener and its failure domain.
type Entry struct{ Address, FailureDomain string }

// Client calls the entry processes in turn, as the platform's load balancer does.
type Client struct {
	entries []Entry
	next    atomic.Uint64
	http    fasthttp.Client
	// pendingJobs holds the keys of the jobs that have no answer yet.
	pendingJobs sync.Map
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

// dialError marks an error of a connection that could not be opened, so that the call was not sent.
type dialError struct{ error }

// Result is a call and its outcome.
type Result struct {
	Call
	// ID is the call's key, or the ID in its payload.
	ID      string
	Outcome string
	Reason  string
	// Complete is true for a request that was answered with status 200 and for a job in the state complete. An answered
	// call that is not complete has failed.
	Complete bool
	// GoodTasks is the number of answered tasks; those of a job count only with status 200.
	GoodTasks int
	// Done is when the caller received the answer, counted from the start of the load.
	Done time.Duration
}

// Latency returns the time from the intended time of the call to its answer, so that a stalled system or load generator
// does not hide waiting.
func (r *Result) Latency() time.Duration { return r.Done - r.At }

// LatencyOverIdeal returns the latency divided by the ideal.
func (r *Result) LatencyOverIdeal() float64 { return float64(r.Latency()) / float64(r.IdealLatency()) }

// IdealLatency returns the run time of the longest task plus the delay to the entry VM and back.
func (r *Result) IdealLatency() time.Duration {
	longest := time.Duration(0)
	for _, d := range r.RunTimes {
		longest = max(longest, d)
	}
	return longest + 2*OneWayDelay
}

// InTime reports whether the call was answered completely within its timeout.
func (r *Result) InTime() bool {
	return r.Outcome == Answered && r.Complete && r.Latency() <= r.Timeout+2*OneWayDelay
}

// Run makes each call at its intended time, counted from start, and returns their results when all have ended. The
// results have the order of the calls.
func (c *Client) Run(start time.Time, calls []Call) []Result {
	out := make([]Result, len(calls))
	var wg sync.WaitGroup
	for i := range calls {
		waiter.Until(start.Add(calls[i].At))
		wg.Go(func() { out[i] = c.doCall(start, calls[i]) })
	}
	wg.Wait()
	return out
}

func (c *Client) doCall(start time.Time, call Call) Result {
	entry := c.nextEntry()
	r := Result{Call: call, ID: recorder.NewKey(entry.FailureDomain, time.Now()).String()}
	sent := start.Add(call.At + OneWayDelay)
	deadline := sent.Add(call.Timeout)
	waiter.Until(sent)
	if len(call.RunTimes) > 1 {
		c.pendingJobs.Store(r.ID, nil)
		defer c.pendingJobs.Delete(r.ID)
	}
	for !c.send(&r, entry, deadline) && time.Now().Before(deadline) {
		waiter.Until(time.Now().Add(resubmitAfter))
		entry = c.nextEntry()
	}
	waiter.Until(time.Now().Add(OneWayDelay))
	r.Done = time.Since(start)
	return r
}

// PendingJobKeys returns the keys of the jobs that have no answer yet.
func (c *Client) PendingJobKeys() []string {
	var out []string
	c.pendingJobs.Range(func(key, _ any) bool {
		out = append(out, key.(string))
		return true
	})
	return out
}

func (c *Client) nextEntry() Entry { return c.entries[c.next.Add(1)%uint64(len(c.entries))] }

// send sends the call once. It returns false when the call may be sent again through another entry process.
func (c *Client) send(r *Result, entry Entry, deadline time.Time) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r.fillRequest(req, entry.Address, time.Until(deadline))
	if err := c.http.DoDeadline(req, resp, deadline.Add(answerGrace)); err != nil {
		return r.recordError(err)
	}
	r.Outcome = string(resp.Header.Peek(listener.HeaderOutcome))
	r.Reason = string(resp.Header.Peek(listener.HeaderReason))
	if len(r.RunTimes) > 1 {
		r.readJobAnswer(resp.Body())
		return true
	}
	if r.Outcome == Answered {
		r.Complete = string(resp.Header.Peek(listener.HeaderServerStatus)) == strconv.Itoa(fasthttp.StatusOK)
		r.GoodTasks = 1
	}
	return true
}

// recordError records a call without an answer, and returns false when the call may be sent again: after a connection
// that could not be opened, where the load balancer takes the next entry process, and after a closed one when the call
// has a key. Without a key it is not safe to repeat.
func (r *Result) recordError(err error) bool {
	var dialErr *dialError
	switch {
	case errors.As(err, &dialErr):
		r.Outcome = NoAnswer
		return false
	case errors.Is(err, fasthttp.ErrTimeout):
		r.Outcome = NoAnswer
		return true
	}
	r.Outcome, r.Reason = Closed, err.Error()
	return !r.Keyed
}

func (r *Result) fillRequest(req *fasthttp.Request, address string, timeout time.Duration) {
	millis := max(timeout.Milliseconds(), 1)
	req.Header.SetMethod(fasthttp.MethodPost)
	if len(r.RunTimes) > 1 {
		req.SetRequestURI("http://" + address + "/v1/jobs")
		req.SetBodyRaw(r.jobBody(millis))
		return
	}
	req.SetRequestURI("http://" + address + "/v1/requests/" + r.Service + "/" + r.Task)
	req.Header.Set(listener.HeaderTeam, r.Team)
	req.Header.Set(listener.HeaderTimeout, strconv.FormatInt(millis, 10))
	if r.Keyed {
		req.Header.Set(listener.HeaderKey, r.ID)
	}
	req.SetBodyRaw(r.taskPayload(0))
}

func (r *Result) taskPayload(i int) []byte {
	b, err := json.Marshal(replier.Work{RunMilliseconds: r.RunTimes[i].Milliseconds(), ID: r.ID, Cores: r.Cores})
	if err != nil {
		panic(err) // A struct of numbers and a string always marshals.
	}
	return b
}

func (r *Result) jobBody(millis int64) []byte {
	j := listener.Job{Key: r.ID, Team: r.Team, Service: r.Service, TimeoutMilliseconds: &millis}
	for i := range r.RunTimes {
		j.Tasks = append(j.Tasks, listener.JobTask{ID: strconv.Itoa(i), Task: r.Task, Payload: r.taskPayload(i)})
	}
	b, err := json.Marshal(j)
	if err != nil {
		panic(err) // The payloads are valid JSON, and nothing else can fail.
	}
	return b
}

func (r *Result) readJobAnswer(body []byte) {
	var a listener.JobAnswer
	if json.Unmarshal(body, &a) != nil {
		return
	}
	r.Complete = a.State == "complete"
	for _, t := range a.Tasks {
		if t.Outcome == Answered && t.Status == fasthttp.StatusOK {
			r.GoodTasks++
		}
	}
}
