package prover

import (
	"syscall"
	"testing"
	"time"

	"clementineyard/cmd/loader/internal/generator"
	"clementineyard/cmd/loader/internal/launcher"
)

// exitTimeout is longer than the deadline of 30 s at which a stopping process exits.
const exitTimeout = 45 * time.Second

// TestPlannedStop guards against a planned stop that interrupts a call in flight, starts its tasks again elsewhere or
// does not end by itself. The tasks run longer than the load balancer's notice of 2 s, so that they are in flight while
// the ownership moves.
func TestPlannedStop(t *testing.T) {
	for _, name := range []string{"owner", "relay"} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, threeDomains, 6)
			owner, other := b.waitOwner("casa-a")
			stopped, remaining := owner, other
			if name == "relay" {
				stopped, remaining = other, owner
			}
			const count, run = 9, 3 * time.Second
			// The second set of calls is sent within the notice, as a load balancer sends calls until it notices the stop.
			c := clientOf(stopped)
			first := runInBackground(c, evenCalls(count, 100*time.Millisecond, run))
			b.waitStarted(count + count/3) // a third of the calls are jobs of two tasks
			if err := stopped.Process().Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			second := runInBackground(c, evenCalls(count, time.Second, run/10))
			rs := append(<-first, <-second...)
			b.checkAllAnswered(rs)
			b.checkOutcomes(rs)
			if err := stopped.WaitExit(exitTimeout); err != nil {
				t.Errorf("%s did not end with status 0: %v", stopped.Name, err)
			}
			b.waitServing(remaining)
		})
	}
}

// TestOwnerKilled guards against calls without an answer, refusals of calls that ran and tasks that start twice after
// the loss of an owner, and against a failure domain that gets no new owner.
func TestOwnerKilled(t *testing.T) {
	b := newTestbed(t, threeDomains, 6)
	owner, other := b.waitOwner("casa-a")
	// With 60 calls of 1.5 s on 16 slots, some tasks run and some are queued when the owner is killed.
	running := runInBackground(clientOf(owner, other), evenCalls(60, time.Second, 1500*time.Millisecond))
	b.waitStarted(16)
	owner.Kill()
	rs := <-running
	b.checkOutcomes(rs)
	lost := generator.Select(rs, func(r *generator.Result) bool { return !r.Complete })
	if len(lost) == 0 {
		t.Error("every call was completed despite the loss of the owner, so the test checks nothing")
	}
	b.waitServing(other)
	if err := b.Start(owner); err != nil {
		t.Fatal(err)
	}
	b.waitServing(owner)
	b.checkOutcomes(rs)
}

// TestCutOffDomain guards against a disconnected failure domain that stops serving its own keys, accepts a change
// without a majority, does not report that it has none, or keeps a diverged history when it is connected again.
func TestCutOffDomain(t *testing.T) {
	b := newTestbed(t, threeDomains, 6)
	var inside []*launcher.VM
	for _, v := range b.VMs {
		if v.FailureDomain == "tanger-c" {
			inside = append(inside, v)
		}
	}
	outside := b.VMs[0]
	b.setCut(true, inside...)
	for _, v := range inside {
		b.waitUntil(v.Name+" reports that it has no majority", func() bool { return b.status(v).Reason == "noMajority" })
	}
	b.waitUntil("the others have a majority", func() bool { return b.status(outside).MajorityReachable })
	b.waitOwner("tanger-c")
	rs := clientOf(inside...).Run(time.Now(), evenCalls(30, time.Second, 50*time.Millisecond))
	b.checkAllAnswered(rs)
	for _, v := range inside {
		if a := b.Propose(v, b.markedChange(v, "inside-"+v.Name, "inside")); a.Verdict != "noMajority" {
			t.Errorf("change at %s: verdict %q, want noMajority", v.Name, a.Verdict)
		}
	}
	a := b.proposeUntilAccepted(outside, b.markedChange(outside, "outside", "outside"))
	if got := b.Configuration(inside[0]).Version; got >= a.Version {
		t.Errorf("the cut-off domain shows version %d, which was accepted without it", got)
	}
	b.setCut(false, inside...)
	b.waitSameVersion(a.Version)
	for _, v := range b.VMs {
		if mark := b.markInForce(v); mark != "outside" {
			t.Errorf("%s has the change %q in force after the cut, want outside", v.Name, mark)
		}
	}
	a = b.proposeUntilAccepted(inside[1], b.markedChange(inside[1], "rejoined", "rejoined"))
	b.waitSameVersion(a.Version)
	b.checkOutcomes(rs)
}
