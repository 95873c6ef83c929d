package allocator

import (
	"slices"
	"time"

	"clementineyard/wire"
)

// Config constructs an Allocator.
type Config struct {
	// Lease is the longest lease that workers grant.
	Lease time.Duration
	// StopWithin is how long a worker takes at most to stop a run.
	StopWithin time.Duration
	// GrantedAt is when this owner got its fence.
	GrantedAt time.Time
}

// Allocator decides on the workers of one cell under one fence. It is not safe for concurrent use.
type Allocator struct {
	cfg     Config
	workers map[string]*worker
	order   []*worker
	// lookAt is when the next look at a worker is due.
	lookAt   time.Time
	jobs     map[string]*job
	arrivals uint64
	queues   map[string]*queue
	// live holds the runs that may be under way by task name. No task starts while a run of its name is live.
	live map[string]*run
	// ended holds ends of jobs that are not known here, for a client that asks again.
	ended map[string]foreignEnd
	// outcomes holds final answers for a taker or a client that did not get them.
	outcomes map[string]outcome
	out      Output
}

type outcome struct {
	kind   wire.FleetOutcome_Kind
	reason string
	at     time.Time
}

type foreignEnd struct {
	attempt int
	done    bool
	at      time.Time
}

// New returns an Allocator without workers and jobs.
func New(cfg Config) *Allocator {
	return &Allocator{
		cfg: cfg, workers: map[string]*worker{}, jobs: map[string]*job{}, queues: map[string]*queue{}, live: map[string]*run{},
		ended: map[string]foreignEnd{}, outcomes: map[string]outcome{},
	}
}

// Report takes in the newest report of a worker.
func (a *Allocator) Report(now time.Time, r *wire.WorkerReport) Output {
	w := a.workers[r.Id]
	switch {
	case w != nil && w.report.Born == r.Born && r.Gone:
		a.lose(now, w, "worker has ended")
		a.drop(w)
	case w != nil && w.report.Born == r.Born:
		w.report, w.room = r, Resources{r.Millicores, r.MemoryMb, r.Accelerators}
	case w != nil && r.Born < w.report.Born, r.Gone:
	default:
		if w != nil {
			a.lose(now, w, "worker has restarted")
			a.drop(w)
		}
		w = newWorker(now, r)
		a.workers[r.Id] = w
		a.order = append(a.order, w)
		a.lookAt = now
	}
	a.dispatch(now)
	return a.take()
}

