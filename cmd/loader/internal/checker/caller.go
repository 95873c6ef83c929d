package checker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/cmd/loader/internal/replier"
	"clementineyard/internal/listener"
)

const (
	callTimeout        = 4 * time.Second
	maxTasksPerJob     = 8
	maxRunMilliseconds = 120
	maxAttempts        = 4
)

// call is one HTTP call of a submission and its result.
type call struct {
	vm             *launcher.VM
	sent, received time.Time
	// err is set when no complete HTTP response was received.
	err     error
	status  int
	outcome string
	reason  string
	answer  listener.JobAnswer
}

// submission is a job or a single request, with all calls that were made for it.
type submission struct {
	// id is the submission's key; without a key it identifies the request in the servers' journal.
	id string
	// single marks a request with one task; otherwise the submission is a job.
	keyed, single bool
	nonIdempotent bool
	task          string
	tasks         []listener.JobTask
	calls         []call
}

// caller sends random submissions one after the other until it is stopped.
type caller struct {
	run  *run
	rng  *rand.Rand
	http *http.Client

	mu          sync.Mutex
	submissions []*submission
}

func newCaller(r *run, rng *rand.Rand) *caller {
	return &caller{run: r, rng: rng, http: &http.Client{Timeout: callTimeout + time.Second}}
}

func (c *caller) submitLoop(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		s := c.newSubmission(n)
		c.mu.Lock()
		c.submissions = append(c.submissions, s)
		c.mu.Unlock()
		c.sendWithRetries(s)
	}
}

func (c *caller) newSubmission(n int) *submission {
	vm := c.randomVM()
	// The key contains its issue time, so it is created just before the first call.
	s := &submission{
		id:    fmt.Sprintf("%s.%d.%016x", vm.FailureDomain, time.Now().UnixMilli(), c.rng.Uint64()),
		keyed: true, single: c.rng.IntN(3) == 0, task: "assignNumber", nonIdempotent: true,
	}
	if c.rng.IntN(2) == 0 {
		s.task, s.nonIdempotent = "lookUp", false
		s.keyed = !s.single || c.rng.IntN(2) == 0
	}
	count := 1
	if !s.single {
		count = 1 + c.rng.IntN(maxTasksPerJob)
	}
	for i := range count {
		b, _ := json.Marshal(replier.Work{RunMilliseconds: 1 + c.rng.Int64N(maxRunMilliseconds), ID: s.id})
		s.tasks = append(s.tasks, listener.JobTask{ID: fmt.Sprint(i), Task: s.task, Payload: b})
	}
	return s
}

func (c *caller) randomVM() *launcher.VM {
	return c.run.deployment.VMs[c.rng.IntN(len(c.run.deployment.VMs))]
}

// sendWithRetries sends a submission and sends keyed ones again, as a client does that believes the first call was
// lost. Some of them start with two concurrent calls.
func (c *caller) sendWithRetries(s *submission) {
	if s.keyed && c.rng.IntN(5) == 0 {
		var wg sync.WaitGroup
		calls := make([]call, 2)
		for i := range calls {
			vm := c.randomVM()
			wg.Add(1)
			go func() {
				defer wg.Done()
				calls[i] = c.send(vm, s)
			}()
		}
		wg.Wait()
		c.recordCalls(s, calls...)
	}
	for range maxAttempts {
		last := c.send(c.randomVM(), s)
		c.recordCalls(s, last)
		if !s.keyed || (last.err == nil && last.outcome == "answered" && c.rng.IntN(4) > 0) {
			return
		}
		time.Sleep(time.Duration(c.rng.IntN(200)) * time.Millisecond)
	}
}

func (c *caller) recordCalls(s *submission, calls ...call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.calls = append(s.calls, calls...)
}

func (c *caller) send(vm *launcher.VM, s *submission) call {
	out := call{vm: vm, sent: time.Now()}
	req, err := s.httpRequest(vm)
	if err != nil {
		out.err = err
		return out
	}
	resp, err := c.http.Do(req)
	if err != nil {
		out.err, out.received = err, time.Now()
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	out.received = time.Now()
	if err != nil {
		out.err = err
		return out
	}
	out.status = resp.StatusCode
	out.outcome, out.reason = resp.Header.Get(listener.HeaderOutcome), resp.Header.Get(listener.HeaderReason)
	if s.single {
		out.answer.Tasks = []listener.JobTaskAnswer{{ID: "0", Outcome: out.outcome, Payload: b}}
		return out
	}
	out.err = json.Unmarshal(b, &out.answer)
	return out
}

func (s *submission) httpRequest(vm *launcher.VM) (*http.Request, error) {
	base := "http://" + vm.Settings.Listen.Callers
	if !s.single {
		ms := callTimeout.Milliseconds()
		b, err := json.Marshal(listener.Job{
			Key: s.id, Team: "callers", Service: serviceName, TimeoutMilliseconds: &ms, Tasks: s.tasks,
		})
		if err != nil {
			return nil, err
		}
		return http.NewRequest(http.MethodPost, base+"/v1/jobs", bytes.NewReader(b))
	}
	req, err := http.NewRequest(http.MethodPost, base+"/v1/requests/"+serviceName+"/"+s.task, bytes.NewReader(s.tasks[0].Payload))
	if err != nil {
		return nil, err
	}
	req.Header.Set(listener.HeaderTeam, "callers")
	req.Header.Set(listener.HeaderTimeout, fmt.Sprint(callTimeout.Milliseconds()))
	if s.keyed {
		req.Header.Set(listener.HeaderKey, s.id)
	}
	return req, nil
}
