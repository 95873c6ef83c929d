package allocator

import (
	"slices"
	"time"

	"clementineyard/wire"
)

// Tick processes what is due at now: it expires leases, sends stops again, ends jobs that cannot meet their deadlines,
// and stops runs that hang.
func (a *Allocator) Tick(now time.Time) Output {
	for _, w := range slices.Clone(a.workerList) {
		a.loseRuns(now, w, a.expiredRuns(now, w), causeLeasesExpired)
		for _, r := range w.runsByTask() {
			a.checkRun(now, r)
		}
		if w.leaving && len(w.runs) == 0 || a.isForgotten(now, w) {
			a.removeWorker(w)
		}
	}
	for name, e := range a.orphanEnds {
		if now.Sub(e.at) > outcomeRetention {
			delete(a.orphanEnds, name)
		}
	}
	for id, o := range a.outcomes {
		if now.Sub(o.at) > outcomeRetention {
			delete(a.outcomes, id)
		}
	}
	for id, until := range a.elsewhereUntil {
		if now.After(until) {
			delete(a.elsewhereUntil, id)
		}
	}
	for id, endedAt := range a.startedJobs {
		if now.Sub(endedAt) > outcomeRetention {
			delete(a.startedJobs, id)
		}
	}
	a.proposeRoster(now)
	a.expireJobs(now)
	a.returnJobs(now)
	a.dispatch(now)
	return a.takeOutput()
}

// expiredRuns returns the runs of an unreachable worker that are certainly over as no lease can last any more. A successor
// that reaches the worker may renew its lease, so the voters must have confirmed since that there is none.
func (a *Allocator) expiredRuns(now time.Time, w *worker) []*run {
	if w.unreachableSince.IsZero() || len(w.runs) == 0 || now.Before(w.leasesExpireAt()) {
		return nil
	}
	confirmedUntil := now
	if a.cfg.ConfirmedAt != nil {
		confirmedUntil = a.cfg.ConfirmedAt().Add(successionDelay)
	}
	return slices.DeleteFunc(w.runsByTask(), func(r *run) bool {
		end := w.leasesExpireAt()
		// A start without a reply may have reached a new incarnation of the worker, whose lease began then.
		if late := r.sentAt.Add(2 * a.longestLease()); r.confirmedAt.IsZero() && late.After(end) {
			end = late
		}
		return now.Before(end) || confirmedUntil.Before(end)
	})
}

// checkRun stops a run that hangs or whose job is unknown, and sends a stop that is due.
func (a *Allocator) checkRun(now time.Time, r *run) {
	if r.task != nil && r.state == running && r.worker.healthy() && !r.progressAt.IsZero() {
		limit := max(minHangTime, time.Duration(hangFactor*float64(r.task.job.expectedRunTime)))
		if now.Sub(r.sentAt) > limit && now.Sub(r.progressAt) > minHangTime && now.Sub(r.worker.lastHeardAt) < minHangTime/2 {
			a.note("Run made no progress; the owner stops it.", "task", r.name, "attempt", r.attempt, "worker", r.worker.report.Id, "percent", r.percent,
				"since", now.Sub(r.progressAt))
			r.task.avoidWorkers = append(r.task.avoidWorkers, r.worker.report.Id)
			r.worker.recordSlowdown(maxRunTimeRatio, 1)
			a.stopRun(now, r)
		}
	}
	if !r.unansweredAt.IsZero() && now.Sub(r.unansweredAt) > settleTimeout {
		a.stopRun(now, r)
	}
	if r.worker.endOverdue(now, r) {
		a.wantProbe(now, r.worker)
	}
	if r.task == nil && r.state == running && !r.nextStopAt.IsZero() && !now.Before(r.nextStopAt) {
		a.note("Owner stops a run whose job it does not know.", "task", r.name, "attempt", r.attempt, "worker", r.worker.report.Id)
		r.state = stopping
	}
	if r.stopAckedBefore(now.Add(-a.cfg.MaxStopTime - expiryMargin)) {
		// The worker has had time to carry out the stop. It rejects a start of this attempt that arrives later.
		a.loseRun(r, causeStopped)
		return
	}
	if r.state == stopping && r.stopAckedAt.IsZero() && !r.stopInFlight && !now.Before(r.nextStopAt) {
		a.sendStop(r)
	}
}

// wantProbe asks for a worker's listing at once.
func (a *Allocator) wantProbe(now time.Time, w *worker) {
	w.probeWanted, a.earliestHoldAt = true, now
}

// endOverdue reports whether the worker should have listed the end of r by now, so that the reply to the hold that is in
// flight may be lost.
func (w *worker) endOverdue(now time.Time, r *run) bool {
	if r.state != running || r.overdueAt.IsZero() || now.Before(r.overdueAt) || !w.healthy() || w.probeInFlight {
		return false
	}
	interval := max(overdueProbeInterval, time.Duration(float64(r.overdueAt.Sub(r.sentAt))/overdueFactor))
	return w.clockAt.Before(r.overdueAt) || now.Sub(w.clockAt) >= interval && now.Sub(w.probedAt) >= interval
}

