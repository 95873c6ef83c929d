package prover

import (
	"syscall"
	"testing"
	"time"

	"clementineyard/cmd/loader/internal/generator"
	"clementineyard/cmd/loader/internal/launcher"
)

// stopLimit is longer than the 30 s after which a stop ends by itself.
const stopLimit = 45 * time.Second

// TestPlannedStop guards against a stop that breaks off a call in flight, starts work again elsewhere or does not end
// by itself. The runs outlast the balancer's notice of 2 s, so that they are in flight while ownership moves.
func TestPlannedStop(t *testing.T) {
	for _, name := range []string{"owner", "relay"} {
		t.Run(name, func(t *testing.T) {
			b := setUp(t, threeDomains, 6)
			owner, other := b.ownerOf("casa-a")
			stopped, left := owner, other
			if name == "relay" {
				stopped, left = other, owner
			}
			const count, run = 9, 3 * time.Second
			// The second wave arrives within the notice, as a balancer sends calls until it has noticed.
			c := callers(stopped)
			first := offer(c, calls(count, 100*time.Millisecond, run))
			b.runs(count + count/3) // a third are jobs of two tasks
			if err := stopped.Process().Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			second := offer(c, calls(count, time.Second, run/10))
			rs := append(<-first, <-second...)
			b.allAnswered(rs)
			b.honest(rs)
			if err := stopped.WaitExit(stopLimit); err != nil {
				t.Errorf("%s did not end with status 0: %v", stopped.Name, err)
			}
			b.serves(left)
		})
	}
}

// TestOwnerKilled guards against silence, untrue refusals and second starts after the loss of an owner, and against a
// failure domain that stays without one.
func TestOwnerKilled(t *testing.T) {
	b := setUp(t, threeDomains, 6)
	owner, other := b.ownerOf("casa-a")
	// 60 calls of 1.5 s on 16 slots: some run and some are queued when the owner dies.
	running := offer(callers(owner, other), calls(60, time.Second, 1500*time.Millisecond))
	b.runs(16)
	owner.Kill()
	rs := <-running
	b.honest(rs)
	lost := generator.Select(rs, func(r *generator.Result) bool { return !r.Complete })
	if len(lost) == 0 {
		t.Error("no call was lost with its owner, so that the test shows nothing")
	}
	b.serves(other)
	if err := b.Start(owner); err != nil {
		t.Fatal(err)
	}
	b.serves(owner)
	b.honest(rs)
}

// TestCutOffDomain guards against a failure domain that stops serving its own keys without the others, accepts a change
// without a majority, hides that, or keeps a history of its own.
func TestCutOffDomain(t *testing.T) {
	b := setUp(t, threeDomains, 6)
	var inside []*launcher.VM
	for _, v := range b.VMs {
		if v.FailureDomain == "tanger-c" {
			inside = append(inside, v)
		}
	}
	outside := b.VMs[0]
	b.cut(true, inside...)
	for _, v := range inside {
		b.eventually(v.Name+" tells that it has no majority", func() bool { return b.status(v).Reason == "noMajority" })
	}
	b.eventually("the others have a majority", func() bool { return b.status(outside).MajorityReachable })
	b.ownerOf("tanger-c")
	rs := callers(inside...).Run(time.Now(), calls(30, time.Second, 50*time.Millisecond))
	b.allAnswered(rs)
	for _, v := range inside {
		if a := b.Propose(v, b.marked(v, "inside-"+v.Name, "inside")); a.Verdict != "noMajority" {
			t.Errorf("change at %s: verdict %q, want noMajority", v.Name, a.Verdict)
		}
	}
	a := b.accept(outside, b.marked(outside, "outside", "outside"))
	if got := b.Configuration(inside[0]).Version; got >= a.Version {
		t.Errorf("the cut-off domain shows version %d, which was accepted without it", got)
	}
	b.cut(false, inside...)
	b.sameEverywhere(a.Version)
	for _, v := range b.VMs {
		if mark := b.markOf(v); mark != "outside" {
			t.Errorf("%s holds the change %q after the cut, want outside", v.Name, mark)
		}
	}
	a = b.accept(inside[1], b.marked(inside[1], "rejoined", "rejoined"))
	b.sameEverywhere(a.Version)
	b.honest(rs)
}
