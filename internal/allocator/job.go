package allocator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"clementineyard/internal/claimer"
	"clementineyard/wire"
)

// job is the state of a Job under way.
type job struct {
	*Job
	tasks []*task
	// size is what the job takes of the memory for jobs, in bytes.
	size int64
	// tasksLeft counts the tasks of each step that are not done.
	tasksLeft    []int
	arrivalOrder uint64
	// callers holds the requests that wait for the outcome.
	callers []caller
	// claiming is true while it is not known whether another cell has the job. It starts nothing then.
	claiming bool
	// claimNumber is the number of the job's newest claim; 0 before the first. firstClaim is true once it is certain that nobody
	// had claimed the job before. claimedBefore is true if this cell had, and unverified if it may have: a former owner may have
	// started the job.
	claimNumber                           uint64
	firstClaim, claimedBefore, unverified bool
	// spilloverAt is when a job that has not started goes back to its taker, which asks other cells.
	spilloverAt time.Time
	// returnAtOnce is true if the job waited here when the evacuation of the failure domain began.
	returnAtOnce bool
	// started is true once a start was sent, or a run or an end of an earlier owner was adopted.
	started bool
	// ranBefore is true if tasks of a former submission of the job have run here. It is then not refused as one that has not.
	ranBefore bool
	ended     bool
	// expectedRunTime is that of the longest chain of dependent steps. latestStart is the last moment at which the job can
	// start and still meet its objective. refuseAt is when a job that has not started is refused, and giveUpAt when any
	// job with pending tasks is given up.
	expectedRunTime                 time.Duration
	latestStart, refuseAt, giveUpAt time.Time
	// longestRun is the longest run time of a task that has ended.
	longestRun time.Duration
}

// caller identifies a request that waits for a job's outcome.
type caller struct {
	taker                   string
	incarnation, submission uint64
}

type task struct {
	job         *job
	step, index int
	name        string
	// lastAttempt is the highest attempt number used.
	lastAttempt int
	run         *run
	done        bool
	// lostRun is the last run that was lost, and lossCause the reason; lostRun is nil when none was.
	lostRun   *run
	lossCause lossCause
	// failures counts the failed runs. avoidWorkers holds the workers on which a run failed or hung, or that refused a
	// start.
	failures     int
	avoidWorkers []string
	// reserved is the task's reservation; its zero value when it has none.
	reserved taskReservation
}

// pending reports whether the task is neither done nor has a run.
func (t *task) pending() bool { return !t.done && t.run == nil }

// ready reports whether the task waits only for a worker.
func (t *task) ready() bool { return t.pending() && !t.job.claiming && t.dependenciesDone() }

// mayHaveRun reports whether a task of the job may have run, here or for a former owner.
func (j *job) mayHaveRun() bool {
	return j.started || j.MayHaveStarted || j.ranBefore || j.claimedBefore || j.unverified
}

// Submit queues a job. A job that is known already is not queued again: its outcome goes to the new taker.
func (a *Allocator) Submit(now time.Time, j *Job) Output {
	c := caller{j.Taker, j.Incarnation, j.Submission}
	if j.MayRunElsewhere {
		a.awaitElsewhere(now, j.ID)
	}
	if known := a.jobs[j.ID]; known != nil {
		known.Taker, known.Incarnation = j.Taker, j.Incarnation
		known.MayHaveStarted = known.MayHaveStarted || j.MayRunElsewhere
		if !slices.Contains(known.callers, c) {
			known.callers = append(known.callers, c)
		}
		a.note("Entry VM submitted a job that the owner already has; it will get that job's outcome.", "job", j.ID, "taker", j.Taker, "started", known.started)
		return a.takeOutput()
	}
	if o, ok := a.outcomes[j.ID]; ok {
		a.note("Entry VM submitted a job that has already ended; the owner sends the outcome again.", "job", j.ID, "taker", j.Taker, "outcome", o.kind.String())
		a.output.Answers = append(a.output.Answers, Answer{Job: j, Kind: o.kind, Reason: o.reason})
		return a.takeOutput()
	}
	size := j.ownerSize()
	if !a.makeRoom(now, j, size) {
		a.rejectForMemory(now, j)
		return a.takeOutput()
	}
	n := &job{Job: j, callers: []caller{c}, spilloverAt: now.Add(spilloverDelay), size: size}
	for s, step := range j.Steps {
		n.tasksLeft = append(n.tasksLeft, step.Count)
		for i := range step.Count {
			n.tasks = append(n.tasks, &task{job: n, step: s, index: i, name: taskName(j.ID, s, i)})
		}
	}
	// The runs that were started for a former taker may not be over.
	n.started = slices.ContainsFunc(n.tasks, func(t *task) bool { return a.liveRuns[t.name] != nil })
	_, n.ranBefore = a.startedJobs[j.ID]
	if n.ranBefore && now.Before(a.earlierLeasesEnd()) || now.Before(a.elsewhereUntil[j.ID]) {
		j.MayHaveStarted = true
	}
	if j.RejectIfFull && !j.MayHaveStarted && !n.started && !a.hasRoom(now, j) {
		a.output.Answers = append(a.output.Answers, Answer{Job: j, Kind: wire.FleetOutcome_KIND_NO_ROOM, NeverStarted: !a.HasStarted(j.ID)})
		a.release(n)
		return a.takeOutput()
	}
	a.arrivals++
	n.arrivalOrder = a.arrivals
	a.jobs[j.ID] = n
	a.setDeadlines(n)
	a.adoptRuns(now, n)
	a.admitter.Observe(now, j.Service, j.Queue, j.Priority, n.latestStart.Sub(j.ArrivedAt))
	if !n.ended {
		a.claim(n)
		a.refuseUnserveable(now, n)
		a.dispatch(now)
	}
	return a.takeOutput()
}

