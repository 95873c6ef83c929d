package configurer_test

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/auditor"
	"clementineyard/internal/configurer"
	"clementineyard/internal/messenger"
	"clementineyard/internal/parser"
	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// testTimeout only ends a test that hangs; no result depends on a shorter time.
const testTimeout = 30 * time.Second

// testCluster is a deployment of three voters and three VMs without a disk in one process.
type testCluster struct {
	t           *testing.T
	dir         string
	vms         []parser.EntryVM
	mu          sync.Mutex
	alive       map[string]*vm
	partitioned map[string]bool
	// silent makes connections across the partition look open: messages on them are lost without an error.
	silent bool
}

type vm struct {
	*configurer.Configurer
	audit *auditor.Auditor
	stop  context.CancelFunc
	done  chan struct{}
	store *storer.Storer
}

var voters = []string{"casa-a-1", "rabat-b-1", "tanger-c-1"}

func newTestCluster(t *testing.T, silent bool) *testCluster {
	tc := &testCluster{t: t, dir: t.TempDir(), alive: map[string]*vm{}, partitioned: map[string]bool{}, silent: silent}
	for _, d := range []string{"casa-a", "rabat-b", "tanger-c"} {
		for i := 1; i <= 2; i++ {
			tc.vms = append(tc.vms, parser.EntryVM{Name: fmt.Sprint(d, "-", i), FailureDomain: d})
		}
	}
	for _, v := range voters {
		if err := storer.Initialise(filepath.Join(tc.dir, v)); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for _, v := range tc.vms {
			tc.kill(v.Name)
		}
	})
	for _, v := range tc.vms {
		tc.start(v.Name)
	}
	return tc
}

func (tc *testCluster) start(name string) *vm {
	v := &vm{audit: &auditor.Auditor{}, done: make(chan struct{})}
	cfg := configurer.Config{
		Name: name, FailureDomain: name[:len(name)-2], EntryVMs: tc.vms, Voters: voters, ElectionTimeout: 300 * time.Millisecond,
		Seed: uint64(len(name)), Now: time.Now, Audit: v.audit, Log: slog.New(slog.DiscardHandler),
		Send:      func(to string, e *wire.Envelope) bool { return tc.deliver(name, to, e, nil) },
		Connected: func(to string) bool { return tc.reachable(name, to) != nil || tc.silent },
		Apply:     func(*configurer.Configuration) {},
		Call: func(to string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
			switch {
			case tc.reachable(name, to) == nil && tc.silent:
				time.AfterFunc(time.Until(deadline), func() { done(nil, messenger.ErrNoReply) })
			case !tc.deliver(name, to, e, func(r *wire.Envelope) { done(r, nil) }):
				done(nil, messenger.ErrNotSent)
			}
		},
	}
	if slices.Contains(voters, name) {
		s, st, err := storer.Open(filepath.Join(tc.dir, name), cfg.Log)
		if err != nil {
			tc.t.Fatal(err)
		}
		cfg.Store, cfg.State, v.store = s, st, s
	}
	v.Configurer = configurer.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	go func() {
		v.Run(ctx)
		close(v.done)
	}()
	tc.mu.Lock()
	tc.alive[name] = v
	tc.mu.Unlock()
	return v
}

func (tc *testCluster) kill(name string) {
	tc.mu.Lock()
	v := tc.alive[name]
	delete(tc.alive, name)
	tc.mu.Unlock()
	if v == nil {
		return
	}
	v.stop()
	<-v.done
	if v.store != nil {
		_ = v.store.Close()
	}
}

func (tc *testCluster) reachable(from, to string) *vm {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.partitioned[from] != tc.partitioned[to] {
		return nil
	}
	return tc.alive[to]
}

func (tc *testCluster) deliver(from, to string, e *wire.Envelope, reply func(*wire.Envelope)) bool {
	v := tc.reachable(from, to)
	if v == nil {
		return tc.silent
	}
	v.Handle(from, proto.Clone(e).(*wire.Envelope), reply)
	return true
}

func (tc *testCluster) change(at, id string, base uint64, content string) *wire.ChangeResult {
	c := &wire.Change{Id: id, BaseVersion: base, Author: "operator@" + at, Files: []*wire.ServiceFile{{
		Service: "s", Content: []byte(content),
	}}}
	done := make(chan *wire.ChangeResult, 1)
	tc.alive[at].Propose(c, time.Now().Add(testTimeout), func(r *wire.ChangeResult) { done <- r })
	return <-done
}

func task(name string) string { return `{"service":"s","tasks":[{"name":"` + name + `"}]}` }

// eventually waits until f returns true, and fails the test after testTimeout.
func (tc *testCluster) eventually(what string, f func() bool) {
	tc.t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			tc.t.Fatalf("timed out: %s", what)
		}
	}
}

func (tc *testCluster) waitForVersion(version uint64) {
	tc.t.Helper()
	tc.eventually(fmt.Sprint("version ", version, " everywhere"), func() bool {
		for _, v := range tc.alive {
			if !v.Ready() || v.Current().Version != version {
				return false
			}
		}
		return true
	})
}

