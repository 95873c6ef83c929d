package allocator

import (
	"time"

	"clementineyard/internal/planner"
)

// This file lets package planner choose workers where tasks are so large that they compete for whole workers. Elsewhere best
// fit (selectWorker) is as good and costs less.

const (
	// competingShare is the part of its worker above which a task competes. At a quarter or less four tasks fit, so that little
	// room is left over.
	competingShare = 4
	// reservationGrace is how late a reserved start may be before its reservation counts as overdue, and no later task starts on
	// the worker. Starts and ends are told within some tens of milliseconds on a small busy VM.
	reservationGrace = 50 * time.Millisecond
	// overdueLogInterval bounds how often overdue reservations are logged.
	overdueLogInterval = 10 * time.Second
	// maxReservationKeep is how long an overdue reservation stays on its worker, which may run something that hangs.
	maxReservationKeep = 500 * time.Millisecond
)

// passPlan is what a dispatch pass planned beyond its starts.
type passPlan struct {
	reservations []reservation
	// backlog is the number of tasks that have neither started nor got a reservation.
	backlog int
}

// reservation is the room that a worker keeps for a task.
type reservation struct {
	task   *task
	worker *worker
	at     time.Time
}

// taskReservation is what a task remembers of its reservations.
type taskReservation struct {
	// first is when the task was first expected to start.
	first time.Time
	// worker keeps room for it since the given time.
	worker *worker
	since  time.Time
}

// overdue reports whether the task should have started.
func (r *taskReservation) overdue(now time.Time) bool {
	return !r.first.IsZero() && now.Sub(r.first) > reservationGrace
}

// competes reports whether one of the tasks asks for so much of the largest worker of its service that it competes.
func (a *Allocator) competes(now time.Time, tasks []*task) bool {
	if a.cfg.BestFitOnly || len(tasks) == 0 {
		return false
	}
	largest := map[string]Resources{}
	for _, w := range a.workerList {
		if w.schedulable(now) {
			c := largest[w.report.Service]
			largest[w.report.Service] = Resources{
				max(c.Millicores, w.capacity.Millicores), max(c.MemoryMiB, w.capacity.MemoryMiB), max(c.Accelerators, w.capacity.Accelerators),
			}
		}
	}
	var last *task
	for _, t := range tasks {
		if last != nil && t.job == last.job && t.step == last.step {
			continue
		}
		last = t
		ask, c := t.job.Steps[t.step].Ask, largest[t.job.Service]
		if competingShare*ask.Millicores > c.Millicores || competingShare*ask.MemoryMiB > c.MemoryMiB || competingShare*ask.Accelerators > c.Accelerators {
			return true
		}
	}
	return false
}

// planPass starts the tasks, which come in the order of their jobs, where package planner places them, and keeps the room that
// it reserves.
func (a *Allocator) planPass(now time.Time, tasks []*task) {
	in := a.planInput(now, tasks)
	plan := planner.Make(&in.Input)
	// As where each task is placed by itself, what is in use counts at the first task that finds no worker. Before that one there are
	// no reservations, so that no room is kept back.
	short := plan.FirstShort()
	recorded := short < 0
	for _, s := range plan.Starts {
		if a.holdStarts() {
			break
		}
		if !recorded && s.Step > short {
			a.recordSaturation(now, in.groups[short][0].job.Service)
			recorded = true
		}
		t := in.take(s.Step)
		if t.reserved.overdue(now) {
			a.recordOverdue(now)
		}
		t.reserved = taskReservation{}
		a.startTask(now, t, in.workers[s.Worker])
	}
	if !recorded {
		a.recordSaturation(now, in.groups[short][0].job.Service)
	}
	a.plan = &passPlan{}
	for _, r := range plan.Reservations {
		t, w := in.take(r.Step), in.workers[r.Worker]
		if t.reserved.first.IsZero() {
			t.reserved.first = r.At
			a.count("reservations")
		}
		if t.reserved.worker != w {
			t.reserved.worker, t.reserved.since = w, now
		}
		a.plan.reservations = append(a.plan.reservations, reservation{t, w, r.At})
	}
	for _, n := range plan.Waiting {
		a.plan.backlog += n
	}
}

// recordOverdue counts a reserved task that starts late, as a run took longer than expected.
func (a *Allocator) recordOverdue(now time.Time) {
	a.count("overdueReservations")
	if a.overdueStarts++; now.Sub(a.overdueLoggedAt) >= overdueLogInterval {
		a.note("Reserved tasks start late; runs take longer than expected.", "tasks", a.overdueStarts)
		a.overdueStarts, a.overdueLoggedAt = 0, now
	}
}

// planInput is the planner's input with what its indices mean.
type planInput struct {
	planner.Input
	workers []*worker
	// groups holds the tasks of each step that are left.
	groups [][]*task
}

// take returns the next task of a step.
func (in *planInput) take(step int) *task {
	t := in.groups[step][0]
	in.groups[step] = in.groups[step][1:]
	return t
}

