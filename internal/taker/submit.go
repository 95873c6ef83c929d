package taker

import (
	"context"
	"errors"
	"math"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/controller"
	"clementineyard/internal/divider"
	"clementineyard/internal/messenger"
	"clementineyard/internal/spreader"
	"clementineyard/wire"
)

const (
	// retryInterval is the delay before a job is offered, or a cancellation is sent, to an owner again.
	retryInterval = 20 * time.Millisecond
	// noOwnerTimeout is how long a job waits for an owner to answer. A killed owner is replaced within half a second, a
	// frozen one within a second.
	noOwnerTimeout = 1500 * time.Millisecond
	// maxMoves bounds how often a job is taken to the cell that is said to have it.
	maxMoves = 8
	// noOwnerRetryAfter is the delay that is advised to clients whose job no owner has received.
	noOwnerRetryAfter = time.Second
	// jobCallTimeout bounds one call to an owner. It ends only calls whose reply was lost undetected.
	jobCallTimeout = time.Minute
	// resumeDelay is how long after a pause of this VM requests and claims wait. By then it is known which clients have left
	// meanwhile, as the end of a connection is read after the request that waited on it, and other owners have connected again
	// and repeated their claims.
	resumeDelay = 400 * time.Millisecond
	// cancelCallTimeout bounds one call to an owner that cancels a job for its client.
	cancelCallTimeout = 200 * time.Millisecond
	// cancelTimeout is how long a cancellation is retried. By then the owner has detected that the connection is lost, and
	// has dropped the job.
	cancelTimeout = 2 * time.Second
)

// reofferCause is why a job is offered again. Repetitions of the last one are not logged, as a job without an owner is
// offered 50 times a second.
type reofferCause struct {
	grant  *wire.Grant
	kind   wire.FleetOutcome_Kind
	err    error
	mayRun bool
}

// Outcome is the outcome of a job.
type Outcome struct {
	Kind       wire.FleetOutcome_Kind
	RetryAfter time.Duration
	Reason     string
	// Cell is the cell that the job was offered to last, and Offers the number of offers in total.
	Cell   string
	Offers int
}