// proposeUntilAccepted repeats a change until it is accepted, as an operator does.
func (tc *testCluster) proposeUntilAccepted(at, id string, base uint64) {
	tc.t.Helper()
	tc.eventually("change "+id+" accepted", func() bool {
		r := tc.change(at, id, base, task(id))
		return r.Verdict == wire.ChangeResult_VERDICT_ACCEPTED && r.Version == base+1
	})
}

// TestChangesEverywhere guards against versions that are lost, differ or decrease while every process is killed and
// restarted in turn, a disk is emptied, and changes are repeated.
func TestChangesEverywhere(t *testing.T) {
	tc := newTestCluster(t, false)
	tc.proposeUntilAccepted("casa-a-2", "first", 0)
	tc.waitForVersion(1)
	version := uint64(1)
	for i, v := range tc.vms {
		tc.kill(v.Name)
		at := tc.vms[(i+1)%len(tc.vms)].Name
		for range 40 {
			tc.proposeUntilAccepted(at, fmt.Sprint("change", version), version)
			version++
		}
		tc.start(v.Name)
		if r := tc.alive[v.Name]; r.Ready() && r.Current().Version == 0 {
			t.Fatalf("%s is ready without its version", v.Name)
		}
		if r := tc.alive[v.Name]; slices.Contains(voters, v.Name) != r.Ready() {
			t.Fatalf("%s is ready at once: %t", v.Name, r.Ready())
		}
		tc.waitForVersion(version)
	}
	tc.kill("rabat-b-1")
	if err := os.RemoveAll(filepath.Join(tc.dir, "rabat-b-1")); err != nil {
		t.Fatal(err)
	}
	if tc.start("rabat-b-1").Ready() {
		t.Fatal("a voter with an emptied disk is ready at once")
	}
	tc.waitForVersion(version)
	tc.eventually("the voter with the emptied disk has a vote again", func() bool {
		role := tc.alive["rabat-b-1"].Status().Role
		return role == "voter" || role == "leader"
	})
	tc.kill("casa-a-1")
	tc.proposeUntilAccepted("tanger-c-2", fmt.Sprint("change", version), version)
	tc.start("casa-a-1")
	version++
	tc.waitForVersion(version)
	if r := tc.change("tanger-c-2", "first", 0, task("first")); r.Verdict != wire.ChangeResult_VERDICT_ACCEPTED || r.Version != 1 {
		t.Errorf("the repeated first change: %v", r)
	}
	if r := tc.change("casa-a-1", "first", 0, task("other")); r.Verdict != wire.ChangeResult_VERDICT_CONFLICT || r.WinnerId != "first" {
		t.Errorf("the same id with other content: %v", r)
	}
	r := tc.change("rabat-b-2", "late", 7, task("late"))
	if r.Verdict != wire.ChangeResult_VERDICT_CONFLICT || r.WinnerId != "change7" || r.WinnerVersion != 8 || r.WinnerAuthor == "" {
		t.Errorf("a wrong base: %v", r)
	}
	if r := tc.change("rabat-b-2", "bad", version, "{"); r.Verdict != wire.ChangeResult_VERDICT_INVALID {
		t.Errorf("content that does not parse: %v", r)
	}
	trail := tc.alive["rabat-b-2"].audit.Trail(tc.alive["rabat-b-2"].Audit())
	if last := trail[len(trail)-1]; last.Outcome != "invalid" || last.ID != "bad" {
		t.Errorf("newest audit record: %+v", last)
	}
}

// TestCutOff guards against a partitioned failure domain that accepts changes, answers them with an unknown result, or
// serves no configuration although it knows one; also where connections across the partition still look open.
func TestCutOff(t *testing.T) {
	for name, silent := range map[string]bool{"links closed": false, "links silent": true} {
		t.Run(name, func(t *testing.T) { testCutOff(t, silent) })
	}
}

func testCutOff(t *testing.T, silent bool) {
	tc := newTestCluster(t, silent)
	tc.proposeUntilAccepted("casa-a-1", "first", 0)
	tc.waitForVersion(1)
	for _, n := range []string{"casa-a-1", "casa-a-2"} {
		tc.mu.Lock()
		tc.partitioned[n] = true
		tc.mu.Unlock()
	}
	tc.proposeUntilAccepted("tanger-c-2", "second", 1)
	tc.eventually("noMajority is known", func() bool {
		return !tc.alive["casa-a-1"].Status().MajorityReachable && !tc.alive["casa-a-2"].Status().MajorityReachable
	})
	for _, n := range []string{"casa-a-1", "casa-a-2"} {
		if r := tc.change(n, "refused at "+n, 1, task("x")); r.Verdict != wire.ChangeResult_VERDICT_NO_MAJORITY {
			t.Errorf("change in the partitioned domain: %v", r)
		}
	}
	tc.kill("casa-a-2")
	tc.start("casa-a-2")
	tc.eventually("the partitioned VM learns from its own domain", func() bool {
		return tc.alive["casa-a-2"].Ready() && tc.alive["casa-a-2"].Current().Version == 1
	})
	tc.mu.Lock()
	tc.partitioned = map[string]bool{}
	tc.mu.Unlock()
	tc.waitForVersion(2)
}
