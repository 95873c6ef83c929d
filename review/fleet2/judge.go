package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// phase is a step of a job, as clients send it.
type phase struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	Memory       int64  `json:"mem-mb"`
	EstimateMS   int64  `json:"estimate-ms,omitempty"`
	DependsOn    []int  `json:"depends-on,omitempty"`
	AntiAffinity int    `json:"anti-affinity,omitempty"`
	Requirement  string `json:"requirements,omitempty"`
	// takes is how long a task of the step runs; it is not sent.
	takes time.Duration
}

// job is a job of a client, and what the client has seen of it.
type job struct {
	id, zone, spec string
	phases         []phase
	submittedAt    time.Time
	// answers holds the status of each attempt; 0 for none.
	answers []int
	// cancelAckedAt is when a cancellation was acknowledged, and cancelSentAt when one was first sent; zero before.
	cancelAckedAt, cancelSentAt time.Time
	runs                        []*run
	done                        map[string]time.Time
	cancelled                   chan struct{}
}

// judge checks the rules by what clients, workers and the operator see.
type judge struct {
	fleet  *fleet
	mu     sync.Mutex
	jobs   map[string]*job
	breaks []string
	// steady is true in scenarios without a disturbance but changes of the desired state. A cancellation then counts as
	// acknowledged once it has waited for ackTimeout, and no run may outlast it.
	steady   bool
	drainsAt map[string]time.Time
	starts   int
}

func newJudge(f *fleet) *judge {
	return &judge{fleet: f, jobs: map[string]*job{}, drainsAt: map[string]time.Time{}}
}

func (j *judge) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	j.breaks = append(j.breaks, text)
	j.fleet.record.add("BROKEN", "rule", text)
}

// brokenLater is broken for callers without the lock.
func (j *judge) brokenLater(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broken(rule, format, args...)
}

func (j *judge) add(b *job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b.done, b.cancelled = map[string]time.Time{}, make(chan struct{})
	j.jobs[b.id] = b
}

// split returns the parts of a task's name.
func split(task string) (id string, step, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task, -1, -1
	}
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return parts[0], step, index
}

// began notes a start that a worker is about to carry out beside the runs that it has. The worker's lock is held.
func (j *judge) began(now time.Time, r *run, spec string, beside map[string]*run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	j.fleet.record.add("start", "worker", r.worker.id, "life", r.life, "task", r.task, "attempt", r.attempt)
	id, step, index := split(r.task)
	b := j.jobs[id]
	if b == nil || step < 0 || step >= len(b.phases) || index >= b.phases[step].Count {
		j.broken("UNASKED", "task %s was sent by no client", r.task)
		r.takes = time.Second
		return
	}
	p := b.phases[step]
	r.takes, r.ask = p.takes, amount{CPU: p.CPU, Memory: p.Memory}
	if spec != b.spec {
		j.broken("UNASKED", "task %s got another spec", r.task)
	}
	if at, how := j.cancelledAt(b, now); !at.IsZero() && now.Sub(at) > cancelTime {
		j.broken("UNASKED", "task %s starts %.3f s after its job's cancelling %s", r.task, now.Sub(at).Seconds(), how)
	}
	for _, o := range b.runs {
		if o.task == r.task && o.ended.IsZero() {
			j.broken("TWICE", "task %s starts on %s (attempt %d) while its attempt %d runs on %s", r.task, r.worker, r.attempt, o.attempt, o.worker)
		}
	}
	for _, d := range p.DependsOn {
		for i := range b.phases[d].Count {
			if name := fmt.Sprintf("%s.0.%d.%d", id, d, i); b.done[name].IsZero() {
				j.broken("ORDER", "task %s starts before %s is done", r.task, name)
			}
		}
	}
	used, same := r.ask, 1
	for _, o := range beside {
		used.CPU, used.Memory = used.CPU+o.ask.CPU, used.Memory+o.ask.Memory
		if oid, ostep, _ := split(o.task); oid == id && ostep == step && o.task != r.task {
			same++
		}
	}
	if c := r.worker.capacity; used.CPU > c.CPU || used.Memory > c.Memory {
		j.broken("LIMIT", "task %s brings worker %s to %d of %d millicores", r.task, r.worker, used.CPU, c.CPU)
	}
	if p.AntiAffinity > 0 && same > p.AntiAffinity {
		j.broken("ROUTE", "task %s is number %d of its step on worker %s, of %d allowed", r.task, same, r.worker, p.AntiAffinity)
	}
	if p.Requirement != "" && !slices.Contains(r.worker.labels, p.Requirement) {
		j.broken("ROUTE", "task %s starts on worker %s without label %s", r.task, r.worker, p.Requirement)
	}
	if at := j.drainsAt[r.worker.id]; !at.IsZero() && now.Sub(at) > drainTime {
		j.broken("DRAIN", "task %s starts %.3f s after worker %s said that it leaves", r.task, now.Sub(at).Seconds(), r.worker)
	}
	b.runs = append(b.runs, r)
}

