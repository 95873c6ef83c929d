package dispatcher

import (
	"clementineyard/internal/scheduler"
	"clementineyard/wire"
)

// setOwner ends what is queued when ownership is lost: the new owner has failed every unfinished record, so nothing of
// them may start here. Tasks in flight finish and answer their callers.
func (d *Dispatcher) setOwner(owner bool) {
	if d.owner && !owner {
		now := d.cfg.Now()
		for id, ref := range d.tasks {
			if d.cfg.Scheduler.Cancel(now, id) == scheduler.CancelledQueued {
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
