package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerCPU and workerMemory are what a runner has.
const (
	workerCPU    = 16000
	workerMemory = 32768
)

// worker is a stand-in for a runner that follows the users' protocol.
type worker struct {
	fleet    *fleet
	id, zone string
	address  string
	server   *http.Server
	bornAt   time.Time
	labels   []string

	mu       sync.Mutex
	sequence uint64
	fence    uint64
	leaseEnd time.Time
	runs     map[string]*run
	barred   map[string]int
	ends     []end
	endCount uint64
	history  []*run
	// lateShare of the orders get no answer and are carried out 2 to 12 s later; lostShare are carried out without an answer. Until
	// cutUntil no order arrives.
	lateShare, lostShare float64
	cutUntil             time.Time
	up                   bool
	drainAckAt           time.Time
	// Connections that were opened before silentBefore are silent for good.
	silentBefore time.Time
}

// openedAt is the key of the time at which a connection was opened.
type openedAt struct{}

// run is a task that a runner has begun.
type run struct {
	worker          *worker
	task            string
	attempt         int
	fence           uint64
	startAt, doneAt time.Time
	// endAt is when the run ended, and how; zero while it goes on. stopAt is when it ends as it was told to stop.
	endAt, stopAt time.Time
	how           string
	labels        []string
	drainAckAt    time.Time
}

type end struct {
	number uint64
	run    *run
}

func newWorker(f *fleet, id, zone, ip string) (*worker, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{fleet: f, id: id, zone: zone, address: ln.Addr().String(), bornAt: time.Now(), runs: map[string]*run{}, barred: map[string]int{}, up: true, labels: []string{"a", "r1-" + zone}}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, openedAt{}, time.Now())
	}}
	go func() { _ = w.server.Serve(ln) }()
	go w.tick()
	return w, nil
}

func (w *worker) close() { _ = w.server.Close() }

// clock returns the runner's clock in milliseconds.
func (w *worker) clock(now time.Time) int64 { return now.Sub(w.bornAt).Milliseconds() + 1000 }

// tick ends what is due, also while no order arrives.
func (w *worker) tick() {
	for {
		select {
		case <-w.fleet.done:
			return
		case <-time.After(2 * time.Millisecond):
		}
		w.mu.Lock()
		w.advance(time.Now())
		w.mu.Unlock()
	}
}

// advance ends the runs that are done, stopped or without a lease. The caller holds w.mu.
func (w *worker) advance(now time.Time) {
	for task, r := range w.runs {
		at, how := r.doneAt, "done"
		if !r.stopAt.IsZero() && r.stopAt.Before(at) {
			at, how = r.stopAt, "stopped"
		}
		if w.leaseEnd.Before(at) {
			at, how = w.leaseEnd, "lapsed"
		}
		if at.After(now) {
			continue
		}
		r.endAt, r.how = at, how
		delete(w.runs, task)
		w.barred[task] = max(w.barred[task], r.attempt)
		w.endCount++
		w.ends = append(w.ends, end{w.endCount, r})
		w.fleet.record.printf("runner %s: %s attempt %d ended %s", w.id, task, r.attempt, how)
	}
}

