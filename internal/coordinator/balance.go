package coordinator

import (
	"time"

	"clementineyard/internal/divider"
	"clementineyard/internal/notifier"
	"clementineyard/wire"
)

// This file decides which entry VM of a failure domain gets a cell, and when a cell moves. It answers entry VMs of unequal
// size, and failure domains in which one entry VM has got the cells of several others.

const (
	// moveFactor is how many times as loaded the owner of a cell must be as its next owner would be. With two, a cell does
	// not move back, and a small difference is not worth the jobs that wait for the next owner.
	moveFactor = 2
	// moveDelay is how long such a difference must last before one cell moves, and how long the next one waits: restarted
	// entry VMs are back by then, and the next owner has adopted the runs.
	moveDelay = 5 * time.Second
)

// rebalance returns a grant that moves one cell of a failure domain, all of whose cells have owners that are alive, from the
// most loaded entry VM to the one that would be least loaded with it. It returns nil if none should move now. The owner
// lives on, so that the hand-over is that of a planned stop: its runs are adopted, and its jobs are offered again.
func (g *granter) rebalance(now time.Time, st *state, d *domainView, cells uint32, owned map[string]int) *wire.Grant {
	from, to := d.mostLoaded(owned), d.leastLoaded(d.candidates, owned)
	total := 0
	for _, n := range owned {
		total += n
	}
	settled := total == int(cells) && !now.Before(g.observationEnd) && !now.Before(g.settledAt[d.name])
	if !settled || from == nil || to == from || d.load(from, owned[from.Name]) < moveFactor*d.load(to, owned[to.Name]+1) {
		delete(g.unevenSince, d.name)
		return nil
	}
	if g.unevenSince[d.name].IsZero() {
		g.unevenSince[d.name] = now
	}
	if now.Sub(g.unevenSince[d.name]) < moveDelay {
		return nil
	}
	delete(g.unevenSince, d.name)
	for c := range cells {
		name := divider.CellName(d.name, c)
		if st.grants[name].GetOwner() == from.Name {
			g.proposalDeadlines[name] = now.Add(grantTimeout)
			return &wire.Grant{FailureDomain: d.name, Owner: to.Name, Incarnation: to.Incarnation, Cells: cells, Cell: c, KeepsRoster: to.KeepsRosters}
		}
	}
	return nil
}

// load returns the load of an entry VM that owns the given number of cells, relative to that of the others.
func (d *domainView) load(p *notifier.Presence, cells int) float64 {
	for _, other := range d.candidates {
		if other.Millicores == 0 {
			// Some entry VM, of an earlier build, does not state its size.
			return float64(cells)
		}
	}
	return float64(cells) / float64(p.Millicores)
}

// leastLoaded returns the entry VM that would have the lowest load with one more cell; among equals, the one that owns
// the fewest cells, then the one that has run for longest. It returns nil if there are no candidates.
func (d *domainView) leastLoaded(candidates []*notifier.Presence, owned map[string]int) *notifier.Presence {
	var best *notifier.Presence
	var bestLoad float64
	for _, p := range candidates {
		load := d.load(p, owned[p.Name]+1)
		switch {
		case best == nil, load < bestLoad:
			best, bestLoad = p, load
		case load > bestLoad, owned[p.Name] > owned[best.Name]:
		case owned[p.Name] < owned[best.Name]:
			best = p
		case p.FirstSeenAt.Before(best.FirstSeenAt), p.FirstSeenAt.Equal(best.FirstSeenAt) && p.Name < best.Name:
			best = p
		}
	}
	return best
}

// mostLoaded returns the entry VM with the highest load; nil if none owns a cell.
func (d *domainView) mostLoaded(owned map[string]int) *notifier.Presence {
	var most *notifier.Presence
	var mostLoad float64
	for _, p := range d.candidates {
		if load := d.load(p, owned[p.Name]); load > mostLoad || load == mostLoad && most != nil && p.Name < most.Name {
			most, mostLoad = p, load
		}
	}
	return most
}
