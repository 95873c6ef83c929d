package taker

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/claimer"
	"clementineyard/internal/controller"
	"clementineyard/wire"
)

// fakeWorker carries out orders, and ends its runs when ended is closed.
type fakeWorker struct {
	mu     sync.Mutex
	runs   []allocator.StartOrder
	starts int
	ended  chan struct{}
	// ignoresStops is true for a worker that acknowledges no stops.
	ignoresStops bool
}

func (w *fakeWorker) orders() controller.Orders {
	return controller.Orders{
		Hold: func(allocator.HoldOrder, uint64, time.Time) (allocator.Listing, allocator.Verdict) {
			time.Sleep(5 * time.Millisecond)
			w.mu.Lock()
			defer w.mu.Unlock()
			l := allocator.Listing{Clock: time.Now().UnixMilli()}
			for i, r := range w.runs {
				select {
				case <-w.ended:
					l.Ended = append(l.Ended, allocator.RunEnd{Number: uint64(i + 1), Task: r.Task, Attempt: r.Attempt, Kind: allocator.EndDone})
				default:
					l.Running = append(l.Running, allocator.ListedRun{Task: r.Task, Attempt: r.Attempt, Percent: 1})
				}
			}
			return l, allocator.Done
		},
		Start: func(s allocator.StartOrder, _ uint64, _ time.Time) allocator.Verdict {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.runs, w.starts = append(w.runs, s), w.starts+1
			return allocator.Done
		},
		Stop: func(s allocator.StopOrder, _ uint64, _ time.Time) allocator.Verdict {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.ignoresStops {
				return allocator.Unknown
			}
			w.runs = slices.DeleteFunc(w.runs, func(r allocator.StartOrder) bool { return r.Task == s.Task })
			return allocator.Done
		},
	}
}

func (w *fakeWorker) started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

func (w *fakeWorker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// newDomains returns the entry VMs of three failure domains that each own their domain's only cell, and its worker.
func newDomains(t *testing.T) (map[string]*Taker, map[string]*fakeWorker) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	names := []string{"north", "south", "west"}
	addresses, takers, workers := map[string]string{}, map[string]*Taker{}, map[string]*fakeWorker{}
	state := &wire.AgreedState{Index: 1, Config: &wire.FleetConfig{Version: 1}}
	for i, name := range names {
		ln := listen(t)
		addresses[name], workers[name] = ln.Addr().String(), &fakeWorker{ended: make(chan struct{})}
		takers[name] = New(Config{
			Name: name, Incarnation: 5, FailureDomain: name, Resolve: func(n string) string { return addresses[n] }, Orders: workers[name].orders(),
			MaxLease: time.Second, MaxStopTime: 50 * time.Millisecond, Now: time.Now, Count: func(string, int64) {}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Decode: func([]byte) (*Configuration, error) {
				return &Configuration{Version: 1, Queues: []Queue{{Service: "s"}}}, nil
			},
		})
		state.Grants = append(state.Grants, &wire.Grant{FailureDomain: name, Owner: name, Incarnation: 5, Fence: uint64(i + 1), Cells: 1})
		go takers[name].Run(ctx, ln)
	}
	for _, name := range names {
		tk := takers[name]
		waitFor(t, "the taker runs", func() bool { tk.mu.Lock(); defer tk.mu.Unlock(); return tk.ctx != nil })
		tk.applyState(state)
		tk.mu.Lock()
		tk.ageRegisters(gatherTime)
		tk.mu.Unlock()
		tk.handleReport(&wire.WorkerReport{Id: "w-" + name, Service: "s", Address: name, FailureDomain: name, Millicores: 1000})
		waitFor(t, "the worker has room", func() bool { return len(tk.ownRooms()) > 0 })
		for _, other := range names {
			waitFor(t, "the owners are connected", func() bool { return other == name || tk.messenger.Connected(other) })
		}
	}
	return takers, workers
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
	}
}

func oneTask(id string) *allocator.Job {
	return &allocator.Job{
		ID: id, Service: "s", ArrivedAt: time.Now(), MaxAttempts: 1, StretchFactor: 1, TargetLatency: 10 * time.Second,
		Steps: []allocator.Step{{Count: 1, Ask: allocator.Resources{Millicores: 1000}, Estimate: 10 * time.Millisecond}},
	}
}

