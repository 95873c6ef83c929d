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
	// waitLimit is generous: it only ends a test whose condition never comes true.
	waitLimit = 30 * time.Second
	pollEvery = 20 * time.Millisecond
	// callTimeout lets a call outlast a takeover on a busy machine.
	callTimeout = 15 * time.Second
	// parallelTests bounds the entry processes that run at once, six for each test.
	parallelTests = "3"
)

var (
	threeDomains = []launcher.Domain{{Name: "casa-a", VMs: 2}, {Name: "rabat-b", VMs: 2}, {Name: "tanger-c", VMs: 2}}
	oneDomain    = []launcher.Domain{{Name: "casa-a", VMs: 3}}
)

const inscription = `{"service":"inscription","overload":"queue","tasks":[
	{"name":"lookUp","timeout":"15s","expectedRunTime":"50ms"},
	{"name":"assignNumber","nonIdempotent":true,"timeout":"15s","expectedRunTime":"50ms"}]}`

// TestMain runs the tests in the root folder, where make build leaves the programs.
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

// bed is a deployment whose links between the entry VMs can be cut.
type bed struct {
	*stager.Stage
	t   *testing.T
	net *forwarder.Network
	// first is the number of starts that the set-up itself caused.
	first int
}

// setUp starts a deployment with one task file and a number of servers, and ends it with the test.
func setUp(t *testing.T, domains []launcher.Domain, servers int) *bed {
	t.Helper()
	t.Parallel()
	b := &bed{t: t, net: forwarder.New()}
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
		// An owner that could not know of records refuses the keys of its first seconds.
		for _, v := range b.VMs {
			b.serves(v)
		}
	}
	b.first = len(b.Journal.Starts())
	return b
}

// runs waits until a number of tasks have started since the set-up.
func (b *bed) runs(tasks int) {
	b.t.Helper()
	b.eventually(fmt.Sprintf("%d tasks run", tasks), func() bool { return len(b.Journal.Starts())-b.first >= tasks })
}

// eventually waits for a condition.
func (b *bed) eventually(what string, met func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(pollEvery) {
		if met() {
			return
		}
	}
	b.t.Fatalf("not within %s: %s", waitLimit, what)
}

func (b *bed) status(v *launcher.VM) (s runner.Status) {
	_, _ = b.Operate(v, "GET", "/v1/status", nil, &s)
	return s
}

func (b *bed) vm(name string) *launcher.VM {
	for _, v := range b.VMs {
		if v.Name == name {
			return v
		}
	}
	return nil
}

// ownerOf waits until all running entry VMs of a failure domain name the same owner, and returns it and another one.
func (b *bed) ownerOf(failureDomain string) (owner, other *launcher.VM) {
	b.t.Helper()
	b.eventually("one owner of "+failureDomain, func() bool {
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

// callers returns a client of some entry processes.
func callers(vms ...*launcher.VM) *generator.Client {
	var entries []generator.Entry
	for _, v := range vms {
		entries = append(entries, generator.Entry{Address: v.Settings.Listen.Callers, FailureDomain: v.FailureDomain})
	}
	return generator.NewClient(entries)
}

// calls returns n calls spread evenly over a time: keyed ones that must not run twice, keyless ones and jobs in turn.
func calls(n int, over, run time.Duration) []generator.Call {
	out := make([]generator.Call, n)
	for i := range out {
		out[i] = generator.Call{
			At: time.Duration(i) * over / time.Duration(n), Service: "inscription", Task: "assignNumber", Team: "runners",
			Runs: []time.Duration{run}, Timeout: callTimeout, Keyed: true,
		}
		switch i % 3 {
		case 1:
			out[i].Task, out[i].Keyed = "lookUp", false
		case 2:
			out[i].Runs = []time.Duration{run, run / 2}
		}
	}
	return out
}

// offer makes the calls in the background.
func offer(c *generator.Client, calls []generator.Call) <-chan []generator.Result {
	done := make(chan []generator.Result, 1)
	go func() { done <- c.Run(time.Now(), calls) }()
	return done
}

// serves waits until a new keyed call through an entry VM is answered.
func (b *bed) serves(v *launcher.VM) {
	b.t.Helper()
	b.eventually(v.Name+" serves new work", func() bool {
		return callers(v).Run(time.Now(), calls(1, 0, 10*time.Millisecond))[0].Complete
	})
}

// allAnswered fails the test for each call without its whole answer.
func (b *bed) allAnswered(rs []generator.Result) {
	b.t.Helper()
	for i := range rs {
		if r := &rs[i]; r.Outcome != generator.Answered || !r.Complete {
			b.t.Errorf("call %d (%s): outcome %q, complete %t, reason %q", i, r.ID, r.Outcome, r.Complete, r.Reason)
		}
	}
}

// honest holds the outcomes against the starts that the servers counted.
func (b *bed) honest(rs []generator.Result) {
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
		case r.Complete && (r.Good != len(r.Runs) || n < len(r.Runs)):
			b.t.Errorf("call %d (%s) is complete with %d answers and %d starts of %d tasks", i, r.ID, r.Good, n, len(r.Runs))
		}
	}
	if n := b.Journal.StartedTwice(); n > 0 {
		b.t.Errorf("%d tasks started twice", n)
	}
}

// sameEverywhere waits until all running entry VMs show one version that is at least the given one.
func (b *bed) sameEverywhere(atLeast uint64) {
	b.t.Helper()
	b.eventually(fmt.Sprintf("one version from %d on everywhere", atLeast), func() bool {
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

// cut silently drops, or stops dropping, what goes between some entry VMs and all others.
func (b *bed) cut(cut bool, vms ...*launcher.VM) {
	for _, from := range b.VMs {
		for _, to := range b.VMs {
			if slices.Contains(vms, from) != slices.Contains(vms, to) {
				b.net.Cut(from.Name, to.Name, cut)
			}
		}
	}
}
