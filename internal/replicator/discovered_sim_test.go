package replicator_test

import (
	"fmt"
	"testing"
	"time"

	"clementineyard/internal/replicator"
	"clementineyard/internal/storer"
)

// discoveredSeeds is the number of histories, which take 4 s in all. Eleven of them fail where a VM with an empty disk
// introduces itself only to the seeds.
const discoveredSeeds = 60

// newDiscoveredSimulation returns a simulation of a fleet of six VMs, three of them founders, that wants five voters and
// replaces a silent one.
func newDiscoveredSimulation(t interface{ Fatalf(string, ...any) }, seed uint64) *simulation {
	sim := newSimulation(t, seed, 6)
	sim.founders, sim.target, sim.replaceAfter = sim.names[:3], 5, 2*time.Second
	for i, name := range sim.names {
		n := sim.nodes[name]
		n.durable = storer.State{Identity: storer.Identity{DiskID: name + "-0", Founder: i < 3}}
		sim.start(n)
	}
	return sim
}

// checkDiscovered ends all faults and checks that a leader is elected, that there are five voters and that every VM
// holds every committed entry.
func (sim *simulation) checkDiscovered() {
	sim.runWithoutFaults(12 * time.Second)
	l := sim.leader()
	if l == nil {
		sim.t.Fatalf("no leader after the end of the faults")
	}
	before := l.stateMachine.Version
	sim.propose(l, "last")
	sim.runWithoutFaults(time.Second)
	voters := 0
	for _, name := range sim.names {
		n := sim.nodes[name]
		if n.stateMachine.Version != before+1 || n.applied != l.applied || n.applied < uint64(len(sim.committed)) {
			sim.t.Fatalf("%s holds version %d at entry %d, leader %d at %d of %d", name, n.stateMachine.Version, n.applied,
				l.stateMachine.Version, l.applied, len(sim.committed))
		}
		if n.r.Status(sim.now).Role != replicator.Learner {
			voters++
		}
	}
	if voters != sim.target {
		sim.t.Fatalf("%d voters after the end of the faults, want %d", voters, sim.target)
	}
	if before+1 != uint64(len(sim.versionOf)) {
		sim.t.Fatalf("version %d after %d accepted changes", before+1, len(sim.versionOf))
	}
}

// TestDiscoveredHistory guards against diverging histories and a fleet without a leader where voters are discovered.
func TestDiscoveredHistory(t *testing.T) {
	for seed := range uint64(discoveredSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newDiscoveredSimulation(t, seed)
			sim.runWithoutFaults(3 * time.Second)
			for range 6000 {
				sim.randomStep(sim.rng.IntN)
			}
			sim.checkDiscovered()
		})
	}
}