// startInNorth submits a job in the failure domain north, which has no other one, and waits until its task has started.
func startInNorth(t *testing.T, takers map[string]*Taker, workers map[string]*fakeWorker, j *allocator.Job) {
	t.Helper()
	go takers["north"].Submit(context.Background(), j)
	waitFor(t, "the task has started", func() bool { return workers["north"].started() == 1 })
}

// forgetClaims empties the register of a VM, as that of a new owner is that no longer only gathers claims.
func (t *Taker) forgetClaims() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.register = claimer.Register{}
	t.ageRegisters(gatherTime)
}

// ageRegisters makes the registers of a VM as old as given. The caller holds t.mu.
func (t *Taker) ageRegisters(age time.Duration) {
	for cell := range t.owned {
		t.grantedAt[cell] = time.Now().Add(-age)
	}
}

// settle lets the registers of all VMs know all claims.
func settle(takers map[string]*Taker) {
	for _, t := range takers {
		t.mu.Lock()
		t.ageRegisters(t.times.warmUp)
		t.mu.Unlock()
	}
}

// TestJobSentAgainInOtherFailureDomain guards against a second run of a job's task while the first one is under way in the
// failure domain to which the client sent the job before, which does not know that the client has left.
func TestJobSentAgainInOtherFailureDomain(t *testing.T) {
	takers, workers := newDomains(t)
	outcomes := make(chan Outcome, 2)
	for i, name := range []string{"north", "south"} {
		go func() { outcomes <- takers[name].Submit(context.Background(), oneTask("00000000000000ee")) }()
		waitFor(t, "the task has started", func() bool { return workers["north"].started()+workers["south"].started() == 1 })
		if i == 1 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	if n, s := workers["north"].started(), workers["south"].started(); n != 1 || s != 0 {
		t.Fatalf("%d starts in the first failure domain and %d in the second, want 1 and 0", n, s)
	}
	close(workers["north"].ended)
	for range 2 {
		if o := <-outcomes; o.Kind != wire.FleetOutcome_KIND_COMPLETED {
			t.Fatalf("outcome %v, %s, want that of the one run", o.Kind, o.Reason)
		}
	}
}

// TestClaimOutlivesOwnersOfRegisters guards against a second run of a job's task after the VMs that registered its claim have
// been replaced in turn.
func TestClaimOutlivesOwnersOfRegisters(t *testing.T) {
	takers, workers := newDomains(t)
	startInNorth(t, takers, workers, oneTask("00000000000000ee"))
	next := &wire.AgreedState{Index: 2}
	for i, name := range []string{"south", "west"} {
		next.Grants = append(next.Grants, &wire.Grant{FailureDomain: name, Owner: name, Incarnation: 6, Fence: uint64(i + 10), Cells: 1})
	}
	for _, tk := range takers {
		tk.forgetClaims()
	}
	takers["north"].applyState(next)
	time.Sleep(200 * time.Millisecond)
	ctx, leave := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer leave()
	takers["south"].Submit(ctx, oneTask("00000000000000ee"))
	if n := workers["south"].started(); n > 0 {
		t.Fatalf("%d starts in the second failure domain while the first run is under way", n)
	}
}

// registeredAt returns a job whose claims the given cells register.
func registeredAt(first, second string, after int) *allocator.Job {
	for n := after + 1; ; n++ {
		id := fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15)
		r := claimer.Registers(id, map[string]uint32{"north": 1, "south": 1, "west": 1})
		if slices.Contains(r, first+"/0") && slices.Contains(r, second+"/0") {
			return oneTask(id)
		}
	}
}

// TestCrossingClaims guards against two runs of a job whose client sends it to two failure domains within a round trip.
func TestCrossingClaims(t *testing.T) {
	takers, workers := newDomains(t)
	settle(takers)
	for n := range 20 {
		j := registeredAt("north", "south", 100*n)
		begin := make(chan struct{})
		ctx, leave := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for _, name := range []string{"north", "south"} {
			sent := *j
			wg.Go(func() { <-begin; takers[name].Submit(ctx, &sent) })
		}
		before := workers["north"].started() + workers["south"].started()
		close(begin)
		time.Sleep(60 * time.Millisecond)
		if starts := workers["north"].started() + workers["south"].started() - before; starts != 1 {
			t.Fatalf("%d starts of the job of pair %d, want 1", starts, n)
		}
		leave()
		wg.Wait()
		waitFor(t, "the workers are idle", func() bool { return workers["north"].running()+workers["south"].running() == 0 })
	}
}

