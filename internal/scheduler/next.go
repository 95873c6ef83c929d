package scheduler

import "time"

const (
	// maxLongFraction is the part of the slots that long tasks may hold. The rest stays free for short tasks that
	// arrive later, because running long tasks are not preempted.
	maxLongFraction = 0.75
	// guaranteedLongFraction is the part of the slots that long tasks get whenever some wait, so that they do not
	// starve.
	guaranteedLongFraction = 0.25
	// alternateBelowSlots is the number of slots below which guaranteedLongFraction is less than one slot; the
	// classes then take turns.
	alternateBelowSlots = 4
	// maxSkippedTeams limits how many teams are skipped because their next task does not fit any worker now.
	maxSkippedTeams = 4
	// reserveAfter is the wait after which a worker is reserved for a task that does not fit, so that small tasks
	// cannot starve a large one. It is also how long the reservation lasts: a straggler on that worker must not
	// delay the task for longer.
	reserveAfter = time.Second
)

// Next returns the next task to start and its server, if any task may start now.
func (s *Scheduler) Next(now time.Time) (Start, bool) {
	s.advance(now)
	if s.startsEnded(now) {
		return Start{}, false
	}
	if s.baseline != nil {
		return s.nextBaseline(now)
	}
	for f := s.readyServices.Next(); f != nil; f = s.readyServices.Next() {
		svc := f.Owner
		e := s.pick(now, svc)
		if e == nil {
			s.readyServices.Remove(f)
			continue
		}
		s.readyServices.Charge(f, e.cost())
		return s.start(now, e), true
	}
	return Start{}, false
}

// cost returns the predicted service time of an entry in seconds times units, which its fair shares are charged.
func (e *entry) cost() float64 { return e.units * max(e.predictedRunTime, time.Millisecond).Seconds() }

// start does the bookkeeping for an entry that was placed on a server and is about to start.
func (s *Scheduler) start(now time.Time, e *entry) Start {
	s.waitingCount--
	s.compactDeadlineHeap()
	if e.firstAttempt {
		e.svc.retryBudget.RecordFirstAttempt()
	}
	if e.predictedWait >= 0 {
		s.waitError.Add(e.predictedWait, now.Sub(e.admittedAt))
	}
	s.beginRunning(now, e)
	sv := e.slot.Server
	return Start{Task: e.Task, Server: sv.Name, Address: sv.Address}
}

// pick places and dequeues the service's next task, or returns nil when none can start now.
func (s *Scheduler) pick(now time.Time, svc *service) *entry {
	if svc.queued() == 0 {
		return nil
	}
	if e := s.pickReserved(now, svc); e != nil {
		return e
	}
	capacity := s.totalCapacity(svc)
	reclassified := s.reclassified
	e := s.pickByClass(now, svc, capacity)
	if e == nil && s.reclassified != reclassified {
		// A task that was moved to the other class may be able to start there.
		e = s.pickByClass(now, svc, capacity)
	}
	return e
}

// pickByClass picks the next task of the class that is due first, or else one of the other class.
func (s *Scheduler) pickByClass(now time.Time, svc *service, capacity float64) *entry {
	first, second := classShort, classLong
	if svc.longFirst(capacity) {
		first, second = second, first
	}
	for _, c := range [...]class{first, second} {
		if c == classLong && !svc.mayStartLong(capacity) {
			continue
		}
		if e := s.pickClass(now, svc, c); e != nil {
			svc.lastStartLong = c == classLong
			return e
		}
	}
	return nil
}

// totalCapacity returns the capacity of the service's servers in units: slots of backend servers, or cores of
// workers.
func (s *Scheduler) totalCapacity(svc *service) float64 {
	ask := Resources{}
	if svc.OnWorkers {
		ask.Millicores = millicoresPerUnit
	}
	capacity, _ := s.placer.Capacity(svc.Name, svc.OnWorkers, ask)
	return capacity
}

// longFirst reports whether a long task should start before short ones, because long tasks hold less than the part
// that is guaranteed to them. With few slots the classes take turns.
func (svc *service) longFirst(capacity float64) bool {
	if capacity < alternateBelowSlots && svc.lastStartLong {
		return false
	}
	return svc.running.startedAsLong < guaranteedLongFraction*capacity
}