// claim asks for a new claim of the job where there are other cells. The job starts nothing until its result is known.
func (a *Allocator) claim(j *job) {
	if a.cfg.Cell == "" {
		return
	}
	a.claims++
	j.claiming, j.claimNumber, j.firstClaim = true, a.claims, false
	a.output.Claims = append(a.output.Claims, Claim{j.ID, j.claimNumber, j.started})
}

// ClaimAgain repeats the claims of the selected jobs, which go on meanwhile.
func (a *Allocator) ClaimAgain(selected func(id string) bool) Output {
	for _, j := range a.jobsByArrival() {
		if j.claimNumber > 0 && selected(j.ID) {
			a.output.Claims = append(a.output.Claims, Claim{j.ID, j.claimNumber, !j.claiming || j.started})
		}
	}
	for _, id := range a.orphanJobs() {
		if selected(id) {
			a.claimOrphan(id)
		}
	}
	return a.takeOutput()
}

// orphanJobs returns the jobs that are not known, or have ended, and whose runs are not over.
func (a *Allocator) orphanJobs() []string {
	ids := map[string]bool{}
	for task := range a.liveRuns {
		if id := jobID(task); a.jobs[id] == nil {
			ids[id] = true
		}
	}
	return slices.Sorted(maps.Keys(ids))
}

// claimOrphan claims a job of which only runs are known, so that no other cell starts it beside them.
func (a *Allocator) claimOrphan(id string) {
	if a.cfg.Cell == "" {
		return
	}
	a.claims++
	a.output.Claims = append(a.output.Claims, Claim{id, a.claims, true})
}

// HandleClaim processes the result of a claim.
func (a *Allocator) HandleClaim(now time.Time, c Claim, r ClaimResult) Output {
	j := a.jobs[c.Job]
	if j == nil || !j.claiming || j.claimNumber != c.Number {
		return a.takeOutput()
	}
	if r.Holder == a.cfg.Cell && claimer.Outdated(r.Index, a.surveyIndex) {
		// A register that counts on the survey may not know the job.
		a.claim(j)
		return a.takeOutput()
	}
	j.claiming, j.spilloverAt = false, now.Add(spilloverDelay)
	j.claimedBefore = j.claimedBefore || r.ClaimedBefore
	j.firstClaim, j.unverified = r.Verified && !r.ClaimedBefore, !r.Verified
	if r.Holder != a.cfg.Cell {
		// A register that knows all claims would name this cell if a former owner had started the job.
		mayRun := a.mayRun(now, j.ID) || !r.Verified && now.Before(a.earlierLeasesEnd())
		a.note("Another cell has the job.", "job", j.ID, "holder", r.Holder, "started", j.started, "mayRun", mayRun)
		a.answerJob(now, j, Answer{Kind: wire.FleetOutcome_KIND_HELD, HeldBy: r.Holder, NeverStarted: !mayRun})
	} else {
		a.refuseUnserveable(now, j)
	}
	a.returnJobs(now)
	a.dispatch(now)
	return a.takeOutput()
}

// mayRun reports whether a task of the job may be running in this cell, as far as this owner has started or seen any: also one
// of a former submission whose worker cannot be reached.
func (a *Allocator) mayRun(now time.Time, id string) bool {
	if j := a.jobs[id]; j != nil && j.started {
		return true
	}
	if endedAt, ok := a.startedJobs[id]; ok && now.Before(endedAt.Add(a.longestLease())) {
		return true
	}
	return slices.ContainsFunc(a.workerList, func(w *worker) bool {
		for task := range w.runs {
			if jobID(task) == id {
				return true
			}
		}
		return false
	})
}

