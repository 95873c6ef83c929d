package runner

import (
	"context"
	"time"
)

const (
	// drainLimit bounds how long the hand-over waits for queued and running work. New work waits meanwhile; stragglers
	// that take longer finish after the hand-over.
	drainLimit = 5 * time.Second
	// resignLimit bounds the wait for another owner. Without a majority there is none.
	resignLimit = 2 * time.Second
	resignPoll  = 10 * time.Millisecond
)

// stop serves on until the load balancer has noticed, hands leadership and ownership over, waits for what is in flight
// and closes the listeners in order. It ends by itself at the stop deadline.
func (r *Runner) stop() error {
	r.stopping.Store(true)
	deadline := time.Now().Add(r.set.Timing.StopDeadline.Duration)
	log := r.log.With("part", "runner")
	log.Info("Stopping.", "deadline", deadline)
	time.Sleep(min(r.set.Timing.BalancerNotice.Duration, time.Until(deadline)))
	r.handOverConfiguration(deadline)
	idle := make(chan struct{})
	r.dispatcher.Drain(func() { close(idle) })
	if !waitUntil(idle, earlier(time.Now().Add(drainLimit), deadline)) {
		log.Info("Handing over with work in flight.")
	}
	r.handOverOwnership(deadline)
	if !waitUntil(idle, deadline) {
		log.Warn("Stop deadline passed with work in flight.")
	}
	r.router.Close()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for _, b := range r.listeners {
		if err := b.server.ShutdownWithContext(ctx); err != nil {
			log.Warn("Listener did not close.", "listener", b.name, "error", err)
		}
	}
	log.Info("Stopped.")
	return nil
}

// handOverOwnership resigns and waits until another entry VM owns the failure domain, so that what waits in this
// process's router reaches it.
func (r *Runner) handOverOwnership(deadline time.Time) {
	r.Resign()
	until := earlier(time.Now().Add(resignLimit), deadline)
	for time.Now().Before(until) {
		if o := r.ownership().Owner; o != "" && o != r.set.Name {
			return
		}
		time.Sleep(resignPoll)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitUntil reports whether c was closed before the time.
func waitUntil(c <-chan struct{}, t time.Time) bool {
	select {
	case <-c:
		return true
	case <-time.After(time.Until(t)):
		return false
	}
}
