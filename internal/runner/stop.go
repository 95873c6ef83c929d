package runner

import "time"

// stop serves on until the balancer has noticed, waits for what is in flight and closes the listeners in order.
func (r *Runner) stop() error {
	r.stopping.Store(true)
	deadline := time.Now().Add(r.set.Timing.StopDeadline.Duration)
	r.log.Info("Stopping.", "part", "runner", "deadline", deadline)
	time.Sleep(min(r.set.Timing.BalancerNotice.Duration, time.Until(deadline)))
	r.handOverConfiguration(deadline)
	idle := make(chan struct{})
	r.dispatcher.Stop(func() { close(idle) })
	select {
	case <-idle:
	case <-time.After(time.Until(deadline)):
		r.log.Warn("Stop deadline passed with work in flight.", "part", "runner")
	}
	for _, b := range r.listeners {
		if err := b.server.Shutdown(); err != nil {
			r.log.Warn("Listener did not close.", "part", "runner", "listener", b.name, "error", err)
		}
	}
	r.log.Info("Stopped.", "part", "runner")
	return nil
}
