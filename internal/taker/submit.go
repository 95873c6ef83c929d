package taker

import (
	"context"
	"errors"
	"slices"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/controller"
	"clementineyard/internal/messenger"
	"clementineyard/wire"
)

const (
	// retryEvery is the pause before a job is offered to an owner again.
	retryEvery = 20 * time.Millisecond
	// unownedWait is how long a job that no owner answers waits for one. A killed owner is replaced within half a second,
	// a frozen one within a second.
	unownedWait = 1500 * time.Millisecond
	// comeBackAfter is told to clients whose job no owner has received.
	comeBackAfter = time.Second
	// jobWait bounds one call to an owner. It only ends calls whose reply was lost with nobody noticing.
	jobWait = time.Minute
	// cancelWait is how long a cancellation is repeated. After it the owner has noticed that the connection is gone, and has
	// dropped the job.
	cancelWait = 2 * time.Second
	// fullFor is how long a failure domain without room is not asked again. In that time a few tasks end there.
	fullFor = 25 * time.Millisecond
)

// Outcome is what became of a job.
type Outcome struct {
	Kind       wire.FleetOutcome_Kind
	RetryAfter time.Duration
	Reason     string
	// FailureDomain is whose owner was asked last, and Offers how often any was asked.
	FailureDomain string
	Offers        int
}

// Submit hands a job to an owner and waits for the outcome. The owner of this VM's failure domain comes first; where it
// has no room for the whole job at once, the others are asked, and where none has, the job waits at the first for a
// while before they are asked again.
//
// Once an owner may have started the job it stays with that failure domain, whose next owner finds what runs. The context
// ends when the client leaves; the job is cancelled then.
func (t *Taker) Submit(ctx context.Context, j *allocator.Job) Outcome {
	j.Taker, j.Incarnation = t.cfg.Name, t.cfg.Incarnation
	j.OnlyWithRoom = true
	domain := t.cfg.FailureDomain
	var unansweredUntil time.Time
	for offers := 1; ; offers++ {
		g, changed := t.grant(domain)
		offeredAt := t.cfg.Now()
		o, err := t.offer(ctx, g, j)
		out := Outcome{FailureDomain: domain, Offers: offers}
		switch {
		case ctx.Err() != nil:
			go t.cancel(domain, j.ID)
			out.Kind, out.Reason = wire.FleetOutcome_KIND_GIVEN_UP, "client has left"
			return out
		case err == nil && o.Kind == wire.FleetOutcome_KIND_NO_ROOM:
			domain = t.nextWithRoom(domain)
			j.OnlyWithRoom = domain != t.cfg.FailureDomain
			continue
		case err == nil && o.Kind != wire.FleetOutcome_KIND_MOVED:
			out.Kind, out.Reason = o.Kind, o.Reason
			out.RetryAfter = time.Duration(o.RetryAfterMillis) * time.Millisecond
			return out
		}
		t.cfg.Count("reoffers", 1)
		t.cfg.Log.Info("Job is offered again.", "job", j.ID, "failureDomain", domain, "owner", g.GetOwner(), "fence", g.GetFence(),
			"outcome", o.GetKind().String(), "error", err, "mayRun", j.MayRun)
		now := t.cfg.Now()
		if unansweredUntil.IsZero() || now.Sub(offeredAt) > retryEvery {
			// An owner had the job for a while. Its successor, or itself after a freeze of this VM, may have the outcome.
			unansweredUntil = now.Add(unownedWait)
		}
		if !now.Before(unansweredUntil) {
			out.Kind = wire.FleetOutcome_KIND_REFUSED
			if j.MayRun {
				out.Kind = wire.FleetOutcome_KIND_GIVEN_UP
			}
			out.RetryAfter, out.Reason = comeBackAfter, "no owner of the failure domain is reached"
			return out
		}
		if !j.MayRun {
			domain = t.nextWithRoom(domain)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(retryEvery):
		}
	}
}

// offer sends the job to an owner and waits for its answer. j.MayRun is set once the job may have reached one.
func (t *Taker) offer(ctx context.Context, g *wire.Grant, j *allocator.Job) (*wire.FleetOutcome, error) {
	type result struct {
		outcome *wire.FleetOutcome
		err     error
	}
	got := make(chan result, 1)
	switch {
	case g == nil:
		return nil, messenger.ErrUnsent
	case g.Owner == t.cfg.Name:
		sent := *j
		t.controller.Submit(&sent, g.Fence, func(o *wire.FleetOutcome) { got <- result{outcome: o} })
	default:
		now := t.cfg.Now()
		e := &wire.Envelope{Body: &wire.Envelope_FleetJob{FleetJob: controller.EncodeJob(j, g.Fence, now)}}
		t.messenger.Call(g.Owner, messenger.Relay, e, now.Add(jobWait), func(r *wire.Envelope, err error) {
			if err == nil && r.GetFleetOutcome() == nil {
				err = messenger.ErrLost
			}
			got <- result{r.GetFleetOutcome(), err}
		})
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-got:
		if errors.Is(r.err, messenger.ErrLost) || r.outcome.GetKind() == wire.FleetOutcome_KIND_MOVED {
			j.MayRun = true
		}
		return r.outcome, r.err
	}
}

// cancel tells a failure domain's owner that a job's client has left, until one confirms it. The client may ask again
// elsewhere, where another owner knows nothing of the job, so a cancellation must not get lost with a connection.
func (t *Taker) cancel(domain, id string) {
	until := t.cfg.Now().Add(cancelWait)
	for t.cfg.Now().Before(until) {
		g, _ := t.grant(domain)
		switch {
		case g == nil:
			return
		case g.Owner == t.cfg.Name:
			t.controller.Cancel(id, t.cfg.Name, t.cfg.Incarnation)
			return
		}
		confirmed := make(chan bool, 1)
		e := &wire.Envelope{Body: &wire.Envelope_FleetCancellation{
			FleetCancellation: &wire.FleetCancellation{Id: id, Incarnation: t.cfg.Incarnation},
		}}
		t.messenger.Call(g.Owner, messenger.Relay, e, until, func(_ *wire.Envelope, err error) { confirmed <- err == nil })
		if <-confirmed {
			return
		}
		time.Sleep(retryEvery)
	}
	t.cfg.Log.Warn("Cancellation was not confirmed.", "job", id, "failureDomain", domain)
}

// Owner names the owner of this VM's failure domain as far as it is known here; empty when there is none.
func (t *Taker) Owner() string {
	g, _ := t.grant(t.cfg.FailureDomain)
	return g.GetOwner()
}

// grant returns the newest grant of a failure domain, nil when there is none, and a channel that is closed when any
// grant changes.
func (t *Taker) grant(domain string) (*wire.Grant, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grants[domain], t.changed
}

// nextWithRoom notes that a failure domain had no room or did not answer, and returns the next one to ask: this VM's own
// once all others were asked.
func (t *Taker) nextWithRoom(after string) string {
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fullUntil[after] = now.Add(fullFor)
	var domains []string
	for d := range t.grants {
		if d != t.cfg.FailureDomain && (after == t.cfg.FailureDomain || d > after) && !now.Before(t.fullUntil[d]) {
			domains = append(domains, d)
		}
	}
	if len(domains) == 0 {
		return t.cfg.FailureDomain
	}
	return slices.Min(domains)
}
