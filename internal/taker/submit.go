package taker

import (
	"context"
	"errors"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/controller"
	"clementineyard/internal/divider"
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
	// maxElsewhere bounds how many other cells a job asks in a row: a question costs a round trip and some processor time
	// there.
	maxElsewhere = 3
	// roomKept is how long a cell's room is believed. It is heard of every 0.2 s, from each voter.
	roomKept = 500 * time.Millisecond
	// fullFor is how long a cell that had no room is not asked again. In that time some tasks end there.
	fullFor = 50 * time.Millisecond
)

// reoffer is why a job is offered again. The same one is logged once, as a job without an owner is offered 50 times a
// second.
type reoffer struct {
	grant  *wire.Grant
	kind   wire.FleetOutcome_Kind
	err    error
	mayRun bool
}

// Outcome is what became of a job.
type Outcome struct {
	Kind       wire.FleetOutcome_Kind
	RetryAfter time.Duration
	Reason     string
	// Cell is whose owner was asked last, and Offers how often any was asked.
	Cell   string
	Offers int
}

// Submit hands a job to an owner and waits for the outcome. The job's id names its cell among those of this VM's failure
// domain, so that a client that asks again through another VM reaches the same owner. Where that one has no room for the
// whole job at once, others that were heard to have some are asked, and where none has, the job waits at the first for a
// while before others are asked again.
//
// Where no owner of its own cell is reached, and no other cell has room, it waits in turn at other cells of the failure
// domain: a domain that is cut off from the voters may go on with some of its owners.
//
// Once an owner may have started the job it stays with that cell, whose next owner finds what runs. The context ends when
// the client leaves; the job is cancelled then.
func (t *Taker) Submit(ctx context.Context, j *allocator.Job) Outcome {
	j.Taker, j.Incarnation = t.cfg.Name, t.cfg.Incarnation
	j.OnlyWithRoom = true
	var cell string
	var elsewhere []string
	var unansweredUntil time.Time
	var noted reoffer
	for offers := 1; ; offers++ {
		home := t.home(j.ID)
		if cell == "" {
			cell = home
		}
		g, changed := t.grant(cell)
		offeredAt := t.cfg.Now()
		o, err := t.offer(ctx, g, j)
		out := Outcome{Cell: cell, Offers: offers}
		switch {
		case ctx.Err() != nil:
			go t.cancel(cell, j.ID)
			out.Kind, out.Reason = wire.FleetOutcome_KIND_GIVEN_UP, "client has left"
			return out
		case err == nil && o.Kind == wire.FleetOutcome_KIND_NO_ROOM:
			if cell == home {
				elsewhere = t.elsewhere(home, j)
			}
			t.markFull(cell)
			cell, elsewhere = next(home, elsewhere)
			j.OnlyWithRoom = cell != home
			continue
		case err == nil && o.Kind != wire.FleetOutcome_KIND_MOVED:
			out.Kind, out.Reason = o.Kind, o.Reason
			out.RetryAfter = time.Duration(o.RetryAfterMillis) * time.Millisecond
			return out
		}
		t.cfg.Count("reoffers", 1)
		if r := (reoffer{g, o.GetKind(), err, j.MayRun}); r != noted {
			noted = r
			t.cfg.Log.Info("Job is offered again.", "job", j.ID, "cell", cell, "owner", g.GetOwner(), "fence", g.GetFence(),
				"outcome", o.GetKind().String(), "error", err, "mayRun", j.MayRun, "offers", offers)
		}
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
			out.RetryAfter, out.Reason = comeBackAfter, "no owner of the cell is reached"
			return out
		}
		if !j.MayRun {
			if cell == home {
				elsewhere = t.elsewhere(home, j)
			}
			before := cell
			cell, elsewhere = next(home, elsewhere)
			j.OnlyWithRoom = true
			if before == home && cell == home {
				if n := t.neighbour(home); n != "" {
					cell, j.OnlyWithRoom = n, false
				}
			}
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
		t.submitOwned(&sent, divider.Name(g.FailureDomain, g.Cell), g.Fence, func(o *wire.FleetOutcome) { got <- result{outcome: o} })
	default:
		now := t.cfg.Now()
		e := &wire.Envelope{Body: &wire.Envelope_FleetJob{FleetJob: controller.EncodeJob(j, g, now)}}
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
		if errors.Is(r.err, messenger.ErrLost) || r.outcome.GetKind() == wire.FleetOutcome_KIND_MOVED && !r.outcome.NeverStarted {
			j.MayRun = true
		}
		return r.outcome, r.err
	}
}

