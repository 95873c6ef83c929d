package allocator

import (
	"slices"
	"time"

	"clementineyard/wire"
)

// Tick advances time: leases lapse, stops are sent again, jobs are given up, runs that stand still are stopped.
func (a *Allocator) Tick(now time.Time) Output {
	for _, w := range slices.Clone(a.order) {
		if !w.failedAt.IsZero() && len(w.runs) > 0 && w.taken && !now.Before(w.lapsedAt()) {
			a.lose(now, w, "its leases have lapsed")
		}
		for _, r := range w.inOrder() {
			a.watchRun(now, r)
		}
	}
	for name, e := range a.ended {
		if now.Sub(e.at) > endedKeep {
			delete(a.ended, name)
		}
	}
	for id, o := range a.outcomes {
		if now.Sub(o.at) > endedKeep {
			delete(a.outcomes, id)
		}
	}
	a.expire(now)
	a.dispatch(now)
	return a.take()
}

// watchRun stops what hangs, and sends stops that are due.
func (a *Allocator) watchRun(now time.Time, r *run) {
	if r.task != nil && r.state == running && r.worker.healthy() && !r.percentAt.IsZero() {
		limit := max(hangLeast, time.Duration(hangFactor*float64(r.task.job.expected)))
		if now.Sub(r.sentAt) > limit && now.Sub(r.percentAt) > hangLeast && now.Sub(r.worker.heardAt) < hangLeast/2 {
			a.note("Run stands still.", "task", r.name, "attempt", r.attempt, "worker", r.worker.report.Id, "percent", r.percent,
				"since", now.Sub(r.percentAt))
			r.task.avoid = append(r.task.avoid, r.worker.report.Id)
			r.worker.learnSpeed(speedLimit, 1)
			a.stop(now, r)
		}
	}
	if r.task == nil && r.state == running && !r.stopAt.IsZero() && !now.Before(r.stopAt) {
		a.note("Run of an unknown job is stopped.", "task", r.name, "attempt", r.attempt, "worker", r.worker.report.Id)
		r.state = stopping
	}
	if !r.stoppedAt.IsZero() && now.Sub(r.stoppedAt) > a.cfg.StopWithin+lapseMargin {
		// The stop is over. A run that was not there yet is rejected when it arrives.
		a.lost(r)
		return
	}
	if r.state == stopping && r.stoppedAt.IsZero() && !r.stopFlying && !now.Before(r.stopAt) {
		a.sendStop(r)
	}
}

// stop ends a run. Its room stays taken until the worker lists its end.
func (a *Allocator) stop(now time.Time, r *run) {
	if r.state == stopping {
		return
	}
	r.state, r.stopAt = stopping, now
	a.sendStop(r)
}

func (a *Allocator) sendStop(r *run) {
	r.stopFlying = true
	a.out.Stops = append(a.out.Stops, Stop{Worker: r.worker.report, Task: r.name, Attempt: r.attempt})
}

// Stopped takes in what is known of a stop.
func (a *Allocator) Stopped(now time.Time, s Stop, v Verdict) Output {
	r := a.find(s.Worker, s.Task, s.Attempt)
	if r == nil {
		return a.take()
	}
	r.stopFlying, r.stopAt = false, now.Add(stopAgain)
	a.settle(now, r.worker, v)
	if v == Done {
		r.stoppedAt = now
	}
	return a.take()
}

