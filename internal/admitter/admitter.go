package admitter

import (
	"cmp"
	"time"
)

// Policy selects when the decisions of this package take effect.
type Policy int

const (
	// ByPriority is the default: they take effect for services whose queues differ in priority.
	ByPriority Policy = iota
	// LatestStart leaves them without effect, for comparisons: jobs start by their latest start alone, and are refused once
	// they have waited for long.
	LatestStart
)

// Config configures an Admitter. DefaultConfig holds the values in use.
type Config struct {
	Policy Policy
	// ShareMemory is the time constant with which the account of served and refused jobs fades.
	ShareMemory time.Duration
	// MinJobs is how many jobs the account of a queue, an origin or an account must hold before its share counts.
	MinJobs float64
	// Bias is by how much earlier a job is dispatched for a share of served jobs that is lower by 1.
	Bias time.Duration
	// PriorityLead is by how much the share of served jobs of a queue is to exceed that of the next lower priority.
	PriorityLead float64
	// StarvingLag is the lag of a share from which on its jobs go before all others that have not started.
	StarvingLag float64
	// LateTolerance is how far beyond the latest start a job is still admitted, in parts of its expected run time: run times
	// and the ends of runs are estimates.
	LateTolerance float64
	// A job may wait for the shortest time that a queue of its service may wait, times the ratio of its own time and that one to
	// the power of AdmitExponent at its arrival, and of OrderExponent in the order of dispatch. With 1 each queue would be
	// admitted up to its own time, so that the backlog grows to that of the longest and the other queues are refused; with 0
	// the backlog is too short to fill the gaps on the workers.
	AdmitExponent, OrderExponent float64
	// LagFactor is by how much the time that a job may wait at its arrival grows with the lag of its share, in its logarithm.
	LagFactor float64
	// MaxWaitingTasks bounds the tasks that wait in the cell, and MaxQueueShare is the part of them that one queue may have
	// once the cell holds more than half of the bound.
	MaxWaitingTasks int
	MaxQueueShare   float64
	// PriorityMemory is how long a queue without jobs counts among those of its service.
	PriorityMemory time.Duration
	// MaxRetryAfter bounds the delay that is advised to the clients of refused jobs.
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the values in use. docs/design/overload.md states the measurements behind them.
func DefaultConfig() Config {
	return Config{
		ShareMemory: 4 * time.Second, MinJobs: 5, Bias: 2 * time.Second, PriorityLead: 0.08, StarvingLag: 0.3, LateTolerance: 0.3,
		AdmitExponent: 0.3, OrderExponent: 0.85, LagFactor: 5, MaxWaitingTasks: 2000, MaxQueueShare: 0.5, PriorityMemory: time.Minute,
		MaxRetryAfter: 8 * time.Second,
	}
}

// Job is what the decisions use of a job.
type Job struct {
	Queue, Service string
	// Origin is the failure domain whose entry VM took the job, and Account the client's account; empty where not known.
	Origin, Account string
	// Priority is that of the queue; 0 is the most urgent.
	Priority int
	// Order numbers the jobs by their arrival.
	Order uint64
	// Started is true once a task was started.
	Started bool
	// LatestStart is the last moment at which the job can start and still meet its objective.
	LatestStart time.Time
	// ArrivedAt is when the client's request arrived.
	ArrivedAt time.Time
	// Tasks is the number of tasks that have no run, each of which asks for Millicores and is expected to take RunTime.
	Tasks      int
	Millicores int64
	RunTime    time.Duration
}

// Admitter holds the account of a cell. It is not safe for concurrent use.
type Admitter struct {
	cfg      Config
	services map[string]*service
	// shares holds the account of each queue, origin and account.
	shares map[shareKey]*share
	// backlog is how long the jobs that were offered last would have waited, in seconds, and formerBacklog the same over a
	// longer time.
	backlog, formerBacklog float64
	plan                   plan
}

// service holds what is known of the queues of a service.
type service struct {
	queues map[string]*queue
	// differ is true while the queues differ in priority.
	differ bool
	// usable is the part of the workers' capacity that was in use when tasks found no worker.
	usable float64
	// total is the account of all jobs.
	total share
}

type queue struct {
	priority int
	seenAt   time.Time
	// slack is how long the queue's jobs may wait, as of the last one that arrived.
	slack time.Duration
}

// New returns an Admitter with an empty account.
func New(cfg Config) *Admitter {
	return &Admitter{cfg: cfg, services: map[string]*service{}, shares: map[shareKey]*share{}}
}

// Observe records that a job of a queue has arrived, which may wait for slack.
func (a *Admitter) Observe(now time.Time, name, queueName string, priority int, slack time.Duration) {
	s := a.services[name]
	if s == nil {
		s = &service{queues: map[string]*queue{}, usable: initialUsable}
		a.services[name] = s
	}
	known, ok := s.queues[queueName]
	if !ok {
		known = &queue{}
		s.queues[queueName] = known
	}
	current := ok && known.priority == priority && now.Sub(known.seenAt) < a.cfg.PriorityMemory/2
	known.slack = slack
	if known.priority = priority; current {
		return
	}
	known.seenAt = now
	s.differ = false
	for n, q := range s.queues {
		if now.Sub(q.seenAt) > a.cfg.PriorityMemory {
			delete(s.queues, n)
			continue
		}
		s.differ = s.differ || q.priority != priority
	}
}

// Active reports whether the decisions of this package take effect for a service.
func (a *Admitter) Active(service string) bool {
	s := a.services[service]
	return s != nil && s.differ && a.cfg.Policy == ByPriority
}

// Reset forgets the account, as after a pause it says nothing about the demand.
func (a *Admitter) Reset() {
	clear(a.shares)
	for _, s := range a.services {
		s.total = share{}
	}
	a.backlog, a.formerBacklog = 0, 0
}

// class is in which group a waiting job is dispatched, lowest first.
type class int

const (
	// classStarted: work on a job that stays incomplete is wasted.
	classStarted class = iota
	// classStarving: the share of its queue, origin or account is far below the others'.
	classStarving
	// classInTime: the job can still meet its objective.
	classInTime
	classLate
)

// Key orders waiting jobs.
type Key struct {
	class class
	at    time.Time
	order uint64
}

// Compare returns a negative number if the job of k is dispatched before that of o.
func (k Key) Compare(o Key) int {
	return cmp.Or(cmp.Compare(k.class, o.class), k.at.Compare(o.at), cmp.Compare(k.order, o.order))
}

// Key returns the key of a waiting job: started jobs first, then those that can still meet their objective, then the others.
// Within a class the arrival and the time that the job may wait decide, moved by how much its shares lag behind; where the
// policy has no effect, the latest start does.
func (a *Admitter) Key(now time.Time, j *Job) Key {
	k := Key{classInTime, j.LatestStart, j.Order}
	late := now.After(j.LatestStart)
	switch {
	case j.Started:
		k.class = classStarted
	case late:
		k.class = classLate
	}
	if j.Started || !a.Active(j.Service) {
		return k
	}
	lag := a.lag(now, j)
	if lag > a.cfg.StarvingLag && !late {
		k.class = classStarving
	}
	k.at = j.ArrivedAt.Add(a.targetWait(j, a.cfg.OrderExponent) - time.Duration(lag*float64(a.cfg.Bias)))
	return k
}
