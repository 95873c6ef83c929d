package registrar

import (
	"slices"
	"sort"
	"time"

	"clementineyard/wire"
)

// Registrar is a table of workers by id. It is not safe for concurrent use.
type Registrar struct {
	sequence uint64
	workers  map[string]*entry
	// changed holds the number of each failure domain's last change.
	changed map[string]uint64
}

// entry is the newest report of one worker. changed is the number of the last change that a reader has to know.
type entry struct {
	report  *wire.WorkerReport
	heardAt time.Time
	changed uint64
}

// New returns an empty table.
func New() *Registrar { return &Registrar{workers: map[string]*entry{}, changed: map[string]uint64{}} }

// Report takes in a report. It returns false where the report is older than the one held: reports may arrive late,
// repeated, or after their sender has ended.
func (r *Registrar) Report(now time.Time, w *wire.WorkerReport) bool {
	e := r.workers[w.Id]
	if e != nil && !newer(w, e.report) {
		return false
	}
	if e == nil {
		e = &entry{}
		r.workers[w.Id] = e
	}
	if e.report == nil || !sameContent(w, e.report) {
		r.sequence++
		e.changed = r.sequence
		r.changed[w.FailureDomain] = r.sequence
	}
	e.report, e.heardAt = w, now
	return true
}

// Expire forgets the workers that have been silent for longer than limit. Readers are not told: what a worker's silence
// means is decided by who holds its runs.
func (r *Registrar) Expire(now time.Time, limit time.Duration) {
	for id, e := range r.workers {
		if now.Sub(e.heardAt) > limit {
			delete(r.workers, id)
		}
	}
}

// Sequence numbers the last change.
func (r *Registrar) Sequence() uint64 { return r.sequence }

// SequenceIn numbers the last change in a failure domain; 0 where there was none.
func (r *Registrar) SequenceIn(failureDomain string) uint64 { return r.changed[failureDomain] }

// Find returns the report held of a worker, nil where there is none.
func (r *Registrar) Find(id string) *wire.WorkerReport {
	if e := r.workers[id]; e != nil {
		return e.report
	}
	return nil
}

// Since returns the reports of a failure domain's workers that changed after the given number, in the order of their
// changes.
func (r *Registrar) Since(sequence uint64, failureDomain string) []*wire.WorkerReport {
	var found []*entry
	for _, e := range r.workers {
		if e.changed > sequence && e.report.FailureDomain == failureDomain {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].changed < found[j].changed })
	out := make([]*wire.WorkerReport, len(found))
	for i, e := range found {
		out[i] = e.report
	}
	return out
}

// newer orders reports of one id: a later incarnation wins, then the end of an incarnation, then the sequence.
func newer(a, b *wire.WorkerReport) bool {
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

func sameContent(a, b *wire.WorkerReport) bool {
	return a.Born == b.Born && a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Draining == b.Draining && a.Gone == b.Gone && a.Millicores == b.Millicores && a.MemoryMb == b.MemoryMb &&
		a.Accelerators == b.Accelerators && slices.Equal(a.Labels, b.Labels)
}
