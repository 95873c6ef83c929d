package dispatcher

import (
	"time"

	"clementineyard/internal/scheduler"
	"clementineyard/wire"
)

// Explain tells what would become of a submission now, without submitting it. reply is called on the dispatcher's goroutine and
// must not block. known is true for a key that is queued or running here. Explain reports false when the control queue is full.
func (d *Dispatcher) Explain(s *wire.Submission, deadline time.Time, reply func(e scheduler.Explanation, known bool)) bool {
	return d.tryControl(func() {
		known := s.Key != "" && d.jobs[s.Key] != nil
		refused := func(r wire.Reason) { reply(scheduler.Explanation{Refusal: &scheduler.Refusal{Reason: r}}, known) }
		if !d.owner || d.draining && !known {
			refused(wire.Reason_REASON_NOT_OWNER)
			return
		}
		if r := d.cfg.RefusalReason(s); r != wire.Reason_REASON_NONE && !known {
			refused(r)
			return
		}
		reply(d.cfg.Scheduler.Explain(d.cfg.Now(), schedulerTasks(s, deadline)), known)
	})
}
