package planner

import "time"

const (
	// trustFactor times its expected time after its start a run is no longer expected to end: it hangs, or its estimate was wrong.
	// One run in ten takes that long by itself.
	trustFactor = 1.5
	// maxReservedSteps and maxReservations bound the time that reservations take, and how much room they keep from others. More
	// steps gained nothing in trials on deploy/loads/halves.json; one step alone gained half as much.
	maxReservedSteps = 12
	maxReservations  = 64
	// MaxPerWorker bounds the reservations of one worker: two tasks of half a worker.
	MaxPerWorker = 2
)

// pass is the state of a pass.
type pass struct {
	in      *Input
	workers []worker
	plan    *Plan
}

// Make returns the plan for a pass.
func Make(in *Input) *Plan {
	p := &pass{in: in, workers: make([]worker, len(in.Workers)), plan: &Plan{Waiting: make([]int, len(in.Steps))}}
	for i := range in.Workers {
		p.workers[i].Worker, p.workers[i].free = &in.Workers[i], in.Workers[i].Free
	}
	reservedSteps, short := 0, false
	for i := range in.Steps {
		left := in.Steps[i].Tasks
		for left > 0 && p.startOne(i) {
			left--
		}
		if in.Steps[i].Whole && left > 0 && short {
			p.undoStarts(i)
			left = in.Steps[i].Tasks
		}
		short = short || left > 0
		if left > 0 && reservedSteps < maxReservedSteps {
			reservedSteps++
			for left > 0 && len(p.plan.Reservations) < maxReservations && p.reserveOne(i) {
				left--
			}
		}
		p.plan.Waiting[i] = left
	}
	return p.plan
}

func (s *Step) preference(worker int) uint8 {
	switch {
	case s.Limits != nil && s.Limits[worker] <= 0:
		return Never
	case s.Preferences == nil:
		return Best
	}
	return s.Preferences[worker]
}

func (s *Step) countDown(worker int) {
	if s.Limits != nil {
		s.Limits[worker]--
	}
}

// startOne starts a task of the step on the preferred worker that has room and, among equals, has the least room: so sizes pair
// that together fill a worker. It reports whether there is one.
func (p *pass) startOne(step int) bool {
	s := &p.in.Steps[step]
	best, bestPreference := -1, Never
	for i := range p.workers {
		w := &p.workers[i]
		if !s.Ask.fitsIn(w.free) || w.MaxStarts > 0 && len(w.started) >= w.MaxStarts {
			continue
		}
		preference := s.preference(i)
		if preference == Never || preference > bestPreference {
			continue
		}
		if best >= 0 && preference == bestPreference {
			b := &p.workers[best]
			if w.Band > b.Band || w.Band == b.Band && w.free.Millicores >= b.free.Millicores {
				continue
			}
		}
		if len(w.reserved) > 0 && !w.keepsReservations(p.in.Now, s) {
			continue
		}
		best, bestPreference = i, preference
	}
	if best < 0 {
		return false
	}
	w := &p.workers[best]
	w.start(s.Ask, w.endOf(p.in.Now, s))
	s.countDown(best)
	p.plan.Starts = append(p.plan.Starts, Start{step, best})
	return true
}

// undoStarts takes back the starts of the step, which are the last ones.
func (p *pass) undoStarts(step int) {
	s := &p.in.Steps[step]
	for n := len(p.plan.Starts); n > 0 && p.plan.Starts[n-1].Step == step; n-- {
		index := p.plan.Starts[n-1].Worker
		p.workers[index].undoStart(s.Ask)
		if s.Limits != nil {
			s.Limits[index]++
		}
		p.plan.Starts = p.plan.Starts[:n-1]
	}
}

// reserveOne reserves room for a task of the step on the worker that is expected to have it first. It reports whether there is
// one.
func (p *pass) reserveOne(step int) bool {
	s := &p.in.Steps[step]
	if s.Overdue && p.keep(step) {
		return true
	}
	best := -1
	var bestAt time.Time
	for i := range p.workers {
		w := &p.workers[i]
		if len(w.reserved) >= MaxPerWorker || w.MaxStarts > 0 || !s.Ask.fitsIn(w.Capacity) || s.preference(i) == Never {
			continue
		}
		w.loadEnds(p.in, i)
		if at, ok := w.firstRoom(p.in.Now, s.Ask); ok && (best < 0 || at.Before(bestAt)) {
			best, bestAt = i, at
		}
	}
	if best < 0 {
		return false
	}
	p.reserve(step, best, bestAt)
	return true
}

// keep reserves room for a task of an overdue step on the worker where it was reserved before, also when it cannot be told when
// that has room. It reports whether that is possible.
func (p *pass) keep(step int) bool {
	s := &p.in.Steps[step]
	if s.Keep < 0 || p.workers[s.Keep].MaxStarts > 0 || !s.Ask.fitsIn(p.workers[s.Keep].Capacity) || s.preference(s.Keep) == Never || len(p.workers[s.Keep].reserved) > 0 {
		return false
	}
	w := &p.workers[s.Keep]
	w.loadEnds(p.in, s.Keep)
	at, ok := w.firstRoom(p.in.Now, s.Ask)
	if !ok {
		at = p.in.Now
	}
	p.reserve(step, s.Keep, at)
	return true
}

func (p *pass) reserve(step, index int, at time.Time) {
	s, w := &p.in.Steps[step], &p.workers[index]
	w.reserved = append(w.reserved, reserved{at, s.Ask, s.Overdue})
	s.countDown(index)
	p.plan.Reservations = append(p.plan.Reservations, Reservation{step, index, at})
}
