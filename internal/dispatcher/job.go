package dispatcher

import (
	"bytes"
	"time"

	"clementineyard/internal/recorder"
	"clementineyard/internal/scheduler"
	"clementineyard/wire"
)

// job is a submission that has not been answered yet. Only the dispatcher's thread touches it.
type job struct {
	sub      *wire.Submission
	key      recorder.Key
	deadline time.Time
	// replies are the callers that wait: the first, and those that resubmitted the same key.
	replies []func(*wire.Answer)
	answers []*wire.TaskAnswer
	// started holds the address of the server that runs a task; empty when it is not running.
	started   []string
	ids       []uint64
	left      int
	admitted  bool
	cancelled bool
	// repeatable allows another attempt although the first may have run.
	repeatable bool
	// mayHaveRun is true once an attempt of a repeatable request may have run: its end is then never "not run".
	mayHaveRun bool
}

func newJob(s *wire.Submission, deadline time.Time, reply func(*wire.Answer)) *job {
	return &job{
		sub: s, deadline: deadline, replies: []func(*wire.Answer){reply},
		answers: make([]*wire.TaskAnswer, len(s.Tasks)), started: make([]string, len(s.Tasks)), left: len(s.Tasks),
	}
}

// begin looks a submission up before anything else: a key that has ended must get its answer, never a refusal.
func (d *Dispatcher) begin(j *job) {
	if !d.owner || (d.draining && d.jobs[j.sub.Key] == nil) {
		d.refuse(j, &scheduler.Refusal{Reason: wire.Reason_REASON_NOT_OWNER})
		return
	}
	if j.sub.Key == "" {
		j.repeatable = !d.cfg.Scheduler.NonIdempotent(j.sub.Service, j.sub.Tasks[0].Name)
		if d.admit(j) {
			d.release(j)
		}
		return
	}
	if old := d.jobs[j.sub.Key]; old != nil {
		d.attach(old, j)
		return
	}
	key, err := recorder.ParseKey(j.sub.Key)
	if err != nil {
		d.refuse(j, &scheduler.Refusal{Reason: wire.Reason_REASON_INVALID})
		return
	}
	j.key = key
	rec := recorder.Record{Key: key, ContentHash: j.sub.ContentHash, Team: j.sub.Team, TaskCount: len(j.sub.Tasks)}
	d.jobs[j.sub.Key] = j
	asked := d.cfg.Records.Begin(rec, func(v recorder.Verdict, a *wire.Answer) {
		d.events <- eventFunc(func() { d.begun(j, v, a) })
	})
	if !asked {
		// The records were not looked at, so nothing can be said about earlier calls with the key.
		d.answer(j, &wire.Answer{
			Key: j.sub.Key, Outcome: wire.Outcome_OUTCOME_UNKNOWN, State: wire.State_STATE_FAILED, Reason: wire.Reason_REASON_QUEUE_FULL,
		})
	}
}

// attach adds a resubmission to the submission that is already running.
func (d *Dispatcher) attach(old, again *job) {
	if !bytes.Equal(old.sub.ContentHash, again.sub.ContentHash) {
		d.refuse(again, &scheduler.Refusal{Reason: wire.Reason_REASON_CONFLICT})
		return
	}
	old.replies = append(old.replies, again.replies...)
}

var verdictAnswers = map[recorder.Verdict]struct {
	outcome wire.Outcome
	reason  wire.Reason
}{
	recorder.VerdictConflict:    {wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_CONFLICT},
	recorder.VerdictExpired:     {wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_EXPIRED},
	recorder.VerdictTooNew:      {wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_KEY_TOO_NEW},
	recorder.VerdictRecordsLost: {wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_RECORDS_LOST},
	recorder.VerdictFull:        {wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_OVERLOADED},
	recorder.VerdictNotOwner:    {wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_NOT_OWNER},
	recorder.VerdictNoQuorum:    {wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_NO_QUORUM},
	recorder.VerdictRunning:     {wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_OWNER_LOST},
}

func (d *Dispatcher) begun(j *job, v recorder.Verdict, a *wire.Answer) {
	switch v {
	case recorder.VerdictNew:
		if !d.admit(j) {
			d.keep(func() bool { return d.cfg.Records.Abandon(j.key) })
			return
		}
		d.keep(func() bool {
			return d.cfg.Records.Commit(j.key, func(ok bool) {
				d.events <- eventFunc(func() { d.committed(j, ok) })
			})
		})
	case recorder.VerdictFinished:
		d.answer(j, a)
	default:
		va := verdictAnswers[v]
		d.answer(j, &wire.Answer{Key: j.sub.Key, Outcome: va.outcome, State: wire.State_STATE_FAILED, Reason: va.reason})
	}
}

