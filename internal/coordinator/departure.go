package coordinator

import (
	"clementineyard/internal/registrar"
	"clementineyard/wire"
)

// This file is the part of the state machine that keeps the departures of workers. It answers restarts of voters: a report that
// a worker drains or has ended must outlast them, while what else is known of workers may be lost.

// maxDepartures bounds the departures that are kept. It is above the number of workers of the largest fleet, all of which may
// drain within a minute; the voters' directories hold the older ones.
const maxDepartures = 2000

// departures holds the newest departure of each worker in the order of their indexes. It is never changed in place, as messages
// share it.
type departures []*wire.WorkerDeparture

// add returns the departures with one more, and whether that has changed them.
func (d departures) add(index uint64, w *wire.WorkerDeparture) (departures, bool) {
	out := make(departures, 0, len(d)+1)
	for _, held := range d {
		if held.Id != w.Id || held.Service != w.Service || held.FailureDomain != w.FailureDomain {
			out = append(out, held)
			continue
		}
		if !registrar.DepartureIsNewer(w, held) {
			return d, false
		}
	}
	out = append(out, &wire.WorkerDeparture{
		Id: w.Id, Service: w.Service, FailureDomain: w.FailureDomain, Born: w.Born, Sequence: w.Sequence, Gone: w.Gone, Index: index,
	})
	return out[max(0, len(out)-maxDepartures):], true
}
