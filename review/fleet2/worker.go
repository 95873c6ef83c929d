package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as its settings files state them.
const (
	maxLease       = time.Second
	stopTime       = 50 * time.Millisecond
	cancelTime     = 3 * time.Second
	ackTimeout     = 4 * time.Second
	drainTime      = 2 * time.Second
	reportInterval = 1500 * time.Millisecond
	retransmitTime = 1300 * time.Millisecond
)

// amount is what a task asks for, or what a worker has.
type amount struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"mem-mb"`
	GPU    int64 `json:"gpu"`
}

// run is a run of a task on a worker.
type run struct {
	task     string
	attempt  int
	worker   *worker
	life     int
	ask      amount
	began    time.Time
	takes    time.Duration
	stopping time.Time
	ended    time.Time
	how      string
}

type endRow struct {
	number int
	run    *run
}

// worker is a stand-in for one worker. It keeps the platform's protocol: leases, fencing tokens, attempts and ends. Its
// task's run time comes from the job that the client handed in.
type worker struct {
	fleet    *fleet
	id       string
	zone     string
	labels   []string
	capacity amount
	address  string
	server   *http.Server

	mu       sync.Mutex
	life     int
	born     time.Time
	sequence int
	state    string
	fence    uint64
	leaseEnd time.Time
	running  map[string]*run
	// barred holds the highest attempt of each task that was stopped or has ended here.
	barred  map[string]int
	ends    []endRow
	lastEnd int
	changed chan struct{}
	// down is true while the worker answers nothing and runs nothing.
	down bool
	// mute is true while the worker answers no order and sends no report; its runs go on until their lease ends.
	mute bool
	// lateStart, unless nil, decides whether a start is left unanswered and after how long it is carried out.
	lateStart func(task string, attempt int) (time.Duration, bool)
	// loseAnswer, unless nil, decides whether the answer to an order is lost.
	loseAnswer func(path string) bool
}

func newWorker(f *fleet, id, zone, ip string, capacity amount, labels ...string) *worker {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		f.fail("listen for worker", err)
	}
	w := &worker{fleet: f, id: id, zone: zone, labels: labels, capacity: capacity, address: ln.Addr().String(), state: "ready"}
	w.begin()
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(ln) }()
	go w.reportForever()
	go w.tickForever()
	return w
}

// begin starts a lifetime. The caller holds w.mu or is the only one that knows w.
func (w *worker) begin() {
	w.life++
	w.born, w.sequence, w.fence, w.lastEnd, w.ends = time.Now(), 0, 0, 0, nil
	w.leaseEnd = w.born
	w.running, w.barred, w.changed = map[string]*run{}, map[string]int{}, make(chan struct{})
}

// restart crashes the worker and starts it again under its id after the given time.
func (w *worker) restart(after time.Duration) {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	now := time.Now()
	for _, r := range w.running {
		r.ended, r.how = now, "crash"
		w.fleet.record.add("end", "worker", w.id, "task", r.task, "attempt", r.attempt, "how", "crash")
	}
	w.running = map[string]*run{}
	w.down = true
	w.fleet.record.add("worker-crash", "worker", w.id)
	w.mu.Unlock()
	time.Sleep(after)
	w.mu.Lock()
	w.begin()
	w.down = false
	if w.fleet.moves {
		old := w.server
		ln, err := net.Listen("tcp", strings.Split(w.address, ":")[0]+":0")
		if err != nil {
			w.fleet.fail("listen for worker", err)
		}
		w.address = ln.Addr().String()
		w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
		server := w.server
		go func() { _ = server.Serve(ln) }()
		go func() { _ = old.Close() }()
	}
	w.fleet.record.add("worker-start", "worker", w.id, "life", w.life)
	w.mu.Unlock()
	w.report()
}

// silence makes the worker answer nothing for the given time.
func (w *worker) silence(d time.Duration) {
	set := func(mute bool) {
		w.mu.Lock()
		w.mute = mute
		w.fleet.record.add("worker-mute", "worker", w.id, "mute", mute)
		w.mu.Unlock()
	}
	set(true)
	time.Sleep(d)
	set(false)
	w.report()
}

// leave drains the worker, ends it, and starts another one at a new address.
func (w *worker) leave() *worker {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.report()
	time.Sleep(drainTime + time.Duration(rand.IntN(4000))*time.Millisecond)
	c := w.fleet.cores[rand.IntN(len(w.fleet.cores))]
	w.fleet.call(time.Second, http.MethodDelete, c.control, "/clementineyard/instances/"+w.id, "", nil)
	w.mu.Lock()
	now := time.Now()
	for _, r := range w.running {
		w.fleet.judge.ended(now, r, "crash")
	}
	w.running, w.down = map[string]*run{}, true
	w.mu.Unlock()
	return newWorker(w.fleet, w.id+"n", w.zone, strings.Split(w.address, ":")[0], w.capacity, w.labels...)
}

// clockRate is the rate of a worker's clock, the slowest that the platform allows.
const clockRate = 0.98

func (w *worker) clock() int64 {
	return int64(clockRate*float64(time.Since(w.born).Milliseconds())) + 1000
}

func (w *worker) reportForever() {
	for !w.fleet.closed() {
		w.report()
		time.Sleep(reportInterval)
	}
}

// report sends a report of the worker to a voter, and to the next one if that does not answer.
func (w *worker) report() {
	w.mu.Lock()
	if w.down || w.mute {
		w.mu.Unlock()
		return
	}
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "cold-remaining-ms": 0,
		"capacity": w.capacity, "labels": w.labels, "clock-ms": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	state, first := w.state, w.sequence
	w.mu.Unlock()
	for i := range w.fleet.cores {
		c := w.fleet.cores[(first+i)%len(w.fleet.cores)]
		if w.fleet.zoneCut.Load() == w.zone && c.zone != w.zone || w.fleet.zoneCut.Load() == c.zone && c.zone != w.zone {
			continue
		}
		status, _ := w.fleet.call(time.Second, http.MethodPut, c.control, "/clementineyard/instances/"+w.id, "", body)
		if status/100 == 2 {
			if state == "draining" {
				w.fleet.judge.drained(w)
			}
			return
		}
	}
}

// tickForever ends the runs that are due.
func (w *worker) tickForever() {
	for ; !w.fleet.closed(); time.Sleep(2 * time.Millisecond) {
		w.mu.Lock()
		w.tick(time.Now())
		w.mu.Unlock()
	}
}

func (w *worker) tick(now time.Time) {
	for _, r := range w.running {
		switch {
		case !r.stopping.IsZero() && !now.Before(r.stopping):
			w.end(now, r, "stopped")
		case now.Sub(r.began) >= r.takes:
			w.end(now, r, "done")
		case now.After(w.leaseEnd):
			w.end(now, r, "lapsed")
		}
	}
}

func (w *worker) end(now time.Time, r *run, how string) {
	delete(w.running, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.attempt)
	w.lastEnd++
	w.ends = append(w.ends, endRow{w.lastEnd, r})
	w.fleet.judge.ended(now, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Spec    string `json:"spec"`
	// LeaseEnd is nil where the order gives no lease.
	LeaseEnd *int64 `json:"deadline-ms"`
	Fence    uint64 `json:"fencing-token"`
	Ack      int    `json:"ack-cursor"`
	Wait     int64  `json:"wait-ms"`
}

// ServeHTTP carries out the orders of the system.
func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	w.mu.Lock()
	down, mute := w.down, w.mute
	w.mu.Unlock()
	if mute {
		<-req.Context().Done()
	}
	if err != nil || down || mute {
		panic(http.ErrAbortHandler)
	}
	var o order
	switch {
	case req.Header.Get("Clementineyard-Expect-Instance") != w.id:
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case json.Unmarshal(body, &o) != nil:
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	path := strings.TrimPrefix(req.URL.Path, "/clementineyard/")
	if path == "run-start" && w.lateStart != nil {
		if delay, late := w.lateStart(o.Task, o.Attempt); late {
			w.fleet.record.add("order-late", "worker", w.id, "task", o.Task, "attempt", o.Attempt, "carriedOutAfter", delay.String())
			time.AfterFunc(delay, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if !w.down {
					reason := w.start(&o)
					w.fleet.record.add("order-carried-out", "worker", w.id, "life", w.life, "task", o.Task, "attempt", o.Attempt, "refused", reason)
				}
			})
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	answer, status := w.handle(path, &o, req)
	if w.loseAnswer != nil && w.loseAnswer(path) {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(answer)
}

func (w *worker) handle(path string, o *order, req *http.Request) (map[string]any, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reason := ""
	switch path {
	case "run-start":
		reason = w.start(o)
	case "run-stop":
		reason = w.stop(o)
	case "hold":
		return w.hold(o, req)
	default:
		return nil, http.StatusNotFound
	}
	answer := map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		answer["reason"] = reason
		return answer, http.StatusConflict
	}
	return answer, http.StatusOK
}

// seeFence reports whether the token is too low. The caller holds w.mu, as for all methods below.
func (w *worker) seeFence(o *order) bool {
	if o.Fence < w.fence {
		return true
	}
	w.fence = o.Fence
	return false
}

func (w *worker) extend(leaseEnd int64) {
	now := time.Now()
	end := now.Add(time.Duration(float64(leaseEnd-w.clock()) / clockRate * float64(time.Millisecond)))
	if limit := now.Add(maxLease * 100 / 98); end.After(limit) {
		end = limit
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (w *worker) start(o *order) (reason string) {
	now := time.Now()
	w.tick(now)
	if w.seeFence(o) {
		return "fence"
	}
	if o.LeaseEnd == nil || *o.LeaseEnd <= w.clock() {
		return "late"
	}
	w.extend(*o.LeaseEnd)
	r := w.running[o.Task]
	switch {
	case r != nil && r.attempt == o.Attempt:
		return ""
	case o.Attempt <= w.barred[o.Task] || r != nil && o.Attempt < r.attempt:
		return "old"
	case r != nil:
		// A later attempt takes the place of the earlier one.
		w.end(now, r, "stopped")
	}
	r = &run{task: o.Task, attempt: o.Attempt, worker: w, life: w.life, began: now}
	w.fleet.judge.began(now, r, o.Spec, w.running)
	w.running[o.Task] = r
	return ""
}

func (w *worker) stop(o *order) (reason string) {
	if w.seeFence(o) {
		return "fence"
	}
	w.barred[o.Task] = max(w.barred[o.Task], o.Attempt)
	if r := w.running[o.Task]; r != nil && r.attempt <= o.Attempt && r.stopping.IsZero() {
		r.stopping = time.Now().Add(stopTime / 5)
	}
	return ""
}

func (w *worker) hold(o *order, req *http.Request) (map[string]any, int) {
	if w.seeFence(o) {
		return map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli(), "reason": "fence"}, http.StatusConflict
	}
	w.tick(time.Now())
	if o.LeaseEnd != nil && *o.LeaseEnd > 0 {
		w.extend(*o.LeaseEnd)
	}
	life := w.life
	for until := time.Now().Add(time.Duration(o.Wait) * time.Millisecond); ; {
		for len(w.ends) > 0 && w.ends[0].number <= o.Ack {
			w.ends = w.ends[1:]
		}
		left := time.Until(until)
		if len(w.ends) > 0 || left <= 0 {
			break
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(left):
		case <-req.Context().Done():
		}
		w.mu.Lock()
		if w.down || w.life != life || req.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	now := time.Now()
	for _, r := range w.running {
		percent := int(100 * now.Sub(r.began) / max(r.takes, 1))
		running = append(running, []any{r.task, r.attempt, "", percent})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.attempt, e.run.how, ""})
	}
	return map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended-runs": ended}, http.StatusOK
}

func (w *worker) String() string { return fmt.Sprintf("%s/%d", w.id, w.life) }
