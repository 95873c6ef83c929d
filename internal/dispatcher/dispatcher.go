package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"clementineyard/internal/recorder"
	"clementineyard/internal/scheduler"
	"clementineyard/internal/sender"
	"clementineyard/wire"
)

const (
	// submissionQueueCapacity bounds the submissions, and separately the control calls, that wait for Run.
	submissionQueueCapacity = 8192
	// eventQueueCapacity is the capacity of the queue for completions and record acknowledgements, which are never
	// refused. Their number is bounded by the slots of the failure domain and by the submissions that wait for their
	// record.
	eventQueueCapacity = 8192
	// maxCancelsPerIteration bounds the keys that one iteration of Run cancels, so that a batch of thousands of keys
	// does not delay starts and completions.
	maxCancelsPerIteration = 256
	// tickInterval is the interval of the expiry check: a queued task is refused at most this long after its deadline.
	tickInterval = 5 * time.Millisecond
	// statsInterval is how often the result of Stats is refreshed; a refresh iterates over all backend servers.
	statsInterval = time.Second
)

// RecordKeeper holds the calls to the keeper of the dispatcher's group. Each call reports false when the keeper's queue
// is full. The callbacks run on the keeper's goroutine and must not block.
type RecordKeeper struct {
	Begin   func(rec recorder.Record, done func(recorder.Verdict, *wire.Answer)) bool
	Abandon func(key recorder.Key) bool
	Commit  func(key recorder.Key, done func(ok bool)) bool
	Finish  func(key recorder.Key, a *wire.Answer, done func(ok bool)) bool
}

// Config holds the parameters of a Dispatcher.
type Config struct {
	Scheduler *scheduler.Scheduler
	Records   RecordKeeper
	// Send sends one attempt to a backend server and calls done once. It must not block.
	Send func(a sender.Attempt, done func(sender.Result))
	// RefusalReason returns why the configuration in force does not admit a new submission, or REASON_NONE when it does.
	RefusalReason func(*wire.Submission) wire.Reason
	// Stop asks a worker to stop a running task.
	Stop func(address, submission, task string)
	// HoldsLease reports whether the ownership lease is still valid. It is called before each start, because a process
	// that resumes after a pause must start nothing although it has not learned yet that it lost the ownership. If nil,
	// the lease never expires.
	HoldsLease func() bool
	Now        func() time.Time
	// LastTaskID precedes the first task id; ids of different epochs must not collide.
	LastTaskID uint64
}

// Dispatcher schedules and tracks the submissions of one failure domain. Its state belongs to the goroutine of Run.
type Dispatcher struct {
	cfg Config
	// A submission is refused when submissions is full, and a call of tryControl when control is full. Events and the
	// other control calls are never refused: their senders block.
	submissions chan *job
	events      chan event
	control     chan func()

	jobs  map[string]*job
	tasks map[uint64]taskRef
	// keeperRetries holds keeper calls that found the keeper's queue full. The unfinished submissions bound its length.
	keeperRetries  []func() bool
	pendingCancels []keyCancellation
	owner          bool
	draining       bool
	lastTaskID     uint64
	// statsTime is when stats was last refreshed.
	statsTime time.Time

	// Counters may be read while the dispatcher runs.
	Counters Counters
	stats    atomic.Pointer[scheduler.Stats]
}

// taskRef locates a task within its submission.
type taskRef struct {
	job   *job
	index int
}

// event is a completion or an acknowledgement. They share one channel, because polling two channels takes a select,
// which locks both.
type event interface{ handle() }

// eventFunc is an event that calls a function.
type eventFunc func()

func (f eventFunc) handle() { f() }

// attempt is one attempt to run a task. It implements event, so that its completion needs no closure.
type attempt struct {
	d      *Dispatcher
	task   scheduler.Task
	sent   time.Time
	result sender.Result
}

// complete queues the attempt's result. It runs on the sender's goroutine.
func (a *attempt) complete(r sender.Result) {
	a.result = r
	a.d.events <- a
}

func (a *attempt) handle() { a.d.finishAttempt(a) }

// New returns a Dispatcher. It handles nothing before Run is called.
func New(cfg Config) *Dispatcher {
	if cfg.HoldsLease == nil {
		cfg.HoldsLease = func() bool { return true }
	}
	return &Dispatcher{
		cfg:         cfg,
		submissions: make(chan *job, submissionQueueCapacity),
		events:      make(chan event, eventQueueCapacity),
		control:     make(chan func(), submissionQueueCapacity),
		jobs:        map[string]*job{},
		tasks:       map[uint64]taskRef{},
		lastTaskID:  cfg.LastTaskID,
	}
}

// Run handles submissions, events and control calls until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.events:
			e.handle()
		case f := <-d.control:
			f()
		case j := <-d.submissions:
			d.begin(j)
		case <-tick.C:
			d.tick()
		}
		d.drainEvents()
		d.cancelNextKeys()
		d.startReady()
	}
}

// drainEvents handles all queued events before new starts are decided.
func (d *Dispatcher) drainEvents() {
	for {
		select {
		case e := <-d.events:
			e.handle()
		default:
			return
		}
	}
}

// Submit queues a submission. reply is called once, on the dispatcher's goroutine, and must not block.
// Submit reports false when the submission queue is full; the submission has then not run.
func (d *Dispatcher) Submit(s *wire.Submission, deadline time.Time, reply func(*wire.Answer)) bool {
	select {
	case d.submissions <- newJob(s, deadline, reply):
		return true
	default:
		return false
	}
}