// Holds returns the looks that are due. Each is answered by Held or HoldFailed.
func (a *Allocator) Holds(now time.Time) []HoldOrder {
	if now.Before(a.lookAt) {
		return nil
	}
	var out []HoldOrder
	a.lookAt = now.Add(probeMost)
	for _, w := range a.order {
		if w.holding {
			continue
		}
		if now.Before(w.nextHold) {
			a.lookAt = earlier(a.lookAt, w.nextHold)
			continue
		}
		w.holding = true
		o := HoldOrder{Worker: w.report, Ack: w.ack}
		if w.healthy() {
			w.until = max(w.until, w.now(now)+a.cfg.Lease.Milliseconds())
			o.Until, o.Wait = w.until, holdWait
		}
		out = append(out, o)
	}
	return out
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Held takes in what a worker listed in answer to a look that was sent at sentAt.
func (a *Allocator) Held(now, sentAt time.Time, id string, born int64, l Listing) Output {
	w := a.workers[id]
	if w == nil || w.report.Born != born {
		return a.take()
	}
	w.holding, a.lookAt = false, now
	if l.Born != 0 && born != 0 && l.Born != born {
		a.lose(now, w, "worker has restarted")
		a.drop(w)
		a.dispatch(now)
		return a.take()
	}
	w.taken, w.failedAt, w.pause, w.heardAt = true, time.Time{}, 0, now
	w.clock, w.clockAt = l.Clock, now
	w.nextHold = now
	a.listRunning(now, sentAt, w, l)
	for _, e := range l.Ended {
		if e.Number > w.ack {
			w.ack = e.Number
			a.runEnded(now, w, e)
		}
	}
	a.dispatch(now)
	return a.take()
}

// HoldFailed takes in that a look was not answered as asked.
func (a *Allocator) HoldFailed(now time.Time, id string, born int64, v Verdict) Output {
	w := a.workers[id]
	if w == nil || w.report.Born != born {
		return a.take()
	}
	w.holding, a.lookAt = false, now
	switch v {
	case Fenced:
		a.out.Deposed = true
	case OtherIncarnation:
		a.lose(now, w, "another worker answers")
		a.drop(w)
	default:
		if v == Gone {
			a.lose(now, w, "nothing listens at its address")
		}
		a.unreachable(now, w, v)
		if now.Sub(w.heardAt) > forgetAfter {
			a.lose(now, w, "unreachable for long")
			a.drop(w)
		}
	}
	a.dispatch(now)
	return a.take()
}

func (a *Allocator) unreachable(now time.Time, w *worker, v Verdict) {
	if w.failedAt.IsZero() {
		w.failedAt = now
		a.note("Worker does not answer.", "worker", w.report.Id, "verdict", v.String(), "runs", len(w.runs), "silentFor", now.Sub(w.heardAt))
	}
	w.pause = min(max(2*w.pause, probeFirst), probeMost)
	w.nextHold = now.Add(w.pause)
}

// listRunning compares the runs that a worker lists with those that are known.
func (a *Allocator) listRunning(now, sentAt time.Time, w *worker, l Listing) {
	listed := map[string]int{}
	for _, e := range l.Running {
		listed[e.Task] = e.Attempt
		r := w.runs[e.Task]
		switch {
		case r != nil && r.attempt == e.Attempt:
			a.confirm(now, r, e.Percent)
		case r == nil && a.live[e.Task] == nil:
			a.foreign(now, w, e)
		}
	}
	ended := map[string]int{}
	for _, e := range l.Ended {
		ended[e.Task] = e.Attempt
	}
	for _, r := range w.inOrder() {
		if at, ok := listed[r.name]; ok && at == r.attempt {
			continue
		}
		if at, ok := ended[r.name]; ok && at == r.attempt {
			continue
		}
		// A listing shows a run's absence only where it was asked for after the run was known to be there, or after its stop
		// was acknowledged.
		seen := !r.confirmedAt.IsZero() && r.confirmedAt.Before(sentAt)
		stopped := !r.stoppedAt.IsZero() && r.stoppedAt.Before(sentAt)
		if seen || stopped {
			a.note("Run is not listed any more.", "task", r.name, "attempt", r.attempt, "worker", w.report.Id, "stopped", stopped)
			a.lost(r)
		}
	}
}

func (a *Allocator) confirm(now time.Time, r *run, percent int) {
	if r.state == starting {
		r.state = running
	}
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	if percent != r.percent || r.percentAt.IsZero() {
		r.percent, r.percentAt = percent, now
	}
}

// foreign takes in a run that an earlier owner has started.
func (a *Allocator) foreign(now time.Time, w *worker, e Running) {
	r := &run{name: e.Task, attempt: e.Attempt, worker: w, state: running, sentAt: now, confirmedAt: now, percent: e.Percent, percentAt: now}
	w.orphans++
	w.add(r)
	a.live[e.Task] = r
	if j := a.jobs[jobOf(e.Task)]; j != nil {
		a.adopt(now, j)
	}
	if r.task == nil {
		r.stopAt = now.Add(orphanWait)
	}
}

// runEnded takes in the end of a run.
func (a *Allocator) runEnded(now time.Time, w *worker, e Ended) {
	r := w.runs[e.Task]
	if r == nil || r.attempt != e.Attempt {
		a.foreignEnded(now, e)
		return
	}
	t := r.task
	a.remove(r)
	if t == nil || t.run != r {
		if t == nil {
			a.foreignEnded(now, e)
		}
		return
	}
	t.run = nil
	took := now.Sub(r.sentAt)
	switch e.How {
	case EndDone:
		w.succeeded()
		a.learn(t, w, took)
		if !t.job.ended {
			a.finish(now, t)
		}
	case EndFailed:
		t.failures++
		t.avoid = append(t.avoid, w.report.Id)
		if w.failed(now, t.job.ID) {
			a.note("Worker is quarantined.", "worker", w.report.Id, "failures", w.streak, "until", w.quarantinedUntil)
		}
		a.note("Run has failed.", "task", t.name, "attempt", e.Attempt, "worker", w.report.Id, "failures", t.failures)
		if t.failures >= t.job.MaxAttempts && !t.job.ended {
			a.answer(now, t.job, Answer{Kind: wire.FleetOutcome_KIND_FAILED, Reason: "task " + t.name + " has used up its attempts"})
		}
	default:
		if !t.job.ended {
			a.note("Run has ended early.", "task", t.name, "attempt", e.Attempt, "worker", w.report.Id, "end", int(e.How))
		}
	}
}

// foreignEnded remembers an end whose job is not known here, or counts it where its job is.
func (a *Allocator) foreignEnded(now time.Time, e Ended) {
	a.ended[e.Task] = foreignEnd{attempt: e.Attempt, done: e.How == EndDone, at: now}
	j := a.jobs[jobOf(e.Task)]
	if j == nil {
		return
	}
	for _, t := range j.tasks {
		if t.name == e.Task && t.waiting() {
			t.attempt = max(t.attempt, e.Attempt)
			if e.How == EndDone {
				j.started = true
				a.finish(now, t)
			}
		}
	}
}

func (a *Allocator) learn(t *task, w *worker, took time.Duration) {
	q := a.queues[t.job.Queue]
	if q == nil {
		q = &queue{}
		a.queues[t.job.Queue] = q
	}
	estimate := t.job.Steps[t.step].Estimate
	w.learnSpeed(took, q.expected(estimate))
	q.learn(took, estimate)
}

// lost ends a run that is not under way any more without an end of its own; its task may start again.
func (a *Allocator) lost(r *run) {
	t := r.task
	a.remove(r)
	if t != nil && t.run == r {
		t.run = nil
	}
}

func (a *Allocator) remove(r *run) {
	r.worker.remove(r)
	if a.live[r.name] == r {
		delete(a.live, r.name)
	}
}

// lose ends all runs of a worker that has ended, or whose leases have lapsed.
func (a *Allocator) lose(now time.Time, w *worker, why string) {
	if len(w.runs) > 0 {
		a.note("Runs of a worker are lost.", "worker", w.report.Id, "born", w.report.Born, "runs", len(w.runs), "why", why)
	}
	for _, r := range w.inOrder() {
		a.lost(r)
	}
	w.until = 0
}

func (a *Allocator) drop(w *worker) {
	if a.workers[w.report.Id] == w {
		delete(a.workers, w.report.Id)
	}
	a.order = slices.DeleteFunc(a.order, func(o *worker) bool { return o == w })
}

// inOrder returns the jobs in the order of their arrival, so that equal inputs give equal outputs.
func (a *Allocator) inOrder() []*job {
	out := make([]*job, 0, len(a.jobs))
	for _, j := range a.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(x, y *job) int { return int(x.arrived) - int(y.arrived) })
	return out
}

func (a *Allocator) note(text string, args ...any) {
	a.out.Notes = append(a.out.Notes, Note{text, args})
}

func (a *Allocator) take() Output {
	o := a.out
	a.out = Output{}
	return o
}

// Room returns how many millicores are free on workers that may get starts; 0 while a task waits.
func (a *Allocator) Room(now time.Time) int64 {
	for _, j := range a.jobs {
		if slices.ContainsFunc(j.tasks, (*task).startable) {
			return 0
		}
	}
	var sum int64
	for _, w := range a.order {
		if w.usable(now) {
			sum += w.room.minus(w.used).Millicores
		}
	}
	return sum
}

// Waits reports whether a job is under way of which no start was sent and no run was adopted under this fence.
func (a *Allocator) Waits(id string) bool {
	j := a.jobs[id]
	return j != nil && !j.started
}

// Jobs counts the jobs under way.
func (a *Allocator) Jobs() int { return len(a.jobs) }
