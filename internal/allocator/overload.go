package allocator

import (
	"slices"
	"time"

	"clementineyard/internal/admitter"
	"clementineyard/wire"
)

// This file asks package admitter for the order of the waiting jobs, for the verdict on a job that has arrived, and for what
// expires. It answers overload where queues of one service differ in priority.

// minResidual is the part of its expected run time that an overdue run is expected to take yet.
const minResidual = 0.25

// admissionJob returns what the admitter uses of a job.
func (a *Allocator) admissionJob(j *job) *admitter.Job {
	o := &admitter.Job{
		Queue: j.Queue, Service: j.Service, Origin: j.Origin, Account: j.Account, Priority: j.Priority, Order: j.arrivalOrder, Started: j.started,
		ArrivedAt: j.ArrivedAt, LatestStart: j.latestStart,
	}
	var sum int64
	var expected time.Duration
	for _, t := range j.tasks {
		if t.pending() && t.dependenciesDone() {
			o.Tasks++
			sum += j.Steps[t.step].Ask.Millicores
			expected += a.queues[j.Queue].expectedRunTime(j.Steps[t.step].Estimate)
		}
	}
	if o.Tasks > 0 {
		o.Millicores, o.RunTime = sum/int64(o.Tasks), expected/time.Duration(o.Tasks)
	}
	return o
}

// waitingJob is a waiting job with its place in the order.
type waitingJob struct {
	*job
	key admitter.Key
}

// sortWaiting sorts waiting jobs into the order in which they are dispatched.
func (a *Allocator) sortWaiting(now time.Time, jobs []*job) {
	keyed := make([]waitingJob, len(jobs))
	for i, j := range jobs {
		keyed[i] = waitingJob{j, a.key(now, j)}
	}
	slices.SortFunc(keyed, func(x, y waitingJob) int { return x.key.Compare(y.key) })
	for i := range keyed {
		jobs[i] = keyed[i].job
	}
}

func (a *Allocator) key(now time.Time, j *job) admitter.Key {
	return a.admitter.Key(now, &admitter.Job{
		Queue: j.Queue, Service: j.Service, Origin: j.Origin, Account: j.Account, Priority: j.Priority, Order: j.arrivalOrder, Started: j.started,
		ArrivedAt: j.ArrivedAt, LatestStart: j.latestStart,
	})
}

// refuseUnserveable refuses a job at its arrival, if it cannot be served in time. Cells with room have been asked before, and
// nothing of the job has run. A new owner, and one that has just resumed, admits every job, as it does not know what runs.
func (a *Allocator) refuseUnserveable(now time.Time, j *job) (refused bool) {
	if j.claiming || j.mayHaveRun() || j.RejectIfFull || !a.admitter.Active(j.Service) || !a.knowsBacklog(now) || a.hasRoomFor(now, j) {
		return false
	}
	own := a.admissionJob(j)
	key := a.admitter.Key(now, own)
	var ahead []waitingJob
	waiting, ofQueue := 0, 0
	for _, o := range a.jobs {
		if o == j || o.Service != j.Service || !slices.ContainsFunc(o.tasks, (*task).pending) {
			continue
		}
		n := 0
		for _, t := range o.tasks {
			if t.pending() {
				n++
			}
		}
		waiting += n
		if o.Queue == j.Queue {
			ofQueue += n
		}
		if k := a.key(now, o); k.Compare(key) < 0 {
			ahead = append(ahead, waitingJob{o, k})
		}
	}
	slices.SortFunc(ahead, func(x, y waitingJob) int { return x.key.Compare(y.key) })
	jobs := make([]*admitter.Job, len(ahead))
	for i, o := range ahead {
		jobs[i] = a.admissionJob(o.job)
	}
	v := a.admitter.Admit(now, own, jobs, a.admissionCell(now, j.Service), waiting, ofQueue)
	if v.Admit {
		return false
	}
	a.count("refusedAtArrival_" + string(v.Reason))
	a.note("Owner refused the job at its arrival.", "job", j.ID, "queue", j.Queue, "why", string(v.Reason), "startsIn", v.Start.Sub(now),
		"latestStartIn", j.latestStart.Sub(now), "ahead", len(ahead), "waitingTasks", waiting)
	a.answerJob(now, j, Answer{Kind: wire.FleetOutcome_KIND_REFUSED, Reason: string(v.Reason), RetryAfter: a.admitter.RetryAfter(now, j.Service, j.ID)})
	return true
}

