package allocator

import (
	"sync/atomic"
	"time"

	"clementineyard/wire"
)

// This file bounds what the jobs of a cell take in memory. It answers jobs of some bytes with very many tasks, also many at once:
// the largest job that waits gives way to a smaller one, so that ordinary jobs find room beside them.

const (
	// taskBytes is what a task takes in memory before it starts, with its name.
	taskBytes = 224
	// noMemory is the reason for which a job is refused that does not fit.
	noMemory = "no memory for the job"
)

// JobMemory bounds what the jobs of all cells that a process owns take in memory. It is safe for concurrent use.
type JobMemory struct {
	// Limit is in bytes.
	Limit int64
	used  atomic.Int64
}

// Used returns what the jobs take, in bytes.
func (m *JobMemory) Used() int64 { return m.used.Load() }

// reserve adds a job of a size in bytes and reports whether it fits. One job always does.
func (m *JobMemory) reserve(size int64) bool {
	for {
		used := m.used.Load()
		if used > 0 && used+size > m.Limit {
			return false
		}
		if m.used.CompareAndSwap(used, used+size) {
			return true
		}
	}
}

// ownerSize returns about how many bytes the job takes at the owner, which has a state for each task.
func (j *Job) ownerSize() int64 {
	n := int64(j.Size())
	for i := range j.Steps {
		n += taskBytes * int64(j.Steps[i].Count)
	}
	return n
}

// makeRoom reserves the memory of a job of a size. Where it does not fit, jobs that wait and are larger are refused, the largest first. It
// reports false if the job is to be refused. A job that may have started always gets its memory, as it cannot be refused.
func (a *Allocator) makeRoom(now time.Time, j *Job, size int64) bool {
	m := a.cfg.Memory
	for m != nil && !m.reserve(size) {
		if j.MayHaveStarted || now.Before(a.elsewhereUntil[j.ID]) || a.HasStarted(j.ID) {
			m.used.Add(size)
			return true
		}
		largest := a.largestRefusable()
		if largest == nil || largest.size <= size {
			return false
		}
		a.refuseForMemory(now, largest)
	}
	return true
}

// largestRefusable returns the largest job of which nothing has run; nil if there is none.
func (a *Allocator) largestRefusable() (largest *job) {
	for _, j := range a.jobs {
		if j.mayHaveRun() {
			continue
		}
		if largest == nil || j.size > largest.size || j.size == largest.size && j.arrivalOrder > largest.arrivalOrder {
			largest = j
		}
	}
	return largest
}

// refuseForMemory refuses a job that waits. Whether one has run whose claim is not answered is not known.
func (a *Allocator) refuseForMemory(now time.Time, j *job) {
	a.count("refusedForMemory")
	kind := wire.FleetOutcome_KIND_REFUSED
	if j.claiming {
		kind = wire.FleetOutcome_KIND_GIVEN_UP
	}
	a.answerJob(now, j, Answer{Kind: kind, Reason: noMemory, RetryAfter: retryAfter(j.ID)})
}

// rejectForMemory answers a job for which there is no memory. An owner that does not know what its workers run cannot tell
// whether the job has run.
func (a *Allocator) rejectForMemory(now time.Time, j *Job) {
	a.count("refusedForMemory")
	answer := Answer{Job: j, Kind: wire.FleetOutcome_KIND_REFUSED, Reason: noMemory, RetryAfter: retryAfter(j.ID)}
	switch {
	case j.RejectIfFull:
		answer = Answer{Job: j, Kind: wire.FleetOutcome_KIND_NO_ROOM, NeverStarted: true}
	case !a.knowsBacklog(now):
		answer.Kind = wire.FleetOutcome_KIND_GIVEN_UP
	}
	a.output.Answers = append(a.output.Answers, answer)
}

// ReleaseMemory returns the memory of all jobs. The Allocator must not be used afterwards.
func (a *Allocator) ReleaseMemory() {
	for _, j := range a.jobs {
		a.release(j)
	}
}

func (a *Allocator) release(j *job) {
	if a.cfg.Memory != nil {
		a.cfg.Memory.used.Add(-j.size)
	}
	j.size = 0
}
