package allocator

import (
	"testing"
	"time"

	"clementineyard/wire"
)

// probe returns the probes among the holds that are due, and fails the test unless there are n.
func probe(t *testing.T, a *Allocator, now time.Time, n int) []HoldOrder {
	t.Helper()
	var probes []HoldOrder
	for _, o := range a.DueHolds(now) {
		if o.Probe {
			probes = append(probes, o)
		}
	}
	if len(probes) != n {
		t.Fatalf("%d probes at %v, want %d", len(probes), now.Sub(time.Unix(1000, 0)), n)
	}
	return probes
}

// newUnansweredRun returns an allocator whose worker w has a hold in flight, and did not reply to the start of run.
func newUnansweredRun(t *testing.T, now time.Time) (a *Allocator, w *wire.WorkerReport, run StartOrder) {
	t.Helper()
	a, w, run = newServingWorker(t, now)
	a.DueHolds(now)
	r := a.workers[w.Id].runs[run.Task]
	r.state, r.confirmedAt = starting, time.Time{}
	if out := a.HandleStartResult(now, run, Unknown); len(out.Stops) > 0 {
		t.Fatal("the run is stopped before the worker was asked whether it was started")
	}
	return a, w, run
}

// TestUnansweredStartThatRuns guards against work that is stopped and run again because the reply to its start was lost.
func TestUnansweredStartThatRuns(t *testing.T) {
	now := time.Unix(1000, 0)
	a, w, run := newUnansweredRun(t, now)
	probe(t, a, now, 1)
	at := now.Add(2 * time.Millisecond)
	listing := Listing{Born: 1, Clock: 5002, Running: []ListedRun{{Task: run.Task, Attempt: run.Attempt}}}
	if out := a.HandleProbe(at, now, w.Id, listing); len(out.Stops) > 0 {
		t.Fatal("a run that is under way is stopped")
	}
	if out := a.Tick(now.Add(settleTimeout + time.Second/10)); len(out.Stops) > 0 {
		t.Fatal("a run that is under way is stopped later")
	}
	ended := Listing{Born: 1, Clock: 5090, Ended: []RunEnd{{Number: 1, Task: run.Task, Attempt: run.Attempt, Kind: EndDone}}}
	if out := a.HandleListing(now.Add(90*time.Millisecond), now, w.Id, ended); len(out.Answers) != 1 || out.Answers[0].Kind != wire.FleetOutcome_KIND_COMPLETED {
		t.Fatalf("answers %+v, want one for the completed job", out.Answers)
	}
}

