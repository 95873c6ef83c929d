package scheduler

import "time"

const (
	// longCap is the part of the slots that long tasks may hold: short work that arrives cannot take a slot back.
	longCap = 0.75
	// longPart is the part of the slots that long work gets whenever it waits, so that it does not starve.
	longPart = 0.25
	// fewSlots is the number of slots below which a quarter of them is less than one; classes then take turns.
	fewSlots = 4
	// skippedTeams bounds how many teams are passed over when their next task does not fit any worker now.
	skippedTeams = 4
	// reserveAfter is the wait after which a worker is kept free for a task that does not fit, so that small tasks cannot
	// starve a large one. It is also how long one worker is kept: a straggler there must not hold the task up.
	reserveAfter = time.Second
)

// Next returns the next start, if a task may start now.
func (s *Scheduler) Next(now time.Time) (Start, bool) {
	s.advance(now)
	if s.baseline != nil {
		return s.nextBaseline(now)
	}
	for f := s.ready.Least(); f != nil; f = s.ready.Least() {
		svc := f.Owner
		e := s.pick(now, svc)
		if e == nil {
			s.ready.Leave(f)
			continue
		}
		s.ready.Charge(f, e.cost())
		return s.start(now, e), true
	}
	return Start{}, false
}

func (e *entry) cost() float64 { return e.units * max(e.predicted, time.Millisecond).Seconds() }

// start records that an entry, already placed, starts.
func (s *Scheduler) start(now time.Time, e *entry) Start {
	s.waiting--
	s.compactExpiry()
	if e.first {
		e.svc.budget.Attempt()
	}
	if e.predictedWait >= 0 {
		s.wait.Add(e.predictedWait, now.Sub(e.admitted))
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
	slots := s.slots(svc)
	moved := s.moved
	e := s.pickByClass(now, svc, slots)
	if e == nil && s.moved != moved {
		// A task that was found to be of the other class may start there.
		e = s.pickByClass(now, svc, slots)
	}
	return e
}

func (s *Scheduler) pickByClass(now time.Time, svc *service, slots float64) *entry {
	first, second := classShort, classLong
	if svc.longFirst(slots) {
		first, second = second, first
	}
	for _, c := range [...]class{first, second} {
		if c == classLong && !svc.mayStartLong(slots) {
			continue
		}
		if e := s.pickClass(now, svc, c); e != nil {
			svc.lastLong = c == classLong
			return e
		}
	}
	return nil
}

// slots is the room of the service's servers in units: slots of backend servers, or cores of workers.
func (s *Scheduler) slots(svc *service) float64 {
	ask := Resources{}
	if svc.OnWorkers {
		ask.Millicores = millicoresPerUnit
	}
	room, _ := s.placer.Room(svc.Name, svc.OnWorkers, ask)
	return room
}

func (svc *service) longFirst(slots float64) bool {
	if slots < fewSlots && svc.lastLong {
		return false
	}
	return svc.running.startedLong < longPart*slots
}

func (svc *service) mayStartLong(slots float64) bool {
	return svc.running.startedLong <= 0 || svc.running.units[classLong]+1 <= longCap*slots
}

// pickClass serves the team with the least share of a class whose next task can start.
func (s *Scheduler) pickClass(now time.Time, svc *service, c class) *entry {
	shares := svc.queues[c].shares
	var passed [skippedTeams]*team
	n := 0
	var found *entry
	for f := shares.Least(); f != nil; f = shares.Least() {
		t := f.Owner
		if t.quota.Full() {
			shares.Leave(f) // resumes when one of the team's tasks ends
			continue
		}
		e := s.head(now, svc, t, c)
		if e == nil {
			continue // head has ended the team's waiting
		}
		if slot, ok := s.placer.PlaceApart(svc.Name, svc.OnWorkers, e.ask, e.racks); ok {
			e.slot = slot
			s.dequeue(e)
			found = e
			break
		}
		if !svc.OnWorkers || n == len(passed) {
			break
		}
		if now.Sub(e.admitted) > reserveAfter {
			s.reserve(now, e)
		}
		passed[n] = t
		n++
		shares.Leave(f)
	}
	for _, t := range passed[:n] {
		shares.Join(t.queues[c].flow)
	}
	return found
}

// dequeue removes the head of a team's queue and charges the team's share.
func (s *Scheduler) dequeue(e *entry) {
	svc, c := e.svc, e.class
	tq := &e.team.queues[c]
	if svc.reservation.entry == e {
		s.endReservation(svc)
	}
	tq.heap.Pop()
	tq.queued--
	svc.count(e, -1)
	e.state = stateRunning
	e.predicted = e.kind.predict(&e.Task)
	svc.queues[c].shares.Charge(tq.flow, e.cost())
	if tq.queued == 0 {
		svc.queues[c].shares.Leave(tq.flow)
	}
}

// head returns the team's next task of a class. It drops marked entries and those that cannot end in time, and moves
// those whose class has changed since they were queued.
func (s *Scheduler) head(now time.Time, svc *service, t *team, c class) *entry {
	tq := &t.queues[c]
	for tq.heap.Len() > 0 {
		e := tq.heap.Top().entry
		switch {
		case e.state != stateQueued || e.class != c:
			tq.heap.Pop()
		case !s.inTime(now, e):
			s.drop(e)
		case e.kind.class() != c:
			tq.heap.Pop()
			s.reclassify(e)
		default:
			return e
		}
	}
	svc.queues[c].shares.Leave(tq.flow)
	return nil
}

func (s *Scheduler) reclassify(e *entry) {
	s.moved++
	tq := &e.team.queues[e.class]
	tq.queued--
	e.svc.count(e, -1)
	if tq.queued == 0 {
		e.svc.queues[e.class].shares.Leave(tq.flow)
	}
	e.class = e.kind.class()
	e.svc.count(e, 1)
	e.svc.push(e)
}

// inTime reports whether a queued task may still end before its deadline. Nine of ten runs must be in time: a run that
// is not ends as unknown and its slot's time is lost. Only of a task whose timeout is shorter than that, half must be.
// An old prediction is not trusted, so that a service that became quicker is noticed.
func (s *Scheduler) inTime(now time.Time, e *entry) bool {
	at := now.UnixNano()
	if at >= e.deadline {
		return false
	}
	if e.svc.QueueOnOverload || e.kind.stat.Stale(now) {
		return true
	}
	need := int64(e.kind.stat.Tail())
	if e.deadline-e.admitted.UnixNano() < need {
		need = int64(e.kind.stat.Median())
	}
	return e.deadline-at >= need
}
