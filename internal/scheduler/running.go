package scheduler

import "time"

// overrunFactor times its predicted run time makes a running task count as long.
const overrunFactor = 4

// runningWork holds sums over the running tasks of one service.
type runningWork struct {
	count int
	// units is the capacity that tasks of a class hold; a task that has overrun counts as long.
	units [numClasses]float64
	// startedAsLong is the capacity held by tasks that started as long ones, in units. Only it counts against the
	// part guaranteed to long tasks, so that stragglers among short tasks do not starve long ones.
	startedAsLong float64
	overrunCount  int
	// overrunUnits is the capacity held by tasks that have overrun. It is not expected to become free soon.
	overrunUnits float64
	// predictedEnds sums units times the predicted end, in seconds since timeOrigin, of the tasks that are on time.
	// onTimeUnits and onTimeWork sum their units and their predicted work.
	predictedEnds, onTimeUnits, onTimeWork [numClasses]float64
	// overdueWork is the remaining work assumed for overdue tasks: their predicted work once more.
	overdueWork [numClasses]float64
}

// remaining returns the predicted remaining work of the running tasks of a class, and the remaining work that is
// expected in the steady state, when the starts of the tasks were spread evenly over time.
func (r *runningWork) remaining(c class, now float64) (work, steadyState float64) {
	return max(r.predictedEnds[c]-now*r.onTimeUnits[c], 0) + r.overdueWork[c], r.onTimeWork[c]/2 + r.overdueWork[c]
}

// sinceOrigin returns a time in seconds since timeOrigin.
func (s *Scheduler) sinceOrigin(t time.Time) float64 { return t.Sub(s.timeOrigin).Seconds() }

// countOnTime adds an entry to the sums of the tasks that are on time, or removes it with sign -1.
func (s *Scheduler) countOnTime(e *entry, sign float64) {
	r, c := &e.svc.running, e.class
	r.predictedEnds[c] += sign * e.units * s.sinceOrigin(e.startedAt.Add(e.predictedRunTime))
	r.onTimeUnits[c] += sign * e.units
	r.onTimeWork[c] += sign * e.units * e.predictedRunTime.Seconds()
}

// beginRunning adds a started entry to the running tasks and schedules its next phase.
func (s *Scheduler) beginRunning(now time.Time, e *entry) {
	r := &e.svc.running
	e.state, e.startedAt, e.phase = stateRunning, now, phaseOnTime
	e.predictedRunTime = max(e.taskType.predictRunTime(&e.Task), time.Millisecond)
	r.count++
	s.runningCount++
	e.team.quota.Running++
	r.units[e.class] += e.units
	if e.class == classLong {
		r.startedAsLong += e.units
	}
	s.countOnTime(e, 1)
	e.nextPhaseAt = now.Add(e.predictedRunTime)
	s.phaseHeap.Push(e)
}

// endRunning removes an entry from the running tasks, in the phase that it has reached.
func (s *Scheduler) endRunning(e *entry) {
	r := &e.svc.running
	r.count--
	s.runningCount--
	e.team.quota.Running--
	if e.phaseIndex >= 0 {
		s.phaseHeap.Remove(e.phaseIndex)
	}
	if e.class == classLong {
		r.startedAsLong -= e.units
	}
	countedClass := e.class
	switch e.phase {
	case phaseOnTime:
		s.countOnTime(e, -1)
	case phaseOverdue:
		r.overdueWork[e.class] -= e.units * e.predictedRunTime.Seconds()
	case phaseOverrun:
		countedClass = classLong
		r.overrunCount--
		r.overrunUnits -= e.units
	}
	r.units[countedClass] -= e.units
	if r.count == 0 {
		*r = runningWork{} // discards rounding errors
	}
}

// advancePhases moves the running tasks that are past their predicted run time to their next phase.
func (s *Scheduler) advancePhases(now time.Time) {
	for s.phaseHeap.Len() > 0 && !now.Before(s.phaseHeap.Top().nextPhaseAt) {
		e := s.phaseHeap.Pop()
		r, work := &e.svc.running, e.units*e.predictedRunTime.Seconds()
		if e.phase == phaseOnTime {
			s.countOnTime(e, -1)
			e.phase = phaseOverdue
			r.overdueWork[e.class] += work
			e.nextPhaseAt = e.startedAt.Add(overrunFactor * e.predictedRunTime)
			s.phaseHeap.Push(e)
			continue
		}
		e.phase = phaseOverrun
		r.overdueWork[e.class] -= work
		r.units[e.class] -= e.units
		r.units[classLong] += e.units
		r.overrunCount++
		r.overrunUnits += e.units
	}
}