// Submit offers a job to owners and waits for its outcome. The job's id determines its home cell in this VM's failure
// domain, so that a client that asks again through another VM reaches the same owner. If the home cell has no room for
// all first steps of the job at once, the job is offered to other cells that have reported room. If none of them
// accepts it, it waits in the home cell for a while before other cells are asked again.
//
// If the owner of the home cell does not answer, and no other cell has room, the job is queued in other cells of the
// failure domain in turn: a domain that is partitioned from the voters may still have some of its owners.
//
// Once an owner may have started the job, it stays with that cell, whose next owner finds its runs, until an owner that knows
// all runs gives it back. If the client has sent the job before, also in another failure domain, an owner names the cell that
// has it, and it is offered there. ctx is done when the client disconnects; the job is then cancelled.
func (t *Taker) Submit(ctx context.Context, j *allocator.Job) Outcome {
	j.Taker, j.Incarnation, j.Submission, j.Origin = t.cfg.Name, t.cfg.Incarnation, t.submissions.Add(1), t.cfg.FailureDomain
	t.awaitResumed(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	waiting := &submission{cancel: cancel}
	remove := t.addSubmission(j.ID, waiting)
	out := t.submit(ctx, waiting, j)
	if remove() && out.Kind == wire.FleetOutcome_KIND_GIVEN_UP {
		out.Kind, out.Reason = wire.FleetOutcome_KIND_CANCELLED, allocator.CancelledReason
	}
	return out
}

// submit offers a job to owners until it has an outcome, the client has left or the client has cancelled it.
func (t *Taker) submit(ctx context.Context, waiting *submission, j *allocator.Job) Outcome {
	j.RejectIfFull = true
	var cell string
	var candidates []string
	var noOwnerDeadline time.Time
	var lastCause reofferCause
	// ranBefore is true once an owner has said that tasks of a former submission of the job may have run there.
	ranBefore := false
	moves := 0
	for offers := 1; ; offers++ {
		home, ok := t.homeCell(j.ID)
		if !ok && (cell == "" || !j.MayHaveStarted) {
			holder, certain := t.lookUp(j.ID)
			if moves++; holder == "" || moves > maxMoves {
				return t.refuseEvacuated(Outcome{Cell: cell, Offers: offers - 1}, ranBefore || !certain)
			}
			// The client has sent the job before, and a cell has it.
			cell, j.MayHaveStarted = holder, true
		}
		if cell == "" {
			cell = home
		}
		t.offeredTo(waiting, cell)
		g, changed := t.grant(cell)
		offeredAt := t.cfg.Now()
		var o *wire.FleetOutcome
		err := ctx.Err()
		if err == nil {
			o, err = t.offer(ctx, g, j)
		}
		out := Outcome{Cell: cell, Offers: offers}
		switch {
		case ctx.Err() != nil:
			go t.cancel(cell, j)
			out.Kind, out.Reason = wire.FleetOutcome_KIND_GIVEN_UP, "client has left"
			return out
		case err == nil && o.Kind == wire.FleetOutcome_KIND_NO_ROOM:
			ranBefore = ranBefore || !o.NeverStarted || j.MayHaveStarted
			j.MayHaveStarted = false
			if cell == home {
				candidates = t.spilloverCells(home, j)
			}
			t.markFull(cell)
			cell, candidates = nextCell(home, candidates)
			j.RejectIfFull = cell != home
			continue
		case err == nil && o.Kind == wire.FleetOutcome_KIND_HELD && moves < maxMoves:
			// The client has sent the job to another cell before, which may have started it.
			moves++
			cell, candidates, j.MayHaveStarted, j.RejectIfFull = o.HeldBy, nil, true, true
			j.MayRunElsewhere = j.MayRunElsewhere || !o.NeverStarted
			continue
		case err == nil && o.Kind == wire.FleetOutcome_KIND_HELD:
			out.Kind, out.Reason = wire.FleetOutcome_KIND_GIVEN_UP, "the cells do not agree on which one has the job"
			return out
		case err == nil && o.Kind != wire.FleetOutcome_KIND_MOVED:
			out.Kind, out.Reason = o.Kind, o.Reason
			if out.Kind == wire.FleetOutcome_KIND_REFUSED && ranBefore {
				out.Kind = wire.FleetOutcome_KIND_GIVEN_UP
			}
			out.RetryAfter = time.Duration(o.RetryAfterMillis) * time.Millisecond
			return out
		}
		t.cfg.Count("reoffers", 1)
		if r := (reofferCause{g, o.GetKind(), err, j.MayHaveStarted}); r != lastCause {
			lastCause = r
			t.cfg.Log.Info("Entry VM got no final outcome for the job and retries.", "job", j.ID, "cell", cell, "owner", g.GetOwner(), "fence", g.GetFence(),
				"outcome", o.GetKind().String(), "error", err, "mayRun", j.MayHaveStarted, "offers", offers)
		}
		now := t.cfg.Now()
		if noOwnerDeadline.IsZero() || now.Sub(offeredAt) > retryInterval {
			// The call lasted long, so an owner may have had the job. That owner, after a freeze of this VM, or its successor
			// may have the outcome.
			noOwnerDeadline = now.Add(noOwnerTimeout)
		}
		if !now.Before(noOwnerDeadline) {
			out.Kind = wire.FleetOutcome_KIND_REFUSED
			if j.MayHaveStarted || ranBefore {
				out.Kind = wire.FleetOutcome_KIND_GIVEN_UP
			}
			out.RetryAfter, out.Reason = noOwnerRetryAfter, "no owner of the cell is reached"
			return out
		}
		if !j.MayHaveStarted {
			if cell == home {
				candidates = t.spilloverCells(home, j)
			}
			previous := cell
			cell, candidates = nextCell(home, candidates)
			j.RejectIfFull = true
			if previous == home && cell == home {
				if n := t.siblingCell(home); n != "" {
					cell, j.RejectIfFull = n, false
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(retryInterval):
		}
	}
}

// awaitResumed waits after a pause of this VM until resumeDelay has passed or ctx is done.
func (t *Taker) awaitResumed(ctx context.Context) {
	wait := resumeDelay - t.sinceResumed()
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// sinceResumed returns how long ago the last pause of this VM ended; a long time if there was none.
func (t *Taker) sinceResumed() time.Duration {
	if t.cfg.ResumedAt == nil {
		return math.MaxInt64
	}
	return t.cfg.Now().Sub(t.cfg.ResumedAt())
}

// offer sends the job to an owner and waits for its answer. It sets j.MayHaveStarted once an owner may have started the
// job. The errors are messenger.ErrNotSent, messenger.ErrNoReply and that of ctx.
func (t *Taker) offer(ctx context.Context, g *wire.Grant, j *allocator.Job) (*wire.FleetOutcome, error) {
	type result struct {
		outcome *wire.FleetOutcome
		err     error
	}
	results := make(chan result, 1)
	switch {
	case g == nil:
		return nil, messenger.ErrNotSent
	case g.Owner == t.cfg.Name:
		sent := *j
		t.submitOwned(&sent, divider.CellName(g.FailureDomain, g.Cell), g.Fence, func(o *wire.FleetOutcome) { results <- result{outcome: o} })
	default:
		now := t.cfg.Now()
		e := &wire.Envelope{Body: &wire.Envelope_FleetJob{FleetJob: controller.EncodeJob(j, g, now)}}
		t.messenger.Call(g.Owner, messenger.RelayStream, e, now.Add(jobCallTimeout), func(r *wire.Envelope, err error) {
			if err == nil && r.GetFleetOutcome() == nil {
				err = messenger.ErrNoReply
			}
			results <- result{r.GetFleetOutcome(), err}
		})
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-results:
		if errors.Is(r.err, messenger.ErrNoReply) || r.outcome.GetKind() == wire.FleetOutcome_KIND_MOVED && !r.outcome.NeverStarted {
			j.MayHaveStarted = true
		}
		return r.outcome, r.err
	}
}

// cancel tells a cell's owner that a job's client has disconnected, and retries until an owner confirms it or
// cancelTimeout has passed. The client may ask again elsewhere, where another owner knows nothing of the job, so a
// cancellation must not get lost with a connection.
func (t *Taker) cancel(cell string, j *allocator.Job) {
	until := t.cfg.Now().Add(cancelTimeout)
	for t.cfg.Now().Before(until) {
		g, _ := t.grant(cell)
		switch {
		case g == nil:
			return
		case g.Owner == t.cfg.Name:
			if c := t.controller(cell); c != nil {
				c.Cancel(j.ID, t.cfg.Name, t.cfg.Incarnation, j.Submission)
			}
			return
		}
		confirmed := make(chan bool, 1)
		e := &wire.Envelope{Body: &wire.Envelope_FleetCancellation{
			FleetCancellation: &wire.FleetCancellation{Id: j.ID, Incarnation: t.cfg.Incarnation, Submission: j.Submission, Cell: cell},
		}}
		t.messenger.Call(g.Owner, messenger.RelayStream, e, until, func(_ *wire.Envelope, err error) { confirmed <- err == nil })
		if <-confirmed {
			return
		}
		time.Sleep(retryInterval)
	}
	t.cfg.Log.Warn("Owner did not confirm the cancellation of the job.", "job", j.ID, "cell", cell)
}

// Owner returns the name of the owner of the first cell of this VM's failure domain; empty when none is known.
func (t *Taker) Owner() string {
	g, _ := t.grant(divider.CellName(t.cfg.FailureDomain, 0))
	return g.GetOwner()
}

// grant returns the newest grant of a cell, nil when there is none, and a channel that is closed when any grant
// changes.
func (t *Taker) grant(cell string) (*wire.Grant, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grants[cell], t.grantsChanged
}

// spilloverCells returns other cells that have reported room for the job, in the order in which to offer it to them.
func (t *Taker) spilloverCells(home string, j *allocator.Job) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spreader.Candidates(t.cfg.Now(), home, j, func(cell string) spreader.Nearness {
		g := t.grants[cell]
		switch {
		// Connected begins to connect to an owner that is not connected, for the next job.
		case g == nil, t.evacuations.Evacuated(g.FailureDomain), g.Owner != t.cfg.Name && !t.messenger.Connected(g.Owner):
			return spreader.Unreachable
		case g.FailureDomain == t.cfg.FailureDomain:
			return spreader.SameFailureDomain
		}
		return spreader.OtherFailureDomain
	})
}

// siblingCell returns any other cell of the home cell's failure domain whose owner is connected; empty when there is none.
func (t *Taker) siblingCell(home string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	domain := t.cfg.FailureDomain
	if g := t.grants[home]; g != nil {
		domain = g.FailureDomain
	}
	for cell, g := range t.grants {
		if cell != home && g.FailureDomain == domain && (g.Owner == t.cfg.Name || t.messenger.Connected(g.Owner)) {
			return cell
		}
	}
	return ""
}

// markFull records that a cell had no room.
func (t *Taker) markFull(cell string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spreader.MarkFull(t.cfg.Now(), cell)
}

// nextCell returns the cell to offer a job to next, and the candidates that are left: the home cell once there are
// none.
func nextCell(home string, candidates []string) (string, []string) {
	if len(candidates) == 0 {
		return home, nil
	}
	return candidates[0], candidates[1:]
}
