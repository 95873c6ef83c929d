package dispatcher

import (
	"bytes"
	"time"

	"clementineyard/internal/recorder"
	"clementineyard/internal/scheduler"
	"clementineyard/wire"
)

// job is a submission that has not been answered yet. Only the dispatcher's goroutine accesses it.
type job struct {
	sub      *wire.Submission
	key      recorder.Key
	deadline time.Time
	// replies hold the callbacks of the waiting callers: the first one, and those that resubmitted the same key.
	replies []func(*wire.Answer)
	// answers, addresses and ids have one element for each task of sub. An answer is nil until its task has ended.
	answers []*wire.TaskAnswer
	// addresses holds the address of the backend server that runs the task, or "" while the task is not running.
	addresses []string
	ids       []uint64
	remaining int
	admitted  bool
	cancelled bool
	// retriable allows another attempt after one that may have run.
	retriable bool
	// mayHaveRun is set once an attempt may have run. The outcome of a retriable request is then never "not run".
	mayHaveRun bool
}

func newJob(s *wire.Submission, deadline time.Time, reply func(*wire.Answer)) *job {
	return &job{
		sub: s, deadline: deadline, replies: []func(*wire.Answer){reply},
		answers: make([]*wire.TaskAnswer, len(s.Tasks)), addresses: make([]string, len(s.Tasks)), remaining: len(s.Tasks),
	}
}

// begin looks up the key of a submission before any other check: a submission that has ended must get its stored
// answer, never a refusal.
func (d *Dispatcher) begin(j *job) {
	if !d.owner || (d.draining && d.jobs[j.sub.Key] == nil) {
		d.refuse(j, &scheduler.Refusal{Reason: wire.Reason_REASON_NOT_OWNER})
		return
	}
	if j.sub.Key == "" {
		j.retriable = !d.cfg.Scheduler.NonIdempotent(j.sub.Service, j.sub.Tasks[0].Name)
		if d.admit(j) {
			d.release(j)
		}
		return
	}
	if existing := d.jobs[j.sub.Key]; existing != nil {
		d.attach(existing, j)
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
	accepted := d.cfg.Records.Begin(rec, func(v recorder.Verdict, a *wire.Answer) {
		d.events <- eventFunc(func() { d.onBegin(j, v, a) })
	})
	if !accepted {
		// The records were not consulted, so whether an earlier call with the key ran is unknown.
		d.answer(j, &wire.Answer{
			Key: j.sub.Key, Outcome: wire.Outcome_OUTCOME_UNKNOWN, State: wire.State_STATE_FAILED, Reason: wire.Reason_REASON_QUEUE_FULL,
		})
	}
}

// attach makes a resubmission wait for the answer of the submission that is already queued or running.
func (d *Dispatcher) attach(existing, resubmission *job) {
	if !bytes.Equal(existing.sub.ContentHash, resubmission.sub.ContentHash) {
		d.refuse(resubmission, &scheduler.Refusal{Reason: wire.Reason_REASON_CONFLICT})
		return
	}
	existing.replies = append(existing.replies, resubmission.replies...)
}

// verdictOutcomes holds the answers to the verdicts that end a submission without a stored answer.
var verdictOutcomes = map[recorder.Verdict]struct {
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

// onBegin handles the verdict that the keeper gave on a submission's key.
func (d *Dispatcher) onBegin(j *job, v recorder.Verdict, a *wire.Answer) {
	switch v {
	case recorder.VerdictNew:
		if !d.admit(j) {
			d.callKeeper(func() bool { return d.cfg.Records.Abandon(j.key) })
			return
		}
		d.callKeeper(func() bool {
			return d.cfg.Records.Commit(j.key, func(ok bool) {
				d.events <- eventFunc(func() { d.onCommit(j, ok) })
			})
		})
	case recorder.VerdictFinished:
		d.answer(j, a)
	default:
		o := verdictOutcomes[v]
		d.answer(j, &wire.Answer{Key: j.sub.Key, Outcome: o.outcome, State: wire.State_STATE_FAILED, Reason: o.reason})
	}
}

// schedulerTasks returns the tasks of a submission, without ids.
func schedulerTasks(s *wire.Submission, deadline time.Time) []scheduler.Task {
	tasks := make([]scheduler.Task, len(s.Tasks))
	for i, t := range s.Tasks {
		tasks[i] = scheduler.Task{
			Service: s.Service, Name: t.Name, Team: s.Team, Submission: s.Key, Deadline: deadline,
			Declared: time.Duration(t.DeclaredMillis) * time.Millisecond,
			Ask: scheduler.Resources{
				Millicores: t.GetAsk().GetMillicores(), Memory: t.GetAsk().GetMemory(),
				Accelerators: t.GetAsk().GetAccelerators(),
			},
			Held: s.Key != "",
		}
	}
	return tasks
}

// admit queues the tasks of a submission in the scheduler, or refuses the submission and reports false.
func (d *Dispatcher) admit(j *job) bool {
	if r := d.cfg.RefusalReason(j.sub); r != wire.Reason_REASON_NONE {
		d.refuse(j, &scheduler.Refusal{Reason: r})
		return false
	}
	tasks := schedulerTasks(j.sub, j.deadline)
	j.ids = make([]uint64, len(j.sub.Tasks))
	for i := range tasks {
		d.lastTaskID++
		j.ids[i], tasks[i].ID = d.lastTaskID, d.lastTaskID
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

// onCommit releases the tasks of an admitted submission once a majority holds its record. Otherwise it cancels them.
func (d *Dispatcher) onCommit(j *job, ok bool) {
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

// endTask sets the final answer of a task. With the last task of a submission it assembles the answer and, if the
// submission has a key, has it recorded before the callers get it.
func (d *Dispatcher) endTask(id uint64, a *wire.TaskAnswer) {
	ref, ok := d.tasks[id]
	if !ok {
		return
	}
	delete(d.tasks, id)
	j := ref.job
	if j.retriable && j.mayHaveRun && a.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		a.Outcome, a.Reason = wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_SERVER_LOST
	}
	a.Id = j.sub.Tasks[ref.index].Id
	j.answers[ref.index] = a
	j.remaining--
	if j.remaining > 0 {
		return
	}
	final := assembleAnswer(j)
	if j.sub.Key == "" {
		d.answer(j, final)
		return
	}
	d.callKeeper(func() bool {
		return d.cfg.Records.Finish(j.key, final, func(bool) {
			d.events <- eventFunc(func() { d.answer(j, final) })
		})
	})
}

// answer ends a submission and replies to all its callers.
func (d *Dispatcher) answer(j *job, a *wire.Answer) {
	if d.jobs[j.sub.Key] == j {
		delete(d.jobs, j.sub.Key)
	}
	d.Counters.count(a)
	for _, reply := range j.replies {
		reply(a)
	}
}

// refuse ends a submission with the outcome "not run".
func (d *Dispatcher) refuse(j *job, r *scheduler.Refusal) {
	d.answer(j, &wire.Answer{
		Key: j.sub.Key, Outcome: wire.Outcome_OUTCOME_NOT_RUN, State: wire.State_STATE_FAILED, Reason: r.Reason,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	})
}

// assembleAnswer returns the answer of a submission whose tasks have all ended.
func assembleAnswer(j *job) *wire.Answer {
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
		case t.Status >= minFailedStatus:
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

// minFailedStatus is the lowest HTTP status of a backend server's response that marks a task as failed.
const minFailedStatus = 400
