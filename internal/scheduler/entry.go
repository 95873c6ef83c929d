package scheduler

import (
	"math"
	"time"

	"clementineyard/internal/estimator"
	"clementineyard/internal/placer"
)

const (
	// defaultMillicores is what a task takes on a worker when neither the task nor its task file asks for any
	// resources.
	defaultMillicores = 1000
	millicoresPerUnit = 1000
)

// state is the state of an admitted task.
type state int

const (
	stateHeld state = iota
	stateQueued
	// stateDropped is a waiting task that will not start and that the next Expire reports.
	stateDropped
	stateRunning
	// stateRemoved is a cancelled or expired task whose entry may still be in a heap.
	stateRemoved
)

// phase tells how far a running task is past its predicted run time.
type phase int

const (
	// phaseOnTime is before the predicted end.
	phaseOnTime phase = iota
	// phaseOverdue is past the predicted end.
	phaseOverdue
	// phaseOverrun is past overrunFactor times the predicted run time; the task then counts as long.
	phaseOverrun
)

// entry is the record of one admitted task, waiting or running.
type entry struct {
	Task
	svc      *service
	team     *team
	taskType *taskType
	// class is the class in which the task is queued, or was queued when it started.
	class class
	state state
	// sequence breaks ties between equal deadlines in order of admission; a requeued task has 0 and so comes first.
	sequence uint64
	// deadline is in nanoseconds since the Unix epoch; the largest value when the task has none.
	deadline int64
	ask      Resources
	// units is the capacity that the task takes: one slot of a backend server, or cores of a worker.
	units float64
	// tasksByRack counts the started tasks of the entry's job by rack; nil for a single task and on backend servers.
	tasksByRack map[string]int
	// declaredWork is the work that the queue counts while the task type has no result yet, in seconds times units.
	declaredWork float64
	firstAttempt bool
	admittedAt   time.Time
	// predictedWait is compared with the actual wait when the task starts; negative means that none was predicted.
	predictedWait time.Duration

	slot             placer.Slot
	startedAt        time.Time
	predictedRunTime time.Duration
	// cancelled is set when a cancellation found the task running.
	cancelled bool
	phase     phase
	// nextPhaseAt is when the running task enters its next phase.
	nextPhaseAt time.Time
	phaseIndex  int
}

// taskType is one type of task of a service, with its learned run times and its queued work.
type taskType struct {
	TaskSpec
	runTimes *estimator.TaskRunTimes
	// queuedUnits and declaredWork are sums over the waiting entries of each class.
	queuedUnits  [numClasses]float64
	declaredWork [numClasses]float64
}

// queuedWork returns the predicted work of the waiting entries of a class, in seconds times units. It uses the
// current prediction, so that a wrong declared run time no longer counts after the first result.
func (tt *taskType) queuedWork(c class) float64 {
	if tt.queuedUnits[c] <= 0 {
		return 0
	}
	if d := tt.runTimes.Predict(0); tt.runTimes.HasResult() {
		return tt.queuedUnits[c] * d.Seconds()
	}
	return tt.declaredWork[c]
}

// class returns the class in which new tasks of this type are queued.
func (tt *taskType) class() class {
	if tt.runTimes.Long() {
		return classLong
	}
	return classShort
}

func (s *Scheduler) newEntry(now time.Time, svc *service, tt *taskType, t Task, first bool) *entry {
	e := &entry{
		Task: t, svc: svc, taskType: tt, team: svc.team(t.Team), class: tt.class(), deadline: math.MaxInt64,
		ask: effectiveAsk(svc, tt, &t), units: 1, firstAttempt: first, admittedAt: now, predictedWait: -1, phaseIndex: -1,
	}
	if !t.Deadline.IsZero() {
		e.deadline = t.Deadline.UnixNano()
	}
	if svc.OnWorkers {
		e.units = workerUnits(e.ask)
	}
	e.declaredWork = e.units * tt.predictRunTime(&t).Seconds()
	if first {
		s.lastSequence++
		e.sequence = s.lastSequence
	}
	return e
}

// workerUnits returns the units that an ask takes on a worker: its cores, at least 0.001.
func workerUnits(ask Resources) float64 { return max(float64(ask.Millicores)/millicoresPerUnit, 0.001) }

// effectiveAsk returns the resources that a task takes on a worker. They are zero for a backend server, where each
// task takes one slot.
func effectiveAsk(svc *service, tt *taskType, t *Task) Resources {
	if !svc.OnWorkers {
		return Resources{}
	}
	ask := t.Ask
	if ask == (Resources{}) {
		ask = tt.Ask
	}
	if ask.Millicores <= 0 {
		ask.Millicores = defaultMillicores
	}
	ask.Memory, ask.Accelerators = max(ask.Memory, 0), max(ask.Accelerators, 0)
	return ask
}

// predictRunTime returns the learned run time of a task or, before the first result, the declared one.
func (tt *taskType) predictRunTime(t *Task) time.Duration {
	declared := t.Declared
	if declared <= 0 {
		declared = tt.Declared
	}
	return tt.runTimes.Predict(declared)
}
