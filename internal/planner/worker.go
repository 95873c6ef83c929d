package planner

import (
	"slices"
	"time"
)

// worker is the state of a Worker within a pass.
type worker struct {
	*Worker
	free Resources
	// started holds the ends of the tasks that start in this pass. ends holds those together with the ends of runs, by time; nil
	// until a reservation asks for them.
	started, ends []end
	// reserved holds the reservations by time.
	reserved []reserved
}

// end is an expected end of a run, after which ask is free.
type end struct {
	at  time.Time
	ask Resources
}

// reserved is room that is kept from a point in time on. While it is strict, nothing else starts that would not fit beside it.
type reserved struct {
	at     time.Time
	ask    Resources
	strict bool
}

func byEnd(a, b end) int { return a.at.Compare(b.at) }

// expectedEnd returns when a run is expected to end; false when that cannot be told.
func (r *Run) expectedEnd(now time.Time) (time.Time, bool) {
	took, limit := now.Sub(r.StartedAt), time.Duration(trustFactor*float64(r.Expected))
	switch {
	case took >= limit:
		return time.Time{}, false
	case took < r.Expected:
		return r.StartedAt.Add(r.Expected), true
	}
	return now.Add((limit - took) / 2), true
}

// loadEnds computes the ends, unless it has been done.
func (w *worker) loadEnds(in *Input, index int) {
	if w.ends != nil {
		return
	}
	runs := in.Runs(index)
	w.ends = make([]end, 0, len(runs)+len(w.started)+1)
	for i := range runs {
		if at, ok := runs[i].expectedEnd(in.Now); ok {
			w.ends = append(w.ends, end{at, runs[i].Ask})
		}
	}
	w.ends = append(w.ends, w.started...)
	slices.SortFunc(w.ends, byEnd)
}

// start records that a task starts now.
func (w *worker) start(ask Resources, endsAt time.Time) {
	w.free = w.free.minus(ask)
	e := end{endsAt, ask}
	w.started = append(w.started, e)
	if w.ends != nil {
		i, _ := slices.BinarySearchFunc(w.ends, e, byEnd)
		w.ends = slices.Insert(w.ends, i, e)
	}
}

// undoStart takes back the last start.
func (w *worker) undoStart(ask Resources) {
	w.free = w.free.plus(ask)
	last := w.started[len(w.started)-1]
	w.started = w.started[:len(w.started)-1]
	if i := slices.Index(w.ends, last); i >= 0 {
		w.ends = slices.Delete(w.ends, i, i+1)
	}
}

// endOf returns when a task that starts now is expected to end.
func (w *worker) endOf(now time.Time, s *Step) time.Time {
	return now.Add(time.Duration(float64(s.RunTime) * max(w.Slowdown, 1)))
}

// freeAt returns what is expected to be free at the given time, reservations not deducted.
func (w *worker) freeAt(at time.Time) Resources {
	f := w.free
	for _, e := range w.ends {
		if e.at.After(at) {
			break
		}
		f = f.plus(e.ask)
	}
	return f
}

// keepsReservations reports whether all reservations can still be kept when a task starts now.
func (w *worker) keepsReservations(now time.Time, s *Step) bool {
	endsAt, need := w.endOf(now, s), s.Ask
	for _, r := range w.reserved {
		need = need.plus(r.ask)
		if (r.strict || endsAt.After(r.at)) && !need.fitsIn(w.freeAt(r.at)) {
			return false
		}
	}
	return true
}

// firstRoom returns when the worker is first expected to have room for ask beside its reservations; false when that cannot be
// told. A reservation starts no earlier than those made before it.
func (w *worker) firstRoom(now time.Time, ask Resources) (time.Time, bool) {
	need, free, from := ask, w.free, now
	for _, r := range w.reserved {
		need, from = need.plus(r.ask), r.at
	}
	if need.fitsIn(free) {
		return from, true
	}
	for _, e := range w.ends {
		if free = free.plus(e.ask); need.fitsIn(free) {
			if e.at.Before(from) {
				return from, true
			}
			return e.at, true
		}
	}
	return time.Time{}, false
}
