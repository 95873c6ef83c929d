package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"clementineyard/internal/estimator"
	"clementineyard/internal/limiter"
	"clementineyard/internal/placer"
	"clementineyard/internal/sorter"
	"clementineyard/wire"
)

// recheckInterval is the longest time after which a service that could not start a task is tried again although no
// event was reported for it. It bounds the delay after a change that only the passage of time causes, such as a task
// that overruns its prediction.
const recheckInterval = time.Millisecond

// Scheduler admits, orders and places the tasks of one failure domain. It is not safe for concurrent use.
type Scheduler struct {
	cfg       Config
	rng       *rand.Rand
	estimator *estimator.Estimator
	placer    *placer.Placer
	services  map[string]*service
	// orderedServices holds the services in the order of Configure, so that runs are reproducible.
	orderedServices []*service
	// readyServices shares the starts fairly between the services that may have a task to start and capacity for it.
	readyServices *limiter.FairQueue[*service]
	tasks         map[uint64]*entry
	// deadlineHeap orders the waiting tasks by deadline. Entries of started and cancelled tasks are removed lazily:
	// when they reach the top, or when they make up half of the heap.
	deadlineHeap *sorter.Heap[heapItem]
	waitingCount int
	// dropped holds the tasks that were removed from the queue and that the next Expire reports.
	dropped []*entry
	// phaseHeap orders the running tasks by the time at which they enter their next phase.
	phaseHeap    *sorter.Heap[*entry]
	runningCount int
	// lastSequence is the sequence of the entry that was admitted last.
	lastSequence uint64
	// reclassified counts the tasks that changed their class while they waited.
	reclassified uint64
	// timeOrigin is the time of the first call that passed one; predicted ends are kept in seconds since then.
	timeOrigin time.Time
	// lastRecheck is the time at which all services were last marked ready by advance.
	lastRecheck time.Time
	refused     map[wire.Reason]uint64
	waitError   estimator.WaitError
	baseline    *baseline
	// evacuated is true while the failure domain is evacuated; tasks may start until evacuationGraceEnd.
	evacuated          bool
	evacuationGraceEnd time.Time
}

// New returns an empty Scheduler.
func New(cfg Config) *Scheduler {
	s := &Scheduler{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(cfg.Seed, 1)),
		estimator:     estimator.New(),
		placer:        placer.New(placer.Config{Seed: cfg.Seed, Load: cfg.Load, NoQuarantine: cfg.Policy == PolicyBaseline}),
		services:      map[string]*service{},
		readyServices: limiter.NewFairQueue[*service](),
		tasks:         map[uint64]*entry{},
		deadlineHeap:  sorter.New(earlierDeadline, nil),
		phaseHeap: sorter.New(
			func(a, b *entry) bool { return a.nextPhaseAt.Before(b.nextPhaseAt) },
			func(e *entry, i int) { e.phaseIndex = i },
		),
		refused: map[wire.Reason]uint64{},
	}
	if cfg.Policy == PolicyBaseline {
		s.baseline = newBaseline(s.placer)
	}
	return s
}

// Configure replaces the configured services. Queued tasks of a service that was removed are reported by the next
// Expire.
func (s *Scheduler) Configure(services []Service) {
	configured := make(map[string]bool, len(services))
	s.orderedServices = s.orderedServices[:0]
	for _, spec := range services {
		configured[spec.Name] = true
		svc := s.services[spec.Name]
		if svc == nil {
			svc = newService()
			s.services[spec.Name] = svc
		}
		svc.configure(spec, s)
		s.orderedServices = append(s.orderedServices, svc)
	}
	anyRemoved := false
	for name, svc := range s.services {
		if !configured[name] {
			anyRemoved = true
			svc.removed = true
			s.readyServices.Remove(svc.flow)
			s.endReservation(svc)
			delete(s.services, name)
		}
	}
	if anyRemoved {
		s.dropOrphans()
		s.estimator.Retain(func(name string) bool { return configured[name] })
	}
	s.markAllReady()
}

