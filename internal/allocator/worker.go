package allocator

import (
	"slices"
	"time"

	"clementineyard/wire"
)

// worker is one incarnation of a worker.
type worker struct {
	report *wire.WorkerReport
	room   Resources
	used   Resources
	runs   map[string]*run
	// orphans counts the runs whose ask is not known; no start is sent meanwhile.
	orphans int
	// taken is true once the worker has listed its runs under this owner's fence.
	taken bool
	// clock is the worker's clock at clockAt; until is the latest lease's end that was sent, on the worker's clock.
	clock   int64
	clockAt time.Time
	until   int64
	ack     uint64
	holding bool
	// nextHold is when the worker is looked at next. failedAt is when it stopped answering; zero while it answers.
	nextHold, failedAt time.Time
	pause              time.Duration
	heardAt            time.Time
	// speed is the mean of run times over expected ones.
	speed float64
	// streak counts failures in a row; failedJob is the job of the first.
	streak           int
	failedJob        string
	severalJobs      bool
	quarantinedUntil time.Time
	quarantine       time.Duration
}

// runState is what is known of a run.
type runState int

const (
	// starting: the start is sent and not answered.
	starting runState = iota
	// running: the worker has confirmed it.
	running
	// stopping: a stop was sent, or will be.
	stopping
)

// run is one attempt of a task on a worker.
type run struct {
	name    string
	attempt int
	// task is nil for a run of a job that is not known here.
	task   *task
	worker *worker
	ask    Resources
	state  runState
	sentAt time.Time
	// confirmedAt is when the worker said that it runs.
	confirmedAt time.Time
	// stopAt is when the stop is sent next, stoppedAt when it was acknowledged; stopFlying is true while one is on its way.
	stopAt, stoppedAt time.Time
	stopFlying        bool
	percent           int
	percentAt         time.Time
}

func newWorker(now time.Time, w *wire.WorkerReport) *worker {
	return &worker{
		report: w, room: Resources{w.Millicores, w.MemoryMb, w.Accelerators}, runs: map[string]*run{}, nextHold: now, heardAt: now,
		speed: 1,
	}
}

// now returns the worker's clock, or a little less.
func (w *worker) now(at time.Time) int64 { return w.clock + at.Sub(w.clockAt).Milliseconds() }

// lapsedAt returns when every lease that was ever sent has ended, also on a slow clock.
func (w *worker) lapsedAt() time.Time {
	left := time.Duration(float64(w.until-w.clock)/clockSlack) * time.Millisecond
	return w.clockAt.Add(max(left, 0) + lapseMargin)
}

func (w *worker) healthy() bool { return w.taken && w.failedAt.IsZero() }

// usable reports whether a start may be sent at all.
func (w *worker) usable(now time.Time) bool {
	return w.healthy() && !w.report.Draining && w.orphans == 0 &&
		w.until-w.now(now) >= leaseReserve.Milliseconds() && !now.Before(w.quarantinedUntil) &&
		(w.quarantine == 0 || len(w.runs) == 0)
}

func (w *worker) add(r *run) {
	w.runs[r.name] = r
	w.used = w.used.plus(r.ask)
}

// identify sets the ask of an adopted run.
func (w *worker) identify(r *run, ask Resources) {
	r.ask = ask
	w.used = w.used.plus(ask)
	w.orphans--
}

func (w *worker) remove(r *run) {
	if w.runs[r.name] != r {
		return
	}
	delete(w.runs, r.name)
	w.used = w.used.minus(r.ask)
	if r.task == nil && r.ask == (Resources{}) {
		w.orphans--
	}
}

// inOrder returns the runs in the order of their names, so that equal inputs give equal outputs.
func (w *worker) inOrder() []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return out
}

// succeeded and failed learn from a run's end.
func (w *worker) succeeded() {
	w.streak, w.quarantine, w.severalJobs = 0, 0, false
}

func (w *worker) failed(now time.Time, job string) (quarantined bool) {
	if w.streak == 0 {
		w.failedJob, w.severalJobs = job, false
	}
	w.streak++
	w.severalJobs = w.severalJobs || job != w.failedJob
	if w.streak < quarantineAfter || !w.severalJobs && w.quarantine == 0 {
		return false
	}
	w.quarantine = min(max(2*w.quarantine, quarantineFirst), quarantineMost)
	w.quarantinedUntil = now.Add(w.quarantine)
	return true
}

// learnSpeed takes in a run time against the expected one.
func (w *worker) learnSpeed(took, expected time.Duration) {
	if expected > 0 {
		x := min(max(float64(took)/float64(expected), 1.0/speedLimit), speedLimit)
		w.speed += speedWeight * (x - w.speed)
	}
}

func (w *worker) has(label string) bool {
	return label == "" || slices.Contains(w.report.Labels, label)
}
