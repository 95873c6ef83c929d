package registrar

import (
	"slices"
	"sort"
	"time"

	"clementineyard/wire"
)

// Registrar is a table of worker reports by worker id. It is not safe for concurrent use.
type Registrar struct {
	// sequence is the number of the last change in any failure domain.
	sequence uint64
	workers  map[string]*entry
	// lastChanges holds the number of the last change in each failure domain.
	lastChanges map[string]uint64
}

// entry is the newest report of one worker. changeSequence is the number of the last change of the report's content.
type entry struct {
	report         *wire.WorkerReport
	heardAt        time.Time
	changeSequence uint64
}

// New returns an empty Registrar.
func New() *Registrar {
	return &Registrar{workers: map[string]*entry{}, lastChanges: map[string]uint64{}}
}

// Report stores a worker's report. It reports false and ignores the report unless it is newer than the stored one:
// reports may arrive late, repeatedly, or after their worker has ended.
func (r *Registrar) Report(now time.Time, w *wire.WorkerReport) bool {
	e := r.workers[w.Id]
	if e != nil && !isNewer(w, e.report) {
		return false
	}
	if e == nil {
		e = &entry{}
		r.workers[w.Id] = e
	}
	if e.report == nil || !equalContent(w, e.report) {
		r.sequence++
		e.changeSequence = r.sequence
		r.lastChanges[w.FailureDomain] = r.sequence
	}
	e.report, e.heardAt = w, now
	return true
}

// Expire removes the workers from which no newer report has arrived for longer than limit. It counts as no change:
// what a worker's silence means is decided by whoever holds its running tasks.
func (r *Registrar) Expire(now time.Time, limit time.Duration) {
	for id, e := range r.workers {
		if now.Sub(e.heardAt) > limit {
			delete(r.workers, id)
		}
	}
}

// LastChange returns the number of the last change, or 0 if there was none.
func (r *Registrar) LastChange() uint64 { return r.sequence }

// LastChangeIn returns the number of the last change in a failure domain, or 0 if there was none.
func (r *Registrar) LastChangeIn(failureDomain string) uint64 { return r.lastChanges[failureDomain] }

// Find returns the newest report of a worker, or nil if there is none.
func (r *Registrar) Find(id string) *wire.WorkerReport {
	if e := r.workers[id]; e != nil {
		return e.report
	}
	return nil
}

// ChangedSince returns the reports of a failure domain's workers that have changed after the given change number, in
// the order of their changes.
func (r *Registrar) ChangedSince(sequence uint64, failureDomain string) []*wire.WorkerReport {
	var found []*entry
	for _, e := range r.workers {
		if e.changeSequence > sequence && e.report.FailureDomain == failureDomain {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].changeSequence < found[j].changeSequence })
	out := make([]*wire.WorkerReport, len(found))
	for i, e := range found {
		out[i] = e.report
	}
	return out
}

// isNewer reports whether a is newer than b, which is of the same worker. The later incarnation is newer, then the
// report that ends the incarnation, then the larger sequence.
func isNewer(a, b *wire.WorkerReport) bool {
	switch {
	case a.Born != b.Born:
		return a.Born > b.Born
	case b.Gone:
		return false
	case a.Gone:
		return true
	}
	return a.Sequence > b.Sequence
}

// equalContent reports whether a and b have the same content. It ignores their sequences.
func equalContent(a, b *wire.WorkerReport) bool {
	return a.Born == b.Born && a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Draining == b.Draining && a.Gone == b.Gone && a.Millicores == b.Millicores && a.MemoryMb == b.MemoryMb &&
		a.Accelerators == b.Accelerators && slices.Equal(a.Labels, b.Labels)
}
