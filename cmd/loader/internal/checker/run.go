package checker

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"clementineyard/cmd/loader/internal/forwarder"
	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/cmd/loader/internal/replier"
)

const (
	callersPerRun    = 6
	operatorsPerRun  = 2
	serversPerDomain = 2
	vmsPerDomain     = 2
	settleTimeout    = 20 * time.Second
)

var domains = []string{"fd-a", "fd-b", "fd-c"}

// run is one deployment with its callers, operators and faults.
type run struct {
	number     int
	deployment *launcher.Deployment
	net        *forwarder.Network
	journal    *replier.Journal
	history    *history
	callers    []*caller
	servers    []*replier.Server
	faults     []string
	stops      []plannedStop
	// lastWiped is the VM whose data folder was deleted last.
	lastWiped *launcher.VM
}

// plannedStop records when SIGTERM was sent to a VM.
type plannedStop struct {
	vm          *launcher.VM
	signalledAt time.Time
}

// result is the report of one run, with its faults and a description of each violation.
type result struct {
	Report
	number     int
	faults     []string
	violations []string
}

// String returns the line that the campaign prints for the run, followed by one indented line per violation.
func (r result) String() string {
	s := fmt.Sprintf("run %d: %d submissions, faults %s", r.number, r.Submissions, strings.Join(r.faults, " "))
	for _, v := range r.violations {
		s += "\n  " + v
	}
	return s
}

func runOnce(cfg Config, number int) (result, error) {
	out := result{number: number}
	folder := filepath.Join(cfg.Folder, fmt.Sprintf("run-%d", number))
	r := &run{number: number, net: forwarder.New(), journal: &replier.Journal{}, history: newHistory()}
	defer r.net.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := r.start(ctx, cfg, folder); err != nil {
		return out, err
	}
	defer r.deployment.KillAll()
	err := r.runWorkload(cfg)
	out.faults = r.faults
	if err != nil {
		return out, err
	}
	v := newVerifier(r)
	v.verify()
	out.Report, out.violations = v.report, v.violations
	if out.HasNoViolations() {
		return out, os.RemoveAll(folder)
	}
	return out, nil
}

func (r *run) start(ctx context.Context, cfg Config, folder string) error {
	var domainConfigs []launcher.Domain
	for _, n := range domains {
		domainConfigs = append(domainConfigs, launcher.Domain{Name: n, VMs: vmsPerDomain})
	}
	d, err := launcher.New(launcher.Config{Folder: folder, Binary: cfg.Binary, Domains: domainConfigs, Route: r.net.Add})
	if err != nil {
		return err
	}
	r.deployment = d
	r.net.Heal(linkDelay)
	if err := d.StartAll(); err != nil {
		d.KillAll()
		return err
	}
	if err := r.startServers(ctx); err != nil {
		d.KillAll()
		return err
	}
	if err := d.WaitAllReady(settleTimeout); err != nil {
		d.KillAll()
		return err
	}
	if err := r.publishFirstVersion(); err != nil {
		d.KillAll()
		return err
	}
	return nil
}

func (r *run) startServers(ctx context.Context) error {
	for _, fd := range domains {
		var entries []string
		for _, v := range r.deployment.VMs {
			if v.FailureDomain == fd {
				entries = append(entries, v.Settings.Listen.Servers)
			}
		}
		for i := range serversPerDomain {
			address, err := launcher.FreeAddress()
			if err != nil {
				return err
			}
			s := replier.New(replier.Config{
				Name: fmt.Sprintf("%s-server-%d", fd, i), Address: address, FailureDomain: fd, Services: []string{serviceName},
				Slots: 8, Connections: 64, EntryVMs: entries,
			}, r.journal)
			r.servers = append(r.servers, s)
			go func() { _ = s.Run(ctx) }()
		}
	}
	return nil
}

func (r *run) newOperator(name string, seed uint64) *operator {
	return &operator{run: r, name: name, rng: newRNG(seed, r.number, seed)}
}

// publishFirstVersion publishes version 1 and waits until every VM has it in force.
func (r *run) publishFirstVersion() error {
	o := r.newOperator("first", 1)
	deadline := time.Now().Add(settleTimeout)
	for !o.publish("first", 0) {
		if time.Now().After(deadline) {
			return eris.New("publish the first configuration version: not accepted in time")
		}
		time.Sleep(pollInterval)
	}
	return r.waitSameVersion()
}

// waitSameVersion waits until all VMs answer and have the same version in force.
func (r *run) waitSameVersion() error {
	o := r.newOperator("settle", 2)
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) {
		versions := map[uint64]int{}
		for _, vm := range r.deployment.VMs {
			version := o.currentVersion(vm)
			versions[version]++
		}
		if len(versions) == 1 && versions[0] == 0 {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return eris.Errorf("wait for one configuration version on all VMs: not reached after %s", settleTimeout)
}

// runWorkload runs callers and operators while it injects faults. When all faults are repaired, every keyed submission
// is sent once more.
func (r *run) runWorkload(cfg Config) error {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	background := func(f func(<-chan struct{})) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(stop)
		}()
	}
	for i := range callersPerRun {
		c := newCaller(r, newRNG(cfg.Seed, r.number, uint64(100+i)))
		r.callers = append(r.callers, c)
		background(c.submitLoop)
	}
	for i := range operatorsPerRun {
		o := r.newOperator(fmt.Sprintf("operator%d", i), cfg.Seed)
		o.rng = newRNG(cfg.Seed, r.number, uint64(200+i))
		background(o.publishLoop)
	}
	background(r.newOperator("poll", 3).watchVersions)
	err := r.injectFaults(newRNG(cfg.Seed, r.number, 300))
	r.net.Heal(linkDelay)
	close(stop)
	wg.Wait()
	if err != nil {
		return err
	}
	if err := r.waitSameVersion(); err != nil {
		return err
	}
	for _, c := range r.callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.resubmitAll()
		}()
	}
	wg.Wait()
	return nil
}

// resubmitAll requests the answer of every keyed submission once more, after all faults have been repaired.
func (c *caller) resubmitAll() {
	for _, s := range c.submissions {
		if s.keyed {
			c.recordCalls(s, c.send(c.randomVM(), s))
		}
	}
}