func (a *Allocator) planInput(now time.Time, tasks []*task) *planInput {
	in := &planInput{Input: planner.Input{Now: now, Workers: make([]planner.Worker, 0, len(a.workerList))}, workers: make([]*worker, 0, len(a.workerList))}
	for _, w := range a.workerList {
		if w.schedulable(now) {
			in.workers = append(in.workers, w)
			in.Workers = append(in.Workers, planner.Worker{
				Capacity: planner.Resources(w.capacity), Free: planner.Resources(w.capacity.minus(w.used)), Slowdown: w.slowdown, Band: int(w.slowdown / slowdownStep),
				MaxStarts: w.maxStarts(now),
			})
		}
	}
	in.Runs = func(i int) []planner.Run { return a.planRuns(in.workers[i]) }
	b := &stepBuilder{a: a, now: now, workers: in.workers, preferences: map[workerChoice][]uint8{}, limits: map[jobStep][]int{}}
	for i := 0; i < len(tasks); {
		n := i + 1
		for n < len(tasks) && tasks[n].alike(tasks[i], now) {
			n++
		}
		in.Steps = append(in.Steps, b.build(tasks[i], n-i))
		in.groups = append(in.groups, tasks[i:n])
		i = n
	}
	return in
}

// maxStarts returns how many tasks may start on a schedulable worker in one pass; 0 where that is not bounded.
func (w *worker) maxStarts(now time.Time) int {
	switch {
	case w.quarantineTime > 0:
		return 1
	case w.cold(now):
		return w.coldRuns - len(w.runs)
	}
	return 0
}

// alike reports whether the planner may take both tasks as alike. An overdue one keeps a worker of its own.
func (t *task) alike(o *task, now time.Time) bool {
	return t.job == o.job && t.step == o.step && len(t.avoidWorkers)+len(o.avoidWorkers) == 0 && !t.reserved.overdue(now) && !o.reserved.overdue(now)
}

func (a *Allocator) planRuns(w *worker) []planner.Run {
	out := make([]planner.Run, 0, len(w.runs))
	for _, r := range w.runs {
		p := planner.Run{Ask: planner.Resources(r.ask), StartedAt: r.sentAt}
		if r.task != nil && r.state != stopping {
			p.Expected = time.Duration(float64(a.expectedRunTime(r.task)) * max(w.slowdown, 1))
		}
		out = append(out, p)
	}
	return out
}

func (a *Allocator) expectedRunTime(t *task) time.Duration {
	return a.queues[t.job.Queue].expectedRunTime(t.job.Steps[t.step].Estimate)
}

// workerChoice is what tasks have in common that prefer the same workers, and jobStep what those have that share a limit.
type (
	workerChoice struct{ service, requirement, dataRack string }
	jobStep      struct {
		job  *job
		step int
	}
)

// stepBuilder builds the planner's steps. Tasks that have the same preferences or limits share the slices.
type stepBuilder struct {
	a           *Allocator
	now         time.Time
	workers     []*worker
	preferences map[workerChoice][]uint8
	limits      map[jobStep][]int
}

// The penalties are added up, so that a worker that the task avoids comes after one that is far, as in rank.
const (
	farPenalty     uint8 = 1
	avoidedPenalty uint8 = 2
)

func (b *stepBuilder) build(t *task, count int) planner.Step {
	step := &t.job.Steps[t.step]
	s := planner.Step{Tasks: count, Ask: planner.Resources(step.Ask), RunTime: b.a.expectedRunTime(t), Preferences: b.preferencesOf(t), Keep: -1}
	// The work of a job that has started late is the first to be wasted in a crest.
	s.Whole = !t.job.started && b.now.After(t.job.latestStart)
	if step.AntiAffinity > 0 {
		s.Limits = b.limitsOf(t, step.AntiAffinity)
	}
	if s.Overdue = t.reserved.overdue(b.now); s.Overdue && b.now.Sub(t.reserved.since) < maxReservationKeep {
		for i, w := range b.workers {
			if w == t.reserved.worker {
				s.Keep = i
			}
		}
	}
	return s
}

func (b *stepBuilder) preferencesOf(t *task) []uint8 {
	step := &t.job.Steps[t.step]
	choice := workerChoice{t.job.Service, step.Requirement, step.DataRack}
	shared, ok := b.preferences[choice]
	if !ok {
		shared = make([]uint8, len(b.workers))
		for i, w := range b.workers {
			switch {
			case w.report.Service != choice.service || !w.hasLabel(choice.requirement):
				shared[i] = planner.Never
			case choice.dataRack != "" && !w.hasLabel(choice.dataRack):
				shared[i] = farPenalty
			}
		}
		b.preferences[choice] = shared
	}
	if len(t.avoidWorkers) == 0 {
		return shared
	}
	own := make([]uint8, len(shared))
	for i, w := range b.workers {
		if own[i] = shared[i]; own[i] != planner.Never && t.avoids(w.report.Id) {
			own[i] += avoidedPenalty
		}
	}
	return own
}

func (b *stepBuilder) limitsOf(t *task, most int) []int {
	key := jobStep{t.job, t.step}
	if b.limits[key] == nil {
		limits := make([]int, len(b.workers))
		for i, w := range b.workers {
			limits[i] = most - w.countStepRuns(t)
		}
		b.limits[key] = limits
	}
	return b.limits[key]
}
