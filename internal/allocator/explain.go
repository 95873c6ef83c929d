package allocator

import (
	"slices"
	"time"

	"clementineyard/internal/planner"
)

// This file explains a placement decision to an operator. It calls what decides, so that the two cannot differ, and changes nothing.

// Explanation tells what an Allocator would do with a job now.
type Explanation struct {
	// Verdict is what would become of the job.
	Verdict ExplanationVerdict
	// Planned is true where package planner places the tasks, and false where best fit does.
	Planned bool
	// ExpectedRunTime is that of the longest chain of steps. LatestStart is the last start that meets the objective, and RefuseAt
	// when the job would be refused if it had not started.
	ExpectedRunTime       time.Duration
	LatestStart, RefuseAt time.Time
	// ExpectedStart is when the last task of the first steps is expected to start; zero when that cannot be told. It is the planner's
	// prediction, also where best fit places the tasks.
	ExpectedStart time.Time
	// JobsAhead and TasksAhead count what waits and comes first.
	JobsAhead, TasksAhead int
	Workers               []ExplainedWorker
}

// ExplanationVerdict is what would become of a job.
type ExplanationVerdict string

// The verdicts of an Explanation.
const (
	// VerdictKnown: the job is under way or has ended here.
	VerdictKnown ExplanationVerdict = "known"
	// VerdictStarts: all tasks of the first steps would start at once.
	VerdictStarts ExplanationVerdict = "starts"
	// VerdictWaits: the job would be taken, and tasks of it would wait.
	VerdictWaits ExplanationVerdict = "waits"
	// VerdictNoRoom: the job would be sent on to other cells first.
	VerdictNoRoom ExplanationVerdict = "noRoom"
	// VerdictInfeasible: no worker is large enough.
	VerdictInfeasible ExplanationVerdict = "infeasible"
)

// ExplainedWorker is a worker as the job's first step sees it.
type ExplainedWorker struct {
	ID   string
	Free Resources
	// Slowdown is the moving average of run times divided by the expected ones.
	Slowdown float64
	// Starts and Reserved count the job's tasks that would start there, and for which it would keep room.
	Starts, Reserved int
	// Rejection is why the worker would get no task of the first step now; empty when it could.
	Rejection string
}

// Explain tells what would become of a valid job if it were submitted now. It changes no state.
func (a *Allocator) Explain(now time.Time, j *Job) Explanation {
	n, waiting := a.withJob(now, j)
	a.sortWaiting(now, waiting)
	tasks := a.unplacedTasks(waiting)
	if !a.mayDispatch(now, a.earlierLeasesEnd(), n) {
		tasks = slices.DeleteFunc(tasks, func(t *task) bool { return t.job == n })
	}
	out := Explanation{ExpectedRunTime: n.expectedRunTime, LatestStart: n.latestStart, RefuseAt: n.refuseAt, Planned: a.competes(now, tasks)}
	for _, o := range waiting[:slices.Index(waiting, n)] {
		out.JobsAhead++
		out.TasksAhead += len(a.unplacedTasks([]*job{o}))
	}
	in := a.planInput(now, tasks)
	plan := planner.Make(&in.Input)
	starts, reserved := map[*worker]int{}, map[*worker]int{}
	placed := 0
	for _, s := range plan.Starts {
		if in.groups[s.Step][0].job == n {
			starts[in.workers[s.Worker]]++
			placed++
		}
	}
	allStart := placed == len(n.tasks)
	for _, r := range plan.Reservations {
		if in.groups[r.Step][0].job == n {
			reserved[in.workers[r.Worker]]++
			placed++
			if r.At.After(out.ExpectedStart) {
				out.ExpectedStart = r.At
			}
		}
	}
	switch {
	case allStart:
		out.ExpectedStart = now
	case placed < len(n.tasks):
		out.ExpectedStart = time.Time{}
	}
	switch {
	case a.Knows(j.ID):
		out.Verdict = VerdictKnown
	case a.infeasible(now, n):
		out.Verdict = VerdictInfeasible
	case !a.hasRoom(now, j):
		out.Verdict = VerdictNoRoom
	case allStart:
		out.Verdict = VerdictStarts
	default:
		out.Verdict = VerdictWaits
	}
	for _, w := range a.workerList {
		if w.report.Service != j.Service {
			continue
		}
		x := ExplainedWorker{ID: w.report.Id, Free: w.capacity.minus(w.used), Slowdown: w.slowdown, Starts: starts[w], Reserved: reserved[w]}
		if x.Starts == 0 {
			x.Rejection = a.rejection(now, w, &j.Steps[0])
		}
		out.Workers = append(out.Workers, x)
	}
	return out
}

// rejection returns why a worker would get no task of the step now; empty when it could.
func (a *Allocator) rejection(now time.Time, w *worker, s *Step) string {
	switch {
	case a.evacuated:
		return "is in an evacuated failure domain"
	case w.leaving || w.report.Draining:
		return "is draining"
	case !w.unreachableSince.IsZero():
		return "does not answer"
	case !w.synced || w.orphans > 0 || w.hasUnknownRuns || !w.isCurrent(w.report.Born):
		return "has runs that are not known here"
	case now.Before(w.quarantinedUntil):
		return "is in quarantine"
	case w.quarantineTime > 0 && len(w.runs) > 0:
		return "is on probation and has a run"
	case w.barred:
		return "is not among the agreed workers"
	case !w.confirmed():
		return "has not been heard of since its report was read from disk"
	case w.startsLeft(now, 1) == 0:
		return "is slow after its start, and has as many runs as it may have"
	case !w.schedulable(now):
		return "has too little of its lease left"
	case !w.hasLabel(s.Requirement):
		return "lacks the required label"
	case !s.Ask.fitsIn(w.capacity):
		return "is too small"
	case !s.Ask.fitsIn(w.capacity.minus(w.used)):
		return "has too little free"
	case a.plan != nil && slices.ContainsFunc(a.plan.reservations, func(r reservation) bool { return r.worker == w }):
		return "keeps room for a task that comes first"
	}
	return ""
}