// knowsBacklog reports whether this owner knows what its workers run. One that does not answer gets no start.
func (a *Allocator) knowsBacklog(now time.Time) bool {
	unlisted := func(w *worker) bool { return !w.synced && !w.leaving && w.unreachableSince.IsZero() }
	return len(a.workerList) > 0 && now.Sub(a.cfg.GrantedAt) >= warmUpPeriod && now.Sub(a.resumedAt) >= warmUpPeriod &&
		!slices.ContainsFunc(a.workerList, unlisted)
}

// hasRoomFor reports whether all tasks of a job fit now on the workers that keep no room for others. The tasks that wait do not, or
// they would have started.
func (a *Allocator) hasRoomFor(now time.Time, j *job) bool {
	left := int64(len(j.tasks))
	keeping := a.keepingWorkers()
	for _, w := range a.workerList {
		if w.report.Service == j.Service && w.schedulable(now) && !keeping[w] {
			left -= w.startsLeft(now, w.capacity.minus(w.used).capacityFor(j.Steps[0].Ask))
		}
	}
	return left <= 0
}

// admissionCell returns the capacity of a service's workers and the runs on them.
func (a *Allocator) admissionCell(now time.Time, service string) admitter.Cell {
	c := admitter.Cell{}
	for _, w := range a.workerList {
		if w.report.Service != service || !w.schedulable(now) {
			continue
		}
		c.Millicores += w.capacity.Millicores
		for _, r := range w.runs {
			left := defaultRunTime
			if r.task != nil {
				expected := r.task.job.expectedRunTime
				left = max(expected-now.Sub(r.sentAt), time.Duration(minResidual*float64(expected)))
			}
			c.Runs = append(c.Runs, admitter.Run{Millicores: r.ask.Millicores, EndsAt: now.Add(left)})
		}
	}
	return c
}

// recordSaturation records what is in use of a service's workers as a task finds no worker.
func (a *Allocator) recordSaturation(now time.Time, service string) {
	if !a.admitter.Active(service) {
		return
	}
	var used, capacity int64
	for _, w := range a.workerList {
		if w.report.Service == service && w.schedulable(now) {
			used, capacity = used+w.used.Millicores, capacity+w.capacity.Millicores
		}
	}
	a.admitter.RecordSaturation(service, used, capacity)
}

// pastLatestStart reports whether a waiting job can no longer meet its objective while others wait that can.
func (a *Allocator) pastLatestStart(now time.Time, j *job) bool {
	if j.claiming || !a.admitter.Active(j.Service) || !a.knowsBacklog(now) || j.MayHaveStarted || j.claimedBefore || j.ranBefore || j.unverified {
		return false
	}
	return now.After(j.latestStart.Add(time.Duration(a.cfg.Admission.LateTolerance * float64(j.expectedRunTime))))
}

// recordOutcome records whether a job was served: whether its answer came within the objective that its own run times allow.
func (a *Allocator) recordOutcome(now time.Time, j *job, kind wire.FleetOutcome_Kind) {
	switch kind {
	case wire.FleetOutcome_KIND_COMPLETED:
		objective := time.Duration(j.StretchFactor*float64(j.longestRun)) + j.TargetLatency
		a.admitter.Record(now, a.admissionJob(j), now.Sub(j.ArrivedAt) <= objective)
	case wire.FleetOutcome_KIND_REFUSED, wire.FleetOutcome_KIND_GIVEN_UP:
		a.admitter.Record(now, a.admissionJob(j), false)
	}
}