// earlierRunsEnd returns when no task of the job can be running any more that is not known here.
func (a *Allocator) earlierRunsEnd(j *job) time.Time {
	end := a.earlierLeasesEnd()
	if elsewhere := a.elsewhereUntil[j.ID]; elsewhere.After(end) {
		return elsewhere
	}
	return end
}

// awaitElsewhere lets a job start nothing until the runs of a cell that has given it up have ended: it stops them, and those
// that it does not know end with their leases.
func (a *Allocator) awaitElsewhere(now time.Time, id string) {
	a.elsewhereUntil[id] = now.Add(a.longestLease() + a.cfg.MaxStopTime)
	a.note("Owner waits until the job's runs in another cell have ended.", "job", id, "until", a.elsewhereUntil[id])
}

// withdraw ends the claim of a job that goes back to its taker, if certainly nothing of it runs here.
func (a *Allocator) withdraw(now time.Time, j *job) {
	known := j.firstClaim && !j.MayHaveStarted || !now.Before(a.earlierRunsEnd(j))
	if j.claimNumber > 0 && !j.started && known {
		a.output.Withdrawals = append(a.output.Withdrawals, Claim{Job: j.ID, Number: j.claimNumber})
	}
}

// WithdrawUnstarted ends the claims of the jobs of which certainly nothing runs here, as this owner is replaced.
func (a *Allocator) WithdrawUnstarted(now time.Time) []Claim {
	for _, j := range a.jobsByArrival() {
		a.withdraw(now, j)
	}
	return a.takeOutput().Withdrawals
}

// Cancel ends a job whose client has disconnected, unless another request waits for its outcome.
func (a *Allocator) Cancel(now time.Time, id, taker string, incarnation, submission uint64) Output {
	gone := caller{taker, incarnation, submission}
	if j := a.jobs[id]; j != nil && j.dropCallers(func(c caller) bool { return c == gone }) {
		a.note("Entry VM cancelled the job.", "job", id, "taker", taker, "started", j.started)
		a.abandonJob(now, j)
		a.dispatch(now)
	}
	return a.takeOutput()
}

// CancelJob ends a job that its client has cancelled, for all requests that wait for it, and keeps that outcome for a request that
// is offered here again. cancelled is false if the job is not under way here; it starts nothing if it is offered later.
func (a *Allocator) CancelJob(now time.Time, id string) (out Output, cancelled bool) {
	j, ended := a.jobs[id], a.outcomes[id]
	switch {
	case j != nil:
		a.note("Client cancelled the job.", "job", id, "started", j.started)
		a.answerJob(now, j, Answer{Kind: wire.FleetOutcome_KIND_CANCELLED, Reason: CancelledReason})
	case ended.kind != wire.FleetOutcome_KIND_UNSPECIFIED:
		return a.takeOutput(), ended.kind == wire.FleetOutcome_KIND_CANCELLED
	case a.mayRun(now, id) || now.Before(a.earlierLeasesEnd()):
		// A former owner may have started the job, which its entry VM is about to offer again.
		a.note("Client cancelled a job that a former owner may have started.", "job", id)
		a.outcomes[id] = finalOutcome{wire.FleetOutcome_KIND_CANCELLED, CancelledReason, now}
		a.startedJobs[id] = now
		for task, r := range a.liveRuns {
			if jobID(task) == id {
				a.stopRun(now, r)
			}
		}
	default:
		a.rememberCancellation(now, id)
		return a.takeOutput(), false
	}
	a.dispatch(now)
	return a.takeOutput(), true
}

// rememberCancellation keeps the cancellation of a job that is not known here: an entry VM that was frozen, or a job that its
// cancellation has overtaken, may offer it yet.
func (a *Allocator) rememberCancellation(now time.Time, id string) {
	if len(a.outcomes) < maxOutcomes {
		a.outcomes[id] = finalOutcome{wire.FleetOutcome_KIND_CANCELLED, CancelledReason, now}
	}
}

// DropTaker ends the jobs that an entry VM submitted in other incarnations than current, as nobody waits for their
// outcome.
func (a *Allocator) DropTaker(now time.Time, taker string, current uint64) Output {
	for _, j := range a.jobsByArrival() {
		if j.dropCallers(func(c caller) bool { return c.taker == taker && c.incarnation != current }) {
			a.note("Owner dropped the job because its entry VM restarted or disconnected.", "job", j.ID, "taker", taker, "incarnation", j.Incarnation)
			a.abandonJob(now, j)
		}
	}
	a.dispatch(now)
	return a.takeOutput()
}

// dropCallers removes the callers that have left, and reports whether they were the last ones.
func (j *job) dropCallers(gone func(caller) bool) bool {
	before := len(j.callers)
	j.callers = slices.DeleteFunc(j.callers, gone)
	return len(j.callers) == 0 && before > 0
}

