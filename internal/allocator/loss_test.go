package allocator

import (
	"testing"
	"time"

	"clementineyard/wire"
)

// newServingWorker returns an allocator with two workers, and a task of job "j" that runs on the first of them.
func newServingWorker(t *testing.T, now time.Time) (a *Allocator, first *wire.WorkerReport, run StartOrder) {
	t.Helper()
	a = New(Config{MaxLease: time.Second, MaxStopTime: 50 * time.Millisecond, GrantedAt: now.Add(-time.Hour)})
	for _, id := range []string{"w1", "w2"} {
		a.Report(now, &wire.WorkerReport{Id: id, Born: 1, Service: "s", Address: id, Millicores: 1000})
	}
	for range 2 { // The second hold of a worker is the first that grants a lease.
		for _, o := range a.DueHolds(now) {
			a.HandleListing(now, now, o.Worker.Id, Listing{Born: 1, Clock: 5000})
		}
	}
	out := a.Submit(now, &Job{
		ID: "j", Service: "s", ArrivedAt: now, MaxAttempts: 4, StretchFactor: 2, TargetLatency: time.Minute,
		Steps: []Step{{Count: 1, Ask: Resources{Millicores: 1000}, Estimate: 100 * time.Millisecond}},
	})
	if len(out.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(out.Starts))
	}
	run = out.Starts[0]
	a.HandleStartResult(now, run, Done)
	return a, run.Worker, run
}

// startsAfter advances the allocator by d, in which the other workers answer and run what was started there, and returns
// the starts.
func startsAfter(a *Allocator, now time.Time, d time.Duration, silent string) []StartOrder {
	var starts []StartOrder
	for at := now; !at.After(now.Add(d)); at = at.Add(10 * time.Millisecond) {
		starts = append(starts, a.Tick(at).Starts...)
		for _, o := range a.DueHolds(at) {
			if o.Worker.Id == silent {
				starts = append(starts, a.HandleHoldFailure(at, silent, NotDelivered).Starts...)
				continue
			}
			l := Listing{Born: 1, Clock: 5000 + at.Sub(now).Milliseconds()}
			for _, r := range a.workers[o.Worker.Id].runsByTask() {
				l.Running = append(l.Running, ListedRun{Task: r.name, Attempt: r.attempt})
			}
			handle := a.HandleListing
			if o.Probe {
				handle = a.HandleProbe
			}
			starts = append(starts, handle(at, at, o.Worker.Id, l).Starts...)
		}
	}
	return starts
}

// TestRunBehindRefusedConnections guards against a second run while a partition refuses connections.
func TestRunBehindRefusedConnections(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, refuse := range map[string]func(a *Allocator, w *wire.WorkerReport) Output{
		"hold": func(a *Allocator, w *wire.WorkerReport) Output {
			return a.HandleHoldFailure(now, w.Id, NotDelivered)
		},
		"stop": func(a *Allocator, w *wire.WorkerReport) Output {
			a.stopRun(now, a.workers[w.Id].runs["j.0.0.0"])
			return a.HandleStopResult(now, StopOrder{Worker: w, Task: "j.0.0.0", Attempt: 1}, NotDelivered)
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, w, _ := newServingWorker(t, now)
			starts := refuse(a, w).Starts
			// The lease of one second has 1.02 s on a clock that is 2% slow.
			if starts = append(starts, startsAfter(a, now, 1000*time.Millisecond, w.Id)...); len(starts) > 0 {
				t.Fatalf("%s starts on %s while its first run may be under way on %s", starts[0].Task, starts[0].Worker.Id, w.Id)
			}
			if starts = startsAfter(a, now.Add(time.Second), 100*time.Millisecond, w.Id); len(starts) != 1 {
				t.Fatalf("%d starts after the lease has expired, want 1", len(starts))
			}
		})
	}
}

