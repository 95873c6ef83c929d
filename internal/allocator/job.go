package allocator

import (
	"slices"
	"strings"
	"time"

	"clementineyard/wire"
)

// job is a Job under way.
type job struct {
	*Job
	tasks []*task
	// left counts the tasks of each step that are not done.
	left    []int
	arrived uint64
	// askElsewhereAt is when a job that has not begun goes back to its taker.
	askElsewhereAt time.Time
	// started is true once a start was sent or a run was adopted.
	started bool
	ended   bool
	// expected is the run time expected of the longest chain of steps; latestStart is the last moment to begin and still
	// meet the objective; refuseAt is when a job that has not begun is refused, giveUpAt when one that has is given up.
	expected                        time.Duration
	latestStart, refuseAt, giveUpAt time.Time
}

type task struct {
	job         *job
	step, index int
	name        string
	// attempt is the highest number used.
	attempt int
	run     *run
	done    bool
	// failures counts the ends failed, avoid names the workers of these and of lost runs.
	failures int
	avoid    []string
}

func (t *task) waiting() bool { return !t.done && t.run == nil }

// startable reports whether the task waits for nothing but room.
func (t *task) startable() bool { return t.waiting() && t.stepReady() }

// Submit takes in a job. A job that is known already is not queued again: its outcome goes to the new taker.
func (a *Allocator) Submit(now time.Time, j *Job) Output {
	if known := a.jobs[j.ID]; known != nil {
		known.Taker, known.Incarnation = j.Taker, j.Incarnation
		a.note("Job is known; its outcome goes to the new taker.", "job", j.ID, "taker", j.Taker, "started", known.started)
		return a.take()
	}
	if o, ok := a.outcomes[j.ID]; ok {
		a.note("Job has its outcome.", "job", j.ID, "taker", j.Taker, "outcome", o.kind.String())
		a.out.Answers = append(a.out.Answers, Answer{Job: j, Kind: o.kind, Reason: o.reason})
		return a.take()
	}
	if j.OnlyWithRoom && !j.MayRun && !a.hasRoom(now, j) {
		a.out.Answers = append(a.out.Answers, Answer{Job: j, Kind: wire.FleetOutcome_KIND_NO_ROOM})
		return a.take()
	}
	a.arrivals++
	n := &job{Job: j, arrived: a.arrivals, askElsewhereAt: now.Add(roomWait)}
	for s, step := range j.Steps {
		n.left = append(n.left, step.Count)
		for i := range step.Count {
			n.tasks = append(n.tasks, &task{job: n, step: s, index: i, name: taskName(j.ID, s, i)})
		}
	}
	a.jobs[j.ID] = n
	a.plan(n)
	a.adopt(now, n)
	if !n.ended {
		a.dispatch(now)
	}
	return a.take()
}

// Cancel ends a job whose client has left. A cancellation by an earlier taker has no effect.
func (a *Allocator) Cancel(now time.Time, id, taker string, incarnation uint64) Output {
	if j := a.jobs[id]; j != nil && j.Taker == taker && j.Incarnation == incarnation {
		a.note("Job is cancelled.", "job", id, "taker", taker, "started", j.started)
		a.abandon(now, j)
		a.dispatch(now)
	}
	return a.take()
}

// DropTaker ends the jobs of an entry VM's earlier runs: nobody waits for their outcome.
func (a *Allocator) DropTaker(now time.Time, taker string, current uint64) Output {
	for _, j := range a.inOrder() {
		if j.Taker == taker && j.Incarnation != current {
			a.note("Job is dropped: its taker has ended.", "job", j.ID, "taker", taker, "incarnation", j.Incarnation)
			a.abandon(now, j)
		}
	}
	a.dispatch(now)
	return a.take()
}

