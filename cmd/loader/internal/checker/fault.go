package checker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/cmd/loader/internal/replier"
)

const (
	crossDomainDelay = 1500 * time.Microsecond
	slowLinkDelay    = 60 * time.Millisecond
	faultsPerRun     = 3
	exitTimeout      = 40 * time.Second
)

// fault is one kind of failure. It is injected, persists for a while and is repaired.
type fault struct {
	name string
	// inject returns the function that repairs the fault, or nil when there is nothing to repair.
	inject func(r *run, rng *rand.Rand) (repair func() error)
}

var faults = []fault{
	{"kill", func(r *run, rng *rand.Rand) func() error { return r.kill(r.randomVM(rng), false) }},
	{"killAndWipe", func(r *run, rng *rand.Rand) func() error { return r.kill(r.randomVM(rng), true) }},
	{"secondLossAfterRepair", killAnotherAfterRestart},
	{"freeze", func(r *run, rng *rand.Rand) func() error { return r.freeze(r.randomVM(rng)) }},
	{"isolate", func(r *run, rng *rand.Rand) func() error {
		vm := r.randomVM(rng)
		return r.cut(func(a, b *launcher.VM) bool { return a == vm || b == vm })
	}},
	{"oneWayLoss", func(r *run, rng *rand.Rand) func() error {
		from, to := r.randomVM(rng), r.randomVM(rng)
		return r.cut(func(a, b *launcher.VM) bool { return a == from && b == to })
	}},
	{"cutDomain", func(r *run, rng *rand.Rand) func() error {
		fd := r.randomVM(rng).FailureDomain
		return r.cut(func(a, b *launcher.VM) bool { return (a.FailureDomain == fd) != (b.FailureDomain == fd) })
	}},
	{"slowLinks", func(r *run, rng *rand.Rand) func() error { return r.delayLinks(r.randomVM(rng)) }},
	{"serverFails", serverFault(func(s *replier.Server) *atomic.Bool { return &s.Failing })},
	{"serverRefuses", serverFault(func(s *replier.Server) *atomic.Bool { return &s.Refusing })},
	{"serverDropsAnswers", serverFault(func(s *replier.Server) *atomic.Bool { return &s.DroppingAnswers })},
	{"serverSilent", serverFault(func(s *replier.Server) *atomic.Bool { return &s.Silent })},
	{"plannedStop", func(r *run, rng *rand.Rand) func() error { return r.stopGracefully(r.randomVM(rng)) }},
}

func (r *run) randomVM(rng *rand.Rand) *launcher.VM {
	return r.deployment.VMs[rng.IntN(len(r.deployment.VMs))]
}

// injectFaults injects faults one after the other; a third of the time it injects two together.
func (r *run) injectFaults(rng *rand.Rand) error {
	for range faultsPerRun {
		n := 1
		if rng.IntN(3) == 0 {
			n = 2
		}
		var repairs []func() error
		for range n {
			f := faults[rng.IntN(len(faults))]
			if n == 2 && f.name == "plannedStop" {
				f = faults[0] // interruptions by a planned stop are verified only without another fault
			}
			r.recordFault(f.name)
			if repair := f.inject(r, rng); repair != nil {
				repairs = append(repairs, repair)
			}
		}
		time.Sleep(time.Duration(300+rng.IntN(1500)) * time.Millisecond)
		for _, repair := range repairs {
			if err := repair(); err != nil {
				return err
			}
		}
		time.Sleep(time.Duration(200+rng.IntN(1000)) * time.Millisecond)
	}
	return nil
}

func (r *run) recordFault(s string) { r.faults = append(r.faults, s) }

// serverFault returns a fault that sets one flag of a random stand-in server.
func serverFault(flagOf func(*replier.Server) *atomic.Bool) func(*run, *rand.Rand) func() error {
	return func(r *run, rng *rand.Rand) func() error {
		flag := flagOf(r.servers[rng.IntN(len(r.servers))])
		flag.Store(true)
		return func() error {
			flag.Store(false)
			return nil
		}
	}
}

