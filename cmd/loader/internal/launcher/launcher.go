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
	// File is the path of its settings.
	File string
	cmd  *exec.Cmd
}

// Deployment is a set of entry processes on loopback.
type Deployment struct {
	Folder, Binary string
	VMs            []*VM
	Token          string
}

// Config constructs a Deployment.
type Config struct {
	// Folder receives settings, logs and data.
	Folder string
	// Binary is the path of the entry daemon.
	Binary string
	// Domains maps failure domains to their number of entry VMs, in order.
	Domains []Domain
	Policy  string
	// Route returns the address that one VM uses to reach another's peers' address; nil connects them directly.
	Route func(from, to, target string) (string, error)
}

// Domain is one failure domain.
type Domain struct {
	Name string
	VMs  int
}

// New chooses free ports and writes the settings.
func New(cfg Config) (*Deployment, error) {
	d := &Deployment{Folder: cfg.Folder, Binary: cfg.Binary, Token: "loopback-token"}
	for _, dom := range cfg.Domains {
		for i := 1; i <= dom.VMs; i++ {
			d.VMs = append(d.VMs, &VM{Name: fmt.Sprintf("%s-%d", dom.Name, i), FailureDomain: dom.Name})
		}
	}
	var all []parser.EntryVM
	for _, v := range d.VMs {
		var p [4]string
		for i := range p {
			var err error
			if p[i], err = FreeAddress(); err != nil {
				return nil, err
			}
		}
		v.Settings = parser.Settings{
			Log:  parser.Log{Level: "debug"},
			Name: v.Name, FailureDomain: v.FailureDomain, PeerTokenFile: "token", OperatorTokenFile: "token", Policy: cfg.Policy,
			Listen: parser.Listen{Callers: p[0], Servers: p[1], Operators: p[2], Peers: p[3]},
		}
		all = append(all, parser.EntryVM{Name: v.Name, FailureDomain: v.FailureDomain, Peers: p[3]})
	}
	groups := d.groups(cfg.Domains)
	var voters []string
	for _, dom := range cfg.Domains {
		voters = append(voters, dom.Name+"-1")
	}
	for _, v := range d.VMs {
		var err error
		v.Settings.Groups, v.Settings.Voters = groups, voters
		if v.Settings.EntryVMs, err = route(cfg.Route, v.Name, all); err != nil {
			return nil, err
		}
		for _, name := range voters {
			if name == v.Name {
				v.Settings.DataFolder = filepath.Join(cfg.Folder, v.Name, "data")
			}
		}
	}
	return d, d.write()
}

// route replaces the peers' addresses as one VM sees them.
func route(f func(from, to, target string) (string, error), from string, all []parser.EntryVM) ([]parser.EntryVM, error) {
	out := append([]parser.EntryVM(nil), all...)
	if f == nil {
		return out, nil
	}
	for i := range out {
		if out[i].Name == from {
			continue
		}
		address, err := f(from, out[i].Name, out[i].Peers)
		if err != nil {
			return nil, err
		}
		out[i].Peers = address
	}
	return out, nil
}

// groups gives each failure domain its own entry VMs and, where there are only two, a witness of the next domain.
func (d *Deployment) groups(domains []Domain) []parser.Group {
	var out []parser.Group
	for i, dom := range domains {
		g := parser.Group{FailureDomain: dom.Name}
		for n := 1; n <= dom.VMs; n++ {
			g.Members = append(g.Members, fmt.Sprintf("%s-%d", dom.Name, n))
		}
		if dom.VMs == 2 && len(domains) > 1 {
			g.Members = append(g.Members, domains[(i+1)%len(domains)].Name+"-1")
		}
		out = append(out, g)
	}
	return out
}

func (d *Deployment) write() error {
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
		v.File = filepath.Join(dir, "settings.json")
		if err := os.WriteFile(v.File, b, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// Start starts one entry process; its log goes to a file beside its settings.
func (d *Deployment) Start(v *VM) error {
	log, err := os.OpenFile(filepath.Join(d.Folder, v.Name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	v.cmd = exec.Command(d.Binary, "--settings", v.File)
	v.cmd.Stderr = log
	if err := v.cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", v.Name)
	}
	return nil
}

// Initialise creates each voter's first identity. All of them together form the first membership.
func (d *Deployment) Initialise() error {
	for _, v := range d.VMs {
		if v.Settings.DataFolder == "" {
			continue
		}
		if out, err := exec.Command(d.Binary, "--settings", v.File, "--initialise").CombinedOutput(); err != nil {
			return eris.Wrapf(err, "initialise %s: %s", v.Name, out)
		}
	}
	return nil
}

// StartAll initialises the voters, starts every process and waits until all are healthy.
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
func (v *VM) WaitHealthy(limit time.Duration) error { return v.wait("/health", limit) }

// WaitReady waits until the process would be sent callers by a load balancer.
func (v *VM) WaitReady(limit time.Duration) error { return v.wait("/ready", limit) }

func (v *VM) wait(path string, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		code, _, err := fasthttp.GetTimeout(nil, "http://"+v.Settings.Listen.Operators+path, time.Second)
		if err == nil && code == fasthttp.StatusOK {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return eris.Errorf("%s does not answer %s after %s", v.Name, path, limit)
}

// WaitAllReady waits for every process.
func (d *Deployment) WaitAllReady(limit time.Duration) error {
	for _, v := range d.VMs {
		if err := v.WaitReady(limit); err != nil {
			return err
		}
	}
	return nil
}

// Process returns the running process, or nil.
func (v *VM) Process() *os.Process {
	if v.cmd == nil {
		return nil
	}
	return v.cmd.Process
}

// Kill ends the process at once.
func (v *VM) Kill() {
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	_ = v.cmd.Wait()
	v.cmd = nil
}

// WaitExit waits until the process has ended by itself.
func (v *VM) WaitExit(limit time.Duration) error {
	cmd := v.cmd
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		v.cmd = nil
		return err
	case <-time.After(limit):
		return eris.Errorf("still running after %s", limit)
	}
}

// KillAll ends every process.
func (d *Deployment) KillAll() {
	for _, v := range d.VMs {
		v.Kill()
	}
}
