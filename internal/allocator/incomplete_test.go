package allocator

import (
	"testing"
	"time"

	"clementineyard/wire"
)

// TestIncompleteListing guards against a second run of a task whose first is listed in an unreadable row.
func TestIncompleteListing(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(Config{MaxLease: time.Second, GrantedAt: now.Add(-time.Minute)})
	a.Report(now, &wire.WorkerReport{Id: "w", Service: "s", Millicores: 3000})
	hold := func(l Listing) (HoldOrder, Output) {
		now = now.Add(10 * time.Millisecond)
		holds := a.DueHolds(now)
		if len(holds) != 1 {
			t.Fatalf("holds %+v", holds)
		}
		sentAt := now
		now = now.Add(10 * time.Millisecond)
		l.Clock = now.UnixMilli()
		return holds[0], a.HandleListing(now, sentAt, "w", l)
	}
	hold(Listing{})
	hold(Listing{})
	out := a.Submit(now, &Job{
		ID: "j", Service: "s", ArrivedAt: now, MaxAttempts: 1, StretchFactor: 100, TargetLatency: time.Hour,
		Steps: []Step{{Count: 2, Ask: Resources{Millicores: 1000}, Estimate: time.Hour}},
	})
	if len(out.Starts) != 2 {
		t.Fatalf("starts %+v", out.Starts)
	}
	for _, s := range out.Starts {
		a.HandleStartResult(now, s, Done)
	}
	hold(Listing{Running: []ListedRun{{Task: "j.0.0.0", Attempt: 1}, {Task: "j.0.0.1", Attempt: 1}}})
	_, out = hold(Listing{Incomplete: true, Ended: []RunEnd{{Number: 1, Task: "j.0.0.0", Attempt: 1, Kind: EndDone}}})
	if tasks := a.jobs["j"].tasks; len(out.Starts) > 0 || !tasks[0].done || tasks[1].lastAttempt != 1 {
		t.Errorf("after an incomplete listing: done %v, starts %+v", tasks[0].done, out.Starts)
	}
	out = a.Submit(now, &Job{
		ID: "k", Service: "s", ArrivedAt: now, MaxAttempts: 1, StretchFactor: 100, TargetLatency: time.Hour,
		Steps: []Step{{Count: 1, Ask: Resources{Millicores: 1000}, Estimate: time.Hour}},
	})
	if len(out.Starts) > 0 {
		t.Errorf("a worker with an unknown run got a start: %+v", out.Starts)
	}
	o, out := hold(Listing{Running: []ListedRun{{Task: "j.0.0.1", Attempt: 1}}})
	if o.LeaseEnd != 0 || o.Ack != 1 || o.PollTime == 0 {
		t.Errorf("a hold after an incomplete listing: %+v", o)
	}
	if len(out.Starts) != 1 || out.Starts[0].Task != "k.0.0.0" {
		t.Errorf("starts after a complete listing: %+v", out.Starts)
	}
	if o, _ = hold(Listing{Running: []ListedRun{{Task: "j.0.0.1", Attempt: 1}}}); o.LeaseEnd == 0 {
		t.Errorf("a hold after a complete listing: %+v", o)
	}
}
