package scheduler

import (
	"time"

	"clementineyard/internal/estimator"
	"clementineyard/wire"
)

const (
	defaultMaxQueued = 100_000
	// minRetryAfter is the shortest retry delay that a refusal advises.
	minRetryAfter = 10 * time.Millisecond
	// waitSafetyFactor times the predicted wait behind other jobs must fit before the deadline. The estimate is off
	// by up to its own size when the demand changes; without the margin a task near the limit waits until its
	// deadline and is refused only then. A smaller factor leaves slots idle at a demand peak.
	waitSafetyFactor = 2
)

// admission is the state that accumulates while the tasks of one job are checked.
type admission struct {
	now time.Time
	// explaining is true where nothing may change: refusals then advise the earliest retry, without a random part.
	explaining bool
	// queuedWork is the predicted work in the service's queue, computed once per service and class.
	svc        *service
	queuedWork [numClasses]float64
	// jobWork and jobUnits are what the job's tasks checked so far add ahead of its later tasks.
	jobWork, jobUnits [numClasses]float64
	jobCount          int
	// capacity is cached for the last ask, as most tasks of a job ask for the same resources.
	ask      Resources
	capacity float64
}

// Admit queues all tasks of a job or none of them. It refuses a job if any of its tasks is predicted to miss its
// deadline.
func (s *Scheduler) Admit(now time.Time, tasks []Task) *Refusal {
	s.advance(now)
	if s.evacuated {
		return s.refuseEvacuated()
	}
	a := admission{now: now}
	var buffer [1]time.Duration
	predictedWaits := buffer[:0]
	if len(tasks) > len(buffer) {
		predictedWaits = make([]time.Duration, 0, len(tasks))
	}
	for i := range tasks {
		wait, refusal := s.checkTask(&a, &tasks[i])
		if refusal != nil {
			s.refused[refusal.Reason]++
			return refusal
		}
		predictedWaits = append(predictedWaits, wait)
	}
	var tasksByRack map[string]int
	if len(tasks) > 1 && a.svc != nil && a.svc.OnWorkers {
		tasksByRack = map[string]int{}
	}
	for i := range tasks {
		svc := s.services[tasks[i].Service]
		e := s.newEntry(now, svc, svc.taskTypes[tasks[i].Name], tasks[i], true)
		if s.baseline == nil {
			e.predictedWait = predictedWaits[i]
		}
		e.tasksByRack = tasksByRack
		s.insert(e)
	}
	return nil
}

// checkTask returns a refusal for a task that cannot be admitted, or its predicted wait.
func (s *Scheduler) checkTask(a *admission, t *Task) (time.Duration, *Refusal) {
	svc := s.services[t.Service]
	if svc == nil {
		return 0, &Refusal{Reason: wire.Reason_REASON_UNKNOWN_SERVICE}
	}
	tt := svc.taskTypes[t.Name]
	if tt == nil {
		return 0, &Refusal{Reason: wire.Reason_REASON_UNKNOWN_TASK}
	}
	if s.baseline != nil {
		return 0, nil
	}
	ask := effectiveAsk(svc, tt, t)
	if svc != a.svc || ask != a.ask {
		if r := s.prepare(a, svc, ask); r != nil {
			return 0, r
		}
	}
	if svc.quota(t.Team) == 0 {
		return 0, &Refusal{Reason: wire.Reason_REASON_QUOTA_EXCEEDED}
	}
	return s.checkWait(a, tt, t)
}

// prepare sets up the admission for tasks of the service with this ask, or refuses tasks that no server can run.
func (s *Scheduler) prepare(a *admission, svc *service, ask Resources) *Refusal {
	if !s.placer.HasServer(svc.Name, svc.OnWorkers) {
		return &Refusal{Reason: wire.Reason_REASON_NO_SERVER}
	}
	if !s.placer.CanEverFit(svc.Name, svc.OnWorkers, ask) {
		return &Refusal{Reason: wire.Reason_REASON_NEVER_FITS}
	}
	if svc != a.svc {
		*a = admission{now: a.now, explaining: a.explaining, svc: svc}
		for c := range numClasses {
			a.queuedWork[c] = svc.queuedWork(c)
		}
	}
	a.ask = ask
	a.capacity = s.admissionCapacity(svc, ask)
	return nil
}

// admissionCapacity returns the capacity, in units, that the service can expect for tasks with this ask.
func (s *Scheduler) admissionCapacity(svc *service, ask Resources) float64 {
	capacity, allRunning := s.placer.Capacity(svc.Name, svc.OnWorkers, ask)
	// Services that share servers get equal parts when both have waiting tasks.
	capacity = max(capacity-float64(max(allRunning-svc.running.count, 0)), capacity/2)
	if svc.OnWorkers {
		capacity *= workerUnits(ask)
	}
	return capacity - svc.running.overrunUnits
}

