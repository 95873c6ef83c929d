package allocator

import (
	"slices"
	"time"

	"clementineyard/internal/admitter"
	"clementineyard/internal/claimer"
	"clementineyard/wire"
)

// Config configures an Allocator.
type Config struct {
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// MaxStopTime is the longest time that a worker takes to stop a run.
	MaxStopTime time.Duration
	// GrantedAt is when this owner was granted the cell under its fencing token.
	GrantedAt time.Time
	// ConfirmedAt returns when the leader of the voters last confirmed that no other owner had been granted the cell. It is nil
	// where no other owner can be.
	ConfirmedAt func() time.Time
	// StateConfirmedAt returns when a voter last confirmed the state that decides whether workers get starts. It is nil where
	// that never changes.
	StateConfirmedAt func() time.Time
	// Evacuated is true if the failure domain was evacuated before this owner was granted the cell.
	Evacuated bool
	// Cell is this cell's name. Jobs are claimed for it, as clients may have sent them to other cells; empty where there are none.
	Cell string
	// ForgetRestored is how long a worker that a voter has read from its disk is kept without an answer or a report from it; 0
	// where that does not happen.
	ForgetRestored time.Duration
	// KeepsRoster is true if the voters agree on the workers before this owner uses them. Roster is the one that former owners
	// have kept; nil if there is none. FormerEnded is true if the process of the former owner has ended.
	KeepsRoster, FormerEnded bool
	Roster                   *wire.CellRoster
	// Memory bounds what jobs take in memory, also those of other cells; nil where nothing does.
	Memory *JobMemory
	// Admission configures the decisions under overload. The zero value stands for admitter.DefaultConfig.
	Admission admitter.Config
	// BestFitOnly places each task by itself, also where tasks compete for workers. It is for comparisons.
	BestFitOnly bool
}

// Allocator schedules the jobs and workers of one cell under one fencing token. It is not safe for concurrent use.
type Allocator struct {
	cfg        Config
	workers    map[string]*worker
	workerList []*worker
	// earliestHoldAt is when the next hold of any worker is due.
	earliestHoldAt time.Time
	jobs           map[string]*job
	arrivals       uint64
	// claims counts the claims that were made.
	claims uint64
	queues map[string]*queueStats
	// liveRuns holds the runs that may be under way, by task name. No task starts while a run of its name is in it.
	liveRuns map[string]*run
	// duplicates holds, by task name, the runs that are being stopped as their tasks also run elsewhere.
	duplicates map[string][]*run
	// firstListingAt is when a worker first listed its runs, and so refuses earlier owners; zero before.
	firstListingAt time.Time
	// activeAt is when this owner was last active, and resumedAt when it resumed after its last pause; zero before.
	activeAt, resumedAt time.Time
	// orphanEnds holds how the runs of unknown jobs ended, by task name, for a client that submits its job again.
	orphanEnds map[string]orphanEnd
	// outcomes holds the outcomes of completed and failed jobs, for a taker or a client that did not receive them.
	outcomes map[string]finalOutcome
	// startedJobs holds when the jobs ended of which tasks may have been started, by id, for a client that submits one again.
	startedJobs map[string]time.Time
	// elsewhereUntil holds, by id, until when jobs start nothing here whose tasks may be running in another cell.
	elsewhereUntil map[string]time.Time
	// evacuated is true while workers get no starts, but for those of started jobs until evacuationGraceEnd; zero if the cell was
	// granted later.
	evacuated          bool
	evacuationGraceEnd time.Time
	// roster holds the workers that this owner may use, and surveyIndex the index of the agreed state at its last survey.
	roster      claimer.Roster
	surveyIndex uint64
	// admitter decides under overload.
	admitter *admitter.Admitter
	// plan is what the last dispatch pass planned; nil when it placed each task by itself.
	plan *passPlan
	// overdueStarts counts the reserved tasks that started late since overdueLoggedAt, when the last log entry told of them.
	overdueStarts   int
	overdueLoggedAt time.Time
	// startsInFlight and stopsInFlight count the orders without a result.
	startsInFlight, stopsInFlight int
	// startsHeld is true if the last pass ended as too many starts were without a result.
	startsHeld bool
	output     Output
}