// Started takes in what is known of a start.
func (a *Allocator) Started(now time.Time, s Start, v Verdict) Output {
	r := a.find(s.Worker, s.Task, s.Attempt)
	if r == nil {
		return a.take()
	}
	w := r.worker
	if v != Done {
		a.note("Start was not confirmed.", "task", r.name, "attempt", r.attempt, "worker", w.report.Id, "verdict", v.String())
	}
	switch v {
	case Done:
		a.confirm(now, r, 0)
		return a.take()
	case Unknown:
		if r.state == starting {
			a.stop(now, r)
		}
		return a.take()
	case Old:
		// The numbers used by an earlier owner are not known here, so the step doubles.
		if r.task != nil {
			r.task.attempt += max(1, r.task.attempt)
		}
		a.lost(r)
	case Unhealthy, NoRoom:
		if r.task != nil {
			r.task.avoid = append(r.task.avoid, w.report.Id)
		}
		if v == Unhealthy && w.failed(now, jobOf(r.name)) {
			a.note("Worker is quarantined.", "worker", w.report.Id, "failures", w.streak, "until", w.quarantinedUntil)
		}
		a.lost(r)
	case Invalid:
		t := r.task
		a.lost(r)
		if t != nil && !t.job.ended {
			a.answer(now, t.job, Answer{Kind: wire.FleetOutcome_KIND_FAILED, Reason: "a worker cannot read the task"})
		}
	case Late, Fenced, Gone, OtherIncarnation:
		a.lost(r)
	}
	a.settle(now, w, v)
	a.dispatch(now)
	return a.take()
}

// settle takes in what an order's verdict says of the worker.
func (a *Allocator) settle(now time.Time, w *worker, v Verdict) {
	switch v {
	case Fenced:
		a.out.Deposed = true
	case Gone:
		a.lose(now, w, "nothing listens at its address")
		a.unreachable(now, w, v)
	case OtherIncarnation:
		a.lose(now, w, "another worker answers")
		a.drop(w)
	}
}

func (a *Allocator) find(w *wire.WorkerReport, task string, attempt int) *run {
	held := a.workers[w.Id]
	if held == nil || held.report.Born != w.Born {
		return nil
	}
	if r := held.runs[task]; r != nil && r.attempt == attempt {
		return r
	}
	return nil
}

// expire gives up what earns nothing any more and has tasks that wait, and what can never run.
func (a *Allocator) expire(now time.Time) {
	for _, j := range a.inOrder() {
		waits := slices.ContainsFunc(j.tasks, (*task).waiting)
		switch {
		case waits && !j.started && now.After(j.refuseAt):
			a.giveUp(now, j, "no room within the objective")
		case waits && now.After(j.giveUpAt):
			a.giveUp(now, j, "no room before the job is worthless")
		case waits && now.Sub(j.Arrived) > neverFitsAfter && a.neverFits(j):
			a.answer(now, j, Answer{Kind: wire.FleetOutcome_KIND_FAILED, Reason: "no worker is large enough"})
		case waits && !j.started && !j.MayRun && !now.Before(j.askElsewhereAt):
			a.answer(now, j, Answer{Kind: wire.FleetOutcome_KIND_NO_ROOM})
		}
	}
}

// giveUp answers a job at once: refused where nothing was started.
func (a *Allocator) giveUp(now time.Time, j *job, why string) {
	kind := wire.FleetOutcome_KIND_REFUSED
	if j.started || j.MayRun {
		kind = wire.FleetOutcome_KIND_GIVEN_UP
	}
	a.note("Job is given up.", "job", j.ID, "why", why, "started", j.started, "expected", j.expected, "jobs", len(a.jobs))
	a.answer(now, j, Answer{Kind: kind, Reason: why, RetryAfter: time.Second})
}

// neverFits reports whether no worker of the service, however empty, could run some task of the job.
func (a *Allocator) neverFits(j *job) bool {
	known := false
	for _, s := range j.Steps {
		fits := false
		for _, w := range a.order {
			if w.report.Service == j.Service && w.taken {
				known = true
				fits = fits || s.Ask.fits(w.room) && w.has(s.Requirement)
			}
		}
		if known && !fits {
			return true
		}
	}
	return false
}

// standing orders jobs: those that have begun are completed first, since work on a job that stays incomplete is wasted;
// then come those that can still meet their objective, then the others.
func (j *job) standing(now time.Time) int {
	switch {
	case j.started:
		return 0
	case !now.After(j.latestStart):
		return 1
	}
	return 2
}

