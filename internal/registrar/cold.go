package registrar

import (
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/wire"
)

// coldTolerance is by how much the end of a worker's slow time may move without counting as a change. Each report states the time
// that is left, so that the end moves by what the report's way varies.
const coldTolerance = 500 * time.Millisecond

// coldEnd returns when the worker is no longer slow, by a report that arrived at now; zero if it is not.
func coldEnd(now time.Time, w *wire.WorkerReport) time.Time {
	if w.ColdRemainingMillis <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(w.ColdRemainingMillis) * time.Millisecond)
}

// coldChanged reports whether a report moves the end of the worker's slow time by more than coldTolerance.
func (e *entry) coldChanged(now time.Time, w *wire.WorkerReport) bool {
	held, stated := e.coldUntil, coldEnd(now, w)
	if held.Before(now) {
		held = now
	}
	if stated.Before(now) {
		stated = now
	}
	return stated.Sub(held).Abs() > coldTolerance
}

// At returns reports that are held here with the slow time that is left at now, as some arrived a while ago.
func (r *Registrar) At(now time.Time, reports []*wire.WorkerReport) []*wire.WorkerReport {
	for i, w := range reports {
		e := r.workers[keyOf(w)]
		if w.ColdRemainingMillis <= 0 || e == nil || e.report != w || !e.heardAt.Before(now) {
			continue
		}
		reports[i] = proto.CloneOf(w)
		reports[i].ColdRemainingMillis = max(0, w.ColdRemainingMillis-now.Sub(e.heardAt).Milliseconds())
	}
	return reports
}
