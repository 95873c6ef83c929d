package allocator

import (
	"hash/fnv"
	"slices"
	"time"

	"clementineyard/wire"
)

// This file decides how long a job may wait and when it is refused or given up. It answers demand above the capacity, for
// some seconds or for long: what cannot earn anything any more makes room for what can, and its client is told at once.

const (
	// deadlineFactor times the objective after its arrival a job's completion is worth nothing.
	deadlineFactor = 3
	// infeasibleAfter is how long a job waits for a sufficiently large worker to report before it fails as infeasible.
	infeasibleAfter = 2 * time.Second
	// spilloverDelay is how long a job waits here before it goes back to its taker, which asks other cells again. Cells
	// publish their free room every 0.2 s.
	spilloverDelay = 60 * time.Millisecond
	// refuseFactor times the objective after its arrival a job that has not started is refused: a client that is told
	// sooner can go elsewhere, and jobs that start later earn little.
	refuseFactor = 1.4
	// warmUpPeriod is how long a new owner refuses no job that can still earn something, as its workers have to report
	// first. After all VMs have lost power, half of the workers report within 0.3 s.
	warmUpPeriod = 400 * time.Millisecond
	// minRetryAfter is the shortest delay that is advised to a client whose job is refused: most crests are shorter.
	minRetryAfter = time.Second
	// retryAfterSteps is over how many further seconds the clients of refused jobs are spread, so that they do not return
	// together. The platform's clients take whole seconds.
	retryAfterSteps = 2
)

// setDeadlines computes a job's expected run time, from the estimates and the statistics of its queue, and its
// deadlines.
func (a *Allocator) setDeadlines(j *job) {
	q := a.queues[j.Queue]
	chains := make([]time.Duration, len(j.Steps))
	for i, s := range j.Steps {
		for _, d := range s.DependsOn {
			chains[i] = max(chains[i], chains[d])
		}
		chains[i] += q.expectedRunTime(s.Estimate)
		j.expectedRunTime = max(j.expectedRunTime, chains[i])
	}
	objective := time.Duration(j.StretchFactor*float64(j.expectedRunTime)) + j.TargetLatency
	j.latestStart = j.ArrivedAt.Add(objective - j.expectedRunTime)
	j.giveUpAt = j.ArrivedAt.Add(deadlineFactor*objective - j.expectedRunTime)
	j.refuseAt = j.ArrivedAt.Add(time.Duration(refuseFactor * float64(objective)))
	if warmUpEnd := a.cfg.GrantedAt.Add(warmUpPeriod); j.refuseAt.Before(warmUpEnd) {
		j.refuseAt = earlier(warmUpEnd, j.giveUpAt)
	}
}

// expireJobs ends the jobs with pending tasks that can no longer meet their deadline, that no worker can run, or that
// are due to go back to their taker for other cells.
func (a *Allocator) expireJobs(now time.Time) {
	for _, j := range a.jobsByArrival() {
		hasPending := slices.ContainsFunc(j.tasks, (*task).pending)
		switch {
		case hasPending && !j.started && a.pastLatestStart(now, j):
			a.count("refusedWaiting")
			a.giveUpJob(now, j, "no room in time")
		case hasPending && !j.started && now.After(j.refuseAt):
			a.giveUpJob(now, j, "no room within the objective")
		case hasPending && now.After(j.giveUpAt):
			a.giveUpJob(now, j, "no room before the job is worthless")
		case hasPending && now.Sub(j.ArrivedAt) > infeasibleAfter && a.infeasible(now, j):
			a.answerJob(now, j, Answer{Kind: wire.FleetOutcome_KIND_FAILED, Reason: "no worker is large enough"})
		case hasPending && !j.started && !j.claiming && a.spilloverDue(now, j):
			a.answerJob(now, j, Answer{Kind: wire.FleetOutcome_KIND_NO_ROOM, NeverStarted: !j.ranBefore && !j.MayHaveStarted && !j.claimedBefore})
		}
	}
}

// spilloverDue reports whether a job that has not started goes back to its taker. One that an earlier owner may have started
// does so only if its taker asks for that, and once its runs are known here.
func (a *Allocator) spilloverDue(now time.Time, j *job) bool {
	if !j.MayHaveStarted && !j.claimedBefore {
		return !now.Before(j.spilloverAt)
	}
	known := a.earlierRunsEnd(j).Add(spilloverDelay)
	return (j.RejectIfFull || !j.MayHaveStarted) && !now.Before(j.spilloverAt) && !now.Before(known)
}

// giveUpJob answers a job without completing it: REFUSED if nothing of it was started, GIVEN_UP otherwise.
func (a *Allocator) giveUpJob(now time.Time, j *job, why string) {
	kind := wire.FleetOutcome_KIND_REFUSED
	if j.started || j.MayHaveStarted || j.ranBefore || j.claimedBefore {
		kind = wire.FleetOutcome_KIND_GIVEN_UP
	}
	a.note("Job timed out with tasks still pending.", "job", j.ID, "why", why, "started", j.started, "expected", j.expectedRunTime, "jobs", len(a.jobs))
	after := retryAfter(j.ID)
	if a.admitter.Active(j.Service) {
		after = a.admitter.RetryAfter(now, j.Service, j.ID)
	}
	a.answerJob(now, j, Answer{Kind: kind, Reason: why, RetryAfter: after})
}

// retryAfter returns when the client of a refused job may submit it again.
func retryAfter(id string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return minRetryAfter + time.Duration(h.Sum32()%retryAfterSteps)*time.Second
}

// infeasible reports whether some task of the job would fit on none of the service's workers, even if they were idle. A
// worker that does not answer may be back.
func (a *Allocator) infeasible(now time.Time, j *job) bool {
	known := false
	for _, s := range j.Steps {
		fits := false
		for _, w := range a.workerList {
			if w.report.Service == j.Service && now.Sub(w.lastHeardAt) <= forgetWorkerAfter {
				known = known || w.synced
				fits = fits || s.Ask.fitsIn(w.capacity) && w.hasLabel(s.Requirement)
			}
		}
		if known && !fits {
			return true
		}
	}
	return false
}
