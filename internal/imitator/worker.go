package imitator

import (
	"slices"
	"time"

	"clementineyard/internal/allocator"
)

// Worker is one incarnation of a worker. It is not safe for concurrent use.
type Worker struct {
	Born int64
	// MaxLease is the longest lease granted, StopTakes how long a stop takes.
	MaxLease, StopTakes time.Duration

	started time.Time
	fence   uint64
	until   int64
	runs    map[string]*Run
	// barred holds the highest attempt of each task that was stopped or has ended.
	barred map[string]int
	ended  []allocator.Ended
	number uint64
}

// Run is what the worker runs.
type Run struct {
	Task    string
	Attempt int
	Ask     allocator.Resources
	// EndsAt is when the work is done or fails; Fails says which.
	EndsAt  time.Time
	Fails   bool
	beganAt time.Time
	stopAt  time.Time
}

// New returns a worker that starts now.
func New(now time.Time, born int64, maxLease, stopTakes time.Duration) *Worker {
	return &Worker{
		Born: born, MaxLease: maxLease, StopTakes: stopTakes, started: now, runs: map[string]*Run{}, barred: map[string]int{},
	}
}

// Clock is the worker's clock in milliseconds. It begins at 1,000.
func (w *Worker) Clock(now time.Time) int64 { return 1000 + now.Sub(w.started).Milliseconds() }

// Start begins a run, unless the protocol says otherwise.
func (w *Worker) Start(now time.Time, fence uint64, until int64, r Run) allocator.Verdict {
	w.Advance(now)
	if !w.admit(fence) {
		return allocator.Fenced
	}
	if held := w.runs[r.Task]; held != nil && held.Attempt == r.Attempt {
		return allocator.Done
	}
	if until <= w.Clock(now) {
		return allocator.Late
	}
	w.extend(now, until)
	if held := w.runs[r.Task]; held != nil || r.Attempt <= w.barred[r.Task] {
		return allocator.Old
	}
	r.beganAt = now
	w.runs[r.Task] = &r
	return allocator.Done
}

// Stop ends a run, and bars one that is not there yet.
func (w *Worker) Stop(now time.Time, fence uint64, task string, attempt int) allocator.Verdict {
	w.Advance(now)
	if !w.admit(fence) {
		return allocator.Fenced
	}
	w.barred[task] = max(w.barred[task], attempt)
	if r := w.runs[task]; r != nil && r.Attempt <= attempt && r.stopAt.IsZero() {
		r.stopAt = now.Add(w.StopTakes)
	}
	return allocator.Done
}

// Hold extends the lease where until is above 0, forgets ends up to ack, and lists runs and ends.
func (w *Worker) Hold(now time.Time, fence uint64, until int64, ack uint64) (allocator.Listing, allocator.Verdict) {
	w.Advance(now)
	if !w.admit(fence) {
		return allocator.Listing{}, allocator.Fenced
	}
	if until > 0 {
		w.extend(now, until)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e allocator.Ended) bool { return e.Number <= ack })
	l := allocator.Listing{Born: w.Born, Clock: w.Clock(now), Ended: slices.Clone(w.ended)}
	for _, r := range w.Runs() {
		whole := max(r.EndsAt.Sub(r.beganAt), 1)
		l.Running = append(l.Running, allocator.Running{
			Task: r.Task, Attempt: r.Attempt, Percent: int(100 * now.Sub(r.beganAt) / whole),
		})
	}
	return l, allocator.Done
}

// Advance ends what has come to its end: work, stops and the lease.
func (w *Worker) Advance(now time.Time) {
	lapsed := len(w.runs) > 0 && w.Clock(now) >= w.until
	for _, r := range w.Runs() {
		how := allocator.EndDone
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt) && r.stopAt.Before(r.EndsAt):
			how = allocator.EndStopped
		case !now.Before(r.EndsAt) && w.Clock(r.EndsAt) <= w.until:
			if r.Fails {
				how = allocator.EndFailed
			}
		case lapsed:
			how = allocator.EndLapsed
		default:
			continue
		}
		w.number++
		w.barred[r.Task] = max(w.barred[r.Task], r.Attempt)
		w.ended = append(w.ended, allocator.Ended{Number: w.number, Task: r.Task, Attempt: r.Attempt, How: how})
		delete(w.runs, r.Task)
	}
}

// Runs returns what runs, in the order of the tasks' names.
func (w *Worker) Runs() []*Run {
	out := make([]*Run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Run) int {
		if a.Task < b.Task {
			return -1
		}
		return 1
	})
	return out
}

// Used is what the runs ask for together.
func (w *Worker) Used() allocator.Resources {
	var sum allocator.Resources
	for _, r := range w.runs {
		sum.Millicores += r.Ask.Millicores
		sum.Memory += r.Ask.Memory
		sum.Accelerators += r.Ask.Accelerators
	}
	return sum
}

// Waits reports whether there is an end above ack, so that a hold need not wait.
func (w *Worker) Waits(ack uint64) bool {
	return len(w.ended) == 0 || w.ended[len(w.ended)-1].Number <= ack
}

func (w *Worker) admit(fence uint64) bool {
	if fence < w.fence {
		return false
	}
	w.fence = fence
	return true
}

func (w *Worker) extend(now time.Time, until int64) {
	w.until = max(w.until, min(until, w.Clock(now)+w.MaxLease.Milliseconds()))
}