// checkWait refuses a task whose queue is full or whose deadline is predicted to be missed, or returns its predicted
// wait.
func (s *Scheduler) checkWait(a *admission, tt *taskType, t *Task) (time.Duration, *Refusal) {
	svc, c := a.svc, tt.class()
	predicted := tt.predictRunTime(t)
	taskUnits := 1.0
	if svc.OnWorkers {
		taskUnits = workerUnits(a.ask)
	}
	wait, ownWait, quotaBound := s.predictWait(a, c, t.Team, taskUnits)
	a.jobWork[c] += taskUnits * predicted.Seconds()
	a.jobUnits[c] += taskUnits
	a.jobCount++
	limit := svc.MaxQueued
	if limit <= 0 {
		limit = defaultMaxQueued
	}
	if svc.queued()+a.jobCount > limit {
		return 0, s.newRefusal(a, wire.Reason_REASON_QUEUE_FULL, wait)
	}
	if svc.QueueOnOverload || t.Deadline.IsZero() {
		return wait, nil
	}
	timeLeft := t.Deadline.Sub(a.now)
	runTime := trustedRunTime(a.now, tt, predicted)
	if wait > 0 && !tt.runTimes.Stale(a.now) {
		runTime = max(runTime, tt.runTimes.P90())
	}
	if ownWait+waitSafetyFactor*(wait-ownWait)+runTime <= timeLeft {
		return wait, nil
	}
	if quotaBound {
		return 0, s.newRefusal(a, wire.Reason_REASON_QUOTA_EXCEEDED, wait)
	}
	return 0, s.newRefusal(a, wire.Reason_REASON_DEADLINE_UNREACHABLE, wait)
}

// trustedRunTime returns the run time that a refusal may be based on. Declared run times are often far off. An
// outdated prediction must be checked by a run now and then, or a task once predicted to be too slow would never run
// again.
func trustedRunTime(now time.Time, tt *taskType, predicted time.Duration) time.Duration {
	switch {
	case !tt.runTimes.Learned():
		return min(predicted, estimator.DefaultRunTime)
	case tt.runTimes.Stale(now):
		return 0
	default:
		return predicted
	}
}

func (s *Scheduler) newRefusal(a *admission, reason wire.Reason, wait time.Duration) *Refusal {
	drain := max(wait, minRetryAfter)
	if a.explaining {
		return &Refusal{Reason: reason, EstimatedWait: wait, RetryAfter: drain}
	}
	return &Refusal{
		Reason: reason, EstimatedWait: wait,
		// The random part spreads the retries over two further drain times, so that the callers do not all return at
		// once.
		RetryAfter: drain + time.Duration(s.rng.Int64N(int64(2*drain)+1)),
	}
}

// predictWait estimates how long a task of taskUnits waits behind the predicted work ahead of it in
// its class and in its team's share. ownWait is the part of the wait that is due to tasks of the same job.
// quotaBound is true when the team's quota determines the wait.
func (s *Scheduler) predictWait(a *admission, c class, teamName string, taskUnits float64) (wait, ownWait time.Duration, quotaBound bool) {
	svc := a.svc
	q := &svc.queues[c]
	available := max(svc.classCapacity(c, a.capacity), taskUnits)
	ahead, aheadUnits := a.queuedWork[c]+a.jobWork[c], q.units+a.jobUnits[c]
	var teamAhead, quotaWait float64
	teamUnits := a.jobUnits[c]
	weight, weightSum, teamRunning := svc.weight(teamName), q.shares.TotalWeight(), 0
	if t := svc.teams[teamName]; t != nil {
		teamRunning = t.quota.Running
		teamUnits += t.queues[c].units
		if q.units > 0 {
			teamAhead = a.queuedWork[c] * t.queues[c].units / q.units
		}
		if t.queues[c].flow.Waiting() {
			weightSum -= weight
		}
	}
	teamAhead += a.jobWork[c]
	if limit := svc.quota(teamName); limit > 0 && float64(teamRunning)+teamUnits/taskUnits >= float64(limit) {
		quotaWait = teamAhead / (float64(limit) * taskUnits)
	}
	free := available - svc.running.units[c]
	if c == classLong {
		free += svc.running.overrunUnits // already subtracted from the capacity
	}
	if aheadUnits+taskUnits <= free && quotaWait == 0 {
		return 0, 0, false
	}
	work := min(ahead, teamAhead*(weightSum+weight)/weight)
	// Running tasks whose starts were spread evenly also free their slots evenly. Only remaining work in excess of
	// that steady state delays the task.
	remaining, steadyState := svc.running.remaining(c, s.sinceOrigin(a.now))
	seconds := (work + max(remaining-steadyState, 0)) / available
	if quotaWait > seconds {
		return fromSeconds(quotaWait), fromSeconds(a.jobWork[c] / (float64(svc.quota(teamName)) * taskUnits)), true
	}
	return fromSeconds(seconds), fromSeconds(min(a.jobWork[c]/available, seconds)), false
}

func fromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// classCapacity returns the part of the given capacity, in units, that a class can expect.
func (svc *service) classCapacity(c class, capacity float64) float64 {
	r := &svc.running
	longUnits := r.units[classLong] - r.overrunUnits
	if c == classShort {
		if svc.queues[classLong].count > 0 {
			longUnits = max(longUnits, guaranteedLongFraction*capacity)
		}
		return capacity - min(longUnits, maxLongFraction*capacity)
	}
	if svc.queues[classShort].count > 0 {
		return guaranteedLongFraction * capacity
	}
	return max(guaranteedLongFraction*capacity, min(maxLongFraction*capacity, capacity-r.units[classShort]))
}