// TestRequestMeetsNextOwner guards against a job that goes to another cell, while the former owner's run goes on, because the
// next owner of its home cell does not know the run, has no room yet, or is not known yet to the entry VM that asks.
func TestRequestMeetsNextOwner(t *testing.T) {
	for _, next := range []string{"north", "west"} {
		takers, workers := newDomains(t)
		first := oneTask("00000000000000ee")
		first.Taker = "gone"
		takers["north"].submitOwned(first, "north/0", 1, func(*wire.FleetOutcome) {})
		waitFor(t, "the task has started", func() bool { return workers["north"].started() == 1 })
		// The VM that owns the cell next has not heard of it.
		takers["north"].applyState(&wire.AgreedState{Index: 2, Grants: []*wire.Grant{
			{FailureDomain: "north", Owner: next, Incarnation: 5, Fence: 10, Cells: 1},
		}})
		for _, name := range []string{"north", "south", "west"} {
			takers["north"].recordRooms([]*wire.CellRoom{{Cell: name + "/0", Millicores: 1000}})
		}
		ctx, leave := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer leave()
		takers["north"].Submit(ctx, oneTask("00000000000000ee"))
		if n := workers["south"].started() + workers["west"].started(); n > 0 {
			t.Fatalf("next owner on %s: %d starts in other cells while the run of the former owner goes on", next, n)
		}
	}
}

// TestRegisterSlowForOneCell guards against two runs of a job as two cells have each just found another register too slow.
func TestRegisterSlowForOneCell(t *testing.T) {
	takers, workers := newDomains(t)
	j := registeredAt("south", "west", 0)
	settle(takers)
	takers["north"].recordSilence("south")
	takers["south"].recordSilence("west")
	ctx, leave := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer leave()
	for _, name := range []string{"north", "south"} {
		sent := *j
		go takers[name].Submit(ctx, &sent)
		time.Sleep(100 * time.Millisecond)
	}
	if n, s := workers["north"].started(), workers["south"].started(); n != 1 || s != 0 {
		t.Fatalf("%d starts in the first failure domain and %d in the second, want 1 and 0", n, s)
	}
}

// TestFirstClaimOfNewOwner guards against a start by an owner that has just been granted its cell and is not connected to the
// VMs that register the job.
func TestFirstClaimOfNewOwner(t *testing.T) {
	takers, workers := newDomains(t)
	j := registeredAt("south", "west", 0)
	startInNorth(t, takers, workers, j)
	ln := listen(t)
	resolve := func(name string) string { return takers["north"].cfg.Resolve(name) }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cfg := takers["south"].cfg
	cfg.Name, cfg.Resolve = "next", func(name string) string {
		if name == "next" {
			return ln.Addr().String()
		}
		return resolve(name)
	}
	next := New(cfg)
	go next.Run(ctx, ln)
	waitFor(t, "the taker runs", func() bool { next.mu.Lock(); defer next.mu.Unlock(); return next.ctx != nil })
	next.handleReport(&wire.WorkerReport{Id: "w-south", Service: "s", Address: "south", FailureDomain: "south", Millicores: 1000})
	next.applyState(&wire.AgreedState{Index: 2, Config: &wire.FleetConfig{Version: 1}, Grants: []*wire.Grant{
		{FailureDomain: "north", Owner: "north", Incarnation: 5, Fence: 1, Cells: 1},
		{FailureDomain: "south", Owner: "next", Incarnation: 5, Fence: 20, Cells: 1},
		{FailureDomain: "west", Owner: "west", Incarnation: 5, Fence: 3, Cells: 1},
	}})
	sent := *j
	asked, leave := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer leave()
	next.handleReport(&wire.WorkerReport{Id: "w-south", Service: "s", Address: "south", FailureDomain: "south", Millicores: 1000})
	next.Submit(asked, &sent)
	if n := workers["south"].started(); n > 0 {
		t.Fatalf("%d starts by the new owner while the first run is under way", n)
	}
}

