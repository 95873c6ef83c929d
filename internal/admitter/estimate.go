package admitter

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// initialUsable is the part of the capacity that is assumed to be usable before tasks have found no worker: tasks of about
	// half of a worker leave a fifth of it unused.
	initialUsable = 0.8
	// minUsable bounds the usable part: tasks that ask for a label, or for more than a worker has, find none on idle workers.
	minUsable = 0.5
	// usableWeight is the weight of a new sample in the usable part.
	usableWeight = 0.02
	// minWaitPart is the part of its own time that a job may wait at least, as one queue that can hardly wait must not make the
	// backlog of all others too short to fill the workers.
	minWaitPart = 0.15
	// maxPlanned bounds the tasks that are planned for one verdict. At the end of a longer backlog nothing is in time.
	maxPlanned = 1000
	// backlogWeight is the weight of a new sample in the mean of the last waiting times, and formerBacklogWeight in that of a
	// longer time before.
	backlogWeight       = 0.1
	formerBacklogWeight = 0.02
)

// retryFactor is by how many seconds the span over which clients return grows while every job is refused: bursts last for
// some seconds, and clients that return within them are refused again.
const retryFactor = 4

// Run is a run that is under way.
type Run struct {
	Millicores int64
	EndsAt     time.Time
}

// Cell is what a verdict uses of the cell: the capacity of its workers for a service and the runs on them.
type Cell struct {
	Millicores int64
	Runs       []Run
}

// RecordSaturation records what was in use of the capacity of a service's workers when a task found no worker.
func (a *Admitter) RecordSaturation(service string, used, capacity int64) {
	if s := a.services[service]; s != nil && capacity > 0 {
		s.usable = max(s.usable+usableWeight*(float64(used)/float64(capacity)-s.usable), minUsable)
	}
}

// Reason is why a job is refused.
type Reason string

// The reasons of refusals. They are log values and parts of counters' names.
const (
	NotInTime Reason = "noRoomInTime"
	QueueFull Reason = "queueFull"
)

// Verdict is the decision on a job at its arrival.
type Verdict struct {
	Admit  bool
	Reason Reason
	// Start is when the last of the job's tasks is expected to start.
	Start time.Time
}

// Admit decides on a job that has arrived. ahead holds the jobs that are dispatched before it, in their order, waiting is
// the number of tasks that wait for a worker, and ofQueue that of those of the job's queue.
func (a *Admitter) Admit(now time.Time, j *Job, ahead []*Job, c Cell, waiting, ofQueue int) Verdict {
	if waiting > 0 && waiting+j.Tasks > a.cfg.MaxWaitingTasks ||
		2*waiting > a.cfg.MaxWaitingTasks && float64(ofQueue+j.Tasks) > a.cfg.MaxQueueShare*float64(a.cfg.MaxWaitingTasks) {
		return Verdict{Reason: QueueFull}
	}
	start := a.estimateStart(now, j, ahead, c)
	a.recordBacklog(start.Sub(now))
	slack := j.LatestStart.Sub(now) + time.Duration(a.cfg.LateTolerance*float64(j.RunTime))
	allowed := math.Exp(a.cfg.LagFactor*a.lag(now, j)) * float64(a.targetWait(j, a.cfg.AdmitExponent))
	limit := now.Add(time.Duration(min(allowed, float64(slack))))
	if start.After(limit) {
		return Verdict{Reason: NotInTime, Start: start}
	}
	return Verdict{Admit: true, Start: start}
}

// shortestSlack returns how long the jobs of that queue of the service may wait that may wait the shortest. Where each queue
// were admitted up to its own time, the backlog would grow to that of the longest, and the others would be refused.
func (a *Admitter) shortestSlack(j *Job) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	if s := a.services[j.Service]; s != nil {
		for _, q := range s.queues {
			if q.slack > 0 {
				shortest = min(shortest, q.slack)
			}
		}
	}
	return shortest
}

// targetWait returns how long a job may wait while its share is that of the others: between the shortest time of a queue of
// the service and its own.
func (a *Admitter) targetWait(j *Job, exponent float64) time.Duration {
	shortest, own := a.shortestSlack(j), max(j.LatestStart.Sub(j.ArrivedAt), 1)
	if own <= shortest {
		return own
	}
	return time.Duration(max(float64(shortest)*math.Pow(float64(own)/float64(shortest), exponent), minWaitPart*float64(own)))
}