// finalOutcome is the outcome of a job that completed or failed.
type finalOutcome struct {
	kind   wire.FleetOutcome_Kind
	reason string
	at     time.Time
}

// orphanEnd is how a run of an unknown job ended.
type orphanEnd struct {
	attempt int
	done    bool
	at      time.Time
}

// New returns an Allocator without workers and jobs.
func New(cfg Config) *Allocator {
	if cfg.Admission == (admitter.Config{}) {
		cfg.Admission = admitter.DefaultConfig()
	}
	return &Allocator{
		cfg: cfg, workers: map[string]*worker{}, jobs: map[string]*job{}, queues: map[string]*queueStats{}, liveRuns: map[string]*run{},
		duplicates: map[string][]*run{}, orphanEnds: map[string]orphanEnd{}, outcomes: map[string]finalOutcome{}, startedJobs: map[string]time.Time{},
		elsewhereUntil: map[string]time.Time{}, evacuated: cfg.Evacuated, roster: newRoster(cfg), admitter: admitter.New(cfg.Admission),
	}
}

// Report processes the newest report of a worker.
func (a *Allocator) Report(now time.Time, r *wire.WorkerReport) Output {
	w := a.workers[r.Id]
	switch {
	case w != nil && r.Restored && !w.report.Restored:
		// The worker has reported since.
	case w != nil && r.Gone && w.isCurrent(r.Born):
		// The report comes by way of other processes. The worker itself may still run its tasks.
		w.leaving = true
	case r.Gone, w != nil && r.Born < w.born && !w.isCurrent(r.Born):
	case w != nil:
		a.changeIncarnation(now, w, r.Born)
		w.report, w.capacity = r, Resources{r.Millicores, r.MemoryMb, r.Accelerators}
	default:
		w = newWorker(now, r)
		w.barred = !a.roster.Allows(r.Id)
		a.workers[r.Id] = w
		a.workerList = append(a.workerList, w)
		a.earliestHoldAt = now
	}
	if held := a.workers[r.Id]; held != nil && held.report == r {
		held.setCold(now, time.Duration(r.ColdRemainingMillis)*time.Millisecond)
	}
	a.dispatch(now)
	return a.takeOutput()
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// changeIncarnation records that a worker has restarted under its id, unless born is its current incarnation. Its runs
// stay until a listing of the new incarnation shows which of them are over: an order to the former one may have reached
// the new one.
func (a *Allocator) changeIncarnation(now time.Time, w *worker, born int64) {
	if w.isCurrent(born) {
		w.born = max(w.born, born)
		return
	}
	a.note("Worker has restarted under its id.", "worker", w.report.Id, "born", born, "before", w.born, "runs", len(w.runs))
	w.born, w.bornKnownAt, w.leaving, w.synced, w.ackedEnd = born, now, false, false, 0
	for _, r := range w.runs {
		if r.confirmedAt.IsZero() {
			// The new incarnation does not know of a stop that the former one acknowledged.
			r.stopAckedAt, r.nextStopAt = time.Time{}, now
		}
	}
	w.clock, w.clockAt, w.leaseEnd = 0, now, a.cfg.MaxLease.Milliseconds()
	w.slowdown, w.failureStreak, w.quarantineTime, w.quarantinedUntil = 1, 0, 0, time.Time{}
	w.nextHoldAt, a.earliestHoldAt = now, now
}

// confirmRun records that a worker has run r, and its progress in percent.
func (a *Allocator) confirmRun(now time.Time, r *run, percent int) {
	if r.state == starting {
		r.state = running
	}
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	r.unansweredAt = time.Time{}
	if percent != r.percent || r.progressAt.IsZero() {
		r.percent, r.progressAt = percent, now
	}
}

// addOrphan records a run that an earlier owner has started, and stops it after orphanGracePeriod unless its job is
// known by then.
func (a *Allocator) addOrphan(now time.Time, w *worker, e ListedRun) {
	r := &run{name: e.Task, attempt: e.Attempt, worker: w, state: running, sentAt: now, confirmedAt: now, percent: e.Percent, progressAt: now}
	w.orphans++
	w.addRun(r)
	a.liveRuns[e.Task] = r
	if j := a.jobs[jobID(e.Task)]; j != nil {
		a.adoptRuns(now, j)
	}
	if r.task == nil {
		r.nextStopAt = now.Add(orphanGracePeriod)
		if _, ok := a.startedJobs[jobID(e.Task)]; ok {
			// The job has ended here, and may have gone to another cell.
			r.nextStopAt = now
		}
		a.claimOrphan(jobID(e.Task))
	}
}

// stopDuplicate stops a run whose task also runs elsewhere. It counts against its worker until it has ended.
func (a *Allocator) stopDuplicate(now time.Time, w *worker, e ListedRun) {
	other := a.liveRuns[e.Task]
	a.count("duplicateRuns")
	a.note("Worker lists a run of a task that also runs elsewhere; the owner stops it.", "task", e.Task, "attempt", e.Attempt, "worker", w.report.Id,
		"otherAttempt", other.attempt, "otherWorker", other.worker.report.Id)
	w.orphans++
	r := &run{name: e.Task, attempt: e.Attempt, worker: w, state: stopping, sentAt: now, confirmedAt: now, nextStopAt: now}
	w.addRun(r)
	a.duplicates[e.Task] = append(a.duplicates[e.Task], r)
}

// handleEnd processes the end of a run.
func (a *Allocator) handleEnd(now time.Time, w *worker, e RunEnd) {
	r := w.runs[e.Task]
	if r == nil || r.attempt != e.Attempt {
		a.handleOrphanEnd(now, e)
		return
	}
	t := r.task
	a.removeRun(r)
	if t == nil || t.run != r {
		if t == nil {
			a.handleOrphanEnd(now, e)
		}
		return
	}
	t.run = nil
	took := now.Sub(r.sentAt)
	t.job.longestRun = max(t.job.longestRun, took)
	switch e.Kind {
	case EndDone:
		w.recordSuccess()
		a.recordRunTime(now, t, w, took)
		if !t.job.ended {
			a.finishTask(now, t)
		}
	case EndFailed:
		t.failures++
		t.avoidWorkers = append(t.avoidWorkers, w.report.Id)
		if w.recordFailure(now, t.job.ID) {
			a.note("Owner quarantined the worker.", "worker", w.report.Id, "failures", w.failureStreak, "until", w.quarantinedUntil)
		}
		a.note("Run has failed.", "task", t.name, "attempt", e.Attempt, "worker", w.report.Id, "failures", t.failures)
		if t.failures >= t.job.MaxAttempts && !t.job.ended {
			a.answerJob(now, t.job, Answer{Kind: wire.FleetOutcome_KIND_FAILED, Reason: "task " + t.name + " has used up its attempts"})
		}
	default:
		if !t.job.ended {
			a.note("Run ended without completing its task.", "task", t.name, "attempt", e.Attempt, "worker", w.report.Id, "end", int(e.Kind))
		}
	}
}

// handleOrphanEnd keeps the end of a run that is not known here, and applies it to its task when the job is known.
func (a *Allocator) handleOrphanEnd(now time.Time, e RunEnd) {
	a.orphanEnds[e.Task] = orphanEnd{attempt: e.Attempt, done: e.Kind == EndDone, at: now}
	j := a.jobs[jobID(e.Task)]
	if j == nil {
		return
	}
	for _, t := range j.tasks {
		if t.name == e.Task && t.pending() {
			t.lastAttempt = max(t.lastAttempt, e.Attempt)
			if e.Kind == EndDone {
				j.started = true
				a.finishTask(now, t)
			}
		}
	}
}

// recordRunTime updates the statistics of the task's queue and the worker's slowdown. A cold worker tells nothing of either.
func (a *Allocator) recordRunTime(now time.Time, t *task, w *worker, took time.Duration) {
	if w.cold(now) {
		return
	}
	q := a.queues[t.job.Queue]
	if q == nil {
		q = &queueStats{}
		a.queues[t.job.Queue] = q
	}
	estimate := t.job.Steps[t.step].Estimate
	w.recordSlowdown(took, q.expectedRunTime(estimate))
	q.addSample(took, estimate)
}

// loseRun removes a run that is no longer under way though no end was listed for it. Its task may start again.
func (a *Allocator) loseRun(r *run, cause lossCause) {
	t := r.task
	a.removeRun(r)
	a.count("lostRuns_" + string(cause))
	if t != nil && t.run == r {
		t.run, t.lostRun, t.lossCause = nil, r, cause
	}
}

func (a *Allocator) removeRun(r *run) {
	r.worker.removeRun(r)
	others := slices.DeleteFunc(a.duplicates[r.name], func(o *run) bool { return o == r })
	if a.liveRuns[r.name] == r {
		delete(a.liveRuns, r.name)
		if len(others) > 0 {
			a.liveRuns[r.name], others = others[0], others[1:]
		}
	}
	if a.duplicates[r.name] = others; len(others) == 0 {
		delete(a.duplicates, r.name)
	}
}

// loseRuns removes runs of a worker that has ended or whose leases have expired.
func (a *Allocator) loseRuns(now time.Time, w *worker, lost []*run, cause lossCause) {
	if len(lost) == 0 {
		return
	}
	tasks := make([]string, len(lost))
	for i, r := range lost {
		tasks[i] = r.name
		a.loseRun(r, cause)
	}
	a.note("Owner marked runs of the worker as lost.", "worker", w.report.Id, "born", w.born, "cause", cause, "tasks", tasks,
		"silentFor", now.Sub(w.lastHeardAt), "leasesExpireIn", w.leasesExpireAt().Sub(now), "runsLeft", len(w.runs))
}

func (a *Allocator) removeWorker(w *worker) {
	if a.workers[w.report.Id] == w {
		delete(a.workers, w.report.Id)
	}
	a.workerList = slices.DeleteFunc(a.workerList, func(o *worker) bool { return o == w })
}

// jobsByArrival returns the jobs in the order of their arrival, so that the allocator is deterministic.
func (a *Allocator) jobsByArrival() []*job {
	out := make([]*job, 0, len(a.jobs))
	for _, j := range a.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(x, y *job) int { return int(x.arrivalOrder) - int(y.arrivalOrder) })
	return out
}