// Announce passes a backend server's announcement to the scheduler. It reports false when the control queue is full.
func (d *Dispatcher) Announce(a scheduler.Announcement) bool {
	return d.tryControl(func() { d.cfg.Scheduler.Announce(d.cfg.Now(), a) })
}

// Configure replaces the scheduler's services. It blocks while the control queue is full.
func (d *Dispatcher) Configure(services []scheduler.Service) {
	d.control <- func() { d.cfg.Scheduler.Configure(services) }
}

// SetOwner sets whether this entry VM owns the failure domain. It blocks while the control queue is full.
func (d *Dispatcher) SetOwner(owner bool) {
	d.control <- func() { d.setOwner(owner) }
}

// Stats returns the scheduler's statistics as of the last refresh, which happens once a second, or zeros before the
// first. It is safe for concurrent use and does not wait for the dispatcher's goroutine.
func (d *Dispatcher) Stats() scheduler.Stats {
	if st := d.stats.Load(); st != nil {
		return *st
	}
	return scheduler.Stats{}
}

// Lookup calls reply with whether a submission is queued or running here. reply is called on the dispatcher's goroutine
// and must not block. Lookup reports false when the control queue is full.
func (d *Dispatcher) Lookup(key string, reply func(running bool)) bool {
	return d.tryControl(func() { reply(d.jobs[key] != nil) })
}

// Drain refuses new submissions, because another entry VM is about to own the failure domain. It calls idle once
// nothing is queued or running.
func (d *Dispatcher) Drain(idle func()) {
	d.control <- func() {
		d.draining = true
		d.notifyWhenIdle(idle)
	}
}

func (d *Dispatcher) notifyWhenIdle(idle func()) {
	if len(d.tasks) == 0 && len(d.jobs) == 0 {
		idle()
		return
	}
	time.AfterFunc(tickInterval, func() {
		d.control <- func() { d.notifyWhenIdle(idle) }
	})
}

func (d *Dispatcher) tryControl(f func()) bool {
	select {
	case d.control <- f:
		return true
	default:
		return false
	}
}

func (d *Dispatcher) tick() {
	now := d.cfg.Now()
	for _, e := range d.cfg.Scheduler.Expire(now) {
		d.endTask(e.ID, &wire.TaskAnswer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: e.Reason})
	}
	if now.Sub(d.statsTime) >= statsInterval {
		d.statsTime = now
		st := d.cfg.Scheduler.Stats()
		d.stats.Store(&st)
	}
	retries := d.keeperRetries
	d.keeperRetries = nil
	for _, f := range retries {
		d.callKeeper(f)
	}
}

// callKeeper makes a keeper call and retries it at the next tick when the keeper's queue is full.
func (d *Dispatcher) callKeeper(f func() bool) {
	if !f() {
		d.keeperRetries = append(d.keeperRetries, f)
	}
}

// startReady starts every task that the scheduler allows to start now.
func (d *Dispatcher) startReady() {
	if !d.owner {
		return
	}
	for d.cfg.HoldsLease() {
		st, ok := d.cfg.Scheduler.Next(d.cfg.Now())
		if !ok {
			return
		}
		d.start(st)
	}
}

func (d *Dispatcher) start(st scheduler.Start) {
	ref := d.tasks[st.Task.ID]
	t := ref.job.sub.Tasks[ref.index]
	ref.job.addresses[ref.index] = st.Address
	a := &attempt{d: d, task: st.Task, sent: d.cfg.Now()}
	d.Counters.Starts.Add(1)
	d.cfg.Send(sender.Attempt{
		Server: st.Server, Address: st.Address, Service: st.Task.Service, Task: t.Name, TaskID: t.Id,
		Submission: ref.job.sub.Key, Team: st.Task.Team, Payload: t.Payload, ContentType: t.ContentType,
		Deadline: st.Task.Deadline,
	}, a.complete)
}

func (d *Dispatcher) finishAttempt(a *attempt) {
	now, t, r := d.cfg.Now(), &a.task, &a.result
	d.cfg.Scheduler.Finish(now, t.ID, scheduler.Result{
		Failed:      r.Verdict != sender.Answered || r.Status >= sender.StatusServerError,
		NotStarted:  r.Verdict == sender.NotStarted,
		MayStillRun: r.Verdict == sender.MayHaveStarted,
		RunTime:     now.Sub(a.sent),
	})
	ref := d.tasks[t.ID]
	ref.job.addresses[ref.index] = ""
	if r.Verdict == sender.MayHaveStarted {
		ref.job.mayHaveRun = true
	}
	mayRetry := r.Verdict == sender.NotStarted || (r.Verdict == sender.MayHaveStarted && ref.job.retriable)
	if mayRetry && d.owner && !ref.job.cancelled && now.Before(t.Deadline) && d.cfg.Scheduler.Requeue(now, *t) {
		d.Counters.Retries.Add(1)
		return
	}
	d.endTask(t.ID, taskAnswer(r))
}

func taskAnswer(r *sender.Result) *wire.TaskAnswer {
	switch r.Verdict {
	case sender.Answered:
		return &wire.TaskAnswer{
			Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: int32(r.Status),
			ContentType: r.ContentType, Payload: r.Body,
		}
	case sender.NotStarted:
		return &wire.TaskAnswer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_NO_SERVER}
	default:
		return &wire.TaskAnswer{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: wire.Reason_REASON_SERVER_LOST}
	}
}