// admit asks the scheduler; a refusal answers the callers.
func (d *Dispatcher) admit(j *job) bool {
	if r := d.cfg.Refuse(j.sub); r != wire.Reason_REASON_NONE {
		d.refuse(j, &scheduler.Refusal{Reason: r})
		return false
	}
	tasks := make([]scheduler.Task, len(j.sub.Tasks))
	j.ids = make([]uint64, len(j.sub.Tasks))
	for i, t := range j.sub.Tasks {
		d.nextID++
		j.ids[i] = d.nextID
		tasks[i] = scheduler.Task{
			ID: d.nextID, Service: j.sub.Service, Name: t.Name, Team: j.sub.Team, Submission: j.sub.Key,
			Deadline: j.deadline, Declared: time.Duration(t.DeclaredMillis) * time.Millisecond,
			Ask: scheduler.Resources{
				Millicores: t.GetAsk().GetMillicores(), Memory: t.GetAsk().GetMemory(),
				Accelerators: t.GetAsk().GetAccelerators(),
			},
			Held: j.sub.Key != "",
		}
	}
	if r := d.cfg.Scheduler.Admit(d.cfg.Now(), tasks); r != nil {
		d.refuse(j, r)
		return false
	}
	j.admitted = true
	for i, id := range j.ids {
		d.tasks[id] = taskRef{job: j, index: i}
	}
	return true
}

// release lets the tasks of an admitted submission start.
func (d *Dispatcher) release(j *job) {
	for _, id := range j.ids {
		d.cfg.Scheduler.Release(id)
	}
}

// committed runs when the record of an admitted submission is replicated, or could not be.
func (d *Dispatcher) committed(j *job, ok bool) {
	if ok {
		d.release(j)
		return
	}
	for i, id := range j.ids {
		if j.answers[i] == nil {
			d.cfg.Scheduler.Cancel(d.cfg.Now(), id)
			d.endTask(id, &wire.TaskAnswer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_NO_QUORUM})
		}
	}
}

func (d *Dispatcher) endTask(id uint64, a *wire.TaskAnswer) {
	ref, ok := d.tasks[id]
	if !ok {
		return
	}
	delete(d.tasks, id)
	j := ref.job
	if j.repeatable && j.mayHaveRun && a.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		a.Outcome, a.Reason = wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_SERVER_LOST
	}
	a.Id = j.sub.Tasks[ref.index].Id
	j.answers[ref.index] = a
	j.left--
	if j.left > 0 {
		return
	}
	final := assemble(j)
	if j.sub.Key == "" {
		d.answer(j, final)
		return
	}
	d.keep(func() bool {
		return d.cfg.Records.Finish(j.key, final, func(bool) {
			d.events <- eventFunc(func() { d.answer(j, final) })
		})
	})
}

// answer ends a submission.
func (d *Dispatcher) answer(j *job, a *wire.Answer) {
	if d.jobs[j.sub.Key] == j {
		delete(d.jobs, j.sub.Key)
	}
	d.Counters.count(a)
	for _, reply := range j.replies {
		reply(a)
	}
}

// refuse ends a submission that has not run.
func (d *Dispatcher) refuse(j *job, r *scheduler.Refusal) {
	d.answer(j, &wire.Answer{
		Key: j.sub.Key, Outcome: wire.Outcome_OUTCOME_NOT_RUN, State: wire.State_STATE_FAILED, Reason: r.Reason,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	})
}

// assemble makes the whole answer of a submission whose tasks have all ended.
func assemble(j *job) *wire.Answer {
	a := &wire.Answer{Key: j.sub.Key, Outcome: wire.Outcome_OUTCOME_ANSWERED, State: wire.State_STATE_COMPLETE, Tasks: j.answers}
	var unknown, notRun int
	for _, t := range j.answers {
		switch {
		case t.Outcome == wire.Outcome_OUTCOME_UNKNOWN:
			unknown++
			a.Reason = t.Reason
		case t.Outcome == wire.Outcome_OUTCOME_NOT_RUN:
			notRun++
			if unknown == 0 {
				a.Reason = t.Reason
			}
		case t.Status >= statusFailed:
			a.State = wire.State_STATE_FAILED
			if a.Reason == wire.Reason_REASON_NONE {
				a.Reason = wire.Reason_REASON_SERVER_FAILED
			}
		}
	}
	switch {
	case unknown > 0:
		a.Outcome, a.State = wire.Outcome_OUTCOME_UNKNOWN, wire.State_STATE_FAILED
	case notRun == len(j.answers):
		a.Outcome, a.State = wire.Outcome_OUTCOME_NOT_RUN, wire.State_STATE_FAILED
	case notRun > 0:
		a.State = wire.State_STATE_FAILED
	}
	return a
}

// statusFailed is the lowest HTTP status of a server's answer that fails its task.
const statusFailed = 400