// mayStartLong reports whether another long task stays within maxLongFraction. One long task may always run.
func (svc *service) mayStartLong(capacity float64) bool {
	return svc.running.startedAsLong <= 0 || svc.running.units[classLong]+1 <= maxLongFraction*capacity
}

// pickClass picks the next task of a class: that of the team with the least use of its share whose next task can
// start.
func (s *Scheduler) pickClass(now time.Time, svc *service, c class) *entry {
	shares := svc.queues[c].shares
	var skipped [maxSkippedTeams]*team
	n := 0
	var picked *entry
	for f := shares.Next(); f != nil; f = shares.Next() {
		t := f.Owner
		if t.quota.Full() {
			shares.Remove(f) // added again when one of the team's tasks ends
			continue
		}
		e := s.head(now, svc, t, c)
		if e == nil {
			continue // head has removed the team from the shares
		}
		if slot, ok := s.placer.PlaceSpread(svc.Name, svc.OnWorkers, e.ask, e.tasksByRack); ok {
			e.slot = slot
			s.dequeue(e)
			picked = e
			break
		}
		if !svc.OnWorkers || n == len(skipped) {
			break
		}
		if now.Sub(e.admittedAt) > reserveAfter {
			s.reserve(now, e)
		}
		skipped[n] = t
		n++
		shares.Remove(f)
	}
	for _, t := range skipped[:n] {
		shares.Add(t.queues[c].flow)
	}
	return picked
}

// dequeue removes the entry at the head of its team's queue and charges the team's share for it.
func (s *Scheduler) dequeue(e *entry) {
	svc, c := e.svc, e.class
	tq := &e.team.queues[c]
	if svc.reservation.entry == e {
		s.endReservation(svc)
	}
	tq.heap.Pop()
	tq.queued--
	svc.countWaiting(e, -1)
	e.state = stateRunning
	e.predictedRunTime = e.taskType.predictRunTime(&e.Task)
	svc.queues[c].shares.Charge(tq.flow, e.cost())
	if tq.queued == 0 {
		svc.queues[c].shares.Remove(tq.flow)
	}
}

// head returns the team's next task of a class. It discards stale heap entries, drops tasks that cannot end in time,
// and moves tasks whose class has changed since they were queued.
func (s *Scheduler) head(now time.Time, svc *service, t *team, c class) *entry {
	tq := &t.queues[c]
	for tq.heap.Len() > 0 {
		e := tq.heap.Top().entry
		switch {
		case e.state != stateQueued || e.class != c:
			tq.heap.Pop()
		case !s.canMeetDeadline(now, e):
			s.drop(e)
		case e.taskType.class() != c:
			tq.heap.Pop()
			s.reclassify(e)
		default:
			return e
		}
	}
	svc.queues[c].shares.Remove(tq.flow)
	return nil
}

// reclassify moves a queued entry whose heap item has been removed to the queue of its current class.
func (s *Scheduler) reclassify(e *entry) {
	s.reclassified++
	tq := &e.team.queues[e.class]
	tq.queued--
	e.svc.countWaiting(e, -1)
	if tq.queued == 0 {
		e.svc.queues[e.class].shares.Remove(tq.flow)
	}
	e.class = e.taskType.class()
	e.svc.countWaiting(e, 1)
	e.svc.push(e)
}

// canMeetDeadline reports whether a queued task may still end before its deadline. The 90th percentile of the run
// time must fit: a task that misses its deadline ends with an unknown outcome and its slot time is lost. For a task
// whose whole timeout is shorter than that, the median must fit. An outdated prediction is not applied, so that a
// service that became faster is noticed.
func (s *Scheduler) canMeetDeadline(now time.Time, e *entry) bool {
	nowNanos := now.UnixNano()
	if nowNanos >= e.deadline {
		return false
	}
	if e.svc.QueueOnOverload || e.taskType.runTimes.Stale(now) {
		return true
	}
	needed := int64(e.taskType.runTimes.P90())
	if e.deadline-e.admittedAt.UnixNano() < needed {
		needed = int64(e.taskType.runTimes.Median())
	}
	return e.deadline-nowNanos >= needed
}
