package allocator

import (
	"slices"
	"time"

	"clementineyard/wire"
)

// worker is the state of a worker, over its incarnations.
type worker struct {
	// report is the newest report. born is the current incarnation, which a listing may tell before its report arrives; 0
	// while the worker has stated none. bornKnownAt is when it last changed.
	report      *wire.WorkerReport
	born        int64
	bornKnownAt time.Time
	capacity    Resources
	used        Resources
	runs        map[string]*run
	// orphans counts the runs whose requested resources are not known. While there is one, the worker gets no start.
	orphans int
	// hasUnknownRuns is true when the last listing was incomplete. The worker then gets no start, and its lease is not
	// renewed, so that runs end that an earlier owner may have started.
	hasUnknownRuns bool
	// knownAt is when this owner learned of the worker, and listedBorn the incarnation of its last listing; 0 if it stated none.
	knownAt    time.Time
	listedBorn int64
	// listingAskedAt is when the hold was sent to which the last listing replied that is no older than others.
	listingAskedAt time.Time
	// barred is true while the worker is not on the cell's roster. It then gets no start.
	barred bool
	// leaving is true once the worker has said that it ends. It is removed when it has no runs left.
	leaving bool
	// synced is true once the worker's incarnation has listed its runs under this owner's fencing token.
	synced bool
	// clock is the worker's clock in milliseconds when its reply arrived at clockAt. leaseEnd is the latest end of a lease
	// that was sent, in milliseconds on the worker's clock.
	clock        int64
	clockAt      time.Time
	leaseEnd     int64
	ackedEnd     uint64
	holdInFlight bool
	// holdNumber is the number of the last hold. holdLostAt is when the hold in flight counts as lost, as a probe has listed
	// ends that its reply should have told; zero otherwise.
	holdNumber uint64
	holdLostAt time.Time
	// probeWanted asks for a listing at once, probeInFlight is true while a probe awaits its reply, and probedAt is when the
	// last one was sent.
	probeWanted, probeInFlight bool
	probedAt                   time.Time
	// holdAddress is where the last hold was sent.
	holdAddress string
	// nextHoldAt is when the next hold is due. unreachableSince is when the worker stopped answering; zero while it
	// answers.
	nextHoldAt, unreachableSince time.Time
	backoff                      time.Duration
	lastHeardAt                  time.Time
	// slowdown is the moving average of run times divided by the expected ones.
	slowdown float64
	// failureStreak counts consecutive failures; firstFailedJob is the job of the first, and manyJobsFailed is true when
	// they concern more than one job.
	failureStreak    int
	firstFailedJob   string
	manyJobsFailed   bool
	quarantinedUntil time.Time
	quarantineTime   time.Duration
	// coldUntil is until when the worker says that it is slow; zero where it does not. coldRuns is how many runs it gets until then.
	coldUntil time.Time
	coldRuns  int
}

// runState is the state of a run, as far as it is known.
type runState int

const (
	// starting: the start was sent and has not been confirmed.
	starting runState = iota
	// running: the worker has confirmed the run.
	running
	// stopping: a stop was sent or is due.
	stopping
)

// run is one attempt of a task on a worker.
type run struct {
	name    string
	attempt int
	// task is nil for an orphan, a run whose job is not known here.
	task   *task
	worker *worker
	ask    Resources
	state  runState
	sentAt time.Time
	// confirmedAt is when the worker first confirmed the run; zero before.
	confirmedAt time.Time
	// startInFlight is true until the start has a result.
	startInFlight bool
	// unansweredAt is when the start got no reply; zero otherwise, and once a listing has shown whether it was carried out.
	unansweredAt time.Time
	// overdueAt is when the run's end is overdue; zero for a run of an earlier owner.
	overdueAt time.Time
	// nextStopAt is when a stop is sent next, stopAckedAt when one was acknowledged; stopInFlight is true while one awaits
	// its result.
	nextStopAt, stopAckedAt time.Time
	stopInFlight            bool
	percent                 int
	progressAt              time.Time
}

// lossCause is why a run counts as over though its worker listed no end of it. It is a log value and part of a counter's
// name.
type lossCause string

const (
	causeNotListed     lossCause = "notListed"
	causeStopped       lossCause = "stopConfirmed"
	causeRejected      lossCause = "startRejected"
	causeLeasesExpired lossCause = "leasesExpired"
	causeOtherWorker   lossCause = "otherWorkerAnswers"
	causeUnreachable   lossCause = "unreachableForLong"
)

