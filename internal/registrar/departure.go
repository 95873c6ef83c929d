package registrar

import (
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/wire"
)

// maxDepartures bounds the departures that are kept, as the agreed state does.
const maxDepartures = 2000

// DepartureIsNewer reports whether a departure of a worker is newer than another one.
func DepartureIsNewer(a, b *wire.WorkerDeparture) bool { return IsNewer(reportOf(a), reportOf(b)) }

// departure is an agreed departure of a worker, and when this registrar learned of it.
type departure struct {
	*wire.WorkerDeparture
	learnedAt time.Time
}

// Depart records that an incarnation of a worker drains or has ended, as the voters have agreed. Reports of the incarnation
// that are not newer than the departure count as draining or gone from then on. It returns the worker's report where that
// has changed it; nil otherwise.
func (r *Registrar) Depart(now time.Time, d *wire.WorkerDeparture) *wire.WorkerReport {
	k := key{d.Id, d.Service, d.FailureDomain}
	if held := r.departures[k]; held.WorkerDeparture == nil || DepartureIsNewer(d, held.WorkerDeparture) {
		r.departures[k] = departure{d, now}
	}
	r.pruneDepartures()
	e := r.workers[k]
	if e == nil {
		return nil
	}
	merged := r.applyDeparture(e.report)
	if EqualContent(merged, e.report) {
		return nil
	}
	r.sequence++
	e.report, e.changeSequence, e.changedAt = merged, r.sequence, now
	r.failureDomains[k.failureDomain].lastChange = r.sequence
	return merged
}

// Current returns the report that is held of the worker of w: w itself after it was accepted, or what it counts as after a
// departure; nil if none is held.
func (r *Registrar) Current(w *wire.WorkerReport) *wire.WorkerReport {
	if e := r.workers[keyOf(w)]; e != nil {
		return e.report
	}
	return nil
}

// Departed reports whether the voters have agreed on what a report of a draining or ended worker states.
func (r *Registrar) Departed(w *wire.WorkerReport) bool {
	d := r.departures[keyOf(w)]
	return d.WorkerDeparture != nil && (d.Born > w.Born || d.Born == w.Born && (d.Gone || !w.Gone))
}

// applyDeparture returns a report as it counts after the departure that is known of its worker: one that was sent before it and
// arrives late, or was restored from a disk, must not bring the worker back.
func (r *Registrar) applyDeparture(w *wire.WorkerReport) *wire.WorkerReport {
	d := r.departures[keyOf(w)]
	if d.WorkerDeparture == nil || d.Born != w.Born || !d.Gone && w.Sequence > d.Sequence || w.Gone || w.Draining && !d.Gone {
		return w
	}
	merged := proto.CloneOf(w)
	merged.Draining, merged.Gone, merged.Sequence = true, d.Gone, max(w.Sequence, d.Sequence)
	return merged
}

// expireDepartures removes the departures of workers that do not state their start, after limit: a later incarnation of such
// a worker cannot be told from the one that has left.
func (r *Registrar) expireDepartures(now time.Time, limit time.Duration) {
	for k, d := range r.departures {
		if d.Born == 0 && now.Sub(d.learnedAt) > limit {
			delete(r.departures, k)
		}
	}
}

func (r *Registrar) pruneDepartures() {
	for len(r.departures) > maxDepartures {
		var oldest key
		for k, d := range r.departures {
			if held := r.departures[oldest]; held.WorkerDeparture == nil || d.Index < held.Index {
				oldest = k
			}
		}
		delete(r.departures, oldest)
	}
}

// reportOf returns the report that a departure stands for.
func reportOf(d *wire.WorkerDeparture) *wire.WorkerReport {
	return &wire.WorkerReport{Id: d.Id, Service: d.Service, FailureDomain: d.FailureDomain, Born: d.Born, Sequence: d.Sequence, Draining: true, Gone: d.Gone}
}
