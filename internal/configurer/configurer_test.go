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

// patience only ends a test that hangs; no verdict depends on a shorter time.
const patience = 30 * time.Second

// yard is a deployment of three voters and three VMs without a disk in one process.
type yard struct {
	t     *testing.T
	dir   string
	vms   []parser.EntryVM
	mu    sync.Mutex
	alive map[string]*vm
	cut   map[string]bool
	// silent makes the links that are cut look connected: what goes into them is lost without an error.
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

func newYard(t *testing.T, silent bool) *yard {
	y := &yard{t: t, dir: t.TempDir(), alive: map[string]*vm{}, cut: map[string]bool{}, silent: silent}
	for _, d := range []string{"casa-a", "rabat-b", "tanger-c"} {
		for i := 1; i <= 2; i++ {
			y.vms = append(y.vms, parser.EntryVM{Name: fmt.Sprint(d, "-", i), FailureDomain: d})
		}
	}
	for _, v := range voters {
		if err := storer.Initialise(filepath.Join(y.dir, v)); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for _, v := range y.vms {
			y.kill(v.Name)
		}
	})
	for _, v := range y.vms {
		y.start(v.Name)
	}
	return y
}

func (y *yard) start(name string) *vm {
	v := &vm{audit: &auditor.Auditor{}, done: make(chan struct{})}
	cfg := configurer.Config{
		Name: name, FailureDomain: name[:len(name)-2], EntryVMs: y.vms, Voters: voters, ElectionTimeout: 300 * time.Millisecond,
		Seed: uint64(len(name)), Now: time.Now, Audit: v.audit, Log: slog.New(slog.DiscardHandler),
		Send:      func(to string, e *wire.Envelope) bool { return y.pass(name, to, e, nil) },
		Connected: func(to string) bool { return y.reach(name, to) != nil || y.silent },
		Apply:     func(*configurer.Configuration) {},
		Call: func(to string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
			switch {
			case y.reach(name, to) == nil && y.silent:
				time.AfterFunc(time.Until(deadline), func() { done(nil, messenger.ErrLost) })
			case !y.pass(name, to, e, func(r *wire.Envelope) { done(r, nil) }):
				done(nil, messenger.ErrUnsent)
			}
		},
	}
	if slices.Contains(voters, name) {
		s, st, err := storer.Open(filepath.Join(y.dir, name), cfg.Log)
		if err != nil {
			y.t.Fatal(err)
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
	y.mu.Lock()
	y.alive[name] = v
	y.mu.Unlock()
	return v
}

func (y *yard) kill(name string) {
	y.mu.Lock()
	v := y.alive[name]
	delete(y.alive, name)
	y.mu.Unlock()
	if v == nil {
		return
	}
	v.stop()
	<-v.done
	if v.store != nil {
		_ = v.store.Close()
	}
}

func (y *yard) reach(from, to string) *vm {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.cut[from] != y.cut[to] {
		return nil
	}
	return y.alive[to]
}

func (y *yard) pass(from, to string, e *wire.Envelope, reply func(*wire.Envelope)) bool {
	v := y.reach(from, to)
	if v == nil {
		return y.silent
	}
	v.Handle(from, proto.Clone(e).(*wire.Envelope), reply)
	return true
}

func (y *yard) change(at, id string, base uint64, content string) *wire.ChangeResult {
	c := &wire.Change{Id: id, BaseVersion: base, Author: "operator@" + at, Files: []*wire.ServiceFile{{
		Service: "s", Content: []byte(content),
	}}}
	done := make(chan *wire.ChangeResult, 1)
	y.alive[at].Propose(c, time.Now().Add(patience), func(r *wire.ChangeResult) { done <- r })
	return <-done
}

func task(name string) string { return `{"service":"s","tasks":[{"name":"` + name + `"}]}` }

// eventually waits for a state that must come about, whenever.
func (y *yard) eventually(what string, f func() bool) {
	y.t.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			y.t.Fatalf("never: %s", what)
		}
	}
}

func (y *yard) everywhere(version uint64) {
	y.t.Helper()
	y.eventually(fmt.Sprint("version ", version, " everywhere"), func() bool {
		for _, v := range y.alive {
			if !v.Ready() || v.Current().Version != version {
				return false
			}
		}
		return true
	})
}

// accept repeats a change until it has a certain answer, as an operator does.
func (y *yard) accept(at, id string, base uint64) {
	y.t.Helper()
	y.eventually("change "+id+" accepted", func() bool {
		r := y.change(at, id, base, task(id))
		return r.Verdict == wire.ChangeResult_VERDICT_ACCEPTED && r.Version == base+1
	})
}

