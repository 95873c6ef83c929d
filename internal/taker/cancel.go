package taker

import (
	"context"
	"slices"
	"sync"
	"time"

	"clementineyard/internal/claimer"
	"clementineyard/internal/controller"
	"clementineyard/internal/messenger"
	"clementineyard/wire"
)

// Cancellation is the result of a client's cancellation of a job.
type Cancellation int

// The results of a cancellation.
const (
	// CancellationUnknown: an owner that may have the job could not be asked.
	CancellationUnknown Cancellation = iota
	// Cancelled: the job starts nothing any more, and its runs are being stopped.
	Cancelled
	// NoSuchJob: the job is not under way.
	NoSuchJob
)

// submission is a client's request that waits for a job's outcome at this VM.
type submission struct {
	// cell is the cell that the job was offered to last.
	cell string
	// cancel ends the request, and cancelled is true once it was called.
	cancel    context.CancelFunc
	cancelled bool
}

// addSubmission registers a request that waits for the outcome of a job. remove ends that, and reports whether the client has
// cancelled the job meanwhile.
func (t *Taker) addSubmission(id string, s *submission) (remove func() (cancelled bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting[id] = append(t.waiting[id], s)
	return func() bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.waiting[id] = slices.DeleteFunc(t.waiting[id], func(o *submission) bool { return o == s }); len(t.waiting[id]) == 0 {
			delete(t.waiting, id)
		}
		return s.cancelled
	}
}

// offeredTo records the cell that a job is offered to.
func (t *Taker) offeredTo(s *submission, cell string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.cell = cell
}

// CancelJob cancels a job by the id that its client gave it, whichever VM has the request. It asks the owners of the cells to
// which this VM offers the job, and of the one that has claimed it, until one has the job or ctx is done. A job that no owner has
// ends with the requests at this VM. One that no owner knows starts nothing if it is offered later, by a VM that was frozen or as its
// cancellation has overtaken it.
func (t *Taker) CancelJob(ctx context.Context, id string) Cancellation {
	for {
		holder, certain := t.lookUp(id)
		cells := t.offeredCells(id)
		if holder != "" && !slices.Contains(cells, holder) {
			cells = append(cells, holder)
		}
		result := NoSuchJob
		if len(cells) == 0 && !certain {
			result = CancellationUnknown
		}
		for _, cell := range cells {
			if r := t.cancelInCell(ctx, cell, id); r == Cancelled || r == CancellationUnknown && result == NoSuchJob {
				result = r
			}
		}
		if result == NoSuchJob && t.endSubmissions(id) {
			return Cancelled
		}
		if result == NoSuchJob && holder == "" {
			t.cancelAhead(ctx, id, cells)
		}
		if result != CancellationUnknown {
			return result
		}
		select {
		case <-ctx.Done():
			return CancellationUnknown
		case <-time.After(retryInterval):
		}
	}
}

// cancelAhead asks the owners of a job's home cells in all failure domains to remember its cancellation, but for those of the cells
// that were asked before, and waits for their answers. An owner that cannot be reached learns nothing.
func (t *Taker) cancelAhead(ctx context.Context, id string, asked []string) {
	t.mu.Lock()
	homes := claimer.HomeCells(id, t.cellCounts())
	t.mu.Unlock()
	var calls sync.WaitGroup
	for _, cell := range homes {
		if !slices.Contains(asked, cell) {
			calls.Go(func() { t.cancelInCell(ctx, cell, id) })
		}
	}
	calls.Wait()
}

// lookUp returns the cell that has claimed a job; empty if there is none, which is certain if a register that knows all claims has
// said so.
func (t *Taker) lookUp(id string) (holder string, certain bool) {
	owed, own := t.registers(id)
	for _, register := range (&claimAttempt{owed: owed, own: own}).registers() {
		// An earlier build knows no lookups. It takes this one for a withdrawal that ends nothing, and tells nothing.
		r := t.callRegister(&wire.FleetClaim{Id: id, Register: register, Lookup: true, Withdrawn: true})
		if r.GetHolder() != "" {
			return r.Holder, true
		}
		certain = certain || r.GetComplete() && register != own
	}
	return "", certain
}

// offeredCells returns the cells to which the requests at this VM offer a job.
func (t *Taker) offeredCells(id string) (cells []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.waiting[id] {
		if s.cell != "" && !slices.Contains(cells, s.cell) {
			cells = append(cells, s.cell)
		}
	}
	return cells
}

// endSubmissions ends the requests at this VM that wait for a job, and reports whether there are any.
func (t *Taker) endSubmissions(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.waiting[id] {
		s.cancelled = true
		s.cancel()
	}
	return len(t.waiting[id]) > 0
}

// cancelInCell asks a cell's owner to cancel a job.
func (t *Taker) cancelInCell(ctx context.Context, cell, id string) Cancellation {
	g, _ := t.grant(cell)
	if g == nil {
		return CancellationUnknown
	}
	m := &wire.FleetCancellation{Id: id, Cell: cell, ByClient: true}
	replies := make(chan *wire.FleetCancellation, 1)
	if g.Owner == t.cfg.Name {
		t.cancelOwnedJob(m, func(r *wire.FleetCancellation) { replies <- r })
	} else {
		e := &wire.Envelope{Body: &wire.Envelope_FleetCancellation{FleetCancellation: m}}
		t.messenger.Call(g.Owner, messenger.RelayStream, e, t.cfg.Now().Add(cancelCallTimeout), func(r *wire.Envelope, _ error) {
			replies <- r.GetFleetCancellation()
		})
	}
	select {
	case r := <-replies:
		switch {
		case r == nil || r.Moved || !r.ByClient:
			return CancellationUnknown
		case r.Cancelled:
			return Cancelled
		}
		return NoSuchJob
	case <-ctx.Done():
		return CancellationUnknown
	}
}

// cancelOwnedJob cancels a job for its client in a cell that this VM owns, and replies to m.
func (t *Taker) cancelOwnedJob(m *wire.FleetCancellation, reply func(*wire.FleetCancellation)) {
	r := &wire.FleetCancellation{Id: m.Id, Cell: m.Cell, ByClient: true}
	c := t.controller(m.Cell)
	if c == nil {
		r.Moved = true
		reply(r)
		return
	}
	c.CancelJob(m.Id, func(result controller.JobCancellation) {
		r.Cancelled, r.Moved = result == controller.JobCancelled, result == controller.JobMoved
		reply(r)
	})
}