// TestClaimAfterPause guards against a start on the word of a register on this VM that was paused while another cell claimed
// the job, before that cell could repeat its claim.
func TestClaimAfterPause(t *testing.T) {
	takers, _ := newDomains(t)
	j := registeredAt("south", "west", 0)
	resumedAt := time.Now()
	takers["south"].cfg.ResumedAt = func() time.Time { return resumedAt }
	time.AfterFunc(resumeDelay/2, func() {
		takers["south"].registerClaim(&wire.FleetClaim{Id: j.ID, Cell: "north/0", Number: 1, Register: "south/0", Confirmed: true}, false)
	})
	if r := takers["south"].claim("south/0", 1, allocator.Claim{Job: j.ID, Number: 1}); r.Holder != "north/0" {
		t.Fatalf("%s has the job that north/0 has claimed during the pause", r.Holder)
	}
}

// TestClaimWithinCutOffDomain guards against two cells of one failure domain that both get a job while the domain is cut off
// from those that register the job.
func TestClaimWithinCutOffDomain(t *testing.T) {
	takers, _ := newDomains(t)
	j := registeredAt("south", "west", 0)
	for _, tk := range takers {
		tk.applyState(&wire.AgreedState{Index: 2, Grants: []*wire.Grant{
			{FailureDomain: "south", Owner: "unreachable", Incarnation: 5, Fence: 10, Cells: 1},
			{FailureDomain: "west", Owner: "unreachable", Incarnation: 5, Fence: 11, Cells: 1},
		}})
	}
	for _, cell := range []string{"north/0", "north/1"} {
		if r := takers["north"].claim(cell, 1, allocator.Claim{Job: j.ID, Number: 1}); r.Holder != "north/0" {
			t.Fatalf("%s has the job that north/0 has claimed", r.Holder)
		}
	}
}

// TestRegisterThatMissedClaim guards against a second run of a job on the word of its first register, which could not be
// reached when the job was claimed, after the second one is gone.
func TestRegisterThatMissedClaim(t *testing.T) {
	takers, workers := newDomains(t)
	j := registeredAt("south", "west", 0)
	for n := 0; ; n++ {
		if owed, _ := takers["south"].registers(j.ID); strings.HasPrefix(owed[0], "south") {
			break
		}
		j = registeredAt("south", "west", n)
	}
	startInNorth(t, takers, workers, j)
	for _, missed := range []string{"south", "west"} {
		tk := takers[missed]
		tk.forgetClaims()
		ctx, leave := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer leave()
		sent := *j
		takers["south"].Submit(ctx, &sent)
		if n := workers["south"].started(); n > 0 {
			t.Fatalf("%d starts beside the first run, after the claim was lost at %s", n, missed)
		}
	}
}

// TestOnlyRegisterIsNew guards against a second run of a job, on the word of the only register that answers, before the cell
// that has the job has repeated its claim at the register's new owner.
func TestOnlyRegisterIsNew(t *testing.T) {
	takers, workers := newDomains(t)
	j := registeredAt("south", "west", 0)
	startInNorth(t, takers, workers, j)
	south := takers["south"]
	south.applyState(&wire.AgreedState{Index: 2, Grants: []*wire.Grant{{FailureDomain: "west", Owner: "killed", Incarnation: 5, Fence: 10, Cells: 1}}})
	south.mu.Lock()
	south.register, south.grantedAt["south/0"] = claimer.Register{}, time.Now()
	south.mu.Unlock()
	time.AfterFunc(150*time.Millisecond, func() { takers["north"].claimAgain([]string{"south/0"}) })
	ctx, leave := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer leave()
	sent := *j
	south.Submit(ctx, &sent)
	if n := workers["south"].started(); n > 0 {
		t.Fatalf("%d starts in the second failure domain while the first run is under way", n)
	}
}

// TestClaimAgainAfterPause guards against a cell that was paused and, while a register of its job has a new owner, does not
// repeat its claim before that owner grants the job to another cell.
func TestClaimAgainAfterPause(t *testing.T) {
	takers, workers := newDomains(t)
	j := registeredAt("south", "west", 0)
	startInNorth(t, takers, workers, j)
	south := takers["south"]
	south.forgetClaims()
	resumedAt := time.Now()
	takers["north"].cfg.ResumedAt = func() time.Time { return resumedAt }
	takers["north"].claimAgain([]string{"south/0"})
	time.Sleep(gatherTime / 2)
	south.mu.Lock()
	defer south.mu.Unlock()
	if holder, _ := south.register.Holder(time.Now(), j.ID); holder != "north/0" {
		t.Fatalf("the register knows holder %q half the gathering time after the pause, want north/0", holder)
	}
}

