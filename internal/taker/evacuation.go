package taker

import (
	"slices"
	"time"

	"clementineyard/internal/claimer"
	"clementineyard/internal/controller"
	"clementineyard/internal/divider"
	"clementineyard/wire"
)

// evacuatedRetryAfter is the delay that is advised to clients while all failure domains are evacuated.
const evacuatedRetryAfter = time.Second

// applyEvacuations adopts newer orders of operators. Only applyState calls it, before it adopts the grants of the same state: a
// cell that is granted later than an order is evacuated from its start.
func (t *Taker) applyEvacuations(s *wire.AgreedState) {
	changed := map[string]bool{}
	t.mu.Lock()
	for _, e := range s.Evacuations {
		if t.evacuations.Adopt(e) {
			changed[e.FailureDomain] = e.Active
			t.cfg.Log.Info("This VM learned that the evacuation of a failure domain has changed.", "failureDomain", e.FailureDomain,
				"evacuated", e.Active, "index", e.Index)
		}
	}
	var owned []*controller.Controller
	for _, c := range t.owned {
		if _, ok := changed[c.Grant().FailureDomain]; ok {
			owned = append(owned, c)
		}
	}
	if len(changed) > 0 && t.evacuations.Evacuated(t.cfg.FailureDomain) {
		for _, g := range t.grants {
			if !t.evacuations.Evacuated(g.FailureDomain) {
				// The first use of a peer connects to it, so that jobs need not wait for the connection.
				t.messenger.Connected(g.Owner)
			}
		}
	}
	t.mu.Unlock()
	if len(changed) > 0 {
		t.cfg.Count("evacuationChanges", int64(len(changed)))
	}
	for _, c := range owned {
		c.SetEvacuated(changed[c.Grant().FailureDomain])
	}
}

// startsConfirmedAt returns when a voter last confirmed which failure domains are evacuated; now if none ever was, so that no
// owner waits for the voters in a fleet without evacuations.
func (t *Taker) startsConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.evacuations.Any() {
		return t.cfg.Now()
	}
	return t.observer.ConfirmedAt()
}

// homeCell returns the home cell of a job: the cell of this VM's failure domain that its id determines. While that is evacuated, it
// is the one in the first other failure domain that is not, in the order that the id gives them. ok is false if there is none.
func (t *Taker) homeCell(id string) (cell string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.cfg.FailureDomain
	if !t.evacuations.Evacuated(own) {
		cells := t.grants[divider.CellName(own, 0)].GetCells()
		return divider.CellName(own, divider.CellOf(id, cells)), true
	}
	cells := claimer.HomeCells(id, t.cellCounts())
	i := slices.IndexFunc(cells, func(c string) bool { return !t.evacuations.Evacuated(t.grants[c].GetFailureDomain()) })
	if i < 0 {
		return "", false
	}
	return cells[i], true
}

// cellCounts returns the number of cells of each failure domain. The caller holds t.mu.
func (t *Taker) cellCounts() map[string]uint32 {
	counts := map[string]uint32{}
	for _, g := range t.grants {
		counts[g.FailureDomain] = g.Cells
	}
	return counts
}

// refuseEvacuated returns the outcome of a job that no failure domain can run. mayHaveRun is true if tasks of it may have run.
func (t *Taker) refuseEvacuated(out Outcome, mayHaveRun bool) Outcome {
	t.cfg.Count("evacuatedRefusals", 1)
	out.Kind, out.RetryAfter, out.Reason = wire.FleetOutcome_KIND_REFUSED, evacuatedRetryAfter, "all failure domains are evacuated"
	if mayHaveRun {
		out.Kind = wire.FleetOutcome_KIND_GIVEN_UP
	}
	return out
}

// Evacuated reports whether a failure domain is evacuated, as far as this VM knows.
func (t *Taker) Evacuated(failureDomain string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evacuations.Evacuated(failureDomain)
}
