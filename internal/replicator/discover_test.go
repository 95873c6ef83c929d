package replicator

import (
	"slices"
	"strings"
	"testing"
	"time"

	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// discovery is a set of replicators whose messages take 10 ms, and get lost where one of the two is silent.
type discovery struct {
	now    time.Time
	flying []*wire.ConfigMessage
	vms    map[string]*Replicator
	silent map[string]bool
}

func newDiscovery(wanted int, founders ...string) *discovery {
	d := &discovery{now: time.Unix(1000, 0), vms: map[string]*Replicator{}, silent: map[string]bool{}}
	for _, name := range founders {
		d.add(name, wanted, founders, true)
	}
	d.pass(2 * time.Second)
	return d
}

func (d *discovery) add(name string, wanted int, contacts []string, founder bool) {
	d.vms[name] = New(Config{
		Name: name, Voters: contacts, ElectionTimeout: 500 * time.Millisecond, Seed: uint64(len(d.vms)), Wanted: wanted,
		ReplaceAfter: 3 * time.Second,
	}, storer.State{Identity: storer.Identity{DiskID: "disk-" + name, Founder: founder}})
}

func (d *discovery) pass(t time.Duration) {
	for until := d.now.Add(t); d.now.Before(until); d.now = d.now.Add(10 * time.Millisecond) {
		arriving := d.flying
		d.flying = nil
		for _, m := range arriving {
			if to := d.vms[m.To]; to != nil && !d.silent[m.To] && !d.silent[m.From] {
				d.flying = append(d.flying, to.Step(d.now, m).Messages...)
			}
		}
		var names []string
		for name := range d.vms {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			if !d.silent[name] {
				d.flying = append(d.flying, d.vms[name].Tick(d.now).Messages...)
			}
		}
	}
}

// members returns the voters as one VM knows them.
func (d *discovery) members(name string) string {
	var out []string
	for _, m := range d.vms[name].Members() {
		out = append(out, m.Name)
	}
	slices.Sort(out)
	return strings.Join(out, "")
}

// TestSilentVoterIsReplaced guards against a voter that is gone for good and still counts, and against one that is only
// away for a while and loses its place.
func TestSilentVoterIsReplaced(t *testing.T) {
	d := newDiscovery(3, "a", "b", "c")
	if got := d.members("a"); got != "abc" {
		t.Fatalf("founded by %q", got)
	}
	d.add("d", 3, []string{"a", "b", "c"}, false)
	d.pass(time.Second)
	d.silent["c"] = true
	d.pass(2 * time.Second)
	if got := d.members("a"); got != "abc" {
		t.Fatalf("voters are %q while c is away for 2 s", got)
	}
	d.pass(3 * time.Second)
	if got := d.members("a") + " " + d.members("d"); got != "abd abd" {
		t.Fatalf("voters are %q after c has been silent for 5 s", got)
	}
	d.silent["c"] = false
	d.pass(2 * time.Second)
	if got := d.members("a"); got != "abd" || d.vms["c"].Status(d.now).Role != Learner {
		t.Fatalf("voters are %q and c is %v after it is back", got, d.vms["c"].Status(d.now).Role)
	}
}

// TestVotersAreAdded guards against a fleet that stays with its three first voters although it is to bear the loss of two.
func TestVotersAreAdded(t *testing.T) {
	d := newDiscovery(5, "a", "b", "c")
	for _, name := range []string{"d", "e", "f"} {
		d.add(name, 5, []string{"a", "b", "c"}, false)
	}
	d.pass(3 * time.Second)
	got := d.members("a")
	if len(got) != 5 {
		t.Fatalf("voters are %q", got)
	}
	d.silent["a"], d.silent["b"] = true, true
	d.pass(5 * time.Second)
	leaders := 0
	for name, vm := range d.vms {
		if !d.silent[name] && vm.Status(d.now).Role == Leader {
			leaders++
		}
	}
	if leaders != 1 {
		t.Fatalf("%d leaders among %q without a and b", leaders, got)
	}
}
