package scheduler

import (
	"cmp"
	"slices"
	"time"

	"clementineyard/wire"
)

const (
	// evacuationGrace is how long the remaining tasks of submissions may start that had started before the failure domain was
	// evacuated. Operators expect the last start within 5 s; the order reaches an owner within about a second.
	evacuationGrace = time.Second
	// evacuatedRetryAfter is the delay that is advised to callers of an evacuated failure domain.
	evacuatedRetryAfter = time.Second
)

// SetEvacuated sets whether operators have evacuated the failure domain. Nothing is admitted then. The caller cancels the
// submissions that have not started; what is left may start for evacuationGrace, and is reported by Expire after that.
func (s *Scheduler) SetEvacuated(now time.Time, evacuated bool) {
	if s.evacuated != evacuated {
		s.evacuated, s.evacuationGraceEnd = evacuated, now.Add(evacuationGrace)
		s.markAllReady()
	}
}

// startsEnded reports whether no task may start any more as the failure domain is evacuated.
func (s *Scheduler) startsEnded(now time.Time) bool {
	return s.evacuated && !now.Before(s.evacuationGraceEnd)
}

// dropEvacuated drops the waiting tasks once no task may start any more, in the order of their ids so that runs are reproducible.
func (s *Scheduler) dropEvacuated(now time.Time) {
	if !s.startsEnded(now) || s.waitingCount == 0 {
		return
	}
	var waiting []*entry
	for _, e := range s.tasks {
		if e.isWaiting() {
			waiting = append(waiting, e)
		}
	}
	slices.SortFunc(waiting, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range waiting {
		s.drop(e)
	}
}

func (s *Scheduler) refuseEvacuated() *Refusal {
	s.refused[wire.Reason_REASON_EVACUATED]++
	return newEvacuatedRefusal()
}

func newEvacuatedRefusal() *Refusal {
	return &Refusal{Reason: wire.Reason_REASON_EVACUATED, RetryAfter: evacuatedRetryAfter}
}
