package controller

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/wire"
)

// TestStartedJobSubmittedToDeposedOwner guards against a job that goes to another cell while its run is under way: the
// owner has cancelled it for its first taker, is replaced, and then gets it from a second one.
func TestStartedJobSubmittedToDeposedOwner(t *testing.T) {
	now := time.Now()
	c := New(Config{
		Name: "owner", Grant: &wire.Grant{FailureDomain: "d", Cells: 1, Fence: 1}, MaxLease: time.Second, Now: func() time.Time { return now },
		Orders: Orders{
			Start: func(allocator.StartOrder, uint64, time.Time) allocator.Verdict { return allocator.Done },
			Stop:  func(allocator.StopOrder, uint64, time.Time) allocator.Verdict { return allocator.Unknown },
		},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: func(string, int64) {}, Connected: func(string) bool { return true },
	})
	c.perform(c.allocator.Report(now, &wire.WorkerReport{Id: "w", Service: "s", FailureDomain: "d", Millicores: 1000, Born: 1}))
	c.allocator.DueHolds(now)
	c.perform(c.allocator.HandleListing(now, now, "w", allocator.Listing{Born: 1, Clock: 5000}))
	got := map[string]*wire.FleetOutcome{}
	submit := func(taker string) {
		c.handleSubmit(&allocator.Job{
			ID: "j", Service: "s", Taker: taker, Incarnation: 1, ArrivedAt: now, StretchFactor: 100, TargetLatency: time.Hour, MaxAttempts: 1,
			Steps: []allocator.Step{{Count: 1, Ask: allocator.Resources{Millicores: 1000}, Estimate: time.Hour}},
		}, func(o *wire.FleetOutcome) { got[taker] = o })
	}
	submit("first")
	if c.allocator.NotStarted("j") {
		t.Fatal("the job has not started")
	}
	c.perform(c.allocator.Cancel(now, "j", "first", 1))
	c.deposed = true
	submit("second")
	c.shutDown()
	if o := got["second"]; o.GetKind() != wire.FleetOutcome_KIND_MOVED || o.NeverStarted {
		t.Fatalf("the second taker is answered %v", o)
	}
}
