package allocator

import "time"

// This file decides on workers that a voter has read from its disk. It answers a loss of power of all VMs, after which callers
// are back before the workers have reported. Such a worker is held at once, and used once it has answered.

// confirmed reports whether the worker is known to be as its report states. A report from a voter's disk may be of a former
// incarnation, with another capacity, so the worker must have listed its runs as the one that the report names.
func (w *worker) confirmed() bool {
	return !w.report.Restored || w.report.Born != 0 && w.listedBorn == w.report.Born
}

// isForgotten reports whether a worker from a voter's disk has neither answered nor reported in time.
func (a *Allocator) isForgotten(now time.Time, w *worker) bool {
	if a.cfg.ForgetRestored <= 0 || !w.report.Restored || w.synced || len(w.runs) > 0 || w.lastHeardAt.After(w.knownAt) || now.Sub(w.knownAt) <= a.cfg.ForgetRestored {
		return false
	}
	a.note("Owner drops a worker of the voters' directories that has not answered.", "worker", w.report.Id, "address", w.report.Address)
	a.count("restoredWorkersDropped")
	return true
}