// dropOrphans drops the waiting tasks of removed services, in the order of their ids so that runs are reproducible.
func (s *Scheduler) dropOrphans() {
	var orphans []*entry
	for _, e := range s.tasks {
		if e.svc.removed && e.isWaiting() {
			orphans = append(orphans, e)
		}
	}
	slices.SortFunc(orphans, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range orphans {
		s.drop(e)
	}
}

// Announce adds, renews or removes a server.
func (s *Scheduler) Announce(now time.Time, a Announcement) {
	s.placer.Announce(now, a)
	s.markServedReady(&a)
}

// TakeOver is called when this entry VM becomes the owner. The tasks that servers reported as running, minus the
// owner's own, count as occupied slots until each server's next announcement.
func (s *Scheduler) TakeOver(time.Time) { s.placer.TakeOver() }

// Release allows a held task to start.
func (s *Scheduler) Release(id uint64) {
	e := s.tasks[id]
	if e == nil || e.state != stateHeld {
		return
	}
	s.enqueue(e)
}

// enqueue makes an entry that is already counted as waiting available to start.
func (s *Scheduler) enqueue(e *entry) {
	if s.baseline != nil {
		s.baseline.enqueue(e)
		return
	}
	e.svc.push(e)
	s.markReady(e.svc)
}

// NonIdempotent reports whether a type of task is marked as not idempotent.
func (s *Scheduler) NonIdempotent(service, task string) bool {
	if svc := s.services[service]; svc != nil && svc.taskTypes[task] != nil {
		return svc.taskTypes[task].NonIdempotent
	}
	return false
}

// Finish frees the slot of a started task and learns from its result.
func (s *Scheduler) Finish(now time.Time, id uint64, r Result) {
	e := s.tasks[id]
	if e == nil || e.state != stateRunning {
		return
	}
	delete(s.tasks, id)
	s.endRunning(e)
	outcome := e.serverOutcome(now, r)
	if outcome == placer.Succeeded && s.baseline == nil {
		e.taskType.runTimes.Learn(now, r.RunTime)
	}
	server := e.slot.Server
	if r.MayStillRun {
		s.placer.Abandon(now, e.slot, outcome)
	} else {
		s.placer.Release(now, e.slot, outcome)
	}
	if s.baseline != nil {
		s.baseline.markReady(server)
		return
	}
	e.svc.resumeTeam(e.team)
	s.markReady(e.svc)
	s.markServedReady(&server.Announcement)
}

// serverOutcome derives from a task's result the outcome that counts for its server. A task that was cancelled, or
// whose deadline came before it could be expected to end, counts neither for nor against the server.
func (e *entry) serverOutcome(now time.Time, r Result) placer.Outcome {
	const runTimeFactor = 2 // times the predicted run time
	switch {
	case e.cancelled:
		return placer.Ignored
	case !r.Failed && !r.NotStarted:
		return placer.Succeeded
	case !r.NotStarted && now.UnixNano() >= e.deadline && r.RunTime < runTimeFactor*e.predictedRunTime:
		return placer.Ignored
	default:
		return placer.Failed
	}
}

// Requeue puts a started task that provably did not run back in the queue, ahead of tasks with the same deadline, if
// the retry budget allows it. It reports whether the task is queued again.
func (s *Scheduler) Requeue(now time.Time, t Task) bool {
	svc := s.services[t.Service]
	if s.startsEnded(now) || svc == nil || svc.taskTypes[t.Name] == nil || s.tasks[t.ID] != nil || !now.Before(effectiveDeadline(&t, now)) {
		return false
	}
	if !svc.retryBudget.TakeRetry() {
		return false
	}
	t.Held = false
	s.insert(s.newEntry(now, svc, svc.taskTypes[t.Name], t, false))
	return true
}

// effectiveDeadline returns the task's deadline, or a time in the future when it has none.
func effectiveDeadline(t *Task, now time.Time) time.Time {
	if t.Deadline.IsZero() {
		return now.Add(time.Hour)
	}
	return t.Deadline
}

// insert adds an entry to the waiting tasks.
func (s *Scheduler) insert(e *entry) {
	s.tasks[e.ID] = e
	s.waitingCount++
	e.svc.countWaiting(e, 1)
	s.deadlineHeap.Push(newHeapItem(e))
	if e.Held {
		e.state = stateHeld
		return
	}
	s.enqueue(e)
}

// Cancel removes a queued task. A running task keeps running; its result then does not count for its server.
func (s *Scheduler) Cancel(_ time.Time, id uint64) CancelState {
	e := s.tasks[id]
	switch {
	case e == nil:
		return CancelUnknown
	case e.state == stateRunning:
		e.cancelled = true
		return CancelRunning
	}
	delete(s.tasks, id)
	if e.state == stateDropped {
		e.state = stateRemoved
	} else {
		s.removeWaiting(e, stateRemoved)
	}
	return CancelQueued
}

// removeWaiting removes a waiting entry from the queue and sets its new state.
func (s *Scheduler) removeWaiting(e *entry, to state) {
	s.waitingCount--
	if e.svc.reservation.entry == e {
		s.endReservation(e.svc)
	}
	if s.baseline != nil {
		e.svc.countWaiting(e, -1)
		e.state = to
	} else {
		e.svc.removeWaiting(e, to)
	}
	s.compactDeadlineHeap()
}

// compactDeadlineHeap removes the entries that no longer wait once they make up half of the heap.
func (s *Scheduler) compactDeadlineHeap() {
	const minCompactLen = 64 // a smaller heap is not worth a pass
	if n := s.deadlineHeap.Len(); n > minCompactLen && 2*s.waitingCount <= n {
		s.deadlineHeap.Filter(func(p heapItem) bool { return p.isWaiting() })
	}
}

func (e *entry) isWaiting() bool { return e.state == stateQueued || e.state == stateHeld }

// drop removes a waiting entry that the next Expire reports.
func (s *Scheduler) drop(e *entry) {
	s.removeWaiting(e, stateDropped)
	s.dropped = append(s.dropped, e)
}

// Expire removes and returns the queued tasks that can no longer start in time.
func (s *Scheduler) Expire(now time.Time) []Expired {
	s.advance(now)
	s.dropEvacuated(now)
	nowNanos := now.UnixNano()
	for s.deadlineHeap.Len() > 0 && s.deadlineHeap.Top().deadline <= nowNanos {
		if e := s.deadlineHeap.Pop().entry; e.isWaiting() {
			s.drop(e)
		}
	}
	var out []Expired
	for _, e := range s.dropped {
		if e.state != stateDropped {
			continue // was cancelled in the meantime
		}
		e.state = stateRemoved
		delete(s.tasks, e.ID)
		out = append(out, Expired{ID: e.ID, Reason: s.expiryReason(e, nowNanos)})
	}
	clear(s.dropped)
	s.dropped = s.dropped[:0]
	return out
}

// expiryReason explains why a waiting task did not start. nowNanos is in nanoseconds since the Unix epoch.
func (s *Scheduler) expiryReason(e *entry, nowNanos int64) wire.Reason {
	switch {
	case e.svc.removed:
		return wire.Reason_REASON_UNKNOWN_SERVICE
	case s.startsEnded(time.Unix(0, nowNanos)):
		return wire.Reason_REASON_EVACUATED
	case !s.placer.HasServer(e.Service, e.svc.OnWorkers):
		return wire.Reason_REASON_NO_SERVER
	case !s.placer.CanEverFit(e.Service, e.svc.OnWorkers, e.ask):
		return wire.Reason_REASON_NEVER_FITS
	case nowNanos < e.deadline:
		return wire.Reason_REASON_DEADLINE_UNREACHABLE
	default:
		return wire.Reason_REASON_DEADLINE_PASSED
	}
}

// Stats returns the queue lengths, the running tasks and the error of the predicted waits.
func (s *Scheduler) Stats() Stats {
	st := Stats{
		Queued: s.waitingCount, Running: s.runningCount, Quarantined: s.placer.Quarantined(), LearnedTaskTypes: s.estimator.Learned(),
		Refused: make(map[wire.Reason]uint64, len(s.refused)), WaitError: s.waitError,
	}
	for _, svc := range s.orderedServices {
		st.QueuedShort += svc.queues[classShort].count
		st.QueuedLong += svc.queues[classLong].count
		st.Overrun += svc.running.overrunCount
	}
	for r, n := range s.refused {
		st.Refused[r] = n
	}
	return st
}

// advance applies what depends on time alone: expired leases, ended quarantines and overrun predictions.
func (s *Scheduler) advance(now time.Time) {
	if s.timeOrigin.IsZero() {
		s.timeOrigin = now
	}
	returned := s.placer.Advance(now)
	s.advancePhases(now)
	if returned || now.Sub(s.lastRecheck) >= recheckInterval {
		s.lastRecheck = now
		s.markAllReady()
	}
}

// markReady marks a service with waiting tasks as a candidate for the next start.
func (s *Scheduler) markReady(svc *service) {
	if svc.queued() > 0 && !svc.removed {
		s.readyServices.Add(svc.flow)
	}
}

func (s *Scheduler) markAllReady() {
	for _, svc := range s.orderedServices {
		s.markReady(svc)
	}
}

// markServedReady marks the services that a server can serve as ready.
func (s *Scheduler) markServedReady(a *Announcement) {
	if a.Worker && len(a.Services) == 0 {
		for _, svc := range s.orderedServices {
			if svc.OnWorkers {
				s.markReady(svc)
			}
		}
		return
	}
	for _, name := range a.Services {
		if svc := s.services[name]; svc != nil {
			s.markReady(svc)
		}
	}
}
