package taker

import (
	"context"
	"testing"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/wire"
)

// startsWithinLease submits a job at a VM and returns how many tasks a worker starts until the longest lease has passed.
func startsWithinLease(at *Taker, j *allocator.Job, w *fakeWorker) int {
	ctx, leave := context.WithTimeout(context.Background(), allocator.LongestLease(time.Second))
	defer leave()
	at.Submit(ctx, j)
	return w.started()
}

// killRegisters hands the cells south/0 and west/0 to VMs that were killed, as far as the other VMs know, and returns a job that
// only these two cells register.
func killRegisters(takers map[string]*Taker, from int) *allocator.Job {
	for _, tk := range takers {
		state := &wire.AgreedState{Index: 2}
		for i, domain := range []string{"south", "west"} {
			state.Grants = append(state.Grants, &wire.Grant{FailureDomain: domain, Owner: "killed " + domain, Incarnation: 5, Fence: uint64(10 + i), Cells: 1})
		}
		tk.applyState(state)
	}
	return registeredAt("south", "west", from)
}

// TestRegistersKilledTogether guards against a second run of a job on the word of a cell to which its claims are not owed, while
// the owners of both cells that register it have been killed a moment ago and runs of one of them go on.
func TestRegistersKilledTogether(t *testing.T) {
	takers, workers := newDomains(t)
	settle(takers)
	j := killRegisters(takers, 0)
	if n := startsWithinLease(takers["north"], j, workers["north"]); n > 0 {
		t.Fatalf("%d starts within a lease of the former owners", n)
	}
}

// TestCutOffDomainGoesOn guards against a failure domain that is cut off from the others and lets each of its jobs wait for
// registers that it has not reached for as long as a lease lasts.
func TestCutOffDomainGoesOn(t *testing.T) {
	takers, _ := newDomains(t)
	settle(takers)
	first := killRegisters(takers, 0)
	north := takers["north"]
	north.claim("north/0", 1, allocator.Claim{Job: first.ID, Number: 1})
	for n := range 3 {
		beganAt := time.Now()
		if r := north.claim("north/0", 1, allocator.Claim{Job: registeredAt("south", "west", 100*(n+1)).ID, Number: 1}); r.Verified || r.Holder != "north/0" {
			t.Fatalf("the claim is verified %t, %s has the job", r.Verified, r.Holder)
		}
		if took := time.Since(beganAt); took > gatherTime {
			t.Fatalf("a job waits for %v although the registers have been out of reach", took)
		}
	}
}

// TestRegistersAreNewTogether guards against a second run of a job after both cells that register it have got new owners, which
// have recorded the claim of another cell but cannot know yet what was claimed before.
func TestRegistersAreNewTogether(t *testing.T) {
	takers, workers := newDomains(t)
	j := registeredAt("south", "west", 0)
	for _, tk := range takers {
		tk.forgetClaims()
	}
	if n := startsWithinLease(takers["north"], j, workers["north"]); n > 0 {
		t.Fatalf("%d starts while no register knows all claims and runs of a lost claim may go on", n)
	}
}

// TestCellsClaimOneJob guards against a second run of a job that a cell gives up because another one claimed it before, as the
// two were cut off from each other: the other cell must not start it while the first one's runs go on.
func TestCellsClaimOneJob(t *testing.T) {
	takers, workers := newDomains(t)
	settle(takers)
	j := registeredAt("south", "west", 0)
	for _, name := range []string{"south", "west"} {
		tk := takers[name]
		tk.mu.Lock()
		tk.register.Claim(time.Now(), j.ID, "south/0", 99)
		tk.mu.Unlock()
	}
	north := workers["north"]
	north.mu.Lock()
	north.ignoresStops, north.runs = true, []allocator.StartOrder{{Task: j.ID + ".0.0.0", Attempt: 1}}
	north.mu.Unlock()
	waitFor(t, "the owner knows the run", func() bool { return len(takers["north"].ownRooms()) == 0 })
	if n := startsWithinLease(takers["north"], j, workers["south"]); n > 0 {
		t.Fatalf("%d starts in the cell that has claimed the job before", n)
	}
}

