package allocator

import "time"

// DueHolds returns the holds and probes that are due. The caller reports the result of each with HandleHoldResult.
func (a *Allocator) DueHolds(now time.Time) []HoldOrder {
	if now.Before(a.earliestHoldAt) {
		return nil
	}
	var out []HoldOrder
	a.earliestHoldAt = now.Add(probeBackoffMax)
	for _, w := range a.workerList {
		lost := !w.holdLostAt.IsZero() && !now.Before(w.holdLostAt)
		if lost {
			a.count("lostHolds")
		}
		if w.holdInFlight && !lost {
			if !w.holdLostAt.IsZero() {
				a.earliestHoldAt = earlier(a.earliestHoldAt, w.holdLostAt)
			}
			if w.probeWanted && !w.probeInFlight {
				w.probeWanted, w.probeInFlight, w.probedAt = false, true, now
				a.count("probes")
				out = append(out, HoldOrder{Worker: w.report, Ack: w.ackedEnd, Probe: true})
			}
			continue
		}
		if !lost && now.Before(w.nextHoldAt) {
			a.earliestHoldAt = earlier(a.earliestHoldAt, w.nextHoldAt)
			continue
		}
		w.holdInFlight, w.holdLostAt, w.holdAddress = true, time.Time{}, w.report.Address
		w.holdNumber++
		o := HoldOrder{Worker: w.report, Ack: w.ackedEnd, Number: w.holdNumber}
		if w.healthy() && !w.probeWanted {
			o.PollTime = holdPollTime
		}
		w.probeWanted = false
		if w.healthy() && !w.hasUnknownRuns {
			w.leaseEnd = max(w.leaseEnd, w.estimatedClock(now)+a.cfg.MaxLease.Milliseconds())
			o.LeaseEnd = w.leaseEnd
		}
		out = append(out, o)
	}
	return out
}

// HandleHoldResult processes the result of a hold or a probe that was sent at sentAt: the listing where v is Done.
func (a *Allocator) HandleHoldResult(now, sentAt time.Time, o HoldOrder, l Listing, v Verdict) Output {
	w := a.workers[o.Worker.Id]
	// A hold that counted as lost says no more than a probe.
	superseded := w != nil && !o.Probe && o.Number != w.holdNumber
	switch {
	case superseded && v == Done:
		a.applyListing(now, sentAt, w, l)
		return a.takeOutput()
	case superseded:
		a.output.Deposed = a.output.Deposed || v == Fenced
		return a.takeOutput()
	case o.Probe && v == Done:
		return a.HandleProbe(now, sentAt, o.Worker.Id, l)
	case o.Probe:
		return a.HandleProbeFailure(now, o.Worker.Id, v)
	case v == Done:
		return a.HandleListing(now, sentAt, o.Worker.Id, l)
	}
	return a.HandleHoldFailure(now, o.Worker.Id, v)
}

// HandleListing processes a worker's listing in reply to a hold that was sent at sentAt.
func (a *Allocator) HandleListing(now, sentAt time.Time, id string, l Listing) Output {
	w := a.workers[id]
	if w == nil {
		return a.takeOutput()
	}
	w.holdInFlight, w.holdLostAt, a.earliestHoldAt = false, time.Time{}, now
	a.applyListing(now, sentAt, w, l)
	return a.takeOutput()
}

// HandleProbe processes a worker's listing in reply to a probe that was sent at sentAt.
func (a *Allocator) HandleProbe(now, sentAt time.Time, id string, l Listing) Output {
	if w := a.workers[id]; w != nil {
		w.probeInFlight = false
		ended := w.ackedEnd
		a.applyListing(now, sentAt, w, l)
		if w.holdInFlight && w.holdLostAt.IsZero() && w.ackedEnd > ended {
			w.holdLostAt = now.Add(lostHoldGrace)
			a.earliestHoldAt = earlier(a.earliestHoldAt, w.holdLostAt)
		}
	}
	return a.takeOutput()
}

// HandleProbeFailure processes a probe that failed with verdict v. The hold beside it decides on whether the worker can
// be reached.
func (a *Allocator) HandleProbeFailure(now time.Time, id string, v Verdict) Output {
	w := a.workers[id]
	if w == nil {
		return a.takeOutput()
	}
	w.probeInFlight = false
	a.output.Deposed = a.output.Deposed || v == Fenced
	return a.takeOutput()
}

