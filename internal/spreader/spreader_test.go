package spreader

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/wire"
)

// TestCandidates guards against offers to cells without room, that cannot be reached or were heard too long ago, and
// against a remote cell before one of the own failure domain.
func TestCandidates(t *testing.T) {
	now := time.Unix(1000, 0)
	j := &allocator.Job{Steps: []allocator.Step{{Count: 4, Ask: allocator.Resources{Millicores: 8000}}}}
	near := map[string]Nearness{
		"home": SameFailureDomain, "a": SameFailureDomain, "b": OtherFailureDomain, "c": OtherFailureDomain, "d": OtherFailureDomain, "small": SameFailureDomain,
		"old": SameFailureDomain, "full": SameFailureDomain,
	}
	s := New(rand.New(rand.NewPCG(1, 1)))
	s.Record(now.Add(-roomTTL-1), []*wire.CellRoom{{Cell: "old", Millicores: 40_000}})
	for _, cell := range []string{"home", "a", "b", "c", "d", "cut off", "full"} {
		s.Record(now, []*wire.CellRoom{{Cell: cell, Millicores: 32_000}})
	}
	s.Record(now, []*wire.CellRoom{{Cell: "small", Millicores: 31_999}})
	s.MarkFull(now, "full")
	s.Record(now.Add(fullCellBackoff), []*wire.CellRoom{{Cell: "full", Millicores: 40_000}})
	got := s.Candidates(now, "home", j, func(cell string) Nearness { return near[cell] })
	if len(got) != maxCandidates || got[0] != "a" || slices.ContainsFunc(got[1:], func(c string) bool { return near[c] != OtherFailureDomain }) {
		t.Fatalf("candidates %v, want a and two of b, c and d", got)
	}
	s.Record(now.Add(fullCellBackoff+1), []*wire.CellRoom{{Cell: "full", Millicores: 40_000}})
	got = s.Candidates(now.Add(fullCellBackoff+1), "home", j, func(cell string) Nearness { return near[cell] })
	if !slices.Contains(got[:2], "full") {
		t.Fatalf("candidates %v, want the cell that has room again among the first", got)
	}
}
