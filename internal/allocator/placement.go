package allocator

import (
	"slices"
	"time"
)

// This file decides on which worker a task starts. It answers workers that are slow, sick or unevenly loaded.

const (
	// maxPlacementFailures bounds how many jobs may have a task without a suitable worker before a dispatch pass ends.
	maxPlacementFailures = 12
	// slowdownStep is the width of the bands of slowdown within which workers count as equally fast.
	slowdownStep = 0.15
)

// hasRoom reports whether every task of the job's steps without dependencies could start now beside those of the jobs that
// are being claimed, and no other task waits for a worker. Where tasks compete for workers, plannedRoom decides. An evacuated
// cell has no room.
func (a *Allocator) hasRoom(now time.Time, j *Job) bool {
	if a.evacuated {
		return false
	}
	if n, waiting := a.withJob(now, j); a.competes(now, a.unplacedTasks(waiting)) {
		return a.plannedRoom(now, n, waiting)
	}
	claiming := int64(0)
	for _, other := range a.jobs {
		if slices.ContainsFunc(other.tasks, (*task).ready) {
			return false
		}
		for _, t := range other.tasks {
			if other.claiming && other.Service == j.Service && t.pending() && len(other.Steps[t.step].DependsOn) == 0 {
				claiming++
			}
		}
	}
	for _, s := range j.Steps {
		if len(s.DependsOn) > 0 {
			continue
		}
		left := int64(s.Count) + claiming
		for _, w := range a.workerList {
			if left > 0 && w.report.Service == j.Service && w.schedulable(now) && w.hasLabel(s.Requirement) {
				n := w.capacity.minus(w.used).capacityFor(s.Ask)
				if s.AntiAffinity > 0 {
					n = min(n, int64(s.AntiAffinity))
				}
				left -= w.startsLeft(now, n)
			}
		}
		if left > 0 {
			return false
		}
	}
	return true
}

// placeEach starts the tasks, which come in the order of their jobs, each by itself on the worker that fits best. After a task
// without a suitable worker it goes on with the next job.
func (a *Allocator) placeEach(now time.Time, tasks []*task) {
	placementFailures := 0
	var full *job
	for _, t := range tasks {
		if a.holdStarts() {
			return
		}
		if t.job == full {
			continue
		}
		if w := a.selectWorker(now, t); w != nil {
			a.startTask(now, t, w)
			continue
		}
		if placementFailures == 0 {
			a.recordSaturation(now, t.job.Service)
		}
		if placementFailures++; placementFailures >= maxPlacementFailures {
			return
		}
		full = t.job
	}
}

// selectWorker returns the worker to start a task on, nil when there is none: the one with the smallest slowdown and,
// among equals, the one with the least free capacity (best fit), so that large tasks find room on the others.
func (a *Allocator) selectWorker(now time.Time, t *task) *worker {
	step := &t.job.Steps[t.step]
	var best *worker
	var bestRank rank
	for _, w := range a.workerList {
		if w.report.Service != t.job.Service || !w.schedulable(now) || !w.hasLabel(step.Requirement) {
			continue
		}
		free := w.capacity.minus(w.used)
		if !step.Ask.fitsIn(free) || step.AntiAffinity > 0 && w.countStepRuns(t) >= step.AntiAffinity {
			continue
		}
		k := rank{avoided: t.avoids(w.report.Id), far: step.DataRack != "" && !w.hasLabel(step.DataRack), slowdown: w.slowdown, freeMillicores: free.Millicores}
		if best == nil || k.betterThan(bestRank) {
			best, bestRank = w, k
		}
	}
	return best
}

// countStepRuns returns how many runs of t's step the worker has.
func (w *worker) countStepRuns(t *task) int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.job == t.job && r.task.step == t.step {
			n++
		}
	}
	return n
}

// rank holds what selectWorker compares of a worker.
type rank struct {
	// avoided is true for a worker that the task avoids, far for one without the step's DataRack label.
	avoided, far   bool
	slowdown       float64
	freeMillicores int64
}

// betterThan reports whether a worker of rank k is preferred to one of rank o.
func (k rank) betterThan(o rank) bool {
	switch {
	case k.avoided != o.avoided:
		return !k.avoided
	case k.far != o.far:
		return !k.far
	}
	if x, y := int(k.slowdown/slowdownStep), int(o.slowdown/slowdownStep); x != y {
		return x < y
	}
	return k.freeMillicores < o.freeMillicores
}