// kill kills a process. The repair starts it again, on request with an empty data folder.
func (r *run) kill(vm *launcher.VM, wipe bool) func() error {
	if vm.Process() == nil {
		return nil
	}
	vm.Kill()
	return func() error {
		if wipe && vm.Settings.DataFolder != "" && r.mayWipe(vm) {
			if err := os.RemoveAll(vm.Settings.DataFolder); err != nil {
				return err
			}
			r.lastWiped = vm
		}
		return r.restart(vm)
	}
}

// mayWipe reports whether a majority of voters keeps its data when this VM's data folder is deleted. The design does
// not tolerate the loss of a majority: if a second disk is wiped before the first voter has been readmitted, no leader
// can be elected any more.
func (r *run) mayWipe(vm *launcher.VM) bool {
	if r.lastWiped == nil || r.lastWiped == vm {
		return true
	}
	var status struct {
		Role string `json:"role"`
	}
	_, err := r.deployment.CallOperators(r.lastWiped, http.MethodGet, "/v1/status", nil, &status)
	if err == nil && (status.Role == "voter" || status.Role == "leader") {
		return true
	}
	r.recordFault("(disk kept)")
	return false
}

func (r *run) restart(vm *launcher.VM) error {
	if err := r.deployment.Start(vm); err != nil {
		return err
	}
	return vm.WaitHealthy(exitTimeout)
}

// killAnotherAfterRestart kills a process, starts it again with its data folder deleted if mayWipe allows it, and
// immediately kills another one of the same failure domain.
func killAnotherAfterRestart(r *run, rng *rand.Rand) func() error {
	first := r.randomVM(rng)
	repair := r.kill(first, true)
	if repair == nil {
		return nil
	}
	time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
	if err := repair(); err != nil {
		return func() error { return err }
	}
	for _, vm := range r.deployment.VMs {
		if vm != first && vm.FailureDomain == first.FailureDomain {
			return r.kill(vm, false)
		}
	}
	return nil
}

func (r *run) freeze(vm *launcher.VM) func() error {
	p := vm.Process()
	if p == nil {
		return nil
	}
	_ = p.Signal(syscall.SIGSTOP)
	return func() error { return p.Signal(syscall.SIGCONT) }
}

func (r *run) cut(match func(a, b *launcher.VM) bool) func() error {
	set := func(cut bool) {
		for _, a := range r.deployment.VMs {
			for _, b := range r.deployment.VMs {
				if a != b && match(a, b) {
					r.net.Cut(a.Name, b.Name, cut)
				}
			}
		}
	}
	set(true)
	return func() error {
		set(false)
		return nil
	}
}

func (r *run) delayLinks(vm *launcher.VM) func() error {
	set := func(d time.Duration) {
		for _, other := range r.deployment.VMs {
			r.net.Delay(vm.Name, other.Name, max(d, linkDelay(vm.Name, other.Name)))
			r.net.Delay(other.Name, vm.Name, max(d, linkDelay(vm.Name, other.Name)))
		}
	}
	set(slowLinkDelay)
	return func() error {
		set(0)
		return nil
	}
}

// linkDelay returns the one-way latency between two VMs: 1.5 ms between failure domains, as the requirements state, and
// none within one.
func linkDelay(from, to string) time.Duration {
	if domainOf(from) == domainOf(to) {
		return 0
	}
	return crossDomainDelay
}

// domainOf returns the failure domain of a VM, whose name is that of its domain followed by "-" and a number.
func domainOf(vm string) string { return vm[:strings.LastIndex(vm, "-")] }

// stopGracefully sends SIGTERM. Callers continue to use the VM, as a load balancer does that has not noticed the stop
// yet.
func (r *run) stopGracefully(vm *launcher.VM) func() error {
	p := vm.Process()
	if p == nil {
		return nil
	}
	r.stops = append(r.stops, plannedStop{vm: vm, signalledAt: time.Now()})
	_ = p.Signal(syscall.SIGTERM)
	return func() error {
		if err := vm.WaitExit(exitTimeout); err != nil {
			return fmt.Errorf("stop %s (log in %s): %w", vm.Name, filepath.Dir(vm.SettingsFile), err)
		}
		return r.restart(vm)
	}
}