// TestDuplicateRunIsStopped guards against a worker that is filled beside a run which is neither stopped nor counted.
func TestDuplicateRunIsStopped(t *testing.T) {
	now := time.Unix(1000, 0)
	a, first, _ := newServingWorker(t, now)
	second := "w1"
	if first.Id == second {
		second = "w2"
	}
	a.HandleListing(now, now, second, Listing{Born: 1, Clock: 5000, Running: []ListedRun{{Task: "j.0.0.0", Attempt: 3}}})
	out := a.Submit(now, &Job{
		ID: "k", Service: "s", ArrivedAt: now, MaxAttempts: 4, StretchFactor: 2, TargetLatency: time.Minute,
		Steps: []Step{{Count: 1, Ask: Resources{Millicores: 1000}, Estimate: 100 * time.Millisecond}},
	})
	if len(out.Starts) > 0 {
		t.Fatalf("%s starts on %s, which is full", out.Starts[0].Task, out.Starts[0].Worker.Id)
	}
	stops := a.Tick(now).Stops
	if len(stops) != 1 || stops[0].Worker.Id != second || stops[0].Attempt != 3 {
		t.Fatalf("stops %+v, want one of attempt 3 on %s", stops, second)
	}
	a.HandleStopResult(now, stops[0], Done)
	l := Listing{Born: 1, Clock: 5060, Ended: []RunEnd{{Number: 1, Task: "j.0.0.0", Attempt: 3, Kind: EndStopped}}}
	if out = a.HandleListing(now.Add(60*time.Millisecond), now, second, l); len(out.Starts) != 1 {
		t.Fatalf("%d starts once the duplicate run has ended, want 1", len(out.Starts))
	}
}

// TestDeposedOwnerStartsNothing guards against a start by an owner that has just learned that it is replaced.
func TestDeposedOwnerStartsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	a, w, _ := newServingWorker(t, now)
	a.Submit(now, &Job{
		ID: "k", Service: "s", ArrivedAt: now, MaxAttempts: 4, StretchFactor: 2, TargetLatency: time.Minute,
		Steps: []Step{{Count: 2, Ask: Resources{Millicores: 1000}, Estimate: 100 * time.Millisecond}},
	})
	// The end makes room for the second task, which the next dispatch would start.
	for _, other := range a.workers {
		if other.report.Id != w.Id {
			a.handleEnd(now, other, RunEnd{Number: 1, Task: "k.0.0.0", Attempt: 1, Kind: EndDone})
		}
	}
	if out := a.HandleHoldFailure(now, w.Id, Fenced); len(out.Starts) > 0 || !out.Deposed {
		t.Fatalf("starts %+v of a deposed owner, deposed %v", out.Starts, out.Deposed)
	}
}

// TestRunOnLeavingWorker guards against a second run of a task on hearsay that its worker has ended.
func TestRunOnLeavingWorker(t *testing.T) {
	now := time.Unix(1000, 0)
	a, w, _ := newServingWorker(t, now)
	starts := a.Report(now, &wire.WorkerReport{Id: w.Id, Born: 1, Service: "s", Address: w.Id, Gone: true}).Starts
	if starts = append(starts, startsAfter(a, now, 1000*time.Millisecond, w.Id)...); len(starts) > 0 {
		t.Fatalf("%s starts on %s while its first run may be under way on %s", starts[0].Task, starts[0].Worker.Id, w.Id)
	}
	if starts = startsAfter(a, now.Add(time.Second), 100*time.Millisecond, w.Id); len(starts) != 1 {
		t.Fatalf("%d starts after the lease has expired, want 1", len(starts))
	}
	if len(a.workers) != 1 || len(a.workerList) != 1 {
		t.Fatalf("%d workers are kept after one of two has ended", len(a.workers))
	}
}

// TestRunOnRestartedWorker guards against a second run of a task whose start reached a worker that had just restarted.
func TestRunOnRestartedWorker(t *testing.T) {
	now := time.Unix(1000, 0)
	running := Listing{Born: 2, Clock: 40, Running: []ListedRun{{Task: "j.0.0.0", Attempt: 1}}}
	for name, told := range map[string]func(a *Allocator, w *wire.WorkerReport) Output{
		"by its listing": func(a *Allocator, w *wire.WorkerReport) Output { return a.HandleListing(now, now, w.Id, running) },
		"by its report": func(a *Allocator, w *wire.WorkerReport) Output {
			return a.Report(now, &wire.WorkerReport{Id: w.Id, Born: 2, Service: "s", Address: w.Id, Millicores: 1000})
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, w, _ := newServingWorker(t, now)
			starts := told(a, w).Starts
			for range 3 {
				starts = append(starts, a.HandleListing(now, now, w.Id, running).Starts...)
			}
			if len(starts) > 0 {
				t.Fatalf("%s starts on %s while it runs on %s", starts[0].Task, starts[0].Worker.Id, w.Id)
			}
			later := now.Add(50 * time.Millisecond)
			if out := a.HandleListing(later, later.Add(-time.Millisecond), w.Id, Listing{Born: 2, Clock: 90}); len(out.Starts) != 1 {
				t.Fatalf("%d starts once the new incarnation no longer lists the run, want 1", len(out.Starts))
			}
		})
	}
}
