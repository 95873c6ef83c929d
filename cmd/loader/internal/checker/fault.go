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
	slowDelay        = 60 * time.Millisecond
	faultsPerRun     = 3
	stopLimit        = 40 * time.Second
)

// fault is one kind of failure. It is caused, lasts a while and is repaired.
type fault struct {
	name  string
	cause func(r *run, rnd *rand.Rand) (repair func() error)
}

var faults = []fault{
	{"kill", func(r *run, rnd *rand.Rand) func() error { return r.kill(r.pick(rnd), false) }},
	{"killAndWipe", func(r *run, rnd *rand.Rand) func() error { return r.kill(r.pick(rnd), true) }},
	{"secondLossAfterRepair", secondLoss},
	{"freeze", func(r *run, rnd *rand.Rand) func() error { return r.freeze(r.pick(rnd)) }},
	{"isolate", func(r *run, rnd *rand.Rand) func() error {
		vm := r.pick(rnd)
		return r.cut(func(a, b *launcher.VM) bool { return a == vm || b == vm })
	}},
	{"oneWayLoss", func(r *run, rnd *rand.Rand) func() error {
		from, to := r.pick(rnd), r.pick(rnd)
		return r.cut(func(a, b *launcher.VM) bool { return a == from && b == to })
	}},
	{"cutDomain", func(r *run, rnd *rand.Rand) func() error {
		fd := r.pick(rnd).FailureDomain
		return r.cut(func(a, b *launcher.VM) bool { return (a.FailureDomain == fd) != (b.FailureDomain == fd) })
	}},
	{"slowLinks", func(r *run, rnd *rand.Rand) func() error { return r.slow(r.pick(rnd)) }},
	{"serverFails", serverFault(func(s *replier.Server) *atomic.Bool { return &s.Failing })},
	{"serverRefuses", serverFault(func(s *replier.Server) *atomic.Bool { return &s.Refusing })},
	{"serverDropsAnswers", serverFault(func(s *replier.Server) *atomic.Bool { return &s.Dropping })},
	{"serverSilent", serverFault(func(s *replier.Server) *atomic.Bool { return &s.Silent })},
	{"plannedStop", func(r *run, rnd *rand.Rand) func() error { return r.plannedStop(r.pick(rnd)) }},
}

func (r *run) pick(rnd *rand.Rand) *launcher.VM { return r.d.VMs[rnd.IntN(len(r.d.VMs))] }

// faultLoop causes faults one after the other, sometimes a second one before the first is repaired.
func (r *run) faultLoop(rnd *rand.Rand) error {
	for range faultsPerRun {
		n := 1
		if rnd.IntN(3) == 0 {
			n = 2
		}
		var repairs []func() error
		for range n {
			f := faults[rnd.IntN(len(faults))]
			if n == 2 && f.name == "plannedStop" {
				f = faults[0] // a stop is judged only where nothing else fails
			}
			r.note(f.name)
			if repair := f.cause(r, rnd); repair != nil {
				repairs = append(repairs, repair)
			}
		}
		time.Sleep(time.Duration(300+rnd.IntN(1500)) * time.Millisecond)
		for _, repair := range repairs {
			if err := repair(); err != nil {
				return err
			}
		}
		time.Sleep(time.Duration(200+rnd.IntN(1000)) * time.Millisecond)
	}
	return nil
}

func (r *run) note(s string) { r.faults = append(r.faults, s) }

// serverFault sets a switch of one stand-in server.
func serverFault(which func(*replier.Server) *atomic.Bool) func(*run, *rand.Rand) func() error {
	return func(r *run, rnd *rand.Rand) func() error {
		flag := which(r.servers[rnd.IntN(len(r.servers))])
		flag.Store(true)
		return func() error {
			flag.Store(false)
			return nil
		}
	}
}

// kill ends a process; the repair starts it again, with or without its disk.
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
			r.wiped = vm
		}
		return r.restart(vm)
	}
}

// mayWipe reports whether losing one more voter's disk leaves a majority of disks. The loss of a majority is beyond what
// the design promises: with seed 2, run 73 emptied a second disk before the first voter was readmitted, and no leader
// could be elected any more.
func (r *run) mayWipe(vm *launcher.VM) bool {
	if r.wiped == nil || r.wiped == vm {
		return true
	}
	var status struct {
		Role string `json:"role"`
	}
	_, err := r.d.Operate(r.wiped, http.MethodGet, "/v1/status", nil, &status)
	if err == nil && (status.Role == "voter" || status.Role == "leader") {
		return true
	}
	r.note("(disk kept)")
	return false
}

func (r *run) restart(vm *launcher.VM) error {
	if err := r.d.Start(vm); err != nil {
		return err
	}
	return vm.WaitHealthy(stopLimit)
}

// secondLoss kills a process, starts it again and at once kills another of the same failure domain.
func secondLoss(r *run, rnd *rand.Rand) func() error {
	first := r.pick(rnd)
	repair := r.kill(first, true)
	if repair == nil {
		return nil
	}
	time.Sleep(time.Duration(200+rnd.IntN(800)) * time.Millisecond)
	if err := repair(); err != nil {
		return func() error { return err }
	}
	for _, vm := range r.d.VMs {
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
		for _, a := range r.d.VMs {
			for _, b := range r.d.VMs {
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

func (r *run) slow(vm *launcher.VM) func() error {
	set := func(d time.Duration) {
		for _, o := range r.d.VMs {
			r.net.Delay(vm.Name, o.Name, max(d, linkDelay(vm.Name, o.Name)))
			r.net.Delay(o.Name, vm.Name, max(d, linkDelay(vm.Name, o.Name)))
		}
	}
	set(slowDelay)
	return func() error {
		set(0)
		return nil
	}
}

// linkDelay is the brief's one-way latency between failure domains. VM names end in "-" and a number.
func linkDelay(from, to string) time.Duration {
	if domainOf(from) == domainOf(to) {
		return 0
	}
	return crossDomainDelay
}

func domainOf(vm string) string { return vm[:strings.LastIndex(vm, "-")] }

// plannedStop sends SIGTERM. Callers go on using the VM for half a second, as a balancer does that has not noticed yet.
func (r *run) plannedStop(vm *launcher.VM) func() error {
	p := vm.Process()
	if p == nil {
		return nil
	}
	r.stops = append(r.stops, stop{vm: vm, at: time.Now()})
	_ = p.Signal(syscall.SIGTERM)
	return func() error {
		if err := vm.WaitExit(stopLimit); err != nil {
			return fmt.Errorf("%s did not stop (log in %s): %w", vm.Name, filepath.Dir(vm.File), err)
		}
		return r.restart(vm)
	}
}
