package scheduler

import (
	"maps"
	"slices"

	"clementineyard/internal/limiter"
	"clementineyard/internal/sorter"
)

type class int

const (
	classShort class = iota
	classLong
	classes
)

// maxIdleTeams bounds the teams that are remembered without work; a forgotten team resumes at the current share.
const maxIdleTeams = 1024

// service is the queue and the running work of one service.
type service struct {
	Service
	flow  *limiter.Flow[*service]
	kinds map[string]*kind
	// kindList holds the kinds in the task file's order, so that sums are the same in each run.
	kindList []*kind
	teams    map[string]*team
	queues   [classes]classQueue
	budget   limiter.Budget
	// room is taken by what runs, in units.
	running runningWork
	// lastLong is true when the last start was of a long task.
	lastLong    bool
	gone        bool
	reservation reservation
}

// classQueue adds up the waiting tasks of one class, held ones included.
type classQueue struct {
	shares *limiter.Shares[*team]
	count  int
	units  float64
}

type team struct {
	name   string
	quota  limiter.Quota
	queues [classes]teamQueue
}

// teamQueue holds one team's waiting tasks of one class by deadline, then by arrival.
type teamQueue struct {
	flow *limiter.Flow[*team]
	heap *sorter.Heap[place]
	// queued counts the entries of the heap that may still start; the others are marked and dropped when met.
	queued int
	// count and units add up the waiting tasks, held ones included.
	count int
	units float64
}

func newService() *service {
	svc := &service{kinds: map[string]*kind{}, teams: map[string]*team{}, budget: limiter.NewBudget()}
	svc.flow = limiter.NewFlow(svc, 1)
	for c := range svc.queues {
		svc.queues[c].shares = limiter.NewShares[*team]()
	}
	return svc
}

// configure takes over a new task file and keeps what waits and runs.
func (svc *service) configure(spec Service, s *Scheduler) {
	svc.Service, svc.gone = spec, false
	old := svc.kinds
	svc.kinds, svc.kindList = make(map[string]*kind, len(spec.Tasks)), nil
	for _, t := range spec.Tasks {
		k := old[t.Name]
		if k == nil {
			k = &kind{stat: s.estimator.Task(spec.Name, t.Name)}
		}
		k.TaskSpec = t
		svc.kinds[t.Name] = k
		svc.kindList = append(svc.kindList, k)
	}
	for _, name := range slices.Sorted(maps.Keys(svc.teams)) {
		t := svc.teams[name]
		t.quota.Limit = svc.quota(t.name)
		for c := range t.queues {
			f := t.queues[c].flow
			svc.queues[c].shares.Leave(f)
			f.Weight = svc.weight(t.name)
		}
		svc.resume(t)
	}
}

func (svc *service) weight(team string) float64 {
	if w := svc.Shares[team]; w > 0 {
		return float64(w)
	}
	return 1
}

func (svc *service) quota(team string) int {
	if q, ok := svc.Quotas[team]; ok {
		return max(q, 0)
	}
	return -1
}

func (svc *service) team(name string) *team {
	t := svc.teams[name]
	if t != nil {
		return t
	}
	if len(svc.teams) >= maxIdleTeams {
		svc.forgetIdle()
	}
	t = &team{name: name, quota: limiter.Quota{Limit: svc.quota(name)}}
	for c := range t.queues {
		t.queues[c].flow = limiter.NewFlow(t, svc.weight(name))
		t.queues[c].heap = sorter.New(earlier, nil)
	}
	svc.teams[name] = t
	return t
}

func (svc *service) forgetIdle() {
	for name, t := range svc.teams {
		if t.quota.Running == 0 && t.queues[classShort].count+t.queues[classLong].count == 0 {
			delete(svc.teams, name)
		}
	}
}

// place is an entry's position in a queue. It repeats the entry's keys, so that a heap of thousands compares without
// reading each entry from memory.
type place struct {
	deadline int64
	order    uint64
	*entry
}

func placeOf(e *entry) place { return place{e.deadline, e.order, e} }

func earlier(a, b place) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.order < b.order
}

func (svc *service) queued() int {
	return svc.queues[classShort].count + svc.queues[classLong].count
}

// count adds a waiting entry to the sums, or removes it with sign -1.
func (svc *service) count(e *entry, sign int) {
	q, tq, u := &svc.queues[e.class], &e.team.queues[e.class], float64(sign)*e.units
	q.count += sign
	q.units += u
	tq.count += sign
	tq.units += u
	e.kind.queuedUnits[e.class] += u
	e.kind.declaredWork[e.class] += float64(sign) * e.declaredWork
	// An empty sum drops its rounding errors.
	if tq.count == 0 {
		tq.units = 0
	}
	if q.count == 0 {
		q.units = 0
		e.kind.queuedUnits[e.class], e.kind.declaredWork[e.class] = 0, 0
	}
}

// push lets a counted entry start.
func (svc *service) push(e *entry) {
	e.state = stateQueued
	tq := &e.team.queues[e.class]
	tq.heap.Push(placeOf(e))
	tq.queued++
	if !e.team.quota.Full() {
		svc.queues[e.class].shares.Join(tq.flow)
	}
}

// withdraw marks a queued entry; the heap drops it when it is met or when half of the heap is marked.
func (svc *service) withdraw(e *entry, to state) {
	svc.count(e, -1)
	if e.state == stateHeld {
		e.state = to
		return
	}
	e.state = to
	tq := &e.team.queues[e.class]
	tq.queued--
	if tq.queued == 0 {
		svc.queues[e.class].shares.Leave(tq.flow)
	}
	if 2*tq.queued <= tq.heap.Len() {
		c := e.class
		tq.heap.Filter(func(x place) bool { return x.state == stateQueued && x.class == c })
	}
}

// resume lets a team that is below its quota take part again.
func (svc *service) resume(t *team) {
	if t.quota.Full() {
		return
	}
	for c := range t.queues {
		if t.queues[c].queued > 0 {
			svc.queues[c].shares.Join(t.queues[c].flow)
		}
	}
}

// work is the predicted work that waits in a class, in seconds times units.
func (svc *service) work(c class) float64 {
	sum := 0.0
	for _, k := range svc.kindList {
		sum += k.work(c)
	}
	return sum
}