// plan sets a job's times from what is known of its queue.
func (a *Allocator) plan(j *job) {
	q := a.queues[j.Queue]
	chains := make([]time.Duration, len(j.Steps))
	for i, s := range j.Steps {
		for _, d := range s.DependsOn {
			chains[i] = max(chains[i], chains[d])
		}
		chains[i] += q.expected(s.Estimate)
		j.expected = max(j.expected, chains[i])
	}
	objective := time.Duration(j.Stretch*float64(j.expected)) + j.Target
	j.latestStart = j.Arrived.Add(objective - j.expected)
	j.giveUpAt = j.Arrived.Add(lateFactor*objective - j.expected)
	j.refuseAt = j.Arrived.Add(time.Duration(refuseFactor * float64(objective)))
	if warm := a.cfg.GrantedAt.Add(warmUp); j.refuseAt.Before(warm) {
		j.refuseAt = earlier(warm, j.giveUpAt)
	}
}

// adopt takes over what an earlier owner had started of a job.
func (a *Allocator) adopt(now time.Time, j *job) {
	for _, t := range j.tasks {
		if r := a.live[t.name]; r != nil && r.task == nil && r.state == running {
			r.task, t.run, t.attempt = t, r, r.attempt
			r.worker.identify(r, j.Steps[t.step].Ask)
			j.started = true
			a.note("Run is adopted.", "task", t.name, "attempt", r.attempt, "worker", r.worker.report.Id)
			continue
		}
		if e, ok := a.ended[t.name]; ok {
			t.attempt = max(t.attempt, e.attempt)
			if e.done {
				a.note("Earlier end counts.", "task", t.name, "attempt", e.attempt)
				j.started = true
				a.finish(now, t)
			}
		}
	}
}

// finish notes that a task is done, and answers the job when it was the last.
func (a *Allocator) finish(now time.Time, t *task) {
	if t.done {
		return
	}
	t.done, t.run = true, nil
	t.job.left[t.step]--
	for _, n := range t.job.left {
		if n > 0 {
			return
		}
	}
	if !t.job.ended {
		a.answer(now, t.job, Answer{Kind: wire.FleetOutcome_KIND_COMPLETED})
	}
}

func (a *Allocator) answer(now time.Time, j *job, ans Answer) {
	ans.Job = j.Job
	a.out.Answers = append(a.out.Answers, ans)
	if ans.Kind == wire.FleetOutcome_KIND_COMPLETED || ans.Kind == wire.FleetOutcome_KIND_FAILED {
		a.outcomes[j.ID] = outcome{ans.Kind, ans.Reason, now}
	}
	a.end(now, j)
}

// abandon ends a job without an answer.
func (a *Allocator) abandon(now time.Time, j *job) {
	a.out.Abandoned = append(a.out.Abandoned, j.ID)
	a.end(now, j)
}

// end forgets a job and stops what runs of it.
func (a *Allocator) end(now time.Time, j *job) {
	j.ended = true
	delete(a.jobs, j.ID)
	for _, t := range j.tasks {
		if r := t.run; r != nil {
			a.stop(now, r)
		}
	}
}

// stepReady reports whether the steps that t depends on are done.
func (t *task) stepReady() bool {
	for _, d := range t.job.Steps[t.step].DependsOn {
		if t.job.left[d] > 0 {
			return false
		}
	}
	return true
}

func (t *task) avoids(worker string) bool { return slices.Contains(t.avoid, worker) }

// jobOf returns the job's id in a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// queue holds what was learned of a queue's tasks.
type queue struct {
	// mean is of run times, ratio of run times over estimates; count is the number of results.
	mean, ratio float64
	count       int
}

// expected is the run time to expect: half from the queue's mean and half from the estimate, corrected by how far
// estimates were off.
func (q *queue) expected(estimate time.Duration) time.Duration {
	switch {
	case q == nil || q.count == 0:
		if estimate > 0 {
			return estimate
		}
		return newRunTime
	case estimate <= 0:
		return time.Duration(q.mean)
	}
	return time.Duration((q.mean + q.ratio*float64(estimate)) / 2)
}

func (q *queue) learn(took, estimate time.Duration) {
	q.count++
	w := max(learnWeight, 1/float64(q.count))
	q.mean += w * (float64(took) - q.mean)
	if estimate > 0 {
		q.ratio += w * (min(float64(took)/float64(estimate), speedLimit) - q.ratio)
	}
}