// TestUnansweredStartThatDoesNotRun guards against waiting for a run that was not started, and against a second one
// beside it when the first start is carried out late.
func TestUnansweredStartThatDoesNotRun(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, settle := range map[string]func(a *Allocator, w *wire.WorkerReport) Output{
		"not listed": func(a *Allocator, w *wire.WorkerReport) Output {
			return a.HandleProbe(now, now, w.Id, Listing{Born: 1, Clock: 5000})
		},
		"probe is lost": func(a *Allocator, w *wire.WorkerReport) Output {
			a.HandleProbeFailure(now, w.Id, Unknown)
			return a.Tick(now.Add(settleTimeout + 1))
		},
		"no probe reply": func(a *Allocator, w *wire.WorkerReport) Output { return a.Tick(now.Add(settleTimeout + 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			a, w, run := newUnansweredRun(t, now)
			probe(t, a, now, 1)
			out := settle(a, w)
			if len(out.Stops) != 1 || out.Stops[0].Task != run.Task || len(out.Starts) > 0 {
				t.Fatalf("stops %+v and starts %+v, want one stop", out.Stops, out.Starts)
			}
			at := now.Add(settleTimeout + 2)
			a.HandleStopResult(at, out.Stops[0], Done)
			if out := a.HandleListing(at.Add(time.Millisecond), at, w.Id, Listing{Born: 1, Clock: 5300}); len(out.Starts) > 0 {
				t.Fatal("the task starts again before the worker was asked after the stop")
			}
			if out := a.HandleListing(at.Add(3*time.Millisecond), at.Add(2*time.Millisecond), w.Id, Listing{Born: 1, Clock: 5302}); len(out.Starts) != 1 {
				t.Fatalf("%d starts once the stop is carried out, want 1", len(out.Starts))
			}
		})
	}
}

// TestLostReplyToHold guards against an answer that a client gets late because the reply to a hold was lost that told the
// end of the job's run, and against a worker that is asked all the time as its run takes long.
func TestLostReplyToHold(t *testing.T) {
	now := time.Unix(1000, 0)
	a, w, run := newServingWorker(t, now)
	a.DueHolds(now)
	const expected = 100 * time.Millisecond
	var probes []time.Duration
	for after := time.Duration(0); after < 500*time.Millisecond; after += 10 * time.Millisecond {
		at := now.Add(after)
		a.Tick(at)
		for _, o := range a.DueHolds(at) {
			if o.Worker.Id == w.Id && o.Probe {
				probes = append(probes, after)
				a.HandleProbe(at, at, w.Id, Listing{Born: 1, Clock: 5000 + after.Milliseconds(), Running: []ListedRun{{Task: run.Task, Attempt: 1}}})
			}
		}
	}
	if len(probes) == 0 || probes[0] < expected || float64(probes[0]) > overdueFactor*float64(expected+10*time.Millisecond) || len(probes) > 4 {
		t.Fatalf("probes after %v, for a run of %v", probes, expected)
	}
	at := now.Add(510 * time.Millisecond)
	out := a.HandleProbe(at, at, w.Id, Listing{Born: 1, Clock: 5510, Ended: []RunEnd{{Number: 1, Task: run.Task, Attempt: 1, Kind: EndDone}}})
	if len(out.Answers) != 1 || out.Answers[0].Kind != wire.FleetOutcome_KIND_COMPLETED {
		t.Fatalf("answers %+v, want one for the completed job", out.Answers)
	}
	if !a.workers[w.Id].holdInFlight {
		t.Fatal("the hold that is in flight is forgotten")
	}
	var again []HoldOrder
	for _, o := range a.DueHolds(at.Add(lostHoldGrace)) {
		if o.Worker.Id == w.Id && !o.Probe {
			again = append(again, o)
		}
	}
	if len(again) != 1 || again[0].LeaseEnd == 0 {
		t.Fatalf("holds %+v once the one in flight counts as lost, want one that renews the lease", again)
	}
	lost := again[0]
	lost.Number--
	if out := a.HandleHoldResult(at.Add(2*lostHoldGrace), now, lost, Listing{}, Unknown); len(out.LogEntries) > 0 || !a.workers[w.Id].healthy() {
		t.Fatalf("the failure of a hold that counted as lost is said to be the worker's: %+v", out.LogEntries)
	}
}

// TestOvertakenListing guards against an older listing that brings back a run that has ended, or takes away one that has
// started since.
func TestOvertakenListing(t *testing.T) {
	now := time.Unix(1000, 0)
	a, w, run := newUnansweredRun(t, now)
	at := now.Add(20 * time.Millisecond)
	ended := Listing{Born: 1, Clock: 5018, Ended: []RunEnd{{Number: 1, Task: run.Task, Attempt: run.Attempt, Kind: EndDone}}}
	a.HandleProbe(at, now.Add(time.Millisecond), w.Id, ended)
	older := Listing{Born: 1, Clock: 5010, Running: []ListedRun{{Task: run.Task, Attempt: run.Attempt}}}
	a.HandleListing(at.Add(time.Millisecond), now, w.Id, older)
	if n := len(a.workers[w.Id].runs); n > 0 {
		t.Fatalf("%d runs on the worker after an older listing", n)
	}
	out := a.Submit(at.Add(2*time.Millisecond), &Job{
		ID: "k", Service: "s", ArrivedAt: at, MaxAttempts: 4, StretchFactor: 2, TargetLatency: time.Minute,
		Steps: []Step{{Count: 2, Ask: Resources{Millicores: 1000}, Estimate: 100 * time.Millisecond}},
	})
	if len(out.Starts) != 2 {
		t.Fatalf("%d starts, want one on each worker", len(out.Starts))
	}
}
