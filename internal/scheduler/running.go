package scheduler

import "time"

// overrunFactor times the prediction makes a running task count as long.
const overrunFactor = 4

// runningWork adds up the running tasks of one service.
type runningWork struct {
	count int
	// units is the room that tasks of a class hold; an overrun task counts as long.
	units [classes]float64
	// startedLong is the room of the tasks that started as long ones. Only it counts against the part that long work
	// is sure to get, so that stragglers among short tasks do not starve long work.
	startedLong float64
	overran     int
	// overranUnits is room that is not expected back soon.
	overranUnits float64
	// ends adds up the predicted ends, in seconds since the scheduler's base times units, of the tasks in time.
	ends, inTimeUnits, inTimeWork [classes]float64
	// lateWork adds up the remaining work assumed for late tasks: once more the prediction.
	lateWork [classes]float64
}

// remaining is the predicted remaining work of the running tasks of a class, and the part of it that is expected when
// tasks have started evenly over time.
func (r *runningWork) remaining(c class, now float64) (work, evenly float64) {
	return max(r.ends[c]-now*r.inTimeUnits[c], 0) + r.lateWork[c], r.inTimeWork[c]/2 + r.lateWork[c]
}

func (s *Scheduler) seconds(t time.Time) float64 { return t.Sub(s.base).Seconds() }

func (s *Scheduler) countInTime(e *entry, sign float64) {
	r, c := &e.svc.running, e.class
	r.ends[c] += sign * e.units * s.seconds(e.started.Add(e.predicted))
	r.inTimeUnits[c] += sign * e.units
	r.inTimeWork[c] += sign * e.units * e.predicted.Seconds()
}

func (s *Scheduler) beginRunning(now time.Time, e *entry) {
	r := &e.svc.running
	e.state, e.started, e.phase = stateRunning, now, phaseInTime
	e.predicted = max(e.kind.predict(&e.Task), time.Millisecond)
	r.count++
	s.running++
	e.team.quota.Running++
	r.units[e.class] += e.units
	if e.class == classLong {
		r.startedLong += e.units
	}
	s.countInTime(e, 1)
	e.nextPhase = now.Add(e.predicted)
	s.phases.Push(e)
}

func (s *Scheduler) endRunning(e *entry) {
	r := &e.svc.running
	r.count--
	s.running--
	e.team.quota.Running--
	if e.phaseIdx >= 0 {
		s.phases.Remove(e.phaseIdx)
	}
	if e.class == classLong {
		r.startedLong -= e.units
	}
	holds := e.class
	switch e.phase {
	case phaseInTime:
		s.countInTime(e, -1)
	case phaseLate:
		r.lateWork[e.class] -= e.units * e.predicted.Seconds()
	case phaseOverran:
		holds = classLong
		r.overran--
		r.overranUnits -= e.units
	}
	r.units[holds] -= e.units
	if r.count == 0 {
		*r = runningWork{} // drops rounding errors
	}
}

// advancePhases moves the running tasks that are later than predicted to their next phase.
func (s *Scheduler) advancePhases(now time.Time) {
	for s.phases.Len() > 0 && !now.Before(s.phases.Top().nextPhase) {
		e := s.phases.Pop()
		r, work := &e.svc.running, e.units*e.predicted.Seconds()
		if e.phase == phaseInTime {
			s.countInTime(e, -1)
			e.phase = phaseLate
			r.lateWork[e.class] += work
			e.nextPhase = e.started.Add(overrunFactor * e.predicted)
			s.phases.Push(e)
			continue
		}
		e.phase = phaseOverran
		r.lateWork[e.class] -= work
		r.units[e.class] -= e.units
		r.units[classLong] += e.units
		r.overran++
		r.overranUnits += e.units
	}
}