// applyListing processes a worker's listing in reply to a hold or a probe that was sent at sentAt.
func (a *Allocator) applyListing(now, sentAt time.Time, w *worker, l Listing) {
	if l.Born < w.born && !w.isCurrent(l.Born) && sentAt.Before(w.bornKnownAt) {
		// The former incarnation replied before it ended.
		return
	}
	a.changeIncarnation(now, w, l.Born)
	w.listedBorn = l.Born
	if !w.synced {
		// Another owner, or a start that was sent to the former incarnation, may have granted a whole lease.
		w.leaseEnd = max(w.leaseEnd, l.Clock+a.cfg.MaxLease.Milliseconds())
	}
	if a.firstListingAt.IsZero() {
		a.firstListingAt = now
	}
	// The replies to a hold and to a probe may overtake each other. Of an older listing only the ends are news.
	overtaken := w.synced && sentAt.Before(w.clockAt) && l.Clock <= w.clock
	w.synced, w.unreachableSince, w.backoff, w.lastHeardAt = true, time.Time{}, 0, now
	w.nextHoldAt = now
	if !overtaken {
		w.clock, w.clockAt, w.listingAskedAt = l.Clock, now, sentAt
		w.hasUnknownRuns = l.Incomplete
		a.reconcileRuns(now, sentAt, w, l)
	}
	for _, e := range l.Ended {
		if e.Number > w.ackedEnd {
			w.ackedEnd = e.Number
			a.handleEnd(now, w, e)
		}
	}
	a.dispatch(now)
}

// HandleHoldFailure processes a hold that failed with verdict v.
func (a *Allocator) HandleHoldFailure(now time.Time, id string, v Verdict) Output {
	w := a.workers[id]
	if w == nil {
		return a.takeOutput()
	}
	w.holdInFlight, w.holdLostAt, a.earliestHoldAt = false, time.Time{}, now
	switch {
	case v == Fenced:
		a.output.Deposed = true
	case w.holdAddress != w.report.Address:
		// The worker has restarted elsewhere since.
		w.nextHoldAt = now
	case v == OtherIncarnation:
		a.loseRuns(now, w, w.runsByTask(), causeOtherWorker)
		a.removeWorker(w)
	default:
		a.markUnreachable(now, w, v)
		if now.Sub(w.lastHeardAt) > forgetWorkerAfter {
			w.nextHoldAt = now.Add(silentProbeInterval)
		}
		if now.Sub(w.lastHeardAt) > removeWorkerAfter {
			a.loseRuns(now, w, w.runsByTask(), causeUnreachable)
			a.removeWorker(w)
		}
	}
	a.dispatch(now)
	return a.takeOutput()
}

// markUnreachable delays the next hold of a worker that does not answer, with exponential backoff.
func (a *Allocator) markUnreachable(now time.Time, w *worker, v Verdict) {
	if w.unreachableSince.IsZero() {
		w.unreachableSince = now
		a.note("Worker does not answer.", "worker", w.report.Id, "verdict", v.String(), "runs", len(w.runs), "silentFor", now.Sub(w.lastHeardAt))
	}
	w.backoff = min(max(2*w.backoff, probeBackoffMin), probeBackoffMax)
	w.nextHoldAt = now.Add(w.backoff)
}

// reconcileRuns compares the runs that a worker lists with those that are known here.
func (a *Allocator) reconcileRuns(now, sentAt time.Time, w *worker, l Listing) {
	listed := map[string]int{}
	for _, e := range l.Running {
		listed[e.Task] = e.Attempt
		r := w.runs[e.Task]
		switch {
		case r != nil && r.attempt == e.Attempt:
			a.confirmRun(now, r, e.Percent)
		case r == nil && a.liveRuns[e.Task] == nil:
			a.addOrphan(now, w, e)
		case r == nil:
			a.stopDuplicate(now, w, e)
		}
	}
	if l.Incomplete {
		return
	}
	ended := map[string]int{}
	for _, e := range l.Ended {
		ended[e.Task] = e.Attempt
	}
	for _, r := range w.runsByTask() {
		if attempt, ok := listed[r.name]; ok && attempt == r.attempt {
			continue
		}
		if attempt, ok := ended[r.name]; ok && attempt == r.attempt {
			continue
		}
		if !r.unansweredAt.IsZero() && !sentAt.Before(r.unansweredAt) {
			// The start may still be carried out later.
			a.stopRun(now, r)
		}
		// A listing proves that a run is gone only if it was requested after the run was confirmed, or after its stop was
		// acknowledged.
		confirmed := !r.confirmedAt.IsZero() && r.confirmedAt.Before(sentAt)
		stopped := r.stopAckedBefore(sentAt)
		if confirmed || stopped {
			a.note("Worker no longer lists the run and reported no end of it.", "task", r.name, "attempt", r.attempt, "worker", w.report.Id, "stopped", stopped)
			a.loseRun(r, causeNotListed)
			if attempt, ok := listed[r.name]; ok && a.liveRuns[r.name] == nil {
				a.addOrphan(now, w, ListedRun{Task: r.name, Attempt: attempt})
			}
		}
	}
}
