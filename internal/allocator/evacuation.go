package allocator

import (
	"slices"
	"time"

	"clementineyard/wire"
)

// This file decides what starts in a cell whose failure domain is evacuated, and on workers that are still slow after their
// start. It answers the move of a whole failure domain's work to the others and back.

const (
	// evacuationGrace is how long an owner that already had its cell when the evacuation began may start the remaining tasks of
	// started jobs. Operators expect the last start within 5 s; the order reaches an owner within 1.6 s.
	evacuationGrace = time.Second
	// confirmationTimeout is how long after a pause an owner waits for a voter to confirm its state. One that is cut off from
	// the voters goes on with the state that it holds.
	confirmationTimeout = 700 * time.Millisecond
)

// SetEvacuated begins or ends the evacuation of the cell's failure domain. Workers then take no start; jobs that have not started
// go back to their takers, which offer them to other failure domains.
func (a *Allocator) SetEvacuated(now time.Time, evacuated bool) Output {
	if a.evacuated == evacuated {
		return a.takeOutput()
	}
	a.evacuated, a.evacuationGraceEnd = evacuated, now.Add(evacuationGrace)
	a.note("Owner changed whether its workers get starts.", "evacuated", evacuated, "jobs", len(a.jobs))
	if evacuated {
		for _, j := range a.jobsByArrival() {
			j.returnAtOnce = true
		}
		a.returnJobs(now)
	}
	a.dispatch(now)
	return a.takeOutput()
}

// mayStartTasks reports whether tasks of a job may start here.
func (a *Allocator) mayStartTasks(now time.Time, j *job) bool {
	return !a.evacuated || j.started && now.Before(a.evacuationGraceEnd)
}

// returnJobs ends the jobs that an evacuated cell cannot complete.
func (a *Allocator) returnJobs(now time.Time) {
	if !a.evacuated {
		return
	}
	for _, j := range a.jobsByArrival() {
		hasRuns := slices.ContainsFunc(j.tasks, func(t *task) bool { return t.run != nil })
		mayRunUnknown := (j.MayHaveStarted || j.claimedBefore) && now.Before(a.earlierRunsEnd(j))
		switch {
		case j.claiming || hasRuns || mayRunUnknown:
		case !j.started && (j.returnAtOnce || j.MayHaveStarted || j.claimedBefore):
			a.count("evacuatedJobs")
			a.answerJob(now, j, Answer{Kind: wire.FleetOutcome_KIND_NO_ROOM, NeverStarted: !j.ranBefore && !j.MayHaveStarted && !j.claimedBefore})
		case j.started && !a.mayStartTasks(now, j):
			a.count("evacuatedStartedJobs")
			a.giveUpJob(now, j, "the failure domain is evacuated")
		}
	}
}

// unconfirmed reports whether this owner has paused, and no voter has confirmed since that its failure domain may get starts.
func (a *Allocator) unconfirmed(now time.Time) bool {
	return a.cfg.StateConfirmedAt != nil && !a.resumedAt.IsZero() && now.Sub(a.resumedAt) < confirmationTimeout &&
		a.cfg.StateConfirmedAt().Before(a.resumedAt)
}

// setCold records for how long a worker will still be slow. The number of its runs then starts at one, and grows by one with
// each run that completes.
func (w *worker) setCold(now time.Time, remaining time.Duration) {
	if remaining <= 0 {
		w.coldUntil = time.Time{}
		return
	}
	if !w.cold(now) {
		w.coldRuns = 1
	}
	w.coldUntil = now.Add(remaining)
}

func (w *worker) cold(now time.Time) bool { return now.Before(w.coldUntil) }

// startsLeft returns how many of n further starts the worker may get now.
func (w *worker) startsLeft(now time.Time, n int64) int64 {
	most := maxRunsPerWorker
	if w.cold(now) {
		most = min(most, w.coldRuns)
	}
	return min(n, int64(max(most-len(w.runs), 0)))
}
