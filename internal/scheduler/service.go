package scheduler

import (
	"maps"
	"slices"

	"clementineyard/internal/limiter"
	"clementineyard/internal/sorter"
)

// class separates short tasks from long ones, so that short tasks do not wait behind long ones.
type class int

const (
	classShort class = iota
	classLong
	numClasses
)

// idleTeamEvictionThreshold is the number of known teams at which those without tasks are evicted. A team that
// returns after its eviction resumes at the current virtual time of its shares.
const idleTeamEvictionThreshold = 1024

// service holds the queues and the running work of one service.
type service struct {
	Service
	// flow is the service's flow in Scheduler.readyServices.
	flow      *limiter.Flow[*service]
	taskTypes map[string]*taskType
	// orderedTaskTypes holds the task types in the task file's order, so that floating-point sums are the same in
	// each run.
	orderedTaskTypes []*taskType
	teams            map[string]*team
	queues           [numClasses]classQueue
	retryBudget      limiter.RetryBudget
	// running describes the capacity that running tasks take, in units.
	running runningWork
	// lastStartLong is true when the last task that started was a long one.
	lastStartLong bool
	// removed is true when the service is no longer configured.
	removed     bool
	reservation reservation
}

// classQueue holds the shares of the teams and sums over the waiting tasks of one class, held tasks included.
type classQueue struct {
	shares *limiter.FairQueue[*team]
	count  int
	units  float64
}

// team holds the quota and the queues of one team in one service.
type team struct {
	name   string
	quota  limiter.Quota
	queues [numClasses]teamQueue
}

// teamQueue holds one team's waiting tasks of one class by deadline, then by admission.
type teamQueue struct {
	flow *limiter.Flow[*team]
	heap *sorter.Heap[heapItem]
	// queued counts the entries of the heap that may still start; the others are stale and are discarded lazily.
	queued int
	// count and units are sums over the waiting tasks, held tasks included.
	count int
	units float64
}

func newService() *service {
	svc := &service{taskTypes: map[string]*taskType{}, teams: map[string]*team{}, retryBudget: limiter.NewRetryBudget()}
	svc.flow = limiter.NewFlow(svc, 1)
	for c := range svc.queues {
		svc.queues[c].shares = limiter.NewFairQueue[*team]()
	}
	return svc
}

// configure applies a new task file and keeps the waiting and running tasks.
func (svc *service) configure(spec Service, s *Scheduler) {
	svc.Service, svc.removed = spec, false
	old := svc.taskTypes
	svc.taskTypes, svc.orderedTaskTypes = make(map[string]*taskType, len(spec.Tasks)), nil
	for _, t := range spec.Tasks {
		tt := old[t.Name]
		if tt == nil {
			tt = &taskType{runTimes: s.estimator.Task(spec.Name, t.Name)}
		}
		tt.TaskSpec = t
		svc.taskTypes[t.Name] = tt
		svc.orderedTaskTypes = append(svc.orderedTaskTypes, tt)
	}
	for _, name := range slices.Sorted(maps.Keys(svc.teams)) {
		t := svc.teams[name]
		t.quota.Limit = svc.quota(t.name)
		for c := range t.queues {
			f := t.queues[c].flow
			svc.queues[c].shares.Remove(f)
			f.Weight = svc.weight(t.name)
		}
		svc.resumeTeam(t)
	}
}

// weight returns the team's weight in the service's shares.
func (svc *service) weight(team string) float64 {
	if w := svc.TeamWeights[team]; w > 0 {
		return float64(w)
	}
	return 1
}

// quota returns the maximum number of the team's running tasks, or -1 when there is none.
func (svc *service) quota(team string) int {
	if q, ok := svc.TeamQuotas[team]; ok {
		return max(q, 0)
	}
	return -1
}

// team returns the record of a team, and creates it at first use.
func (svc *service) team(name string) *team {
	t := svc.teams[name]
	if t != nil {
		return t
	}
	if len(svc.teams) >= idleTeamEvictionThreshold {
		svc.evictIdleTeams()
	}
	t = &team{name: name, quota: limiter.Quota{Limit: svc.quota(name)}}
	for c := range t.queues {
		t.queues[c].flow = limiter.NewFlow(t, svc.weight(name))
		t.queues[c].heap = sorter.New(earlierDeadline, nil)
	}
	svc.teams[name] = t
	return t
}

// evictIdleTeams removes the teams that have neither waiting nor running tasks.
func (svc *service) evictIdleTeams() {
	for name, t := range svc.teams {
		if t.quota.Running == 0 && t.queues[classShort].count+t.queues[classLong].count == 0 {
			delete(svc.teams, name)
		}
	}
}

// heapItem is an entry in a queue's heap. It copies the entry's sort keys, so that a heap of thousands of items
// compares them without loading each entry from memory.
type heapItem struct {
	deadline int64
	order    uint64
	*entry
}

func newHeapItem(e *entry) heapItem { return heapItem{e.deadline, e.sequence, e} }

// earlierDeadline orders heap items by deadline, then by admission.
func earlierDeadline(a, b heapItem) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.order < b.order
}

// queued returns the number of waiting tasks, held tasks included.
func (svc *service) queued() int {
	return svc.queues[classShort].count + svc.queues[classLong].count
}

// countWaiting adds a waiting entry to the sums, or removes it with sign -1.
func (svc *service) countWaiting(e *entry, sign int) {
	q, tq, u := &svc.queues[e.class], &e.team.queues[e.class], float64(sign)*e.units
	q.count += sign
	q.units += u
	tq.count += sign
	tq.units += u
	e.taskType.queuedUnits[e.class] += u
	e.taskType.declaredWork[e.class] += float64(sign) * e.declaredWork
	// The sums of an empty queue are reset to discard rounding errors.
	if tq.count == 0 {
		tq.units = 0
	}
	if q.count == 0 {
		q.units = 0
		e.taskType.queuedUnits[e.class], e.taskType.declaredWork[e.class] = 0, 0
	}
}

// push adds an entry that is already counted as waiting to its team's heap.
func (svc *service) push(e *entry) {
	e.state = stateQueued
	tq := &e.team.queues[e.class]
	tq.heap.Push(newHeapItem(e))
	tq.queued++
	if !e.team.quota.Full() {
		svc.queues[e.class].shares.Add(tq.flow)
	}
}

// removeWaiting marks a waiting entry with its new state. Its heap item is removed lazily: when it reaches the top,
// or when half of the heap is stale.
func (svc *service) removeWaiting(e *entry, to state) {
	svc.countWaiting(e, -1)
	if e.state == stateHeld {
		e.state = to
		return
	}
	e.state = to
	tq := &e.team.queues[e.class]
	tq.queued--
	if tq.queued == 0 {
		svc.queues[e.class].shares.Remove(tq.flow)
	}
	if 2*tq.queued <= tq.heap.Len() {
		c := e.class
		tq.heap.Filter(func(item heapItem) bool { return item.state == stateQueued && item.class == c })
	}
}

// resumeTeam lets a team that is below its quota compete for starts again.
func (svc *service) resumeTeam(t *team) {
	if t.quota.Full() {
		return
	}
	for c := range t.queues {
		if t.queues[c].queued > 0 {
			svc.queues[c].shares.Add(t.queues[c].flow)
		}
	}
}

// queuedWork returns the predicted work of the waiting tasks of a class, in seconds times units.
func (svc *service) queuedWork(c class) float64 {
	sum := 0.0
	for _, tt := range svc.orderedTaskTypes {
		sum += tt.queuedWork(c)
	}
	return sum
}
