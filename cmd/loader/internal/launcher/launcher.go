package launcher

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"clementineyard/internal/parser"
)

// VM is one entry process of the deployment.
type VM struct {
	Name, FailureDomain string
	Settings            parser.Settings
	// SettingsFile is the path of the settings file.
	SettingsFile string
	cmd          *exec.Cmd
}

// Deployment is a set of entry processes on loopback.
type Deployment struct {
	Folder, Binary string
	VMs            []*VM
	Token          string
}

// Config describes a Deployment.
type Config struct {
	// Folder receives settings, logs and data.
	Folder string
	// Binary is the path of the entry daemon.
	Binary string
	// Domains are the failure domains, each with its number of entry VMs.
	Domains []Domain
	// Policy is the scheduling policy in the settings; empty means the default.
	Policy string
	// Route returns the address through which the VM from reaches the peers' listener of the VM to, whose own address is
	// target. Without Route, the VMs connect directly.
	Route func(from, to, target string) (string, error)
}

// Domain is one failure domain with its number of entry VMs.
type Domain struct {
	Name string
	VMs  int
}

// New chooses free ports and writes the settings of all VMs. It starts no process.
func New(cfg Config) (*Deployment, error) {
	d := &Deployment{Folder: cfg.Folder, Binary: cfg.Binary, Token: "loopback-token"}
	for _, domain := range cfg.Domains {
		for i := 1; i <= domain.VMs; i++ {
			d.VMs = append(d.VMs, &VM{Name: fmt.Sprintf("%s-%d", domain.Name, i), FailureDomain: domain.Name})
		}
	}
	var entryVMs []parser.EntryVM
	for _, v := range d.VMs {
		var addresses [4]string
		for i := range addresses {
			var err error
			if addresses[i], err = FreeAddress(); err != nil {
				return nil, err
			}
		}
		v.Settings = parser.Settings{
			Log:  parser.Log{Level: "debug"},
			Name: v.Name, FailureDomain: v.FailureDomain, PeerTokenFile: "token", OperatorTokenFile: "token", Policy: cfg.Policy,
			Listen: parser.Listen{Callers: addresses[0], Servers: addresses[1], Operators: addresses[2], Peers: addresses[3]},
		}
		entryVMs = append(entryVMs, parser.EntryVM{Name: v.Name, FailureDomain: v.FailureDomain, Peers: addresses[3]})
	}
	groups := d.groups(cfg.Domains)
	var voters []string
	for _, domain := range cfg.Domains {
		voters = append(voters, domain.Name+"-1")
	}
	for _, v := range d.VMs {
		var err error
		v.Settings.Groups, v.Settings.Voters = groups, voters
		if v.Settings.EntryVMs, err = routedEntryVMs(cfg.Route, v.Name, entryVMs); err != nil {
			return nil, err
		}
		for _, name := range voters {
			if name == v.Name {
				v.Settings.DataFolder = filepath.Join(cfg.Folder, v.Name, "data")
			}
		}
	}
	return d, d.WriteSettings()
}

// routedEntryVMs returns the entry VMs with the peers' addresses that the VM from uses.
func routedEntryVMs(route func(from, to, target string) (string, error), from string, entryVMs []parser.EntryVM) ([]parser.EntryVM, error) {
	out := append([]parser.EntryVM(nil), entryVMs...)
	if route == nil {
		return out, nil
	}
	for i := range out {
		if out[i].Name == from {
			continue
		}
		address, err := route(from, out[i].Name, out[i].Peers)
		if err != nil {
			return nil, err
		}
		out[i].Peers = address
	}
	return out, nil
}

