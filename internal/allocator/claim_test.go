package allocator_test

import (
	"testing"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/wire"
)

// newClaimingOwner returns an owner that claims jobs for cell n/0 and has one idle worker.
func newClaimingOwner() *allocator.Allocator {
	a := allocator.New(allocator.Config{MaxLease: time.Second, MaxStopTime: 50 * ms, GrantedAt: epoch.Add(-10 * time.Second), Cell: "n/0"})
	a.Report(epoch, &wire.WorkerReport{Id: "w", Born: 1, Service: "s", Address: "w", Millicores: 1000})
	for range 2 {
		for _, o := range a.DueHolds(epoch) {
			a.HandleListing(epoch, epoch, o.Worker.Id, allocator.Listing{Born: 1, Clock: 5000})
		}
	}
	return a
}

func claimedJob(arrivedAt time.Time) *allocator.Job {
	return &allocator.Job{
		ID: "j", Service: "s", Taker: "t", ArrivedAt: arrivedAt, MaxAttempts: 4, StretchFactor: 1, TargetLatency: 10 * time.Second, MayHaveStarted: true,
		Steps: []allocator.Step{{Count: 1, Ask: allocator.Resources{Millicores: 1000}, Estimate: 100 * ms}},
	}
}

var granted = allocator.ClaimResult{Holder: "n/0", Verified: true}

// TestClaimBeforePause guards against a start on a claim from before a pause, in which another cell may have got the job.
func TestClaimBeforePause(t *testing.T) {
	a := newClaimingOwner()
	first := a.Submit(epoch, claimedJob(epoch)).Claims
	now := epoch.Add(700 * ms)
	again := a.Tick(now).Claims
	if len(first) != 1 || len(again) != 1 || first[0] == again[0] {
		t.Fatalf("claims %v, and %v after the pause", first, again)
	}
	a.HandleClaim(now, first[0], granted)
	for i, listed := 0, 0; i < 20; i++ {
		now = now.Add(20 * ms)
		out := a.Tick(now)
		for _, o := range a.DueHolds(now) {
			listed++
			out.Starts = append(out.Starts, a.HandleListing(now, now, o.Worker.Id, allocator.Listing{Born: 1, Clock: 5700 + int64(20*i)}).Starts...)
		}
		if len(out.Starts) > 0 {
			t.Fatalf("start %+v on the claim from before the pause, after %d listings", out.Starts[0], listed)
		}
	}
	if out := a.HandleClaim(now, again[0], allocator.ClaimResult{Holder: "s/0", Verified: true}); len(out.Answers) != 1 || out.Answers[0].HeldBy != "s/0" {
		t.Fatalf("answers %+v, want that s/0 has the job", out.Answers)
	}
}

// TestResultOfFormerClaim guards against a start of a job that was submitted again by the time-out of its former claim.
func TestResultOfFormerClaim(t *testing.T) {
	a := newClaimingOwner()
	first := a.Submit(epoch, claimedJob(epoch)).Claims
	a.Cancel(epoch, "j", "t", 0, 0)
	now := epoch.Add(50 * ms)
	second := a.Submit(now, claimedJob(now)).Claims
	if out := a.HandleClaim(now, first[0], allocator.ClaimResult{Holder: "n/0"}); len(out.Starts) > 0 {
		t.Fatal("the job has started before its claim has a result")
	}
	if out := a.HandleClaim(now, second[0], granted); len(out.Starts) != 1 {
		t.Fatalf("%d starts after the claim was granted, want 1", len(out.Starts))
	}
}

