package notifier

import (
	"log/slog"
	"testing"
	"time"

	"clementineyard/wire"
)

// TestRemovalOfFormerIncarnation guards against a worker that is not used any more as the removal by its former
// incarnation arrived after its own first report.
func TestRemovalOfFormerIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	n := New(Config{ForgetAfter: time.Minute, Now: func() time.Time { return now }, Log: slog.New(slog.DiscardHandler)})
	report := func(born int64, sequence uint64) bool {
		return n.Report(&wire.WorkerReport{Id: "w", Born: born, Sequence: sequence, Service: "s", FailureDomain: "north"})
	}
	report(1, 7)
	report(2, 1)
	n.RemoveWorker("w")
	if !report(2, 2) {
		t.Error("the next report of the worker's present incarnation counts as outdated")
	}
}
