package imitator

import (
	"slices"
	"time"

	"clementineyard/internal/allocator"
)

// Worker is one incarnation of a fake worker. It is not safe for concurrent use.
type Worker struct {
	Born int64
	// MaxLease is the longest lease that the worker grants, and StopDuration how long it takes to stop a run.
	MaxLease, StopDuration time.Duration

	started  time.Time
	fence    uint64
	leaseEnd int64
	runs     map[string]*Run
	// closedAttempts holds the highest attempt of each task that was stopped or has ended. Attempts up to it are rejected.
	closedAttempts map[string]int
	unackedEnds    []allocator.RunEnd
	lastEndNumber  uint64
}

// Run is one attempt of a task on the worker.
type Run struct {
	Task    string
	Attempt int
	Ask     allocator.Resources
	// EndsAt is when the run completes, or fails if Fails is true.
	EndsAt    time.Time
	Fails     bool
	startedAt time.Time
	stopAt    time.Time
}

// New returns a worker that started at now.
func New(now time.Time, born int64, maxLease, stopTakes time.Duration) *Worker {
	return &Worker{
		Born: born, MaxLease: maxLease, StopDuration: stopTakes, started: now, runs: map[string]*Run{}, closedAttempts: map[string]int{},
	}
}

// Clock returns the worker's clock in milliseconds. It was 1,000 when the worker started.
func (w *Worker) Clock(now time.Time) int64 { return 1000 + now.Sub(w.started).Milliseconds() }

// Start starts a run under a lease until the given time on the worker's clock in milliseconds, unless the protocol
// requires another verdict than Done.
func (w *Worker) Start(now time.Time, fence uint64, until int64, r Run) allocator.Verdict {
	w.Advance(now)
	if !w.checkFence(fence) {
		return allocator.Fenced
	}
	if held := w.runs[r.Task]; held != nil && held.Attempt == r.Attempt {
		return allocator.Done
	}
	if until <= w.Clock(now) {
		return allocator.LeaseExpired
	}
	w.extendLease(now, until)
	if held := w.runs[r.Task]; held != nil || r.Attempt <= w.closedAttempts[r.Task] {
		return allocator.StaleAttempt
	}
	r.startedAt = now
	w.runs[r.Task] = &r
	return allocator.Done
}

// Stop stops a run, and rejects starts of this and earlier attempts from now on.
func (w *Worker) Stop(now time.Time, fence uint64, task string, attempt int) allocator.Verdict {
	w.Advance(now)
	if !w.checkFence(fence) {
		return allocator.Fenced
	}
	w.closedAttempts[task] = max(w.closedAttempts[task], attempt)
	if r := w.runs[task]; r != nil && r.Attempt <= attempt && r.stopAt.IsZero() {
		r.stopAt = now.Add(w.StopDuration)
	}
	return allocator.Done
}

// Hold extends the lease if until is above 0, forgets the ends up to number ack, and lists the runs and ends.
func (w *Worker) Hold(now time.Time, fence uint64, until int64, ack uint64) (allocator.Listing, allocator.Verdict) {
	w.Advance(now)
	if !w.checkFence(fence) {
		return allocator.Listing{}, allocator.Fenced
	}
	if until > 0 {
		w.extendLease(now, until)
	}
	w.unackedEnds = slices.DeleteFunc(w.unackedEnds, func(e allocator.RunEnd) bool { return e.Number <= ack })
	l := allocator.Listing{Born: w.Born, Clock: w.Clock(now), Ended: slices.Clone(w.unackedEnds)}
	for _, r := range w.Runs() {
		duration := max(r.EndsAt.Sub(r.startedAt), 1)
		l.Running = append(l.Running, allocator.ListedRun{
			Task: r.Task, Attempt: r.Attempt, Percent: int(100 * now.Sub(r.startedAt) / duration),
		})
	}
	return l, allocator.Done
}

// Advance ends the runs that have completed, failed, been stopped or lost their lease by now.
func (w *Worker) Advance(now time.Time) {
	expired := len(w.runs) > 0 && w.Clock(now) >= w.leaseEnd
	for _, r := range w.Runs() {
		how := allocator.EndDone
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt) && r.stopAt.Before(r.EndsAt):
			how = allocator.EndStopped
		case !now.Before(r.EndsAt) && w.Clock(r.EndsAt) <= w.leaseEnd:
			if r.Fails {
				how = allocator.EndFailed
			}
		case expired:
			how = allocator.EndLeaseExpired
		default:
			continue
		}
		w.lastEndNumber++
		w.closedAttempts[r.Task] = max(w.closedAttempts[r.Task], r.Attempt)
		w.unackedEnds = append(w.unackedEnds, allocator.RunEnd{Number: w.lastEndNumber, Task: r.Task, Attempt: r.Attempt, Kind: how})
		delete(w.runs, r.Task)
	}
}

// Runs returns the runs under way in the order of their task names.
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

// UsedResources returns the sum of the resources that the runs under way request.
func (w *Worker) UsedResources() allocator.Resources {
	var sum allocator.Resources
	for _, r := range w.runs {
		sum.Millicores += r.Ask.Millicores
		sum.MemoryMiB += r.Ask.MemoryMiB
		sum.Accelerators += r.Ask.Accelerators
	}
	return sum
}

// MustWait reports whether a hold has to wait, as no run has ended since the end with number ack.
func (w *Worker) MustWait(ack uint64) bool {
	return len(w.unackedEnds) == 0 || w.unackedEnds[len(w.unackedEnds)-1].Number <= ack
}

// checkFence reports whether an order's fencing token is current, and remembers the highest one.
func (w *Worker) checkFence(fence uint64) bool {
	if fence < w.fence {
		return false
	}
	w.fence = fence
	return true
}

// extendLease extends the lease to until, in milliseconds on the worker's clock, but by at most MaxLease from now.
func (w *Worker) extendLease(now time.Time, until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.Clock(now)+w.MaxLease.Milliseconds()))
}
