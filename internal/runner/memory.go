package runner

import (
	"clementineyard/internal/acceptor"
	"clementineyard/internal/recorder"
)

// programBytes is what a daemon takes beside its budgets.
const programBytes = 24 << 20

// MemoryLimit returns what the daemon takes if it uses all its budgets, in bytes. Without it as the limit of Go's heap, garbage of many
// requests could come on top, as the collector starts only when the heap has doubled.
func (r *Runner) MemoryLimit() int64 {
	const recordBytes, listeners = 2 * recorder.DefaultBudget, 3
	l := &r.settings.Limits
	return programBytes + int64(len(r.keepers))*recordBytes + int64(l.RequestMemory) + listeners*int64(l.Connections)*acceptor.ConnectionBytes
}