// TestWithdrawnClaims guards against a claim that keeps a job in a cell that has given it back, and against the withdrawal of
// one whose job may run.
func TestWithdrawnClaims(t *testing.T) {
	a := newClaimingOwner()
	j := claimedJob(epoch)
	j.Steps[0].Ask.Millicores, j.MayHaveStarted = 2000, false
	claims := a.Submit(epoch, j).Claims
	a.HandleClaim(epoch, claims[0], granted)
	out := a.Tick(epoch.Add(100 * ms))
	if len(out.Answers) != 1 || out.Answers[0].Kind != wire.FleetOutcome_KIND_NO_ROOM || len(out.Withdrawals) != 1 || out.Withdrawals[0] != claims[0] {
		t.Fatalf("answers %+v, withdrawals %v, want NO_ROOM and that of %v", out.Answers, out.Withdrawals, claims)
	}
	a = newClaimingOwner()
	claims = a.Submit(epoch, claimedJob(epoch)).Claims
	if out := a.HandleClaim(epoch, claims[0], granted); len(out.Starts) != 1 || len(a.WithdrawUnstarted(epoch)) > 0 {
		t.Fatalf("%d starts, and a withdrawal of the claim", len(out.Starts))
	}
}

// TestClaimsOfOtherServices guards against a refusal beside an idle worker while a job of another service is being claimed.
func TestClaimsOfOtherServices(t *testing.T) {
	a := newClaimingOwner()
	other, j := claimedJob(epoch), claimedJob(epoch)
	other.ID, other.Service = "o", "other"
	j.MayHaveStarted, j.RejectIfFull = false, true
	a.Submit(epoch, other)
	if out := a.Submit(epoch, j); len(out.Answers) > 0 {
		t.Fatalf("answer %v beside an idle worker", out.Answers[0].Kind)
	}
}

// TestUnverifiedClaimOfNewOwner guards against a start by a new owner, before a worker that may run the task has listed its
// runs, of a job whose registers have lost their claims.
func TestUnverifiedClaimOfNewOwner(t *testing.T) {
	for _, verified := range []bool{true, false} {
		a := allocator.New(allocator.Config{MaxLease: time.Second, MaxStopTime: 50 * ms, GrantedAt: epoch, Cell: "n/0"})
		a.Report(epoch, &wire.WorkerReport{Id: "silent", Born: 1, Service: "s", Address: "silent", Millicores: 1000})
		a.Report(epoch, &wire.WorkerReport{Id: "w", Born: 1, Service: "s", Address: "w", Millicores: 1000})
		for range 2 {
			for _, o := range a.DueHolds(epoch) {
				if o.Worker.Id == "w" {
					a.HandleListing(epoch, epoch, "w", allocator.Listing{Born: 1, Clock: 5000})
				}
			}
		}
		j := claimedJob(epoch)
		j.MayHaveStarted = false
		claims := a.Submit(epoch, j).Claims
		if out := a.HandleClaim(epoch, claims[0], allocator.ClaimResult{Holder: "n/0", Verified: verified}); len(out.Starts) > 0 != verified {
			t.Fatalf("verified %v: %d starts", verified, len(out.Starts))
		}
		out := a.HandleListing(epoch, epoch, "silent", allocator.Listing{Born: 1, Clock: 5000})
		if len(out.Starts) > 0 == verified {
			t.Fatalf("verified %v: %d starts once all workers have listed their runs", verified, len(out.Starts))
		}
	}
}

// TestOrphansAreClaimed guards against a start in another cell of a job whose runs a new owner has found, and of one that has
// ended here while its runs are being stopped.
func TestOrphansAreClaimed(t *testing.T) {
	a := newClaimingOwner()
	out := a.HandleListing(epoch, epoch, "w", allocator.Listing{Born: 1, Clock: 5000, Running: []allocator.ListedRun{{Task: "o.0.0.0", Attempt: 1}}})
	if len(out.Claims) != 1 || out.Claims[0].Job != "o" {
		t.Fatalf("claims %v of the job of a run that was found", out.Claims)
	}
	a = newClaimingOwner()
	a.HandleClaim(epoch, a.Submit(epoch, claimedJob(epoch)).Claims[0], granted)
	a.Cancel(epoch, "j", "t", 0, 0)
	if out := a.ClaimAgain(func(string) bool { return true }); len(out.Claims) != 1 || out.Claims[0].Job != "j" {
		t.Fatalf("claims %v while a run of the job is being stopped", out.Claims)
	}
}

