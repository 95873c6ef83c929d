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

// wakeEvery is the longest time after which a service without room is looked at again although nothing was reported
// for it. It bounds the delay after a change that time alone makes, such as a task that has overrun its prediction.
const wakeEvery = time.Millisecond

// Scheduler admits, orders and places the tasks of one failure domain. It is not safe for concurrent use.
type Scheduler struct {
	cfg       Config
	rng       *rand.Rand
	estimator *estimator.Estimator
	placer    *placer.Placer
	services  map[string]*service
	// list holds the services in the order of the task files, so that a run can be repeated.
	list []*service
	// ready shares the starts between the services that may have work and room.
	ready *limiter.Shares[*service]
	tasks map[uint64]*entry
	// expiry orders the waiting tasks by deadline; started and cancelled ones are dropped when met or when half are.
	expiry  *sorter.Heap[place]
	waiting int
	// dropped holds the tasks that the next Expire reports before their deadline.
	dropped []*entry
	phases  *sorter.Heap[*entry]
	running int
	order   uint64
	// moved counts the tasks that changed their class while they waited.
	moved    uint64
	base     time.Time
	woken    time.Time
	refused  map[wire.Reason]uint64
	wait     estimator.WaitError
	baseline *baseline
}

// New returns an empty Scheduler.
func New(cfg Config) *Scheduler {
	s := &Scheduler{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		estimator: estimator.New(),
		placer:    placer.New(placer.Config{Seed: cfg.Seed, Load: cfg.Load, NoQuarantine: cfg.Policy == PolicyBaseline}),
		services:  map[string]*service{},
		ready:     limiter.NewShares[*service](),
		tasks:     map[uint64]*entry{},
		expiry:    sorter.New(earlier, nil),
		phases: sorter.New(
			func(a, b *entry) bool { return a.nextPhase.Before(b.nextPhase) },
			func(e *entry, i int) { e.phaseIdx = i },
		),
		refused: map[wire.Reason]uint64{},
	}
	if cfg.Policy == PolicyBaseline {
		s.baseline = newBaseline(s.placer)
	}
	return s
}

// Configure replaces the services in force. Queued tasks of a service that is gone are reported by the next Expire.
func (s *Scheduler) Configure(services []Service) {
	named := make(map[string]bool, len(services))
	s.list = s.list[:0]
	for _, spec := range services {
		named[spec.Name] = true
		svc := s.services[spec.Name]
		if svc == nil {
			svc = newService()
			s.services[spec.Name] = svc
		}
		svc.configure(spec, s)
		s.list = append(s.list, svc)
	}
	gone := false
	for name, svc := range s.services {
		if !named[name] {
			gone = true
			svc.gone = true
			s.ready.Leave(svc.flow)
			s.endReservation(svc)
			delete(s.services, name)
		}
	}
	if gone {
		s.dropOrphans()
		s.estimator.Keep(func(name string) bool { return named[name] })
	}
	s.wakeAll()
}

