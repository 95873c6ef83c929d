package replicator

import (
	"slices"
	"strings"
	"testing"
	"time"

	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// discoveryCluster is a simulated group of replicators. A message takes 10 ms, and is lost where its sender or its
// receiver is silent.
type discoveryCluster struct {
	now      time.Time
	inFlight []*wire.ConfigMessage
	vms      map[string]*Replicator
	silent   map[string]bool
}

func newDiscovery(wanted int, founders ...string) *discoveryCluster {
	d := &discoveryCluster{now: time.Unix(1000, 0), vms: map[string]*Replicator{}, silent: map[string]bool{}}
	for _, name := range founders {
		d.add(name, wanted, founders, true)
	}
	d.run(2 * time.Second)
	return d
}

func (d *discoveryCluster) add(name string, wanted int, contacts []string, founder bool) {
	d.vms[name] = New(Config{
		Name: name, Voters: contacts, ElectionTimeout: 500 * time.Millisecond, Seed: uint64(len(d.vms)), TargetVoters: wanted,
		ReplaceAfter: 3 * time.Second,
	}, storer.State{Identity: storer.Identity{DiskID: "disk-" + name, Founder: founder}})
}

func (d *discoveryCluster) run(t time.Duration) {
	for until := d.now.Add(t); d.now.Before(until); d.now = d.now.Add(10 * time.Millisecond) {
		delivered := d.inFlight
		d.inFlight = nil
		for _, m := range delivered {
			if to := d.vms[m.To]; to != nil && !d.silent[m.To] && !d.silent[m.From] {
				d.inFlight = append(d.inFlight, to.Step(d.now, m).Messages...)
			}
		}
		var names []string
		for name := range d.vms {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			if !d.silent[name] {
				d.inFlight = append(d.inFlight, d.vms[name].Tick(d.now).Messages...)
			}
		}
	}
}

// members returns the sorted names of the voters as one VM knows them, concatenated.
func (d *discoveryCluster) members(name string) string {
	var out []string
	for _, m := range d.vms[name].Members() {
		out = append(out, m.Name)
	}
	slices.Sort(out)
	return strings.Join(out, "")
}

// TestSilentVoterIsReplaced guards against a voter that has failed for good and is not replaced, and against one that is
// replaced although it was silent only briefly.
func TestSilentVoterIsReplaced(t *testing.T) {
	d := newDiscovery(3, "a", "b", "c")
	if got := d.members("a"); got != "abc" {
		t.Fatalf("first voters are %q, want abc", got)
	}
	d.add("d", 3, []string{"a", "b", "c"}, false)
	d.run(time.Second)
	d.silent["c"] = true
	d.run(2 * time.Second)
	if got := d.members("a"); got != "abc" {
		t.Fatalf("voters are %q after c has been silent for 2 s, want abc", got)
	}
	d.run(3 * time.Second)
	if got := d.members("a") + " " + d.members("d"); got != "abd abd" {
		t.Fatalf("voters according to a and d are %q after c has been silent for 5 s, want abd", got)
	}
	d.silent["c"] = false
	d.run(2 * time.Second)
	if got := d.members("a"); got != "abd" || d.vms["c"].Status(d.now).Role != Learner {
		t.Fatalf("voters are %q and the role of c is %v after its return, want abd and a learner", got, d.vms["c"].Status(d.now).Role)
	}
}

// TestVotersAreAdded guards against a fleet that keeps its three first voters although five are wanted, so that it does
// not survive the loss of two.
func TestVotersAreAdded(t *testing.T) {
	d := newDiscovery(5, "a", "b", "c")
	for _, name := range []string{"d", "e", "f"} {
		d.add(name, 5, []string{"a", "b", "c"}, false)
	}
	d.run(3 * time.Second)
	got := d.members("a")
	if len(got) != 5 {
		t.Fatalf("voters are %q, want 5", got)
	}
	d.silent["a"], d.silent["b"] = true, true
	d.run(5 * time.Second)
	leaders := 0
	for name, vm := range d.vms {
		if !d.silent[name] && vm.Status(d.now).Role == Leader {
			leaders++
		}
	}
	if leaders != 1 {
		t.Fatalf("%d leaders among the voters %q without a and b, want 1", leaders, got)
	}
}

// leader returns the name of the leader that reaches a majority; "" when there is none.
func (d *discoveryCluster) leader() string {
	for name, vm := range d.vms {
		if s := vm.Status(d.now); !d.silent[name] && s.Role == Leader && s.MajorityReachable {
			return name
		}
	}
	return ""
}

// leadBy silences leaders, one at a time, until one of the named VMs leads.
func (d *discoveryCluster) leadBy(t *testing.T, names ...string) {
	t.Helper()
	for range 50 {
		l := d.leader()
		if slices.Contains(names, l) {
			return
		}
		d.silent[l] = true
		d.run(1500 * time.Millisecond)
		d.silent[l] = false
		d.run(500 * time.Millisecond)
	}
	t.Fatalf("none of %v leads", names)
}

// TestNewVMFindsLeaderThatIsNoSeed guards against a VM with an empty disk that never joins as none of its seeds leads.
func TestNewVMFindsLeaderThatIsNoSeed(t *testing.T) {
	seeds := []string{"a", "b", "c"}
	d := newDiscovery(5, seeds...)
	for _, name := range []string{"d", "e"} {
		d.add(name, 5, seeds, false)
	}
	d.run(3 * time.Second)
	d.leadBy(t, "d", "e")
	d.add("g", 5, seeds, false)
	d.run(2 * time.Second)
	if got := d.members("g"); got != "abcde" {
		t.Fatalf("voters according to the new VM are %q while %s leads, want abcde", got, d.leader())
	}
	d.silent["a"] = true
	d.run(5 * time.Second)
	if got := d.members("g"); got != "bcdeg" {
		t.Fatalf("voters are %q after a has been silent for 5 s, want bcdeg", got)
	}
}