func (a *Allocator) note(text string, args ...any) {
	a.output.LogEntries = append(a.output.LogEntries, LogEntry{text, args})
}

// count adds one to a counter.
func (a *Allocator) count(name string) { a.output.Counts = append(a.output.Counts, name) }

func (a *Allocator) takeOutput() Output {
	o := a.output
	a.output = Output{}
	return o
}

// FreeMillicores returns the free millicores of all schedulable workers that are not cold; 0 while a task waits for a worker, and
// in an evacuated failure domain. Where the last pass was planned, the workers without a reservation count, if every waiting task
// has a reservation.
func (a *Allocator) FreeMillicores(now time.Time) int64 {
	if a.evacuated {
		return 0
	}
	if a.plan != nil {
		return a.unreservedMillicores(now)
	}
	for _, j := range a.jobs {
		if slices.ContainsFunc(j.tasks, (*task).ready) {
			return 0
		}
	}
	var sum int64
	for _, w := range a.workerList {
		if w.schedulable(now) && !w.cold(now) {
			sum += w.capacity.minus(w.used).Millicores
		}
	}
	return sum
}

// NotStarted reports whether a job is under way of which this owner has neither started a task nor adopted a run.
func (a *Allocator) NotStarted(id string) bool {
	j := a.jobs[id]
	return j != nil && !j.started && !j.claimedBefore
}

// HasStarted reports whether a task of a job was started, as far as is known here: of one under way, one that has ended,
// or one whose runs are not over.
func (a *Allocator) HasStarted(id string) bool {
	if j := a.jobs[id]; j != nil && j.started {
		return true
	}
	if _, ok := a.outcomes[id]; ok {
		return true
	}
	if _, ok := a.startedJobs[id]; ok {
		return true
	}
	for task := range a.liveRuns {
		if jobID(task) == id {
			return true
		}
	}
	for task := range a.orphanEnds {
		if jobID(task) == id {
			return true
		}
	}
	return false
}

// Knows reports whether a job is under way, or has started before.
func (a *Allocator) Knows(id string) bool { return a.jobs[id] != nil || a.HasStarted(id) }

// JobCount returns the number of jobs under way.
func (a *Allocator) JobCount() int { return len(a.jobs) }
