package dispatcher

import (
	"clementineyard/internal/scheduler"
	"clementineyard/wire"
)

// keyCancellation is one key of a cancellation that still has to be handled.
type keyCancellation struct {
	key   string
	batch *cancellationBatch
}

// cancellationBatch holds the state and the result of one cancellation message until its last key is handled.
type cancellationBatch struct {
	team      string
	remaining int
	result    wire.CancellationResult
	done      func(*wire.CancellationResult)
	// stopCalls ask the workers to stop the running tasks. They are made only after all queued tasks of the batch have
	// been removed: a slot that is freed earlier would start a task that a later iteration cancels.
	stopCalls []func()
}

// Cancel cancels submissions by key. Tasks that have not started will never start; workers are asked to stop running
// tasks. done is called once, on the dispatcher's goroutine, and must not block. Cancel reports false when the control
// queue is full.
func (d *Dispatcher) Cancel(c *wire.Cancellation, done func(*wire.CancellationResult)) bool {
	return d.tryControl(func() {
		b := &cancellationBatch{team: c.Team, remaining: len(c.Keys), done: done}
		for _, k := range c.Keys {
			d.pendingCancels = append(d.pendingCancels, keyCancellation{key: k, batch: b})
		}
		if b.remaining == 0 {
			done(&b.result)
		}
	})
}

// cancelNextKeys handles at most maxCancelsPerIteration of the waiting cancellations.
func (d *Dispatcher) cancelNextKeys() {
	n := min(len(d.pendingCancels), maxCancelsPerIteration)
	for _, c := range d.pendingCancels[:n] {
		d.cancelKey(c)
	}
	d.pendingCancels = d.pendingCancels[n:]
	if len(d.pendingCancels) > 0 {
		select {
		case d.control <- func() {}: // wakes Run to handle the next keys
		default:
		}
	}
}

func (d *Dispatcher) cancelKey(c keyCancellation) {
	b := c.batch
	j := d.jobs[c.key]
	if j == nil || !j.admitted || j.sub.Team != b.team {
		b.result.Ignored++
	} else {
		d.cancelJob(j, b)
	}
	b.remaining--
	if b.remaining > 0 {
		return
	}
	for _, stop := range b.stopCalls {
		stop()
	}
	b.done(&b.result)
}

func (d *Dispatcher) cancelJob(j *job, b *cancellationBatch) {
	j.cancelled = true
	now := d.cfg.Now()
	for i, id := range j.ids {
		if j.answers[i] != nil {
			continue
		}
		switch d.cfg.Scheduler.Cancel(now, id) {
		case scheduler.CancelQueued:
			b.result.NotStarted++
			d.Counters.CancelledQueued.Add(1)
			d.endTask(id, &wire.TaskAnswer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_CANCELLED})
		case scheduler.CancelRunning:
			b.result.Running++
			d.Counters.CancelledRunning.Add(1)
			address, task := j.addresses[i], j.sub.Tasks[i].Id
			b.stopCalls = append(b.stopCalls, func() { d.cfg.Stop(address, j.sub.Key, task) })
		case scheduler.CancelUnknown:
			b.result.Ignored++
		}
	}
}