// stopRun begins to stop a run, which counts against the worker's capacity until the worker lists its end or has had
// time to carry out an acknowledged stop.
func (a *Allocator) stopRun(now time.Time, r *run) {
	if r.state == stopping {
		return
	}
	r.state, r.nextStopAt, r.unansweredAt = stopping, now, time.Time{}
	a.sendStop(r)
}

// sendStop sends a stop, or leaves that to the next tick.
func (a *Allocator) sendStop(r *run) {
	if a.stopsInFlight >= maxOrdersInFlight {
		return
	}
	a.stopsInFlight++
	r.stopInFlight = true
	a.output.Stops = append(a.output.Stops, StopOrder{Worker: r.worker.report, Born: r.worker.born, Task: r.name, Attempt: r.attempt})
}

// HandleStopResult processes the result of a stop.
func (a *Allocator) HandleStopResult(now time.Time, s StopOrder, v Verdict) Output {
	a.stopsInFlight--
	r := a.findRun(s.Worker, s.Task, s.Attempt)
	if r == nil {
		return a.takeOutput()
	}
	r.stopInFlight, r.nextStopAt = false, now.Add(stopRetryDelay)
	a.applyVerdict(now, r.worker, s.Worker.Address, v)
	if v == Done && r.worker.isCurrent(s.Born) {
		r.stopAckedAt = now
		if r.confirmedAt.IsZero() {
			// The next listing shows that the run is over, long before the time for a stop has passed.
			a.wantProbe(now, r.worker)
		}
	}
	return a.takeOutput()
}

// HandleStartResult processes the result of a start. Each start has one.
func (a *Allocator) HandleStartResult(now time.Time, s StartOrder, v Verdict) Output {
	a.startsInFlight--
	a.applyStartResult(now, s, v)
	// A pass looks at all tasks that wait, so that one for each result would be too many.
	if a.startsHeld && a.startsInFlight <= maxOrdersInFlight/2 {
		a.startsHeld = false
		a.dispatch(now)
	}
	return a.takeOutput()
}

func (a *Allocator) applyStartResult(now time.Time, s StartOrder, v Verdict) {
	r := a.findRun(s.Worker, s.Task, s.Attempt)
	if r == nil {
		return
	}
	w := r.worker
	r.startInFlight = false
	if v != Done {
		a.note("Worker did not confirm the start of the run.", "task", r.name, "attempt", r.attempt, "worker", w.report.Id, "verdict", v.String())
	}
	switch v {
	case Done:
		a.confirmRun(now, r, 0)
		return
	case Unknown:
		if r.state == starting {
			// The run goes on if the next listing shows it.
			r.unansweredAt = now
			a.wantProbe(now, w)
		}
		return
	case StaleAttempt:
		// The attempt numbers that an earlier owner used are not known here, so the number doubles until it is accepted.
		if r.task != nil {
			r.task.lastAttempt += max(1, r.task.lastAttempt)
		}
		a.loseRun(r, causeRejected)
	case Unhealthy, NoRoom:
		if r.task != nil {
			r.task.avoidWorkers = append(r.task.avoidWorkers, w.report.Id)
		}
		if v == Unhealthy && w.recordFailure(now, jobID(r.name)) {
			a.note("Owner quarantined the worker.", "worker", w.report.Id, "failures", w.failureStreak, "until", w.quarantinedUntil)
		}
		a.loseRun(r, causeRejected)
	case Invalid:
		t := r.task
		a.loseRun(r, causeRejected)
		if t != nil && !t.job.ended {
			a.answerJob(now, t.job, Answer{Kind: wire.FleetOutcome_KIND_FAILED, Reason: "a worker cannot read the task"})
		}
	case LeaseExpired, Fenced, NotDelivered, OtherIncarnation:
		a.loseRun(r, causeRejected)
	}
	a.applyVerdict(now, w, s.Worker.Address, v)
	a.dispatch(now)
}

// applyVerdict updates the state of a worker by the result of an order that was sent to the given address.
func (a *Allocator) applyVerdict(now time.Time, w *worker, address string, v Verdict) {
	if address != w.report.Address && (v == NotDelivered || v == OtherIncarnation) {
		// The worker has restarted elsewhere since.
		return
	}
	switch v {
	case Fenced:
		a.output.Deposed = true
	case NotDelivered:
		a.markUnreachable(now, w, v)
	case OtherIncarnation:
		a.loseRuns(now, w, w.runsByTask(), causeOtherWorker)
		a.removeWorker(w)
	}
}

// findRun returns the run that an order was about; nil when it is no longer known.
func (a *Allocator) findRun(w *wire.WorkerReport, task string, attempt int) *run {
	held := a.workers[w.Id]
	if held == nil {
		return nil
	}
	if r := held.runs[task]; r != nil && r.attempt == attempt {
		return r
	}
	return nil
}