// cancel tells a cell's owner that a job's client has left, until one confirms it. The client may ask again elsewhere,
// where another owner knows nothing of the job, so a cancellation must not get lost with a connection.
func (t *Taker) cancel(cell, id string) {
	until := t.cfg.Now().Add(cancelWait)
	for t.cfg.Now().Before(until) {
		g, _ := t.grant(cell)
		switch {
		case g == nil:
			return
		case g.Owner == t.cfg.Name:
			if c := t.controller(cell); c != nil {
				c.Cancel(id, t.cfg.Name, t.cfg.Incarnation)
			}
			return
		}
		confirmed := make(chan bool, 1)
		e := &wire.Envelope{Body: &wire.Envelope_FleetCancellation{
			FleetCancellation: &wire.FleetCancellation{Id: id, Incarnation: t.cfg.Incarnation, Cell: cell},
		}}
		t.messenger.Call(g.Owner, messenger.Relay, e, until, func(_ *wire.Envelope, err error) { confirmed <- err == nil })
		if <-confirmed {
			return
		}
		time.Sleep(retryEvery)
	}
	t.cfg.Log.Warn("Cancellation was not confirmed.", "job", id, "cell", cell)
}

// Owner names an owner of this VM's failure domain as far as it is known here; empty when there is none.
func (t *Taker) Owner() string {
	g, _ := t.grant(divider.Name(t.cfg.FailureDomain, 0))
	return g.GetOwner()
}

// grant returns the newest grant of a cell, nil when there is none, and a channel that is closed when any grant changes.
func (t *Taker) grant(cell string) (*wire.Grant, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grants[cell], t.changed
}

// home returns the cell of this VM's failure domain that a job belongs to.
func (t *Taker) home(id string) string {
	first, _ := t.grant(divider.Name(t.cfg.FailureDomain, 0))
	return divider.Name(t.cfg.FailureDomain, divider.Of(id, first.GetCells()))
}

// elsewhere returns some other cells that were heard to have room for the job, those of this VM's failure domain first and
// else in random order, so that what one cell cannot take is spread over the others.
func (t *Taker) elsewhere(home string, j *allocator.Job) []string {
	ask := int64(0)
	for _, s := range j.Steps {
		ask = max(ask, int64(s.Count)*s.Ask.Millicores)
	}
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var near, far []string
	for cell, r := range t.rooms {
		g := t.grants[cell]
		switch {
		case g == nil || cell == home || now.Sub(r.heardAt) > roomKept || r.millicores < ask:
		case g.Owner != t.cfg.Name && !t.messenger.Connected(g.Owner):
			// The question connects to the owner for the next job.
		case g.FailureDomain == t.cfg.FailureDomain:
			near = append(near, cell)
		default:
			far = append(far, cell)
		}
	}
	// The order of a map is random enough.
	out := append(near, far...)
	return out[:min(len(out), maxElsewhere)]
}

// neighbour returns another cell of this VM's failure domain whose owner is connected, any of several; empty where there
// is none.
func (t *Taker) neighbour(home string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for cell, g := range t.grants {
		if cell != home && g.FailureDomain == t.cfg.FailureDomain && (g.Owner == t.cfg.Name || t.messenger.Connected(g.Owner)) {
			return cell
		}
	}
	return ""
}

// markFull notes that a cell had no room, until it is heard again or for a while.
func (t *Taker) markFull(cell string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rooms[cell] = room{heardAt: t.cfg.Now().Add(fullFor)}
}

// next returns the cell to ask next, and those that are left then: the home once all others were asked.
func next(home string, elsewhere []string) (string, []string) {
	if len(elsewhere) == 0 {
		return home, nil
	}
	return elsewhere[0], elsewhere[1:]
}
