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
	submissionRing = 8192
	// eventRing holds completions and record acknowledgements, which are never refused. Their number is bounded by the
	// slots of the domain and by the submissions that wait for their record.
	eventRing = 8192
	// cancelSlice bounds the cancellations handled between two other events, so that a batch of thousands of keys
	// does not delay starts and completions.
	cancelSlice = 256
	// tickEvery is the interval of expiry; a queued task is refused at most this long after its deadline.
	tickEvery = 5 * time.Millisecond
	// statsEvery is the age that Stats may reach; making them takes a pass over the servers.
	statsEvery = time.Second
)

// Records is how the dispatcher reaches the keeper of its group. Each call reports false when the keeper's ring is
// full; the callbacks run on the keeper's thread and must not block.
type Records struct {
	Begin   func(rec recorder.Record, done func(recorder.Verdict, *wire.Answer)) bool
	Abandon func(key recorder.Key) bool
	Commit  func(key recorder.Key, done func(ok bool)) bool
	Finish  func(key recorder.Key, a *wire.Answer, done func(ok bool)) bool
}

// Config constructs a Dispatcher.
type Config struct {
	Scheduler *scheduler.Scheduler
	Records   Records
	// Send performs one start and calls done once; it must not block the caller.
	Send func(o sender.Order, done func(sender.Result))
	// Refuse tells why a submission with a new key may not run, by the configuration in force; REASON_NONE when it may.
	Refuse func(*wire.Submission) wire.Reason
	// Stop asks a worker to stop a running task.
	Stop func(address, submission, task string)
	// Held reports whether the ownership's lease lasts; it is asked before each start. A process that was frozen must
	// start nothing after it resumes, although nobody has told it yet that it lost the ownership. Nil means that the
	// lease never ends.
	Held func() bool
	Now  func() time.Time
	// NextTaskID is the first task id; ids of different epochs must not collide.
	NextTaskID uint64
}

// Dispatcher is the thread that owns one failure domain's work.
type Dispatcher struct {
	cfg Config
	// submissions may be refused when full; events and control may not.
	submissions chan *job
	events      chan event
	control     chan func()

	jobs  map[string]*job
	tasks map[uint64]taskRef
	// retries holds keeper calls that found the ring full. It is bounded by the running submissions.
	retries  []func() bool
	cancels  []cancelItem
	owner    bool
	draining bool
	nextID   uint64
	// shown is when stats was made.
	shown time.Time

	// Counters may be read while the dispatcher runs.
	Counters Counters
	stats    atomic.Pointer[scheduler.Stats]
}

type taskRef struct {
	job   *job
	index int
}

// event is a completion or an acknowledgement. One ring holds both: polling two takes a select over locks of both.
type event interface{ handle() }

type eventFunc func()

func (f eventFunc) handle() { f() }

// attempt is one start on its way. It is its own event, so that a completion needs no closure.
type attempt struct {
	d      *Dispatcher
	task   scheduler.Task
	sent   time.Time
	result sender.Result
}

// end runs on the sender's goroutine.
func (a *attempt) end(r sender.Result) {
	a.result = r
	a.d.events <- a
}

func (a *attempt) handle() { a.d.finish(a) }

// New returns a Dispatcher; Run starts it.
func New(cfg Config) *Dispatcher {
	if cfg.Held == nil {
		cfg.Held = func() bool { return true }
	}
	return &Dispatcher{
		cfg:         cfg,
		submissions: make(chan *job, submissionRing),
		events:      make(chan event, eventRing),
		control:     make(chan func(), submissionRing),
		jobs:        map[string]*job{},
		tasks:       map[uint64]taskRef{},
		nextID:      cfg.NextTaskID,
	}
}

// Run handles the rings until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
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
		d.cancelSome()
		d.startReady()
	}
}

// drainEvents handles the completions that are already there before new starts are decided.
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