func newWorker(now time.Time, w *wire.WorkerReport) *worker {
	return &worker{
		report: w, born: w.Born, capacity: Resources{w.Millicores, w.MemoryMb, w.Accelerators}, runs: map[string]*run{}, knownAt: now, nextHoldAt: now, lastHeardAt: now,
		slowdown: 1,
	}
}

// estimatedClock returns the worker's clock in milliseconds at the given time. It is low by the delay of the last
// reply.
func (w *worker) estimatedClock(at time.Time) int64 {
	return w.clock + at.Sub(w.clockAt).Milliseconds()
}

// leasesExpireAt returns when every lease that was sent has expired, even if the worker's clock is as slow as
// permitted.
func (w *worker) leasesExpireAt() time.Time {
	left := time.Duration(float64(w.leaseEnd-w.clock)/minClockRate) * time.Millisecond
	return w.clockAt.Add(max(left, 0) + expiryMargin)
}

// isCurrent reports whether born is the worker's current incarnation, as far as either is stated.
func (w *worker) isCurrent(born int64) bool { return born == w.born || born == 0 || w.born == 0 }

// healthy reports whether the worker has listed its runs and answers.
func (w *worker) healthy() bool { return w.synced && w.unreachableSince.IsZero() }

// schedulable reports whether the worker may get a start. A worker that was quarantined gets one at a time until one
// succeeds.
func (w *worker) schedulable(now time.Time) bool {
	return w.healthy() && w.isCurrent(w.report.Born) && w.confirmed() && !w.barred && !w.report.Draining && !w.leaving && w.orphans == 0 && !w.hasUnknownRuns &&
		w.leaseEnd-w.estimatedClock(now) >= minLeaseLeft.Milliseconds() && !now.Before(w.quarantinedUntil) &&
		(w.quarantineTime == 0 || len(w.runs) == 0) && w.startsLeft(now, 1) > 0
}

// stopAckedBefore reports whether the worker acknowledged a stop of the run before the given time, and rejects its start from
// then on. While the start is in flight, a worker that restarts forgets the stop and may carry out the start.
func (r *run) stopAckedBefore(at time.Time) bool {
	return !r.startInFlight && !r.stopAckedAt.IsZero() && r.stopAckedAt.Before(at)
}

func (w *worker) addRun(r *run) {
	w.runs[r.name] = r
	w.used = w.used.plus(r.ask)
}

// setAsk sets the requested resources of a run that is adopted.
func (w *worker) setAsk(r *run, ask Resources) {
	r.ask = ask
	w.used = w.used.plus(ask)
	w.orphans--
}

func (w *worker) removeRun(r *run) {
	if w.runs[r.name] != r {
		return
	}
	delete(w.runs, r.name)
	w.used = w.used.minus(r.ask)
	if r.task == nil && r.ask == (Resources{}) {
		w.orphans--
	}
}

// runsByTask returns the runs in the order of their task names, so that the allocator is deterministic.
func (w *worker) runsByTask() []*run {
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

// recordSuccess ends a failure streak and the quarantine, and lets a cold worker have one more run.
func (w *worker) recordSuccess() {
	w.failureStreak, w.quarantineTime, w.manyJobsFailed = 0, 0, false
	w.coldRuns++
}

// recordFailure counts a failure of a run of the given job, and reports whether it quarantines the worker.
func (w *worker) recordFailure(now time.Time, job string) (quarantined bool) {
	if w.failureStreak == 0 {
		w.firstFailedJob, w.manyJobsFailed = job, false
	}
	w.failureStreak++
	w.manyJobsFailed = w.manyJobsFailed || job != w.firstFailedJob
	if w.failureStreak < quarantineThreshold || !w.manyJobsFailed && w.quarantineTime == 0 {
		return false
	}
	w.quarantineTime = min(max(2*w.quarantineTime, quarantineMin), quarantineMax)
	w.quarantinedUntil = now.Add(w.quarantineTime)
	return true
}

// recordSlowdown updates the worker's slowdown by the run time of a task and the expected one.
func (w *worker) recordSlowdown(took, expected time.Duration) {
	if expected > 0 {
		ratio := min(max(float64(took)/float64(expected), 1.0/maxRunTimeRatio), maxRunTimeRatio)
		w.slowdown += slowdownWeight * (ratio - w.slowdown)
	}
}

// hasLabel reports whether the worker has the label; every worker has the empty one.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.report.Labels, label)
}