// TestHandOverKeepsClaims guards against jobs that wait after each planned stop of a register, as if its claims were lost.
func TestHandOverKeepsClaims(t *testing.T) {
	takers, _ := newDomains(t)
	settle(takers)
	next := &wire.AgreedState{Index: 2, Grants: []*wire.Grant{{FailureDomain: "west", Owner: "south", Incarnation: 5, Fence: 10, Cells: 1}}}
	for _, name := range []string{"west", "south", "north"} {
		takers[name].applyState(next)
	}
	m := &wire.FleetClaim{Id: oneTask("00000000000000ee").ID, Cell: "north/0", Number: 1, Register: "west/0"}
	if r := takers["north"].callRegister(m); r.GetHolder() != "north/0" || !r.Complete {
		t.Fatalf("the next register answers %v, want that north/0 has the job, as a register that knows all claims", r)
	}
}

// TestRegisterAfterCut guards against a register that vouches for a job just after a cut has healed, before the owners on the
// other side have repeated the claims that they could not make meanwhile. A mere reset of a connection delays nothing.
func TestRegisterAfterCut(t *testing.T) {
	for outage, waits := range map[time.Duration]bool{minInterruption / 5: false, minInterruption: true} {
		takers, _ := newDomains(t)
		settle(takers)
		south := takers["south"]
		j := registeredAt("south", "west", 0)
		claim := func() *wire.FleetClaimReply {
			return south.registerClaim(&wire.FleetClaim{Id: j.ID, Cell: "west/0", Number: 1, Register: "south/0"}, false)
		}
		south.handlePeerDisconnected("north")
		time.Sleep(outage)
		south.handlePeerConnected("north", 5)
		if r := claim(); (r.Holder == "") != waits || r.Complete == waits {
			t.Fatalf("after an outage of %v: %v", outage, r)
		}
		south.registerClaim(&wire.FleetClaim{Id: j.ID, Cell: "north/0", Number: 1, Register: "south/0", Confirmed: true}, false)
		if r := claim(); waits && r.Holder != "north/0" {
			t.Fatalf("%q has the job that north/0 had claimed during the cut", r.Holder)
		}
	}
}

// TestOwnerConnectsAgain guards against a register that does not notice an owner's return while its former connection, which a
// cut has silenced, still counts as open.
func TestOwnerConnectsAgain(t *testing.T) {
	takers, _ := newDomains(t)
	south := takers["south"]
	south.handlePeerConnected("north", 5)
	south.mu.Lock()
	defer south.mu.Unlock()
	if south.rejoinedAt.IsZero() {
		t.Fatal("the second connection went unnoticed")
	}
}

// TestRepeatedClaimsAreFew guards against owners that ask registers again and again about jobs that they have already, all of them
// at once after the registers' owners have changed.
func TestRepeatedClaimsAreFew(t *testing.T) {
	takers, _ := newDomains(t)
	j := registeredAt("south", "west", 0)
	asked := 0
	takers["north"].cfg.Count = func(name string, _ int64) {
		if name == "claimsAskedAgain" {
			asked++
		}
	}
	takers["north"].claim("north/0", 1, allocator.Claim{Job: j.ID, Number: 1, Confirmed: true})
	if asked > 0 {
		t.Fatalf("registers that have recorded the claim were asked again %d times", asked)
	}
}

// TestRestartedOwnerDelaysNothing guards against jobs that wait at the registers of a VM whenever another VM has restarted and owns a
// cell, as if it had claims from before.
func TestRestartedOwnerDelaysNothing(t *testing.T) {
	takers, _ := newDomains(t)
	south := takers["south"]
	south.handlePeerDisconnected("north")
	time.Sleep(minInterruption)
	south.handlePeerConnected("north", 6)
	south.mu.Lock()
	defer south.mu.Unlock()
	if !south.rejoinedAt.IsZero() {
		t.Fatal("the registers wait for claims of a process that has just started")
	}
}
