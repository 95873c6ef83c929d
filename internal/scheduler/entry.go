package scheduler

import (
	"math"
	"time"

	"clementineyard/internal/estimator"
	"clementineyard/internal/placer"
)

const (
	// defaultMillicores is what a task on a worker takes when neither the task nor its task file asks for anything.
	defaultMillicores = 1000
	millicoresPerUnit = 1000
)

type state int

const (
	stateHeld state = iota
	stateQueued
	// stateDropped is a queued task that will not start and that the next Expire reports.
	stateDropped
	stateRunning
	// stateGone is a cancelled or expired task that is still in a queue.
	stateGone
)

// phase tells how a running task compares with its prediction.
type phase int

const (
	phaseInTime phase = iota
	// phaseLate is past the predicted end.
	phaseLate
	// phaseOverran is past overrunFactor times the prediction; the task counts as long.
	phaseOverran
)

// entry is one admitted task.
type entry struct {
	Task
	svc  *service
	team *team
	kind *kind
	// class is where the task is queued, or was when it started.
	class class
	state state
	// order breaks ties between equal deadlines; a repeated task keeps the front.
	order    uint64
	deadline int64
	ask      Resources
	// units is the room taken: one slot of a backend server, or cores of a worker.
	units float64
	// racks counts the starts of the entry's job by rack; nil for a single task and on backend servers.
	racks map[string]int
	// declaredWork is what the queue counts while the kind has no result, in seconds times units.
	declaredWork float64
	first        bool
	admitted     time.Time
	// predictedWait is compared with the real wait when the task starts; negative means none was predicted.
	predictedWait time.Duration

	slot      placer.Slot
	started   time.Time
	predicted time.Duration
	// cancelled is set when a cancellation found the task running.
	cancelled bool
	phase     phase
	// nextPhase is when the running task enters its next phase.
	nextPhase time.Time
	phaseIdx  int
}

// kind is one task of a service with what is queued of it.
type kind struct {
	TaskSpec
	stat *estimator.Task
	// queuedUnits and declaredWork add up the queued entries by class.
	queuedUnits  [classes]float64
	declaredWork [classes]float64
}

// work is the predicted work of the queued entries of a class, in seconds times units. It is derived from the present
// prediction, so that a wrong declared size stops to count with the first result.
func (k *kind) work(c class) float64 {
	if k.queuedUnits[c] <= 0 {
		return 0
	}
	if d := k.stat.Predict(0); k.stat.Seen() {
		return k.queuedUnits[c] * d.Seconds()
	}
	return k.declaredWork[c]
}

func (k *kind) class() class {
	if k.stat.Long() {
		return classLong
	}
	return classShort
}

func (s *Scheduler) newEntry(now time.Time, svc *service, k *kind, t Task, first bool) *entry {
	e := &entry{
		Task: t, svc: svc, kind: k, team: svc.team(t.Team), class: k.class(), deadline: math.MaxInt64,
		ask: askOf(svc, k, &t), units: 1, first: first, admitted: now, predictedWait: -1, phaseIdx: -1,
	}
	if !t.Deadline.IsZero() {
		e.deadline = t.Deadline.UnixNano()
	}
	if svc.OnWorkers {
		e.units = units(e.ask)
	}
	e.declaredWork = e.units * k.predict(&t).Seconds()
	if first {
		s.order++
		e.order = s.order
	}
	return e
}

func units(ask Resources) float64 { return max(float64(ask.Millicores)/millicoresPerUnit, 0.001) }

// askOf is the room a task takes on a worker; a backend server gives one slot to each task.
func askOf(svc *service, k *kind, t *Task) Resources {
	if !svc.OnWorkers {
		return Resources{}
	}
	ask := t.Ask
	if ask == (Resources{}) {
		ask = k.Ask
	}
	if ask.Millicores <= 0 {
		ask.Millicores = defaultMillicores
	}
	ask.Memory, ask.Accelerators = max(ask.Memory, 0), max(ask.Accelerators, 0)
	return ask
}

func (k *kind) predict(t *Task) time.Duration {
	declared := t.Declared
	if declared <= 0 {
		declared = k.Declared
	}
	return k.stat.Predict(declared)
}