// TestRegisterHandedOver guards against a second run of a job on the word of a register that was handed over, while the other one
// is lost and the cell that has the job cannot repeat its claim.
func TestRegisterHandedOver(t *testing.T) {
	takers, workers := newDomains(t)
	j := registeredAt("south", "west", 0)
	startInNorth(t, takers, workers, j)
	west := takers["west"]
	west.forgetClaims()
	west.applyState(&wire.AgreedState{Index: 2, Grants: []*wire.Grant{
		{FailureDomain: "south", Owner: "west", Incarnation: 5, Fence: 10, Cells: 1},
		{FailureDomain: "west", Owner: "killed", Incarnation: 5, Fence: 11, Cells: 1},
	}})
	time.Sleep(gatherTime)
	if r := west.claim("west/0", 1, allocator.Claim{Job: j.ID, Number: 1}); r.Holder != "north/0" {
		t.Fatalf("%s has the job that north/0 has claimed at the former register", r.Holder)
	}
}

// TestSilentRegister guards against a second run of a job because the register that knows its claim does not answer for some
// tenths of a second, while the other one is new.
func TestSilentRegister(t *testing.T) {
	takers, workers := newDomains(t)
	j := registeredAt("south", "west", 0)
	startInNorth(t, takers, workers, j)
	south := takers["south"]
	south.forgetClaims()
	for i, owner := range []string{"silent", "west"} {
		grant := &wire.Grant{FailureDomain: "west", Owner: owner, Incarnation: 5, Fence: uint64(10 + i), Cells: 1}
		time.AfterFunc(time.Duration(i)*400*time.Millisecond, func() { south.applyState(&wire.AgreedState{Index: uint64(2 + i), Grants: []*wire.Grant{grant}}) })
	}
	time.Sleep(10 * time.Millisecond)
	if r := south.claim("south/0", 1, allocator.Claim{Job: j.ID, Number: 1}); r.Holder != "north/0" {
		t.Fatalf("%s has the job that north/0 has claimed at the register that was silent", r.Holder)
	}
}

// TestRequestThatLeavesBesideAnother guards against a job that ends because a stale request for it is cancelled while its
// client waits on another one.
func TestRequestThatLeavesBesideAnother(t *testing.T) {
	takers, workers := newDomains(t)
	outcomes := make(chan Outcome, 1)
	go func() { outcomes <- takers["north"].Submit(context.Background(), oneTask("00000000000000ee")) }()
	waitFor(t, "the task has started", func() bool { return workers["north"].started() == 1 })
	for _, name := range []string{"north", "south"} {
		ctx, leave := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer leave()
		if o := takers[name].Submit(ctx, oneTask("00000000000000ee")); o.Kind != wire.FleetOutcome_KIND_GIVEN_UP {
			t.Fatalf("outcome %v, %s, of a request that has left", o.Kind, o.Reason)
		}
	}
	time.Sleep(100 * time.Millisecond)
	close(workers["north"].ended)
	if o := <-outcomes; o.Kind != wire.FleetOutcome_KIND_COMPLETED || workers["north"].started() != 1 {
		t.Fatalf("outcome %v, %s, after %d starts", o.Kind, o.Reason, workers["north"].started())
	}
}

// TestRefusedJobSentElsewhere guards against a job that was refused in one failure domain and is not served in another one
// that has room.
func TestRefusedJobSentElsewhere(t *testing.T) {
	takers, workers := newDomains(t)
	startInNorth(t, takers, workers, oneTask("00000000000000aa"))
	refused := oneTask("00000000000000ee")
	refused.TargetLatency = 0
	for _, name := range []string{"south", "west"} {
		takers["north"].markFull(name + "/0")
	}
	if o := takers["north"].Submit(context.Background(), refused); o.Kind != wire.FleetOutcome_KIND_REFUSED {
		t.Fatalf("outcome %v, %s, without room", o.Kind, o.Reason)
	}
	close(workers["south"].ended)
	if o := takers["south"].Submit(context.Background(), oneTask("00000000000000ee")); o.Kind != wire.FleetOutcome_KIND_COMPLETED || workers["south"].started() != 1 {
		t.Fatalf("outcome %v, %s, after %d starts where there is room", o.Kind, o.Reason, workers["south"].started())
	}
}
