package scheduler

import (
	"time"

	"clementineyard/internal/estimator"
	"clementineyard/wire"
)

const (
	defaultMaxQueued = 100_000
	// leastRetry is the shortest advice to a refused caller.
	leastRetry = 10 * time.Millisecond
	// waitFactor times the predicted wait behind other jobs must fit before the deadline. The estimate is off by up to its
	// own size when the demand changes; without the margin a task near the limit waits until its deadline and is refused
	// only then. With 1.5 a simulated demand peak kept the slots busy for 93% of the time, with 2 for 95%.
	waitFactor = 2
)

// admission is what the check of one job accumulates.
type admission struct {
	now time.Time
	// work is computed once per service and class.
	svc  *service
	work [classes]float64
	// jobWork and jobUnits are what the job itself adds ahead of its later tasks.
	jobWork, jobUnits [classes]float64
	jobCount          int
	// capacity of the last ask, which is mostly that of the next task too.
	ask      Resources
	capacity float64
}

// Admit queues all tasks of a job or none of them. It refuses a job whose last task would be late.
func (s *Scheduler) Admit(now time.Time, tasks []Task) *Refusal {
	s.advance(now)
	a := admission{now: now}
	var space [1]time.Duration
	waits := space[:0]
	if len(tasks) > len(space) {
		waits = make([]time.Duration, 0, len(tasks))
	}
	for i := range tasks {
		wait, refusal := s.check(&a, &tasks[i])
		if refusal != nil {
			s.refused[refusal.Reason]++
			return refusal
		}
		waits = append(waits, wait)
	}
	var racks map[string]int
	if len(tasks) > 1 && a.svc != nil && a.svc.OnWorkers {
		racks = map[string]int{}
	}
	for i := range tasks {
		svc := s.services[tasks[i].Service]
		e := s.newEntry(now, svc, svc.kinds[tasks[i].Name], tasks[i], true)
		if s.baseline == nil {
			e.predictedWait = waits[i]
		}
		e.racks = racks
		s.insert(e)
	}
	return nil
}

// check refuses a task, or returns its predicted wait.
func (s *Scheduler) check(a *admission, t *Task) (time.Duration, *Refusal) {
	svc := s.services[t.Service]
	if svc == nil {
		return 0, &Refusal{Reason: wire.Reason_REASON_UNKNOWN_SERVICE}
	}
	k := svc.kinds[t.Name]
	if k == nil {
		return 0, &Refusal{Reason: wire.Reason_REASON_UNKNOWN_TASK}
	}
	if s.baseline != nil {
		return 0, nil
	}
	ask := askOf(svc, k, t)
	if svc != a.svc || ask != a.ask {
		if r := s.enter(a, svc, ask); r != nil {
			return 0, r
		}
	}
	if svc.quota(t.Team) == 0 {
		return 0, &Refusal{Reason: wire.Reason_REASON_QUOTA_EXCEEDED}
	}
	return s.checkWait(a, k, t)
}

// enter prepares the admission for tasks of a service with an ask.
func (s *Scheduler) enter(a *admission, svc *service, ask Resources) *Refusal {
	if !s.placer.Known(svc.Name, svc.OnWorkers) {
		return &Refusal{Reason: wire.Reason_REASON_NO_SERVER}
	}
	if !s.placer.Fits(svc.Name, svc.OnWorkers, ask) {
		return &Refusal{Reason: wire.Reason_REASON_NEVER_FITS}
	}
	if svc != a.svc {
		*a = admission{now: a.now, svc: svc}
		for c := range classes {
			a.work[c] = svc.work(c)
		}
	}
	a.ask = ask
	a.capacity = s.capacity(svc, ask)
	return nil
}

// capacity is the room in units that the service can use for tasks with this ask.
func (s *Scheduler) capacity(svc *service, ask Resources) float64 {
	room, all := s.placer.Room(svc.Name, svc.OnWorkers, ask)
	// Services that share servers get equal parts when both wait.
	room = max(room-float64(max(all-svc.running.count, 0)), room/2)
	if svc.OnWorkers {
		room *= units(ask)
	}
	return room - svc.running.overranUnits
}