// Submit hands over a submission. reply is called once, on the dispatcher's thread, and must not block.
// It reports false when the ring is full; the submission has then not run.
func (d *Dispatcher) Submit(s *wire.Submission, deadline time.Time, reply func(*wire.Answer)) bool {
	select {
	case d.submissions <- newJob(s, deadline, reply):
		return true
	default:
		return false
	}
}

// Announce passes on what a server said of itself.
func (d *Dispatcher) Announce(a scheduler.Announcement) bool {
	return d.tryControl(func() { d.cfg.Scheduler.Announce(d.cfg.Now(), a) })
}

// Configure puts a new configuration into force.
func (d *Dispatcher) Configure(services []scheduler.Service) {
	d.control <- func() { d.cfg.Scheduler.Configure(services) }
}

// SetOwner tells whether this entry VM owns the failure domain.
func (d *Dispatcher) SetOwner(owner bool) {
	d.control <- func() { d.setOwner(owner) }
}

// Stats returns the scheduler's figures, at most a second old. It is safe for concurrent use and does not wait for the
// dispatcher.
func (d *Dispatcher) Stats() scheduler.Stats {
	if st := d.stats.Load(); st != nil {
		return *st
	}
	return scheduler.Stats{}
}

// Lookup tells by reply whether a submission is still running here. It reports false when the ring is full.
func (d *Dispatcher) Lookup(key string, reply func(running bool)) bool {
	return d.tryControl(func() { reply(d.jobs[key] != nil) })
}

// Drain refuses new submissions, as another entry VM is about to own the failure domain, and calls idle once nothing is
// queued or running.
func (d *Dispatcher) Drain(idle func()) {
	d.control <- func() {
		d.draining = true
		d.waitIdle(idle)
	}
}

func (d *Dispatcher) waitIdle(idle func()) {
	if len(d.tasks) == 0 && len(d.jobs) == 0 {
		idle()
		return
	}
	time.AfterFunc(tickEvery, func() {
		d.control <- func() { d.waitIdle(idle) }
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
	if now.Sub(d.shown) >= statsEvery {
		d.shown = now
		st := d.cfg.Scheduler.Stats()
		d.stats.Store(&st)
	}
	pending := d.retries
	d.retries = nil
	for _, f := range pending {
		d.keep(f)
	}
}

// keep performs a keeper call, and repeats it at the next tick when the keeper's ring is full.
func (d *Dispatcher) keep(f func() bool) {
	if !f() {
		d.retries = append(d.retries, f)
	}
}

// startReady performs every start that the scheduler allows now.
func (d *Dispatcher) startReady() {
	if !d.owner {
		return
	}
	for d.cfg.Held() {
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
	ref.job.started[ref.index] = st.Address
	a := &attempt{d: d, task: st.Task, sent: d.cfg.Now()}
	d.Counters.Starts.Add(1)
	d.cfg.Send(sender.Order{
		Server: st.Server, Address: st.Address, Service: st.Task.Service, Task: t.Name, TaskID: t.Id,
		Submission: ref.job.sub.Key, Team: st.Task.Team, Payload: t.Payload, ContentType: t.ContentType,
		Deadline: st.Task.Deadline,
	}, a.end)
}

func (d *Dispatcher) finish(a *attempt) {
	now, t, r := d.cfg.Now(), &a.task, &a.result
	d.cfg.Scheduler.Finish(now, t.ID, scheduler.Result{
		Failed:     r.Verdict != sender.Answered || r.Status >= sender.StatusServerError,
		NotStarted: r.Verdict == sender.NotStarted,
		MayRun:     r.Verdict == sender.MayHaveStarted,
		RunTime:    now.Sub(a.sent),
	})
	ref := d.tasks[t.ID]
	ref.job.started[ref.index] = ""
	if r.Verdict == sender.MayHaveStarted {
		ref.job.mayHaveRun = true
	}
	mayRepeat := r.Verdict == sender.NotStarted || (r.Verdict == sender.MayHaveStarted && ref.job.repeatable)
	if mayRepeat && d.owner && !ref.job.cancelled && now.Before(t.Deadline) && d.cfg.Scheduler.Requeue(now, *t) {
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
