package dispatcher

import (
	"clementineyard/internal/scheduler"
	"clementineyard/wire"
)

// SetEvacuated sets whether operators have evacuated the failure domain. It blocks while the control queue is full.
func (d *Dispatcher) SetEvacuated(evacuated bool) {
	d.control <- func() { d.setEvacuated(evacuated) }
}

// setEvacuated ends the submissions that have not started, so that their callers can turn to other failure domains. Started ones go on
// for a while, as the scheduler decides, and running tasks finish.
func (d *Dispatcher) setEvacuated(evacuated bool) {
	now := d.cfg.Now()
	d.cfg.Scheduler.SetEvacuated(now, evacuated)
	if !evacuated {
		return
	}
	var waiting []uint64
	for id, ref := range d.tasks {
		if !ref.job.hasStarted() {
			waiting = append(waiting, id)
		}
	}
	for _, id := range waiting {
		if d.cfg.Scheduler.Cancel(now, id) == scheduler.CancelQueued {
			d.endTask(id, &wire.TaskAnswer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_EVACUATED})
		}
	}
}

// hasStarted reports whether a task of the submission is running or has ended.
func (j *job) hasStarted() bool {
	for i, a := range j.answers {
		if a != nil || j.addresses[i] != "" {
			return true
		}
	}
	return false
}
