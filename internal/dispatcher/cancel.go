package dispatcher

import (
	"clementineyard/internal/scheduler"
	"clementineyard/wire"
)

type cancelItem struct {
	key   string
	batch *cancelBatch
}

// cancelBatch counts one cancellation message until its last key is handled.
type cancelBatch struct {
	team   string
	left   int
	result wire.CancellationResult
	done   func(*wire.CancellationResult)
	// stops asks the workers to stop the running tasks, once the queued ones of the whole batch are withdrawn: a slot
	// that came free earlier would start a task that a later slice cancels.
	stops []func()
}

// Cancel cancels submissions by key. Tasks that have not started never will; running ones are asked to stop.
func (d *Dispatcher) Cancel(c *wire.Cancellation, done func(*wire.CancellationResult)) bool {
	return d.tryControl(func() {
		b := &cancelBatch{team: c.Team, left: len(c.Keys), done: done}
		for _, k := range c.Keys {
			d.cancels = append(d.cancels, cancelItem{key: k, batch: b})
		}
		if b.left == 0 {
			done(&b.result)
		}
	})
}

// cancelSome handles a slice of the waiting cancellations.
func (d *Dispatcher) cancelSome() {
	n := min(len(d.cancels), cancelSlice)
	for _, c := range d.cancels[:n] {
		d.cancelOne(c)
	}
	d.cancels = d.cancels[n:]
	if len(d.cancels) > 0 {
		select {
		case d.control <- func() {}: // wakes the loop for the next slice
		default:
		}
	}
}

func (d *Dispatcher) cancelOne(c cancelItem) {
	b := c.batch
	j := d.jobs[c.key]
	if j == nil || !j.admitted || j.sub.Team != b.team {
		b.result.Ignored++
	} else {
		d.cancelJob(j, b)
	}
	b.left--
	if b.left > 0 {
		return
	}
	for _, stop := range b.stops {
		stop()
	}
	b.done(&b.result)
}

func (d *Dispatcher) cancelJob(j *job, b *cancelBatch) {
	j.cancelled = true
	now := d.cfg.Now()
	for i, id := range j.ids {
		if j.answers[i] != nil {
			continue
		}
		switch d.cfg.Scheduler.Cancel(now, id) {
		case scheduler.CancelledQueued:
			b.result.NotStarted++
			d.Counters.CancelledQueued.Add(1)
			d.endTask(id, &wire.TaskAnswer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_CANCELLED})
		case scheduler.CancelRunning:
			b.result.Running++
			d.Counters.CancelledRunning.Add(1)
			address, task := j.started[i], j.sub.Tasks[i].Id
			b.stops = append(b.stops, func() { d.cfg.Stop(address, j.sub.Key, task) })
		case scheduler.CancelUnknown:
			b.result.Ignored++
		}
	}
}
