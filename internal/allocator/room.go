package allocator

import (
	"slices"
	"time"

	"clementineyard/internal/planner"
)

// This file tells whether a job has room where tasks compete for workers, as the planner would place it. A job that could start
// soon stays: another cell would also have to find room for all of its tasks at once.

// maxPlannedWait bounds the expected wait with which a job still has room here. What entry VMs know of other cells' room is up to
// 0.2 s old, so 0.1 s in the mean: a job that moves would often wait as long there. On deploy/loads/halves.json a wait of 100 to
// 150 ms served more than 50 ms or 1 s.
const maxPlannedWait = 100 * time.Millisecond

// withJob returns a job as it would be if it were submitted now, and the jobs with tasks that would then wait for a worker. Those
// of jobs that are being claimed count as well; those that may not start now, whatever room there is, do not.
func (a *Allocator) withJob(now time.Time, j *Job) (*job, []*job) {
	n := &job{Job: j, arrivalOrder: a.arrivals + 1}
	for s, step := range j.Steps {
		if n.tasksLeft = append(n.tasksLeft, step.Count); len(step.DependsOn) == 0 {
			for i := range step.Count {
				n.tasks = append(n.tasks, &task{job: n, step: s, index: i})
			}
		}
	}
	a.setDeadlines(n)
	waiting, leasesEnd := []*job{n}, a.earlierLeasesEnd()
	for _, o := range a.jobs {
		if a.mayDispatch(now, leasesEnd, o) && slices.ContainsFunc(o.tasks, (*task).unplaced) {
			waiting = append(waiting, o)
		}
	}
	return n, waiting
}

// unplacedTasks returns the tasks of the jobs that wait for a worker.
func (a *Allocator) unplacedTasks(jobs []*job) []*task {
	var tasks []*task
	for _, o := range jobs {
		for _, t := range o.tasks {
			if t.unplaced() && a.liveRuns[t.name] == nil {
				tasks = append(tasks, t)
			}
		}
	}
	return tasks
}

// unplaced reports whether the task waits for a worker, or only for its job's claim and a worker.
func (t *task) unplaced() bool { return t.pending() && t.dependenciesDone() }

// plannedRoom reports whether every task of n could start in time: within maxPlannedWait, and before the latest start that still
// meets the objective. waiting holds n and the other jobs that wait.
func (a *Allocator) plannedRoom(now time.Time, n *job, waiting []*job) bool {
	tasks := a.unplacedTasks(waiting)
	if len(tasks)-len(n.tasks) > planner.MaxPerWorker*len(a.workerList) {
		// The reservations would be used up.
		return false
	}
	a.sortWaiting(now, waiting)
	tasks = a.unplacedTasks(waiting)
	latest := earlier(n.latestStart, now.Add(maxPlannedWait))
	in := a.planInput(now, tasks)
	left := len(n.tasks)
	plan := planner.Make(&in.Input)
	for _, s := range plan.Starts {
		if in.groups[s.Step][0].job == n {
			left--
		}
	}
	for _, r := range plan.Reservations {
		if in.groups[r.Step][0].job == n && r.At.Before(latest) {
			left--
		}
	}
	return left == 0
}

// unreservedMillicores returns the free millicores of the workers that are not cold and keep no room for a task; 0 while a task waits that
// has no reservation.
func (a *Allocator) unreservedMillicores(now time.Time) int64 {
	if a.plan.backlog > 0 {
		return 0
	}
	var sum int64
	keeping := a.keepingWorkers()
	for _, w := range a.workerList {
		if w.schedulable(now) && !w.cold(now) && !keeping[w] {
			sum += w.capacity.minus(w.used).Millicores
		}
	}
	return sum
}

// keepingWorkers returns the workers that keep room for a task since the last pass.
func (a *Allocator) keepingWorkers() map[*worker]bool {
	if a.plan == nil {
		return nil
	}
	keeping := map[*worker]bool{}
	for _, r := range a.plan.reservations {
		keeping[r.worker] = true
	}
	return keeping
}
