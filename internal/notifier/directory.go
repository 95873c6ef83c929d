package notifier

import (
	"google.golang.org/protobuf/proto"

	"clementineyard/internal/cataloger"
	"clementineyard/wire"
)

// This file connects the reports with the voter's directory on its disk, and with what the voters have agreed on workers that
// leave. It answers a loss of power of all VMs: entry VMs learn the workers with the first confirmed state.

// Restore takes over the reports that the voter has read from its disk. They are passed on once the state is confirmed: it then
// holds every departure of a worker that any voter has acknowledged, so that no worker comes back that has left.
func (n *Notifier) Restore(entries []cataloger.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.restored = entries
}

// releaseRestored passes on the restored reports of workers that have not reported since the start. The caller holds n.mu.
func (n *Notifier) releaseRestored() {
	if len(n.restored) == 0 {
		return
	}
	now, released := n.cfg.Now(), 0
	for _, e := range n.restored {
		w := proto.CloneOf(e.Report)
		// The clock of this VM may have been set back.
		w.Restored, w.AgeMillis = true, max(now.UnixMilli()-e.HeardAt.UnixMilli(), 0)
		if n.reports.Report(now, w) {
			released++
		}
	}
	n.cfg.Log.Info("Voter passes on the workers of its directory.", "workers", len(n.restored), "notHeardSince", released, "index", n.state.GetIndex())
	n.restored = nil
}

// applyDepartures applies the departures of workers that are new in the published state. The caller holds n.mu.
func (n *Notifier) applyDepartures() {
	for _, d := range n.state.GetDepartures() {
		if d.Index <= n.departureIndex {
			continue
		}
		n.departureIndex = d.Index
		if w := n.reports.Depart(n.cfg.Now(), d); w != nil {
			n.recordHeard(w)
		}
	}
}

// recordHeard notes a report for the directory. The caller holds n.mu.
func (n *Notifier) recordHeard(w *wire.WorkerReport) {
	if n.cfg.Persist != nil {
		n.heard = append(n.heard, cataloger.Entry{Report: w, HeardAt: n.cfg.Now()})
	}
}

// persist hands over what was heard since the last call.
func (n *Notifier) persist() {
	n.mu.Lock()
	heard := n.heard
	n.heard = nil
	n.mu.Unlock()
	if len(heard) > 0 {
		n.cfg.Persist(heard)
	}
}

// PendingDepartures returns the departures of the workers with an id that this voter has heard of and that the voters have not
// agreed on yet.
func (n *Notifier) PendingDepartures(id string) []*wire.WorkerDeparture {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*wire.WorkerDeparture
	for _, w := range n.reports.Find(id) {
		if (w.Draining || w.Gone) && !n.reports.Departed(w) {
			out = append(out, &wire.WorkerDeparture{
				Id: w.Id, Service: w.Service, FailureDomain: w.FailureDomain, Born: w.Born, Sequence: w.Sequence, Gone: w.Gone,
			})
		}
	}
	return out
}

// departuresSince returns the departures after the index that the sender of a watch holds, of workers of its failure domain.
func departuresSince(s *wire.AgreedState, w *wire.Watch) []*wire.WorkerDeparture {
	var out []*wire.WorkerDeparture
	for _, d := range s.Departures {
		if d.Index > w.Index && d.FailureDomain == w.FailureDomain {
			out = append(out, d)
		}
	}
	return out
}