func (s *Scheduler) dropOrphans() {
	var orphans []*entry
	for _, e := range s.tasks {
		if e.svc.gone && e.waits() {
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
	s.wakeServer(&a)
}

// TakeOver is called when this entry VM becomes the owner. What servers said they run, minus own tasks, counts as
// occupied until their next announcement.
func (s *Scheduler) TakeOver(time.Time) { s.placer.TakeOver() }

// Release lets a held task start.
func (s *Scheduler) Release(id uint64) {
	e := s.tasks[id]
	if e == nil || e.state != stateHeld {
		return
	}
	s.enqueue(e)
}

// enqueue lets a counted entry start.
func (s *Scheduler) enqueue(e *entry) {
	if s.baseline != nil {
		s.baseline.enqueue(e)
		return
	}
	e.svc.push(e)
	s.wake(e.svc)
}

// NonIdempotent reports whether a task is marked so.
func (s *Scheduler) NonIdempotent(service, task string) bool {
	if svc := s.services[service]; svc != nil && svc.kinds[task] != nil {
		return svc.kinds[task].NonIdempotent
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
	outcome := e.outcome(now, r)
	if outcome == placer.Succeeded && s.baseline == nil {
		e.kind.stat.Learn(now, r.RunTime)
	}
	server := e.slot.Server
	if r.MayRun {
		s.placer.Abandon(now, e.slot, outcome)
	} else {
		s.placer.Free(now, e.slot, outcome)
	}
	if s.baseline != nil {
		s.baseline.wake(server)
		return
	}
	e.svc.resume(e.team)
	s.wake(e.svc)
	s.wakeServer(&server.Announcement)
}

// outcome is what a result says of the server. A task that was cancelled, or whose deadline came before it could be
// expected to end, says nothing.
func (e *entry) outcome(now time.Time, r Result) placer.Outcome {
	const expected = 2 // times the prediction
	switch {
	case e.cancelled:
		return placer.Ignored
	case !r.Failed && !r.NotStarted:
		return placer.Succeeded
	case !r.NotStarted && now.UnixNano() >= e.deadline && r.RunTime < expected*e.predicted:
		return placer.Ignored
	default:
		return placer.Failed
	}
}

// Requeue puts a started task that provably did not run back at the head of the queue, if its retry budget allows.
func (s *Scheduler) Requeue(now time.Time, t Task) bool {
	svc := s.services[t.Service]
	if svc == nil || svc.kinds[t.Name] == nil || s.tasks[t.ID] != nil || !now.Before(deadlineOf(&t, now)) {
		return false
	}
	if !svc.budget.Take() {
		return false
	}
	t.Held = false
	s.insert(s.newEntry(now, svc, svc.kinds[t.Name], t, false))
	return true
}

func deadlineOf(t *Task, now time.Time) time.Time {
	if t.Deadline.IsZero() {
		return now.Add(time.Hour)
	}
	return t.Deadline
}

// insert adds an entry to the queue.
func (s *Scheduler) insert(e *entry) {
	s.tasks[e.ID] = e
	s.waiting++
	e.svc.count(e, 1)
	s.expiry.Push(placeOf(e))
	if e.Held {
		e.state = stateHeld
		return
	}
	s.enqueue(e)
}

// Cancel removes a queued task; a running one is only reported.
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
		e.state = stateGone
	} else {
		s.withdraw(e, stateGone)
	}
	return CancelledQueued
}

// withdraw takes a waiting entry out of the queue.
func (s *Scheduler) withdraw(e *entry, to state) {
	s.waiting--
	if e.svc.reservation.entry == e {
		s.endReservation(e.svc)
	}
	if s.baseline != nil {
		e.svc.count(e, -1)
		e.state = to
	} else {
		e.svc.withdraw(e, to)
	}
	s.compactExpiry()
}

func (s *Scheduler) compactExpiry() {
	const small = 64 // below it the marked entries cost nothing worth a pass
	if n := s.expiry.Len(); n > small && 2*s.waiting <= n {
		s.expiry.Filter(func(p place) bool { return p.waits() })
	}
}

func (e *entry) waits() bool { return e.state == stateQueued || e.state == stateHeld }

// drop withdraws an entry that the next Expire reports.
func (s *Scheduler) drop(e *entry) {
	s.withdraw(e, stateDropped)
	s.dropped = append(s.dropped, e)
}

// Expire removes and returns the queued tasks that can no longer start in time.
func (s *Scheduler) Expire(now time.Time) []Expired {
	s.advance(now)
	at := now.UnixNano()
	for s.expiry.Len() > 0 && s.expiry.Top().deadline <= at {
		if e := s.expiry.Pop().entry; e.waits() {
			s.drop(e)
		}
	}
	var out []Expired
	for _, e := range s.dropped {
		if e.state != stateDropped {
			continue // cancelled meanwhile
		}
		e.state = stateGone
		delete(s.tasks, e.ID)
		out = append(out, Expired{ID: e.ID, Reason: s.expiryReason(e, at)})
	}
	clear(s.dropped)
	s.dropped = s.dropped[:0]
	return out
}

func (s *Scheduler) expiryReason(e *entry, at int64) wire.Reason {
	switch {
	case e.svc.gone:
		return wire.Reason_REASON_UNKNOWN_SERVICE
	case !s.placer.Known(e.Service, e.svc.OnWorkers):
		return wire.Reason_REASON_NO_SERVER
	case !s.placer.Fits(e.Service, e.svc.OnWorkers, e.ask):
		return wire.Reason_REASON_NEVER_FITS
	case at < e.deadline:
		return wire.Reason_REASON_DEADLINE_UNREACHABLE
	default:
		return wire.Reason_REASON_DEADLINE_PASSED
	}
}

// Stats reports queue lengths, running work and the error of the predicted waits.
func (s *Scheduler) Stats() Stats {
	st := Stats{
		Queued: s.waiting, Running: s.running, Quarantined: s.placer.Quarantined(), Learned: s.estimator.Learned(),
		Refused: make(map[wire.Reason]uint64, len(s.refused)), Wait: s.wait,
	}
	for _, svc := range s.list {
		st.Short += svc.queues[classShort].count
		st.Long += svc.queues[classLong].count
		st.Overran += svc.running.overran
	}
	for r, n := range s.refused {
		st.Refused[r] = n
	}
	return st
}

// advance lets time act: leases, quarantines, overrun predictions.
func (s *Scheduler) advance(now time.Time) {
	if s.base.IsZero() {
		s.base = now
	}
	returned := s.placer.Advance(now)
	s.advancePhases(now)
	if returned || now.Sub(s.woken) >= wakeEvery {
		s.woken = now
		s.wakeAll()
	}
}

func (s *Scheduler) wake(svc *service) {
	if svc.queued() > 0 && !svc.gone {
		s.ready.Join(svc.flow)
	}
}

func (s *Scheduler) wakeAll() {
	for _, svc := range s.list {
		s.wake(svc)
	}
}

// wakeServer wakes the services that a server can serve.
func (s *Scheduler) wakeServer(a *Announcement) {
	if a.Worker && len(a.Services) == 0 {
		for _, svc := range s.list {
			if svc.OnWorkers {
				s.wake(svc)
			}
		}
		return
	}
	for _, name := range a.Services {
		if svc := s.services[name]; svc != nil {
			s.wake(svc)
		}
	}
}