// hasRoom reports whether every task of the job's first steps could start now, with nothing else waiting.
func (a *Allocator) hasRoom(now time.Time, j *Job) bool {
	for _, other := range a.jobs {
		if slices.ContainsFunc(other.tasks, (*task).startable) {
			return false
		}
	}
	for _, s := range j.Steps {
		if len(s.DependsOn) > 0 {
			continue
		}
		left := int64(s.Count)
		for _, w := range a.order {
			if left > 0 && w.report.Service == j.Service && w.usable(now) && w.has(s.Requirement) {
				n := w.room.minus(w.used).times(s.Ask)
				if s.AntiAffinity > 0 {
					n = min(n, int64(s.AntiAffinity))
				}
				left -= n
			}
		}
		if left > 0 {
			return false
		}
	}
	return true
}

// dispatch starts what there is room for, in the order of the jobs' standing and then of the last moment at which they
// can start and meet their objective.
func (a *Allocator) dispatch(now time.Time) {
	var waiting []*job
	for _, j := range a.jobs {
		if slices.ContainsFunc(j.tasks, (*task).startable) {
			waiting = append(waiting, j)
		}
	}
	if len(waiting) == 0 {
		return
	}
	slices.SortFunc(waiting, func(x, y *job) int {
		if c := x.standing(now) - y.standing(now); c != 0 {
			return c
		}
		if c := x.latestStart.Compare(y.latestStart); c != 0 {
			return c
		}
		return int(x.arrived) - int(y.arrived)
	})
	unsure := a.unsureUntil()
	misfits := 0
	for _, j := range waiting {
		if j.MayRun && now.Before(unsure) {
			continue
		}
		for _, t := range j.tasks {
			if !t.startable() || a.live[t.name] != nil {
				continue
			}
			w := a.pick(now, t)
			if w == nil {
				if misfits++; misfits >= maxMisfits {
					return
				}
				break
			}
			a.start(now, t, w)
		}
	}
}

// unsureUntil is when no run of an earlier owner can go on without being known here: when the leases that it could have
// sent have ended. That every worker has listed its runs says less, since there may be workers that are not known yet.
func (a *Allocator) unsureUntil() time.Time {
	return a.cfg.GrantedAt.Add(time.Duration(float64(a.cfg.Lease)/clockSlack) + lapseMargin)
}

// pick returns the worker to start a task on: the quickest by what was learned, then the one that is left fullest, so
// that large tasks find room.
func (a *Allocator) pick(now time.Time, t *task) *worker {
	step := &t.job.Steps[t.step]
	var best *worker
	var bestRank rank
	for _, w := range a.order {
		if w.report.Service != t.job.Service || !w.usable(now) || !w.has(step.Requirement) {
			continue
		}
		left := w.room.minus(w.used)
		if !step.Ask.fits(left) || step.AntiAffinity > 0 && w.count(t) >= step.AntiAffinity {
			continue
		}
		k := rank{avoided: t.avoids(w.report.Id), far: step.DataRack != "" && !w.has(step.DataRack), speed: w.speed, left: left.Millicores}
		if best == nil || k.before(bestRank) {
			best, bestRank = w, k
		}
	}
	return best
}

// count is how many tasks of t's step run on the worker.
func (w *worker) count(t *task) int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.job == t.job && r.task.step == t.step {
			n++
		}
	}
	return n
}

// rank orders workers for a task.
type rank struct {
	avoided, far bool
	speed        float64
	left         int64
}

// speedStep is the difference in speed below which workers count as equally quick.
const speedStep = 0.15

func (k rank) before(o rank) bool {
	switch {
	case k.avoided != o.avoided:
		return !k.avoided
	case k.far != o.far:
		return !k.far
	}
	if x, y := int(k.speed/speedStep), int(o.speed/speedStep); x != y {
		return x < y
	}
	return k.left < o.left
}

func (a *Allocator) start(now time.Time, t *task, w *worker) {
	t.attempt++
	r := &run{name: t.name, attempt: t.attempt, task: t, worker: w, ask: t.job.Steps[t.step].Ask, sentAt: now}
	t.run = r
	t.job.started = true
	w.add(r)
	a.live[t.name] = r
	a.out.Starts = append(a.out.Starts, Start{Worker: w.report, Task: t.name, Attempt: t.attempt, Spec: t.job.Spec, Until: w.until})
}
