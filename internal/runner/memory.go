package runner

import (
	"slices"

	"clementineyard/internal/acceptor"
	"clementineyard/internal/parser"
	"clementineyard/internal/recorder"
)

// programBytes is what a daemon takes beside its budgets.
const programBytes = 24 << 20

// MemoryLimit returns what a daemon with these settings takes if it uses all its budgets, in bytes. Without it as the limit of Go's
// heap, garbage of many requests could come on top, as the collector starts only when the heap has doubled.
func MemoryLimit(s *parser.Settings) int64 {
	tables := int64(1)
	for _, g := range s.Groups {
		if g.FailureDomain != s.FailureDomain && slices.Contains(g.Members, s.Name) {
			tables++
		}
	}
	const tableBytes, listeners = 2 * recorder.DefaultBudget, 3
	return programBytes + tables*tableBytes + int64(s.Limits.RequestMemory) + listeners*int64(s.Limits.Connections)*acceptor.ConnectionBytes
}