// estimateStart returns when the last of the job's tasks is expected to start: it plans the tasks of the jobs ahead, and then
// those of the job, on the capacity that the ends of runs free. Jobs ahead that will have expired by their turn are left out.
func (a *Admitter) estimateStart(now time.Time, j *Job, ahead []*Job, c Cell) time.Time {
	usable := initialUsable
	if s := a.services[j.Service]; s != nil {
		usable = s.usable
	}
	p := &a.plan
	capacity := int64(usable * float64(c.Millicores))
	p.reset(capacity)
	for _, r := range c.Runs {
		p.add(r.Millicores, r.EndsAt.Sub(now))
	}
	tasks := 0
	for _, o := range ahead {
		if o.Service != j.Service || o.Tasks == 0 {
			continue
		}
		if tasks += o.Tasks; tasks > maxPlanned {
			return now.Add(math.MaxInt32 * time.Millisecond)
		}
		p.awaitRoom(o.Millicores)
		if !o.Started && now.Add(p.at).After(o.LatestStart) {
			continue
		}
		p.place(o)
	}
	// A job with more tasks than the cell can run at a time is planned up to the first ones that it can.
	first := *j
	if j.Millicores > 0 {
		first.Tasks = int(min(int64(j.Tasks), max(capacity/j.Millicores, 1)))
	}
	p.place(&first)
	return now.Add(p.at)
}

// recordBacklog updates the means of the expected waiting times. Their difference is the trend.
func (a *Admitter) recordBacklog(wait time.Duration) {
	w := min(wait.Seconds(), a.cfg.MaxRetryAfter.Seconds())
	a.backlog += backlogWeight * (w - a.backlog)
	a.formerBacklog += formerBacklogWeight * (w - a.formerBacklog)
}

// RetryAfter returns when the client of a refused job may return, in whole seconds of at least 1. The time grows with the
// share of refused jobs, the backlog and its growth, and is spread by the job's id, so that clients do not return together.
func (a *Admitter) RetryAfter(now time.Time, service, id string) time.Duration {
	total := share{}
	if s := a.services[service]; s != nil {
		s.total.fade(now, a.cfg.ShareMemory)
		total = s.total
	}
	growth := max(a.backlog-a.formerBacklog, 0)
	seconds := min(1+a.backlog+retryFactor*(growth+1-total.part()), a.cfg.MaxRetryAfter.Seconds())
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	spread := 1 + float64(h.Sum32()%1000)/1000*seconds
	return time.Duration(min(math.Round(spread), a.cfg.MaxRetryAfter.Seconds())) * time.Second
}

// plan places tasks on a capacity in the order of their jobs. Which worker has the room is not taken into account.
type plan struct {
	at   time.Duration
	free int64
	ends []planned
}

type planned struct {
	at         time.Duration
	millicores int64
}

func (p *plan) reset(capacity int64) { p.at, p.free, p.ends = 0, capacity, p.ends[:0] }

// add adds a run that ends after the given time.
func (p *plan) add(millicores int64, after time.Duration) {
	p.free -= millicores
	p.ends = append(p.ends, planned{after, millicores})
	for i := len(p.ends) - 1; i > 0; {
		parent := (i - 1) / 2
		if p.ends[parent].at <= p.ends[i].at {
			break
		}
		p.ends[parent], p.ends[i] = p.ends[i], p.ends[parent]
		i = parent
	}
}

// pop removes the run that ends first.
func (p *plan) pop() planned {
	first, last := p.ends[0], len(p.ends)-1
	p.ends[0] = p.ends[last]
	p.ends = p.ends[:last]
	for i := 0; ; {
		c := 2*i + 1
		if c >= last {
			return first
		}
		if c+1 < last && p.ends[c+1].at < p.ends[c].at {
			c++
		}
		if p.ends[i].at <= p.ends[c].at {
			return first
		}
		p.ends[i], p.ends[c] = p.ends[c], p.ends[i]
		i = c
	}
}

// awaitRoom goes on in time until a task fits.
func (p *plan) awaitRoom(millicores int64) {
	for p.free < millicores && len(p.ends) > 0 {
		e := p.pop()
		p.at, p.free = max(p.at, e.at), p.free+e.millicores
	}
}

// place starts the job's tasks as soon as they fit.
func (p *plan) place(j *Job) {
	for range j.Tasks {
		p.awaitRoom(j.Millicores)
		p.add(j.Millicores, p.at+j.RunTime)
	}
}
