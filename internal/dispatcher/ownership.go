package dispatcher

import (
	"clementineyard/internal/scheduler"
	"clementineyard/wire"
)

// setOwner applies a change of ownership. When the ownership is lost it ends all queued tasks: the new owner marks
// every unfinished record as failed, so none of these tasks may start here. Running tasks finish and their callers get
// answers.
func (d *Dispatcher) setOwner(owner bool) {
	if d.owner && !owner {
		now := d.cfg.Now()
		for id, ref := range d.tasks {
			if d.cfg.Scheduler.Cancel(now, id) == scheduler.CancelQueued {
				ref.job.cancelled = true
				d.endTask(id, &wire.TaskAnswer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_NOT_OWNER})
			}
		}
	}
	if owner && !d.owner {
		d.cfg.Scheduler.TakeOver(d.cfg.Now())
	}
	d.owner = owner
}