// TestJobMayRunElsewhere guards against a start of a job beside its runs in another cell, which has given it up, also when the
// client sends it again meanwhile.
func TestJobMayRunElsewhere(t *testing.T) {
	a := newClaimingOwner()
	j := claimedJob(epoch)
	j.MayHaveStarted, j.MayRunElsewhere = false, true
	if out := a.HandleClaim(epoch, a.Submit(epoch, j).Claims[0], granted); len(out.Starts) > 0 {
		t.Fatal("the job has started at once")
	}
	a.Cancel(epoch, "j", "t", 0, 0)
	again := claimedJob(epoch)
	again.MayHaveStarted = false
	over := epoch.Add(allocator.LongestLease(time.Second) + 50*ms)
	if out := a.HandleClaim(epoch, a.Submit(epoch, again).Claims[0], granted); len(out.Starts) > 0 {
		t.Fatal("the job that was sent again has started at once")
	}
	for now := epoch; now.Before(over.Add(100 * ms)); now = now.Add(20 * ms) {
		starts := a.Tick(now).Starts
		for _, o := range a.DueHolds(now) {
			starts = append(starts, a.HandleListing(now, now, o.Worker.Id, allocator.Listing{Born: 1, Clock: 5000 + now.Sub(epoch).Milliseconds()}).Starts...)
		}
		if len(starts) > 0 {
			if now.Before(over) {
				t.Fatalf("the job has started after %v", now.Sub(epoch))
			}
			return
		}
	}
	t.Fatalf("the job has not started by %v", over.Sub(epoch))
}

// TestHeldJobMayRun guards against a cell that names another one as that which has a job and does not say that its own runs of
// the job may go on.
func TestHeldJobMayRun(t *testing.T) {
	held := allocator.ClaimResult{Holder: "s/0", Verified: true}
	neverStarted := func(a *allocator.Allocator, at time.Time) bool {
		t.Helper()
		j := claimedJob(at)
		j.MayHaveStarted = false
		out := a.HandleClaim(at, a.Submit(at, j).Claims[0], held)
		if len(out.Answers) != 1 || out.Answers[0].Kind != wire.FleetOutcome_KIND_HELD {
			t.Fatalf("answers %+v", out.Answers)
		}
		return out.Answers[0].NeverStarted
	}
	if a := newClaimingOwner(); !neverStarted(a, epoch) {
		t.Error("a job that has not been here may run")
	}
	a := newClaimingOwner()
	a.HandleListing(epoch, epoch, "w", allocator.Listing{Born: 1, Clock: 5000, Running: []allocator.ListedRun{{Task: "j.0.0.0", Attempt: 1}}})
	for i, at := range []time.Time{epoch, epoch.Add(100 * ms)} {
		if neverStarted(a, at) {
			t.Errorf("submission %d: a job whose run was found here does not run", i)
		}
	}
}

// TestRunOfEndedJobIsStoppedAtOnce guards against a run that goes on beside those of another cell because it was listed after its
// job had gone there.
func TestRunOfEndedJobIsStoppedAtOnce(t *testing.T) {
	a := newClaimingOwner()
	j := claimedJob(epoch)
	a.HandleClaim(epoch, a.Submit(epoch, j).Claims[0], allocator.ClaimResult{Holder: "s/0"})
	a.HandleListing(epoch, epoch, "w", allocator.Listing{Born: 1, Clock: 5000, Running: []allocator.ListedRun{{Task: "j.0.0.0", Attempt: 1}}})
	if out := a.Tick(epoch); len(out.Stops) != 1 {
		t.Fatalf("%d stops of a run whose job has gone to another cell, want 1", len(out.Stops))
	}
}
