package coordinator

import (
	"clementineyard/internal/divider"
	"clementineyard/wire"
)

// This file is the part of the state machine that keeps the rosters of cells. It answers the loss of owners: the next one knows on
// which workers its predecessors may have started tasks.

// maxRosterWorkers bounds the workers of a roster. A cell has about 20.
const maxRosterWorkers = 2000

// applyRoster adopts a roster if its owner still has the cell. An owner that was replaced has then used no worker that its
// successor does not know.
func (s *state) applyRoster(index uint64, r *wire.CellRoster) (changed bool) {
	cell := divider.CellName(r.FailureDomain, r.Cell)
	g, held := s.grants[cell], s.rosters[cell]
	if g == nil || g.Fence != r.Fence || !g.KeepsRoster || len(r.Workers) > maxRosterWorkers || held.GetFence() == r.Fence && held.GetNumber() >= r.Number {
		return false
	}
	s.rosters[cell] = &wire.CellRoster{
		FailureDomain: r.FailureDomain, Cell: r.Cell, Fence: r.Fence, Number: r.Number, Workers: r.Workers, Index: index,
	}
	return true
}

// grantOf returns the grant that a committed entry makes. An owner proposes its first roster once it knows all runs of the cell and
// the former owner is fenced. The roster of a cell ends with a grant to an owner of an earlier build,
// which may use other workers. The next owner may rely on a roster only if its predecessor has proposed it: a voter of an
// earlier build, or one that has started from the snapshot of one, knows no rosters, and an owner that learned its grant from there
// uses all workers until its first roster is agreed on.
func (s *state) grantOf(index uint64, g *wire.Grant) *wire.Grant {
	cell := divider.CellName(g.FailureDomain, g.Cell)
	// That the former owner has ended says nothing of those before it, unless it had time to fence them.
	held := s.grants[cell]
	fenced := held == nil || held.FormerEnded || s.rosters[cell].GetFence() == held.Fence
	if !g.KeepsRoster {
		delete(s.rosters, cell)
	}
	rosterIndex := uint64(0)
	if r := s.rosters[cell]; held != nil && r.GetFence() == held.Fence {
		rosterIndex = r.GetIndex()
	}
	return &wire.Grant{
		FailureDomain: g.FailureDomain, Owner: g.Owner, Incarnation: g.Incarnation, Fence: index, Cells: g.Cells, Cell: g.Cell,
		FormerEnded: g.FormerEnded && fenced, KeepsRoster: g.KeepsRoster, RosterIndex: rosterIndex,
	}
}