// cancelledAt returns from when on the rules count a job as cancelled; zero if they do not.
func (j *judge) cancelledAt(b *job, now time.Time) (at time.Time, how string) {
	switch waited := b.cancelSentAt.Add(ackTimeout); {
	case !b.cancelAckedAt.IsZero():
		return b.cancelAckedAt, "was acknowledged"
	case j.steady && !b.cancelSentAt.IsZero() && now.After(waited):
		return waited, "had waited for its acknowledgement for ack-timeout-ms"
	}
	return time.Time{}, ""
}

// ended notes the end of a run.
func (j *judge) ended(now time.Time, r *run, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.ended, r.how = now, how
	j.fleet.record.add("end", "worker", r.worker.id, "task", r.task, "attempt", r.attempt, "how", how)
	id, _, _ := split(r.task)
	if b := j.jobs[id]; b != nil && how == "done" {
		b.done[r.task] = now
	}
}

func (j *judge) drained(w *worker) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.drainsAt[w.id].IsZero() {
		j.drainsAt[w.id] = time.Now()
		j.fleet.record.add("leaving-acknowledged", "worker", w.id)
	}
}

// answered notes the answer to one attempt of a client to hand in its job; status 0 stands for none.
func (j *judge) answered(b *job, process string, status int, body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b.answers = append(b.answers, status)
	j.fleet.record.add("answer", "job", b.id, "from", process, "status", status, "body", strings.TrimSpace(body))
	if status == 200 && strings.Contains(body, "completed") {
		for s, p := range b.phases {
			for i := range p.Count {
				if name := fmt.Sprintf("%s.0.%d.%d", b.id, s, i); b.done[name].IsZero() {
					j.broken("MIXED", "job %s is completed and task %s is not done", b.id, name)
				}
			}
		}
	}
}

func (j *judge) cancelled(b *job, process string, status int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fleet.record.add("cancel-answer", "job", b.id, "from", process, "status", status)
	if status/100 != 2 && status != 410 {
		return false
	}
	if b.cancelAckedAt.IsZero() {
		b.cancelAckedAt = time.Now()
	}
	return true
}

// finish checks what can be told only at the end.
func (j *judge) finish() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, b := range j.jobs {
		rejected := len(b.answers) > 0
		for _, a := range b.answers {
			rejected = rejected && (a == 503 || a == 429)
		}
		if rejected && len(b.runs) > 0 {
			j.broken("REFUSED", "job %s was rejected each time, and has run %d times", b.id, len(b.runs))
		}
		for _, r := range b.runs {
			end := r.ended
			if end.IsZero() {
				end = time.Now()
			}
			if at, how := j.cancelledAt(b, end); j.steady && !at.IsZero() && r.began.Before(at.Add(cancelTime)) && end.Sub(at) > cancelTime+stopTime {
				j.broken("UNASKED", "task %s runs on %.3f s after its job's cancelling %s", r.task, end.Sub(at).Seconds(), how)
			}
		}
	}
	return j.breaks
}
