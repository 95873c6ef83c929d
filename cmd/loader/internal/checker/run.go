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
	settleLimit      = 20 * time.Second
)

var domains = []string{"fd-a", "fd-b", "fd-c"}

// run is one deployment with its callers, operators and faults.
type run struct {
	number  int
	d       *launcher.Deployment
	net     *forwarder.Network
	journal *replier.Journal
	history *history
	callers []*caller
	servers []*replier.Server
	faults  []string
	stops   []stop
	// wiped is the voter whose disk was emptied last.
	wiped *launcher.VM
}

// stop is one planned stop.
type stop struct {
	vm *launcher.VM
	at time.Time
}

// result is a run's report and what led to it.
type result struct {
	Report
	number   int
	faults   []string
	failures []string
}

// String is the run's line.
func (r result) String() string {
	s := fmt.Sprintf("run %d: %d submissions, faults %s", r.number, r.Submissions, strings.Join(r.faults, " "))
	for _, f := range r.failures {
		s += "\n  " + f
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
	defer r.d.KillAll()
	err := r.work(cfg)
	out.faults = r.faults
	if err != nil {
		return out, err
	}
	j := newJudge(r)
	j.judge()
	out.Report, out.failures = j.report, j.failures
	if out.Clean() {
		return out, os.RemoveAll(folder)
	}
	return out, nil
}

func (r *run) start(ctx context.Context, cfg Config, folder string) error {
	var ds []launcher.Domain
	for _, n := range domains {
		ds = append(ds, launcher.Domain{Name: n, VMs: vmsPerDomain})
	}
	d, err := launcher.New(launcher.Config{Folder: folder, Binary: cfg.Binary, Domains: ds, Route: r.net.Add})
	if err != nil {
		return err
	}
	r.d = d
	r.net.Heal(linkDelay)
	if err := d.StartAll(); err != nil {
		d.KillAll()
		return err
	}
	if err := r.startServers(ctx); err != nil {
		d.KillAll()
		return err
	}
	if err := d.WaitAllReady(settleLimit); err != nil {
		d.KillAll()
		return err
	}
	if err := r.firstChange(); err != nil {
		d.KillAll()
		return err
	}
	return nil
}

func (r *run) startServers(ctx context.Context) error {
	for _, fd := range domains {
		var entries []string
		for _, v := range r.d.VMs {
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

func (r *run) operator(name string, rnd uint64) *operator {
	return &operator{run: r, name: name, rnd: randomFor(rnd, r.number, rnd)}
}

// firstChange publishes version 1 and waits until every VM has it.
func (r *run) firstChange() error {
	o := r.operator("first", 1)
	deadline := time.Now().Add(settleLimit)
	for !o.change("first", 0) {
		if time.Now().After(deadline) {
			return eris.New("the first change was not accepted")
		}
		time.Sleep(pollEvery)
	}
	return r.settle()
}

// settle waits until all VMs are up and show one version.
func (r *run) settle() error {
	o := r.operator("settle", 2)
	deadline := time.Now().Add(settleLimit)
	for time.Now().Before(deadline) {
		versions := map[uint64]int{}
		for _, vm := range r.d.VMs {
			cur := o.current(vm)
			versions[cur]++
		}
		if len(versions) == 1 && versions[0] == 0 {
			return nil
		}
		time.Sleep(pollEvery)
	}
	return eris.Errorf("the VMs do not agree on one version after %s", settleLimit)
}

// work runs callers, operators and faults, then repairs everything and resends every key once.
func (r *run) work(cfg Config) error {
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
		c := newCaller(r, randomFor(cfg.Seed, r.number, uint64(100+i)))
		r.callers = append(r.callers, c)
		background(c.loop)
	}
	for i := range operatorsPerRun {
		o := r.operator(fmt.Sprintf("operator%d", i), cfg.Seed)
		o.rnd = randomFor(cfg.Seed, r.number, uint64(200+i))
		background(o.loop)
	}
	background(r.operator("poll", 3).poll)
	err := r.faultLoop(randomFor(cfg.Seed, r.number, 300))
	r.net.Heal(linkDelay)
	close(stop)
	wg.Wait()
	if err != nil {
		return err
	}
	if err := r.settle(); err != nil {
		return err
	}
	for _, c := range r.callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.resendAll()
		}()
	}
	wg.Wait()
	return nil
}

// resendAll asks once more for the answer of every key, when all faults are over.
func (c *caller) resendAll() {
	for _, s := range c.subs {
		if s.keyed {
			c.keep(s, c.send(c.anyVM(), s))
		}
	}
}