// Guards against versions that are lost, differ or go back while every process is killed and restarted in turn, a disk
// is emptied, and changes are repeated and race with each other.
func TestChangesEverywhere(t *testing.T) {
	y := newYard(t, false)
	y.accept("casa-a-2", "first", 0)
	y.everywhere(1)
	version := uint64(1)
	for i, v := range y.vms {
		y.kill(v.Name)
		at := y.vms[(i+1)%len(y.vms)].Name
		for range 40 {
			y.accept(at, fmt.Sprint("change", version), version)
			version++
		}
		y.start(v.Name)
		if r := y.alive[v.Name]; r.Ready() && r.Current().Version == 0 {
			t.Fatalf("%s is ready without its version", v.Name)
		}
		if r := y.alive[v.Name]; slices.Contains(voters, v.Name) != r.Ready() {
			t.Fatalf("%s is ready at once: %t", v.Name, r.Ready())
		}
		y.everywhere(version)
	}
	y.kill("rabat-b-1")
	if err := os.RemoveAll(filepath.Join(y.dir, "rabat-b-1")); err != nil {
		t.Fatal(err)
	}
	if y.start("rabat-b-1").Ready() {
		t.Fatal("a voter with an emptied disk is ready at once")
	}
	y.everywhere(version)
	y.eventually("the emptied voter has a vote again", func() bool {
		role := y.alive["rabat-b-1"].Status().Role
		return role == "voter" || role == "leader"
	})
	y.kill("casa-a-1")
	y.accept("tanger-c-2", fmt.Sprint("change", version), version)
	y.start("casa-a-1")
	version++
	y.everywhere(version)
	if r := y.change("tanger-c-2", "first", 0, task("first")); r.Verdict != wire.ChangeResult_VERDICT_ACCEPTED || r.Version != 1 {
		t.Errorf("the first change again: %v", r)
	}
	if r := y.change("casa-a-1", "first", 0, task("other")); r.Verdict != wire.ChangeResult_VERDICT_CONFLICT || r.WinnerId != "first" {
		t.Errorf("the same id with other content: %v", r)
	}
	r := y.change("rabat-b-2", "late", 7, task("late"))
	if r.Verdict != wire.ChangeResult_VERDICT_CONFLICT || r.WinnerId != "change7" || r.WinnerVersion != 8 || r.WinnerAuthor == "" {
		t.Errorf("a wrong base: %v", r)
	}
	if r := y.change("rabat-b-2", "bad", version, "{"); r.Verdict != wire.ChangeResult_VERDICT_INVALID {
		t.Errorf("content that does not parse: %v", r)
	}
	trail := y.alive["rabat-b-2"].audit.Render(y.alive["rabat-b-2"].Audit())
	if last := trail[len(trail)-1]; last.Outcome != "invalid" || last.ID != "bad" {
		t.Errorf("newest audit record: %+v", last)
	}
}

// Guards against a cut-off failure domain that accepts changes, leaves it open whether it did, or serves no
// configuration although it knows one; also when the links of the partition still look connected.
func TestCutOff(t *testing.T) {
	for name, silent := range map[string]bool{"links closed": false, "links silent": true} {
		t.Run(name, func(t *testing.T) { testCutOff(t, silent) })
	}
}

func testCutOff(t *testing.T, silent bool) {
	y := newYard(t, silent)
	y.accept("casa-a-1", "first", 0)
	y.everywhere(1)
	for _, n := range []string{"casa-a-1", "casa-a-2"} {
		y.mu.Lock()
		y.cut[n] = true
		y.mu.Unlock()
	}
	y.accept("tanger-c-2", "second", 1)
	y.eventually("noMajority is known", func() bool {
		return !y.alive["casa-a-1"].Status().Majority && !y.alive["casa-a-2"].Status().Majority
	})
	for _, n := range []string{"casa-a-1", "casa-a-2"} {
		if r := y.change(n, "refused at "+n, 1, task("x")); r.Verdict != wire.ChangeResult_VERDICT_NO_MAJORITY {
			t.Errorf("change in the cut-off domain: %v", r)
		}
	}
	y.kill("casa-a-2")
	y.start("casa-a-2")
	y.eventually("the cut-off VM learns from its own domain", func() bool {
		return y.alive["casa-a-2"].Ready() && y.alive["casa-a-2"].Current().Version == 1
	})
	y.mu.Lock()
	y.cut = map[string]bool{}
	y.mu.Unlock()
	y.everywhere(2)
}
