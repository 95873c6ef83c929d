package prover

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"clementineyard/cmd/loader/internal/forwarder"
	"clementineyard/cmd/loader/internal/generator"
	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/cmd/loader/internal/stager"
	"clementineyard/internal/runner"
)

const (
	// conditionTimeout only ends a test whose condition never becomes true.
	conditionTimeout = 30 * time.Second
	pollInterval     = 20 * time.Millisecond
	// callTimeout is longer than a takeover of ownership takes on a busy machine.
	callTimeout = 15 * time.Second
	// parallelTests bounds the number of entry processes that run at the same time, up to six for each test.
	parallelTests = "3"
)

var (
	threeDomains = []launcher.Domain{{Name: "casa-a", VMs: 2}, {Name: "rabat-b", VMs: 2}, {Name: "tanger-c", VMs: 2}}
	oneDomain    = []launcher.Domain{{Name: "casa-a", VMs: 3}}
)

const inscription = `{"service":"inscription","overload":"queue","tasks":[
	{"name":"lookUp","timeout":"15s","expectedRunTime":"50ms"},
	{"name":"assignNumber","nonIdempotent":true,"timeout":"15s","expectedRunTime":"50ms"}]}`

// TestMain runs the tests in the repository's root folder, where make build writes the programs.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

func start() error {
	if err := os.Chdir("../../../.."); err != nil {
		return err
	}
	if _, err := os.Stat("bin/clementineyard-entry"); err != nil {
		return fmt.Errorf("run make build first: %w", err)
	}
	return flag.Set("test.parallel", parallelTests)
}

// testbed is a running deployment with the fault proxy between its entry VMs.
type testbed struct {
	*stager.Stage
	t   *testing.T
	net *forwarder.Network
	// setUpStarts is the number of task starts that newTestbed caused.
	setUpStarts int
}