// groups returns one group for each failure domain. Its members are the domain's own entry VMs and, where there are
// only two, the first entry VM of the next domain as a witness.
func (d *Deployment) groups(domains []Domain) []parser.Group {
	var out []parser.Group
	for i, domain := range domains {
		g := parser.Group{FailureDomain: domain.Name}
		for n := 1; n <= domain.VMs; n++ {
			g.Members = append(g.Members, fmt.Sprintf("%s-%d", domain.Name, n))
		}
		if domain.VMs == 2 && len(domains) > 1 {
			g.Members = append(g.Members, domains[(i+1)%len(domains)].Name+"-1")
		}
		out = append(out, g)
	}
	return out
}

// WriteSettings writes the settings of all VMs, again after a test has changed them.
func (d *Deployment) WriteSettings() error {
	for _, v := range d.VMs {
		dir := filepath.Join(d.Folder, v.Name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, "token"), []byte(d.Token+"\n"), 0o600); err != nil {
			return err
		}
		b, err := json.MarshalIndent(v.Settings, "", "  ")
		if err != nil {
			return err
		}
		v.SettingsFile = filepath.Join(dir, "settings.json")
		if err := os.WriteFile(v.SettingsFile, b, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// Start starts one entry process. Its log is appended to a file next to its settings.
func (d *Deployment) Start(v *VM) error {
	log, err := os.OpenFile(filepath.Join(d.Folder, v.Name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	v.cmd = exec.Command(d.Binary, "--settings", v.SettingsFile)
	v.cmd.Stderr = log
	if err := v.cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", v.Name)
	}
	return nil
}

// Initialise creates the first identity of each voter. Together the voters form the initial membership.
func (d *Deployment) Initialise() error {
	for _, v := range d.VMs {
		if v.Settings.DataFolder == "" {
			continue
		}
		if out, err := exec.Command(d.Binary, "--settings", v.SettingsFile, "--initialise").CombinedOutput(); err != nil {
			return eris.Wrapf(err, "initialise %s: %s", v.Name, out)
		}
	}
	return nil
}

// StartAll initialises the voters, starts every process and waits up to 10 s for each to be healthy.
func (d *Deployment) StartAll() error {
	if err := d.Initialise(); err != nil {
		return err
	}
	for _, v := range d.VMs {
		if err := d.Start(v); err != nil {
			return err
		}
	}
	for _, v := range d.VMs {
		if err := v.WaitHealthy(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// WaitHealthy waits until the process answers on its operators' listener.
func (v *VM) WaitHealthy(limit time.Duration) error { return v.waitForOK("/health", limit) }

// WaitReady waits until the process reports ready, so that a load balancer would send it callers.
func (v *VM) WaitReady(limit time.Duration) error { return v.waitForOK("/ready", limit) }

func (v *VM) waitForOK(path string, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		code, _, err := fasthttp.GetTimeout(nil, "http://"+v.Settings.Listen.Operators+path, time.Second)
		if err == nil && code == fasthttp.StatusOK {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return eris.Errorf("wait for %s: no status 200 from %s after %s", v.Name, path, limit)
}

// WaitAllReady waits until every process is ready, each for at most limit.
func (d *Deployment) WaitAllReady(limit time.Duration) error {
	for _, v := range d.VMs {
		if err := v.WaitReady(limit); err != nil {
			return err
		}
	}
	return nil
}

// Process returns the process, or nil when it was not started, and after Kill or WaitExit has ended it.
func (v *VM) Process() *os.Process {
	if v.cmd == nil {
		return nil
	}
	return v.cmd.Process
}

// Kill kills the process with SIGKILL and waits for its end.
func (v *VM) Kill() {
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	_ = v.cmd.Wait()
	v.cmd = nil
}

// WaitExit waits until the process ends by itself. It returns an error when the process exits with a status other than
// 0 or still runs after limit.
func (v *VM) WaitExit(limit time.Duration) error {
	cmd := v.cmd
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		v.cmd = nil
		return err
	case <-time.After(limit):
		return eris.Errorf("wait for process exit: still running after %s", limit)
	}
}

// KillAll kills every process.
func (d *Deployment) KillAll() {
	for _, v := range d.VMs {
		v.Kill()
	}
}
