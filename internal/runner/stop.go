package runner

import (
	"context"
	"time"
)

const (
	// drainTimeout bounds how long the hand-over waits for queued and running tasks. New submissions wait meanwhile.
	// Tasks that take longer finish after the hand-over.
	drainTimeout = 5 * time.Second
	// resignTimeout bounds the wait for another owner, which cannot be elected without a majority.
	resignTimeout      = 2 * time.Second
	resignPollInterval = 10 * time.Millisecond
)

// stop continues to serve until the load balancer has noticed the stop, hands the leadership and the ownership over,
// waits for running tasks and closes the listeners in order. It ends at the stop deadline at the latest.
func (r *Runner) stop() error {
	r.stopping.Store(true)
	deadline := time.Now().Add(r.settings.Timing.StopTimeout.Duration)
	log := r.log.With("part", "runner")
	log.Info("Stopping.", "deadline", deadline)
	time.Sleep(min(r.settings.Timing.ShutdownDelay.Duration, time.Until(deadline)))
	r.handOverConfiguration(deadline)
	idle := make(chan struct{})
	r.dispatcher.Drain(func() { close(idle) })
	if !waitUntil(idle, earlier(time.Now().Add(drainTimeout), deadline)) {
		log.Info("This VM hands over its ownership while tasks are still queued or running.")
	}
	r.handOverOwnership(deadline)
	if !waitUntil(idle, deadline) {
		log.Warn("Stop deadline passed while tasks were still queued or running.")
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

// handOverOwnership resigns and waits until another entry VM owns the failure domain, so that the submissions that wait
// in this process's router reach the new owner.
func (r *Runner) handOverOwnership(deadline time.Time) {
	r.resign()
	until := earlier(time.Now().Add(resignTimeout), deadline)
	for time.Now().Before(until) {
		if o := r.ownership().Owner; o != "" && o != r.settings.Name {
			return
		}
		time.Sleep(resignPollInterval)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitUntil waits until c is closed or the time t, and reports whether c was closed.
func waitUntil(c <-chan struct{}, t time.Time) bool {
	select {
	case <-c:
		return true
	case <-time.After(time.Until(t)):
		return false
	}
}