// newTestbed starts a deployment with one task file and a number of servers, and stops it when the test ends. With
// servers it waits until every entry VM serves calls.
func newTestbed(t *testing.T, domains []launcher.Domain, servers int) *testbed {
	t.Helper()
	t.Parallel()
	b := &testbed{t: t, net: forwarder.New()}
	t.Cleanup(b.net.Close)
	s, err := stager.New(stager.Config{
		Domains: domains, Servers: servers, Services: []string{"inscription"}, Slots: 8, Route: b.net.Add,
		Files: map[string]string{"inscription": inscription},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	b.Stage = s
	if servers > 0 {
		// An owner that may lack records refuses the keys that are issued during its first seconds.
		for _, v := range b.VMs {
			b.waitServing(v)
		}
	}
	b.setUpStarts = len(b.Journal.Starts())
	return b
}

// waitStarted waits until a number of tasks have started since newTestbed.
func (b *testbed) waitStarted(tasks int) {
	b.t.Helper()
	b.waitUntil(fmt.Sprintf("%d tasks run", tasks), func() bool { return len(b.Journal.Starts())-b.setUpStarts >= tasks })
}

// waitUntil waits until a condition is met, and fails the test when that takes longer than conditionTimeout.
func (b *testbed) waitUntil(what string, met func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if met() {
			return
		}
	}
	b.t.Fatalf("not met within %s: %s", conditionTimeout, what)
}

func (b *testbed) status(v *launcher.VM) (s runner.Status) {
	_, _ = b.CallOperators(v, "GET", "/v1/status", nil, &s)
	return s
}

func (b *testbed) vm(name string) *launcher.VM {
	for _, v := range b.VMs {
		if v.Name == name {
			return v
		}
	}
	return nil
}

// waitOwner waits until all running entry VMs of a failure domain report the same owner, and returns the owner and
// another entry VM of the domain.
func (b *testbed) waitOwner(failureDomain string) (owner, other *launcher.VM) {
	b.t.Helper()
	b.waitUntil("one owner of "+failureDomain, func() bool {
		owner, other = nil, nil
		for _, v := range b.VMs {
			if v.FailureDomain != failureDomain || v.Process() == nil {
				continue
			}
			o := b.vm(b.status(v).Owner)
			if o == nil || o.Process() == nil || owner != nil && o != owner {
				return false
			}
			if owner = o; v != owner {
				other = v
			}
		}
		return owner != nil
	})
	return owner, other
}

// clientOf returns a client for the given entry VMs.
func clientOf(vms ...*launcher.VM) *generator.Client {
	var entries []generator.Entry
	for _, v := range vms {
		entries = append(entries, generator.Entry{Address: v.Settings.Listen.Callers, FailureDomain: v.FailureDomain})
	}
	return generator.NewClient(entries)
}

// evenCalls returns n calls at even intervals over a period: in turn a non-idempotent request with a key, an idempotent
// request without one, and a job of two non-idempotent tasks.
func evenCalls(n int, over, run time.Duration) []generator.Call {
	out := make([]generator.Call, n)
	for i := range out {
		out[i] = generator.Call{
			At: time.Duration(i) * over / time.Duration(n), Service: "inscription", Task: "assignNumber", Team: "runners",
			RunTimes: []time.Duration{run}, Timeout: callTimeout, Keyed: true,
		}
		switch i % 3 {
		case 1:
			out[i].Task, out[i].Keyed = "lookUp", false
		case 2:
			out[i].RunTimes = []time.Duration{run, run / 2}
		}
	}
	return out
}

// runInBackground starts the calls and returns a channel that receives their results when all have ended.
func runInBackground(c *generator.Client, calls []generator.Call) <-chan []generator.Result {
	done := make(chan []generator.Result, 1)
	go func() { done <- c.Run(time.Now(), calls) }()
	return done
}

// waitServing waits until a new call with a key is answered through an entry VM.
func (b *testbed) waitServing(v *launcher.VM) {
	b.t.Helper()
	b.waitUntil(v.Name+" serves new work", func() bool {
		return clientOf(v).Run(time.Now(), evenCalls(1, 0, 10*time.Millisecond))[0].Complete
	})
}

// checkAllAnswered reports an error for each call that was not answered completely.
func (b *testbed) checkAllAnswered(rs []generator.Result) {
	b.t.Helper()
	for i := range rs {
		if r := &rs[i]; r.Outcome != generator.Answered || !r.Complete {
			b.t.Errorf("call %d (%s): outcome %q, complete %t, reason %q", i, r.ID, r.Outcome, r.Complete, r.Reason)
		}
	}
}

// checkOutcomes compares the outcomes with the starts that the servers counted. It reports an error for each call
// without an answer, each refused call that started, each complete answer with too few answers or starts, and tasks
// that started twice.
func (b *testbed) checkOutcomes(rs []generator.Result) {
	b.t.Helper()
	starts := map[string]int{}
	for _, s := range b.Journal.Starts() {
		starts[s.Key]++
	}
	for i := range rs {
		r := &rs[i]
		switch n := starts[r.ID]; {
		case r.Outcome == generator.NoAnswer || r.Outcome == "":
			b.t.Errorf("call %d (%s) got no answer", i, r.ID)
		case r.Outcome == generator.NotRun && n > 0:
			b.t.Errorf("call %d (%s) was refused as not run (%s), and %d of its tasks started", i, r.ID, r.Reason, n)
		case r.Complete && (r.GoodTasks != len(r.RunTimes) || n < len(r.RunTimes)):
			b.t.Errorf("call %d (%s) is complete with %d answers and %d starts of %d tasks", i, r.ID, r.GoodTasks, n, len(r.RunTimes))
		}
	}
	if n := b.Journal.StartedTwice(); n > 0 {
		b.t.Errorf("%d tasks started twice", n)
	}
}

// waitSameVersion waits until all running entry VMs have the same version in force, and it is at least the given one.
func (b *testbed) waitSameVersion(atLeast uint64) {
	b.t.Helper()
	b.waitUntil(fmt.Sprintf("all entry VMs have the same version, at least %d", atLeast), func() bool {
		versions := map[uint64]bool{}
		for _, v := range b.VMs {
			if v.Process() != nil {
				versions[b.Configuration(v).Version] = true
			}
		}
		for v := range versions {
			return len(versions) == 1 && v >= atLeast
		}
		return false
	})
}

// setCut starts or ends a silent loss of all traffic between some entry VMs and all others.
func (b *testbed) setCut(cut bool, vms ...*launcher.VM) {
	for _, from := range b.VMs {
		for _, to := range b.VMs {
			if slices.Contains(vms, from) != slices.Contains(vms, to) {
				b.net.Cut(from.Name, to.Name, cut)
			}
		}
	}
}