// adoptRuns takes over the runs, and the ends of runs, that an earlier owner started for a job.
func (a *Allocator) adoptRuns(now time.Time, j *job) {
	for _, t := range j.tasks {
		if r := a.liveRuns[t.name]; r != nil && r.task == nil && r.state == running {
			r.task, t.run, t.lastAttempt = t, r, max(t.lastAttempt, r.attempt)
			r.worker.setAsk(r, j.Steps[t.step].Ask)
			j.started = true
			a.note("Owner took over a run that an earlier owner started.", "task", t.name, "attempt", r.attempt, "worker", r.worker.report.Id)
			continue
		}
		if e, ok := a.orphanEnds[t.name]; ok {
			t.lastAttempt, j.ranBefore = max(t.lastAttempt, e.attempt), true
			if e.done {
				a.note("Owner accepted the result of a run that an earlier owner started.", "task", t.name, "attempt", e.attempt)
				j.started = true
				a.finishTask(now, t)
			}
		}
	}
}

// finishTask marks a task as done, and answers the job when it was the last one.
func (a *Allocator) finishTask(now time.Time, t *task) {
	if t.done {
		return
	}
	t.done, t.run = true, nil
	t.job.tasksLeft[t.step]--
	for _, n := range t.job.tasksLeft {
		if n > 0 {
			return
		}
	}
	if !t.job.ended {
		a.answerJob(now, t.job, Answer{Kind: wire.FleetOutcome_KIND_COMPLETED})
	}
}

// answerJob ends a job with an answer, and keeps the outcome if it is final.
func (a *Allocator) answerJob(now time.Time, j *job, ans Answer) {
	ans.Job = j.Job
	a.output.Answers = append(a.output.Answers, ans)
	a.recordOutcome(now, j, ans.Kind)
	switch ans.Kind {
	case wire.FleetOutcome_KIND_COMPLETED, wire.FleetOutcome_KIND_FAILED, wire.FleetOutcome_KIND_CANCELLED:
		a.outcomes[j.ID] = finalOutcome{ans.Kind, ans.Reason, now}
	}
	if ans.Kind == wire.FleetOutcome_KIND_NO_ROOM || ans.Kind == wire.FleetOutcome_KIND_REFUSED {
		a.withdraw(now, j)
	}
	a.endJob(now, j)
}

// abandonJob ends a job without an answer.
func (a *Allocator) abandonJob(now time.Time, j *job) {
	a.output.Abandoned = append(a.output.Abandoned, j.ID)
	a.endJob(now, j)
}

// endJob removes a job and stops its runs.
func (a *Allocator) endJob(now time.Time, j *job) {
	j.ended = true
	delete(a.jobs, j.ID)
	a.release(j)
	if j.started || j.ranBefore || j.MayHaveStarted || j.claimedBefore {
		a.startedJobs[j.ID] = now
	}
	for _, t := range j.tasks {
		if r := t.run; r != nil {
			a.stopRun(now, r)
		}
	}
	// A run that is being stopped refers to its task, and with it to the job, whose memory counts as returned.
	j.tasks = nil
}

// dependenciesDone reports whether all tasks of the steps that t's step depends on are done.
func (t *task) dependenciesDone() bool {
	for _, d := range t.job.Steps[t.step].DependsOn {
		if t.job.tasksLeft[d] > 0 {
			return false
		}
	}
	return true
}

func (t *task) avoids(worker string) bool { return slices.Contains(t.avoidWorkers, worker) }

// jobID returns the job's id in a task's name.
func jobID(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// queueStats holds moving averages over the results of a queue's tasks.
type queueStats struct {
	// meanRunTime is the mean run time in nanoseconds, meanRatio the mean of run times divided by their estimates; samples
	// is the number of results.
	meanRunTime, meanRatio float64
	samples                int
}

// expectedRunTime returns the run time to expect of a task: the average of the queue's mean run time and of the
// estimate times the queue's mean ratio. q may be nil.
func (q *queueStats) expectedRunTime(estimate time.Duration) time.Duration {
	switch {
	case q == nil || q.samples == 0:
		if estimate > 0 {
			return estimate
		}
		return defaultRunTime
	case estimate <= 0:
		return time.Duration(q.meanRunTime)
	}
	return time.Duration((q.meanRunTime + q.meanRatio*float64(estimate)) / 2)
}

// addSample adds the run time of a completed task; estimate is 0 when none was declared.
func (q *queueStats) addSample(took, estimate time.Duration) {
	q.samples++
	weight := max(runTimeWeight, 1/float64(q.samples))
	q.meanRunTime += weight * (float64(took) - q.meanRunTime)
	if estimate > 0 {
		q.meanRatio += weight * (min(float64(took)/float64(estimate), maxRunTimeRatio) - q.meanRatio)
	}
}