func (s *Scheduler) checkWait(a *admission, k *kind, t *Task) (time.Duration, *Refusal) {
	svc, c := a.svc, k.class()
	predicted := k.predict(t)
	u := 1.0
	if svc.OnWorkers {
		u = units(a.ask)
	}
	wait, own, byQuota := s.predictWait(a, c, t.Team, u)
	a.jobWork[c] += u * predicted.Seconds()
	a.jobUnits[c] += u
	a.jobCount++
	limit := svc.MaxQueued
	if limit <= 0 {
		limit = defaultMaxQueued
	}
	if svc.queued()+a.jobCount > limit {
		return 0, s.refusal(wire.Reason_REASON_QUEUE_FULL, wait)
	}
	if svc.QueueOnOverload || t.Deadline.IsZero() {
		return wait, nil
	}
	left := t.Deadline.Sub(a.now)
	run := trusted(a.now, k, predicted)
	if wait > 0 && !k.stat.Stale(a.now) {
		run = max(run, k.stat.Tail())
	}
	if own+waitFactor*(wait-own)+run <= left {
		return wait, nil
	}
	if byQuota {
		return 0, s.refusal(wire.Reason_REASON_QUOTA_EXCEEDED, wait)
	}
	return 0, s.refusal(wire.Reason_REASON_DEADLINE_UNREACHABLE, wait)
}

// trusted is the run time that a refusal may rest on. Declared sizes are often far off, and an old prediction must be
// checked by an attempt now and then, or a task once thought too slow would never run again.
func trusted(now time.Time, k *kind, predicted time.Duration) time.Duration {
	switch {
	case !k.stat.Learned():
		return min(predicted, estimator.DefaultRunTime)
	case k.stat.Stale(now):
		return 0
	default:
		return predicted
	}
}

func (s *Scheduler) refusal(reason wire.Reason, wait time.Duration) *Refusal {
	drain := max(wait, leastRetry)
	return &Refusal{
		Reason: reason, EstimatedWait: wait,
		// A caller in three is back after each further drain time, instead of all at once.
		RetryAfter: drain + time.Duration(s.rng.Int64N(int64(2*drain)+1)),
	}
}

// predictWait estimates how long a task of u units waits behind the predicted work ahead of it in its class and in its
// team's share. own is the part of the wait that is behind tasks of the same job. byQuota is true when the team's quota
// decides.
func (s *Scheduler) predictWait(a *admission, c class, name string, u float64) (wait, own time.Duration, byQuota bool) {
	svc := a.svc
	q := &svc.queues[c]
	slots := max(svc.classSlots(c, a.capacity), u)
	ahead, aheadUnits := a.work[c]+a.jobWork[c], q.units+a.jobUnits[c]
	var teamAhead, byQuotaWait float64
	teamUnits := a.jobUnits[c]
	weight, weights, running := svc.weight(name), q.shares.Weights(), 0
	if t := svc.teams[name]; t != nil {
		running = t.quota.Running
		teamUnits += t.queues[c].units
		if q.units > 0 {
			teamAhead = a.work[c] * t.queues[c].units / q.units
		}
		if t.queues[c].flow.Waiting() {
			weights -= weight
		}
	}
	teamAhead += a.jobWork[c]
	if limit := svc.quota(name); limit > 0 && float64(running)+teamUnits/u >= float64(limit) {
		byQuotaWait = teamAhead / (float64(limit) * u)
	}
	free := slots - svc.running.units[c]
	if c == classLong {
		free += svc.running.overranUnits // the slots have been reduced by these already
	}
	if aheadUnits+u <= free && byQuotaWait == 0 {
		return 0, 0, false
	}
	work := min(ahead, teamAhead*(weights+weight)/weight)
	// Running tasks that started evenly over time free slots evenly too. Only what remains beyond that delays.
	remaining, evenly := svc.running.remaining(c, s.seconds(a.now))
	seconds := (work + max(remaining-evenly, 0)) / slots
	if byQuotaWait > seconds {
		return inSeconds(byQuotaWait), inSeconds(a.jobWork[c] / (float64(svc.quota(name)) * u)), true
	}
	return inSeconds(seconds), inSeconds(min(a.jobWork[c]/slots, seconds)), false
}

func inSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// classSlots is the room that a class can expect of the given capacity.
func (svc *service) classSlots(c class, capacity float64) float64 {
	r := &svc.running
	long := r.units[classLong] - r.overranUnits
	if c == classShort {
		if svc.queues[classLong].count > 0 {
			long = max(long, longPart*capacity)
		}
		return capacity - min(long, longCap*capacity)
	}
	if svc.queues[classShort].count > 0 {
		return longPart * capacity
	}
	return max(longPart*capacity, min(longCap*capacity, capacity-r.units[classShort]))
}