// dispatch starts the ready tasks that fit on a worker, in the order of their jobs' priority classes and, within a
// class, of the latest start that still meets the objective. An owner that knows it is replaced starts nothing.
func (a *Allocator) dispatch(now time.Time) {
	if a.output.Deposed || a.resuming(now) {
		return
	}
	a.plan = nil
	var waiting []*job
	for _, j := range a.jobs {
		if slices.ContainsFunc(j.tasks, (*task).ready) {
			waiting = append(waiting, j)
		}
	}
	if len(waiting) == 0 {
		return
	}
	a.sortWaiting(now, waiting)
	leasesEnd := a.earlierLeasesEnd()
	var ready []*task
	for _, j := range waiting {
		if !a.mayDispatch(now, leasesEnd, j) {
			continue
		}
		for _, t := range j.tasks {
			if t.ready() && a.liveRuns[t.name] == nil {
				ready = append(ready, t)
			}
		}
	}
	if a.competes(now, ready) {
		a.planPass(now, ready)
		return
	}
	a.placeEach(now, ready)
}

// mayDispatch reports whether tasks of a job may start now if they find a worker. leasesEnd is what earlierLeasesEnd returns.
func (a *Allocator) mayDispatch(now, leasesEnd time.Time, j *job) bool {
	if now.Before(leasesEnd) && (j.MayHaveStarted || j.claimedBefore || j.unverified && !a.allWorkersListed()) {
		return false
	}
	return !now.Before(a.elsewhereUntil[j.ID]) && a.mayStartTasks(now, j)
}

// resuming reports whether this VM has just resumed after a pause in which another owner may have replaced this one. The
// workers that know the other owner refuse the next holds; until then this one must not start tasks on the others.
func (a *Allocator) resuming(now time.Time) bool {
	if !a.activeAt.IsZero() && now.Sub(a.activeAt) > maxPause {
		a.resumedAt = now
		a.admitter.Reset()
		for _, j := range a.jobsByArrival() {
			// The client may have sent the job to another cell meanwhile.
			a.claim(j)
		}
	}
	a.activeAt = now
	return now.Sub(a.resumedAt) < resumeDelay || a.unconfirmed(now)
}

// allWorkersListed reports whether all known workers have listed their runs under this owner's fencing token.
func (a *Allocator) allWorkersListed() bool {
	return !slices.ContainsFunc(a.workerList, func(w *worker) bool { return !w.synced && !w.leaving })
}

// earlierLeasesEnd returns when all leases that an earlier owner may have granted have expired, so that no run of its
// can continue without being known here. Listings from all known workers would not prove that, as there may be workers
// that are not known yet. While a worker has not listed its runs, a former owner that this owner cannot reach may still
// renew that worker's leases until another worker refuses it.
func (a *Allocator) earlierLeasesEnd() time.Time {
	last := a.cfg.GrantedAt
	if !a.allWorkersListed() {
		if fenced := a.firstListingAt.Add(fencingDelay); fenced.After(last) {
			last = fenced
		}
	}
	return last.Add(a.longestLease())
}

func (a *Allocator) longestLease() time.Duration { return LongestLease(a.cfg.MaxLease) }

// LongestLease returns how long a worker may take to end its runs after it was granted a lease of maxLease, which is counted
// on its own clock.
func LongestLease(maxLease time.Duration) time.Duration {
	return time.Duration(float64(maxLease)/minClockRate) + expiryMargin
}

// holdStarts reports whether a pass must not start another task.
func (a *Allocator) holdStarts() bool {
	a.startsHeld = a.startsInFlight >= maxOrdersInFlight
	return a.startsHeld
}

// startTask sends a start of the task's next attempt to the worker.
func (a *Allocator) startTask(now time.Time, t *task, w *worker) {
	t.lastAttempt++
	step := &t.job.Steps[t.step]
	expected := a.queues[t.job.Queue].expectedRunTime(step.Estimate)
	r := &run{
		name: t.name, attempt: t.lastAttempt, task: t, worker: w, ask: step.Ask, sentAt: now, startInFlight: true,
		overdueAt: now.Add(time.Duration(overdueFactor * float64(expected))),
	}
	a.startsInFlight++
	t.run = r
	t.job.started = true
	w.addRun(r)
	a.liveRuns[t.name] = r
	if l := t.lostRun; l != nil {
		a.count("repeatedStarts")
		a.note("Owner starts the task again.", "task", t.name, "attempt", t.lastAttempt, "worker", w.report.Id, "lostAttempt", l.attempt,
			"lostOn", l.worker.report.Id, "cause", t.lossCause)
	}
	a.output.Starts = append(a.output.Starts, StartOrder{Worker: w.report, Task: t.name, Attempt: t.lastAttempt, Spec: t.job.Spec, LeaseEnd: w.leaseEnd})
}
