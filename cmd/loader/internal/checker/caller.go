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
	callTimeout = 4 * time.Second
	maxTasks    = 8
	maxRunMs    = 120
	maxResends  = 4
)

// call is one HTTP call of a submission and what came of it.
type call struct {
	vm             *launcher.VM
	sent, received time.Time
	// err is set when no HTTP answer came.
	err     error
	status  int
	outcome string
	reason  string
	answer  listener.JobAnswer
}

// submission is one key or one request without a key, and all its calls.
type submission struct {
	id            string
	keyed, single bool
	nonIdempotent bool
	task          string
	tasks         []listener.JobTask
	calls         []call
}

// caller submits one after the other until stopped.
type caller struct {
	run  *run
	rnd  *rand.Rand
	http *http.Client

	mu   sync.Mutex
	subs []*submission
}

func newCaller(r *run, rnd *rand.Rand) *caller {
	return &caller{run: r, rnd: rnd, http: &http.Client{Timeout: callTimeout + time.Second}}
}

func (c *caller) loop(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		s := c.make(n)
		c.mu.Lock()
		c.subs = append(c.subs, s)
		c.mu.Unlock()
		c.submit(s)
	}
}

func (c *caller) make(n int) *submission {
	vm := c.anyVM()
	// The key carries the issue time, so it is made when it is first sent.
	s := &submission{
		id:    fmt.Sprintf("%s.%d.%016x", vm.FailureDomain, time.Now().UnixMilli(), c.rnd.Uint64()),
		keyed: true, single: c.rnd.IntN(3) == 0, task: "assignNumber", nonIdempotent: true,
	}
	if c.rnd.IntN(2) == 0 {
		s.task, s.nonIdempotent = "lookUp", false
		s.keyed = !s.single || c.rnd.IntN(2) == 0
	}
	count := 1
	if !s.single {
		count = 1 + c.rnd.IntN(maxTasks)
	}
	for i := range count {
		b, _ := json.Marshal(replier.Work{RunMilliseconds: 1 + c.rnd.Int64N(maxRunMs), ID: s.id})
		s.tasks = append(s.tasks, listener.JobTask{ID: fmt.Sprint(i), Task: s.task, Payload: b})
	}
	return s
}

func (c *caller) anyVM() *launcher.VM { return c.run.d.VMs[c.rnd.IntN(len(c.run.d.VMs))] }

// submit sends the submission and resends it, as a client does that believes it was lost; sometimes two at once.
func (c *caller) submit(s *submission) {
	if s.keyed && c.rnd.IntN(5) == 0 {
		var wg sync.WaitGroup
		calls := make([]call, 2)
		for i := range calls {
			vm := c.anyVM()
			wg.Add(1)
			go func() {
				defer wg.Done()
				calls[i] = c.send(vm, s)
			}()
		}
		wg.Wait()
		c.keep(s, calls...)
	}
	for range maxResends {
		last := c.send(c.anyVM(), s)
		c.keep(s, last)
		if !s.keyed || (last.err == nil && last.outcome == "answered" && c.rnd.IntN(4) > 0) {
			return
		}
		time.Sleep(time.Duration(c.rnd.IntN(200)) * time.Millisecond)
	}
}

func (c *caller) keep(s *submission, calls ...call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.calls = append(s.calls, calls...)
}

func (c *caller) send(vm *launcher.VM, s *submission) call {
	out := call{vm: vm, sent: time.Now()}
	req, err := s.request(vm)
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

func (s *submission) request(vm *launcher.VM) (*http.Request, error) {
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