type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    uint64 `json:"fencing-token"`
	Ack      uint64 `json:"ack-cursor"`
	Wait     int64  `json:"wait-ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Clementineyard-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.disturb(rw, r.URL.Path, o) {
		return
	}
	defer func() {
		if w.isSilent(r) {
			panic(http.ErrAbortHandler)
		}
	}()
	if w.isSilent(r) {
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/clementineyard/run-start":
		w.respond(rw, w.start(o), nil)
	case "/clementineyard/run-stop":
		w.respond(rw, w.stop(o), nil)
	case "/clementineyard/hold":
		reason, lists := w.hold(o)
		if w.isSilent(r) {
			<-r.Context().Done()
			return
		}
		w.respond(rw, reason, lists)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// isSilent reports whether nothing passes any more on the connection of a request.
func (w *worker) isSilent(r *http.Request) bool {
	t, _ := r.Context().Value(openedAt{}).(time.Time)
	w.mu.Lock()
	defer w.mu.Unlock()
	return t.Before(w.silentBefore)
}

// disturb drops an order or carries it out without an answer, and reports whether it did.
func (w *worker) disturb(rw http.ResponseWriter, path string, o order) bool {
	w.mu.Lock()
	cut, up, late, lost := time.Now().Before(w.cutUntil), w.up, rand.Float64() < w.lateShare, rand.Float64() < w.lostShare
	until, life := w.cutUntil, w.bornAt
	w.mu.Unlock()
	carryOut := func() {
		w.mu.Lock()
		same := w.up && w.bornAt.Equal(life)
		w.mu.Unlock()
		if !same {
			return
		}
		switch path {
		case "/clementineyard/run-start":
			w.start(o)
		case "/clementineyard/run-stop":
			w.stop(o)
		default:
			o.Wait = 0
			w.hold(o)
		}
	}
	switch {
	case !up:
	case cut:
		time.Sleep(time.Until(until))
	case late:
		time.AfterFunc(2*time.Second+rand.N(10*time.Second), carryOut)
		time.Sleep(time.Second)
	case lost:
		carryOut()
	default:
		return false
	}
	panic(http.ErrAbortHandler)
}

// crash ends the runner for a while. It starts again under its id, with other labels.
func (w *worker) crash(down time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.up = false
	for task, r := range w.runs {
		r.endAt, r.how = now, "crashed"
		delete(w.runs, task)
	}
	w.ends, w.endCount, w.barred, w.fence, w.leaseEnd = nil, 0, map[string]int{}, 0, time.Time{}
	time.AfterFunc(down, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.up, w.bornAt, w.sequence = true, time.Now(), 0
		if w.labels[0] == "a" {
			w.labels = []string{"b", w.labels[1]}
		} else {
			w.labels = []string{"a", w.labels[1]}
		}
		w.fleet.record.printf("runner %s: starts again", w.id)
	})
}

// respond answers an order: 200 where reason is empty, 409 otherwise.
func (w *worker) respond(rw http.ResponseWriter, reason string, lists map[string]any) {
	body := map[string]any{"clock-ms": w.clock(time.Now()), "born": w.bornAt.UnixMilli()}
	for k, v := range lists {
		body[k] = v
	}
	status := http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// accept applies an order's fence and deadline. The caller holds w.mu.
func (w *worker) accept(now time.Time, o order) (reason string) {
	w.advance(now)
	if o.Fence < w.fence {
		return "fence"
	}
	w.fence = o.Fence
	if o.Deadline > 0 {
		until := now.Add(min(time.Duration(o.Deadline-w.clock(now))*time.Millisecond, maxHold))
		if until.After(w.leaseEnd) {
			w.leaseEnd = until
		}
	}
	return ""
}

func (w *worker) start(o order) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if reason = w.accept(now, o); reason != "" {
		return reason
	}
	r := w.runs[o.Task]
	switch {
	case r != nil && r.attempt == o.Attempt:
		return ""
	case o.Attempt <= w.barred[o.Task]:
		return "old"
	case !w.leaseEnd.After(now):
		return "late"
	}
	r = &run{worker: w, labels: w.labels, drainAckAt: w.drainAckAt, task: o.Task, attempt: o.Attempt, fence: o.Fence, startAt: now, doneAt: now.Add(workTime(o.Spec, o.Task))}
	w.runs[o.Task] = r
	w.history = append(w.history, r)
	w.fleet.record.printf("runner %s: %s attempt %d starts, fence %d", w.id, o.Task, o.Attempt, o.Fence)
	return ""
}

// workTime returns the run time of a task from the job's spec, "work MS,MS,..." with one figure for each step.
func workTime(spec, task string) time.Duration {
	parts := strings.Split(task, ".")
	times := strings.Split(strings.TrimPrefix(spec, "work "), ",")
	if len(parts) != 4 {
		return 0
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step >= len(times) {
		return 0
	}
	ms, err := strconv.Atoi(times[step])
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) stop(o order) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if reason = w.accept(now, o); reason != "" {
		return reason
	}
	w.barred[o.Task] = max(w.barred[o.Task], o.Attempt)
	if r := w.runs[o.Task]; r != nil && r.attempt <= o.Attempt && r.stopAt.IsZero() {
		w.fleet.record.printf("runner %s: told to stop %s attempt %d", w.id, o.Task, o.Attempt)
		r.stopAt = now.Add(stopTime / 2)
	}
	return ""
}

func (w *worker) hold(o order) (reason string, lists map[string]any) {
	for until := time.Now().Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond); ; time.Sleep(2 * time.Millisecond) {
		w.mu.Lock()
		now := time.Now()
		if reason = w.accept(now, o); reason != "" {
			w.mu.Unlock()
			return reason, nil
		}
		o.Deadline = 0
		w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.number <= o.Ack })
		if len(w.ends) > 0 || !now.Before(until) {
			lists = w.lists(now)
			w.mu.Unlock()
			return "", lists
		}
		w.mu.Unlock()
	}
}

// lists returns the runs under way and those that have ended. The caller holds w.mu.
func (w *worker) lists(now time.Time) map[string]any {
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.runs {
		percent := 100 * now.Sub(r.startAt) / max(r.doneAt.Sub(r.startAt), 1)
		running = append(running, []any{task, r.attempt, "", int(percent), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.attempt, e.run.how, ""})
	}
	return map[string]any{"running": running, "ended-runs": ended}
}

// reportUntil sends the runner's reports until done is closed.
func (w *worker) reportUntil(done chan struct{}) {
	for {
		w.report("ready")
		select {
		case <-done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// report sends one report, to the next voter where one does not acknowledge it. It returns whether any did.
func (w *worker) report(state string) bool {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return false
	}
	if state == "ready" && !w.drainAckAt.IsZero() {
		state = "draining"
	}
	w.sequence++
	body := map[string]any{
		"service": service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "cold-remaining-ms": 0, "born": w.bornAt.UnixMilli(),
		"capacity": map[string]int{"cpu": workerCPU, "mem-mb": workerMemory, "gpu": 0}, "labels": w.labels, "clock-ms": w.clock(time.Now()), "sequence": w.sequence,
	}
	w.mu.Unlock()
	content, err := json.Marshal(body)
	if err != nil {
		return false
	}
	for _, v := range w.fleet.voters() {
		if status, _ := w.fleet.call(http.MethodPut, v.controlAddress(), v.controlAddress(), "/clementineyard/instances/"+w.id, string(content), time.Second); status/100 == 2 {
			return true
		}
	}
	return false
}

// runsOf returns all runs of a job that any runner has begun, the earliest first.
func (f *fleet) runsOf(job string) []*run {
	var out []*run
	for _, w := range f.workers {
		w.mu.Lock()
		for _, r := range w.history {
			if strings.HasPrefix(r.task, job+".") {
				copied := *r
				out = append(out, &copied)
			}
		}
		w.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b *run) int { return a.startAt.Compare(b.startAt) })
	return out
}

func (r *run) String() string {
	return fmt.Sprintf("%s attempt %d on %s under fence %d", r.task, r.attempt, r.worker.id, r.fence)
}
