package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	holdMax  = time.Second
	stopTime = 40 * time.Millisecond
)

// worker is a stand-in for a runner. The spec of a job is the run time of its tasks in milliseconds.
type worker struct {
	id, zone, address, service string
	server                     *http.Server
	rec                        *record
	done                       chan struct{}

	mu       sync.Mutex
	bornAt   time.Time
	sequence int
	fence    uint64
	leaseEnd int64
	runs     map[string]*taskRun
	closed   map[string]int
	ends     []end
	lastEnd  int
	history  []start
}

type taskRun struct {
	task      string
	attempt   int
	startedAt time.Time
	endsAt    time.Time
	stopAt    time.Time
}

type end struct {
	number  int
	task    string
	attempt int
	how     string
}

// start is a run that has begun.
type start struct {
	task string
	at   time.Time
}

func newWorker(f *fleet, number int, zone, service string) (*worker, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", f.subnet, 101+number))
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: fmt.Sprintf("i-%08x", 0x7f3a91c2+7919*number), zone: zone, service: service, address: ln.Addr().String(), rec: f.rec, done: make(chan struct{}),
		bornAt: time.Now(), runs: map[string]*taskRun{}, closed: map[string]int{},
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(ln) }()
	return w, nil
}

func (w *worker) close() {
	select {
	case <-w.done:
	default:
		close(w.done)
	}
	_ = w.server.Close()
}

// beat reports the worker to a core machine each 1.5 s, and to the next one where that fails.
func (w *worker) beat(f *fleet) {
	for n := 0; ; {
		w.mu.Lock()
		w.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
			"capacity": map[string]int{"cpu": 16000, "mem-mb": 32768, "gpu": 0}, "labels": []string{"a", "r1-3"}, "clock-ms": w.clock(time.Now()),
			"sequence": w.sequence, "born": w.bornAt.UnixMilli(),
		})
		w.mu.Unlock()
		status, _ := f.call(http.MethodPut, fmt.Sprintf("http://%s:%d/clementineyard/instances/%s", f.voters[n%3].ip, f.controlPort, w.id), "", body, time.Second)
		pause := 1500 * time.Millisecond
		if status != http.StatusOK {
			n++
			pause = 100 * time.Millisecond
		}
		select {
		case <-w.done:
			return
		case <-time.After(pause):
		}
	}
}

func (w *worker) clock(now time.Time) int64 { return 1000 + now.Sub(w.bornAt).Milliseconds() }

func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	var order struct {
		Task     string `json:"task"`
		Attempt  int    `json:"attempt"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadline-ms"`
		Fence    uint64 `json:"fencing-token"`
		Ack      int    `json:"ack-cursor"`
		WaitMS   int64  `json:"wait-ms"`
	}
	if err := json.NewDecoder(req.Body).Decode(&order); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if req.Header.Get("Clementineyard-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(order.WaitMS) * time.Millisecond)
	for {
		w.mu.Lock()
		now := time.Now()
		w.advance(now)
		reason := ""
		answer := map[string]any{"clock-ms": w.clock(now), "born": w.bornAt.UnixMilli()}
		waits := false
		switch {
		case order.Fence < w.fence:
			reason = "fence"
		case req.URL.Path == "/clementineyard/run-start":
			w.fence = order.Fence
			reason = w.start(now, order.Task, order.Attempt, order.Spec, order.Deadline)
		case req.URL.Path == "/clementineyard/run-stop":
			w.fence = order.Fence
			w.closed[order.Task] = max(w.closed[order.Task], order.Attempt)
			if r := w.runs[order.Task]; r != nil && r.attempt <= order.Attempt && r.stopAt.IsZero() {
				r.stopAt = now.Add(stopTime)
			}
		case req.URL.Path == "/clementineyard/hold":
			w.fence = order.Fence
			w.extend(now, order.Deadline)
			w.list(answer, order.Ack)
			waits = w.lastEnd <= order.Ack && now.Before(deadline)
		default:
			w.mu.Unlock()
			rw.WriteHeader(http.StatusNotFound)
			return
		}
		w.mu.Unlock()
		if waits {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		rw.Header().Set("Content-Type", "application/json")
		if reason != "" {
			answer["reason"] = reason
			rw.WriteHeader(http.StatusConflict)
		}
		_ = json.NewEncoder(rw).Encode(answer)
		return
	}
}

// start starts a run, or returns why not. The caller holds w.mu.
func (w *worker) start(now time.Time, task string, attempt int, spec string, deadline int64) string {
	held := w.runs[task]
	switch {
	case held != nil && held.attempt == attempt:
		return ""
	case deadline <= w.clock(now):
		return "late"
	}
	w.extend(now, deadline)
	if held != nil || attempt <= w.closed[task] {
		return "old"
	}
	ms, err := strconv.Atoi(spec)
	if err != nil {
		ms = 500
	}
	w.runs[task] = &taskRun{task: task, attempt: attempt, startedAt: now, endsAt: now.Add(time.Duration(ms) * time.Millisecond)}
	w.history = append(w.history, start{task, now})
	w.rec.note("worker %s starts %s attempt %d", w.id, task, attempt)
	return ""
}

func (w *worker) extend(now time.Time, deadline int64) {
	if deadline > 0 {
		w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock(now)+holdMax.Milliseconds()))
	}
}

// advance ends the runs that are over. The caller holds w.mu.
func (w *worker) advance(now time.Time) {
	for _, r := range w.runs {
		how := ""
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			how = "stopped"
		case !now.Before(r.endsAt):
			how = "done"
		case w.clock(now) >= w.leaseEnd:
			how = "lapsed"
		default:
			continue
		}
		w.lastEnd++
		w.closed[r.task] = max(w.closed[r.task], r.attempt)
		w.ends = append(w.ends, end{w.lastEnd, r.task, r.attempt, how})
		delete(w.runs, r.task)
		w.rec.note("worker %s ends %s attempt %d: %s", w.id, r.task, r.attempt, how)
	}
}

// list adds the runs and ends to an answer to a hold. The caller holds w.mu.
func (w *worker) list(answer map[string]any, ack int) {
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.number > ack {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := int(100 * time.Since(r.startedAt) / max(r.endsAt.Sub(r.startedAt), 1))
		running = append(running, []any{r.task, r.attempt, "", min(percent, 100)})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ended = append(ended, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	answer["running"], answer["ended-runs"] = running, ended
}
