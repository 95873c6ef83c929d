package registrar

import (
	"container/list"
	"slices"
	"sort"
	"time"

	"clementineyard/wire"
)

// maxWorkers bounds the workers that are kept, so that reports of ever new ones take no more memory. It is twice the
// size of the largest planned fleet.
const maxWorkers = 32_000

// refreshInterval is how often an unchanged report counts as a change, so that readers do not forget a worker that
// reports on.
const refreshInterval = 4 * time.Minute

// Registrar is a table of worker reports. It is not safe for concurrent use.
type Registrar struct {
	// sequence is the number of the last change in any failure domain.
	sequence uint64
	workers  map[key]*entry
	// bySilence holds the entries in the order of their last reports, oldest first.
	bySilence      *list.List
	failureDomains map[string]*failureDomain
	// departures holds the newest agreed departure of each worker.
	departures map[key]departure
}

// failureDomain is what is kept of a failure domain that has workers.
type failureDomain struct {
	workers int
	// lastChange is the number of the last change in it.
	lastChange uint64
}

// key identifies a worker. A worker keeps its service and failure domain, so that a report under its id that names others
// is not from it, and must not replace its own. Which of them names a worker to use is decided by the reader.
type key struct{ id, service, failureDomain string }

func keyOf(w *wire.WorkerReport) key { return key{w.Id, w.Service, w.FailureDomain} }

// entry is the newest report of one worker. changeSequence is the number of the last change of the report's content, which
// was at changedAt.
type entry struct {
	report         *wire.WorkerReport
	heardAt        time.Time
	changeSequence uint64
	changedAt      time.Time
	// coldUntil is when the worker, as of the last change, is no longer slow after its start; zero where it is not.
	coldUntil time.Time
	// position is the entry's position in Registrar.bySilence.
	position *list.Element
}

// New returns an empty Registrar.
func New() *Registrar {
	return &Registrar{workers: map[key]*entry{}, bySilence: list.New(), failureDomains: map[string]*failureDomain{}, departures: map[key]departure{}}
}

// Report stores a worker's report. It reports false and ignores the report unless it is newer than the stored one:
// reports may arrive late, repeatedly, or after their worker has ended. Where there are too many workers, it removes the
// one that has been silent for longest.
func (r *Registrar) Report(now time.Time, w *wire.WorkerReport) bool {
	e := r.workers[keyOf(w)]
	if e != nil && !supersedes(w, e.report) {
		return false
	}
	w = r.applyDeparture(w)
	if e == nil {
		if len(r.workers) >= maxWorkers {
			r.remove(r.mostSilent())
		}
		e = r.add(keyOf(w))
	}
	if e.report == nil || !EqualContent(w, e.report) || e.coldChanged(now, w) || now.Sub(e.changedAt) >= refreshInterval {
		r.sequence++
		e.changeSequence, e.changedAt, e.coldUntil = r.sequence, now, coldEnd(now, w)
		r.failureDomains[w.FailureDomain].lastChange = r.sequence
	}
	e.report, e.heardAt = w, now
	r.bySilence.MoveToBack(e.position)
	return true
}

// Expire removes the workers from which no newer report has arrived for longer than limit. It counts as no change:
// what a worker's silence means is decided by whoever holds its running tasks.
func (r *Registrar) Expire(now time.Time, limit time.Duration) {
	for e := r.mostSilent(); e != nil && now.Sub(e.heardAt) > limit; e = r.mostSilent() {
		r.remove(e)
	}
	r.expireDepartures(now, limit)
}

// mostSilent returns the entry whose last report is the oldest, or nil if there is none.
func (r *Registrar) mostSilent() *entry {
	if front := r.bySilence.Front(); front != nil {
		return front.Value.(*entry)
	}
	return nil
}

func (r *Registrar) add(k key) *entry {
	e := &entry{}
	e.position = r.bySilence.PushBack(e)
	r.workers[k] = e
	d := r.failureDomains[k.failureDomain]
	if d == nil {
		d = &failureDomain{}
		r.failureDomains[k.failureDomain] = d
	}
	d.workers++
	return e
}

func (r *Registrar) remove(e *entry) {
	k := keyOf(e.report)
	r.bySilence.Remove(e.position)
	delete(r.workers, k)
	d := r.failureDomains[k.failureDomain]
	if d.workers--; d.workers == 0 {
		delete(r.failureDomains, k.failureDomain)
	}
}

// LastChange returns the number of the last change, or 0 if there was none.
func (r *Registrar) LastChange() uint64 { return r.sequence }

// LastChangeIn returns the number of the last change in a failure domain, or 0 if it has no workers.
func (r *Registrar) LastChangeIn(failureDomain string) uint64 {
	if d := r.failureDomains[failureDomain]; d != nil {
		return d.lastChange
	}
	return 0
}

// Find returns the newest reports under a worker's id, one for each service and failure domain that they name, in the
// order of their changes.
func (r *Registrar) Find(id string) []*wire.WorkerReport {
	return reportsOf(r.list(func(e *entry) bool { return e.report.Id == id }))
}

// ChangedSince returns the reports of a failure domain's workers that have changed after the given change number, in
// the order of their changes.
func (r *Registrar) ChangedSince(sequence uint64, failureDomain string) []*wire.WorkerReport {
	reports, _ := r.FirstChangesSince(sequence, failureDomain, maxWorkers)
	return reports
}

// FirstChangesSince returns the first reports of ChangedSince, limit at most, and the change number up to which a reader
// then holds all reports of the failure domain.
func (r *Registrar) FirstChangesSince(sequence uint64, failureDomain string, limit int) ([]*wire.WorkerReport, uint64) {
	found := r.list(func(e *entry) bool { return e.changeSequence > sequence && e.report.FailureDomain == failureDomain })
	if len(found) <= limit {
		return reportsOf(found), r.sequence
	}
	return reportsOf(found[:limit]), found[limit-1].changeSequence
}

// list returns the entries that matches accepts, in the order of their changes.
func (r *Registrar) list(matches func(*entry) bool) []*entry {
	var found []*entry
	for _, e := range r.workers {
		if matches(e) {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].changeSequence < found[j].changeSequence })
	return found
}

func reportsOf(entries []*entry) []*wire.WorkerReport {
	out := make([]*wire.WorkerReport, len(entries))
	for i, e := range entries {
		out[i] = e.report
	}
	return out
}

// supersedes reports whether a report replaces the held one. One that was received replaces one that was restored from a
// disk, also with a lower sequence: a worker that does not state its start may have begun to count anew. A restored one
// that ends its incarnation stands until a newer one is received, as a report that was sent before may arrive late. A
// restored report never replaces a received one.
func supersedes(w, held *wire.WorkerReport) bool {
	switch {
	case w.Restored && !held.Restored:
		return false
	case !w.Restored && held.Restored && !held.Draining && !held.Gone:
		return w.Born >= held.Born
	}
	return IsNewer(w, held)
}

// IsNewer reports whether a is newer than b, which is of the same worker. The later incarnation is newer, then the
// report that ends the incarnation, then the larger sequence.
func IsNewer(a, b *wire.WorkerReport) bool {
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

// EqualContent reports whether a and b, which are of the same worker, have the same content. It ignores their sequences,
// and for how long the worker is slow.
func EqualContent(a, b *wire.WorkerReport) bool {
	return a.Born == b.Born && a.Restored == b.Restored && a.Address == b.Address &&
		a.Draining == b.Draining && a.Gone == b.Gone && a.Millicores == b.Millicores && a.MemoryMb == b.MemoryMb &&
		a.Accelerators == b.Accelerators && slices.Equal(a.Labels, b.Labels)
}
