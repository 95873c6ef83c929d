package measurer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"clementineyard/cmd/loader/internal/generator"
	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/cmd/loader/internal/replier"
	"clementineyard/internal/listener"
)

const (
	slotsEach       = 8
	connectionsEach = 64
	serversInAll    = 50
	inForceWithin   = 10 * time.Second
	operatorTimeout = 6 * time.Second
	// settle lets every server announce itself twice to each entry process of its failure domain.
	settle = 1500 * time.Millisecond
)

// domains are three failure domains with two entry VMs each.
var domains = []launcher.Domain{{Name: "casa-a", VMs: 2}, {Name: "rabat-b", VMs: 2}, {Name: "tanger-c", VMs: 2}}

// taskFiles are the services of the measurements. The sizes that "mixed" declares are wrong on purpose; "wave" holds
// its tasks until their deadline, so that 10,000 of them can wait.
var taskFiles = map[string]string{
	"bench": `{"service":"bench","tasks":[
		{"name":"lookUp","timeout":"4s","expectedRunTime":"100ms"},
		{"name":"update","timeout":"4s","expectedRunTime":"400ms"},
		{"name":"export","timeout":"10s","expectedRunTime":"3s"}]}`,
	"mixed": `{"service":"mixed","tasks":[
		{"name":"short","timeout":"10s","expectedRunTime":"1s"},
		{"name":"long","timeout":"30s","expectedRunTime":"50ms"}]}`,
	"wave": `{"service":"wave","overload":"queue","tasks":[{"name":"wait","timeout":"60s","expectedRunTime":"200ms"}]}`,
	"work": `{"service":"work","runsOn":"workers","tasks":[
		{"name":"step","timeout":"5s","expectedRunTime":"200ms","cores":1,"memory":"256MiB"}]}`,
}

// bed is a deployment with its stand-in servers.
type bed struct {
	*launcher.Deployment
	journal *replier.Journal
	servers []*replier.Server
	client  *generator.Client
	stop    context.CancelFunc
}

type bedConfig struct {
	policy  string
	domains []launcher.Domain
	servers int
	// adjust changes a server's configuration before it starts; nil leaves 8 slots for every service.
	adjust func(i int, c *replier.Config)
}

// newBed starts the deployment and returns when the task files are in force everywhere.
func newBed(cfg bedConfig) (*bed, error) {
	folder, err := os.MkdirTemp("", "clementineyard-bench-")
	if err != nil {
		return nil, err
	}
	d, err := launcher.New(launcher.Config{
		Folder: folder, Binary: "bin/clementineyard-entry", Domains: cfg.domains, Policy: cfg.policy,
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &bed{Deployment: d, journal: &replier.Journal{}, stop: stop}
	if err := b.start(ctx, cfg); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *bed) start(ctx context.Context, cfg bedConfig) error {
	if err := b.StartAll(); err != nil {
		return err
	}
	var entries []generator.Entry
	for _, v := range b.VMs {
		entries = append(entries, generator.Entry{Address: v.Settings.Listen.Callers, FailureDomain: v.FailureDomain})
	}
	b.client = generator.NewClient(entries)
	for i := range cfg.servers {
		b.startServer(ctx, i, cfg)
	}
	if err := b.publish(); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

func (b *bed) startServer(ctx context.Context, i int, cfg bedConfig) {
	domain := cfg.domains[i%len(cfg.domains)].Name
	c := replier.Config{
		Name: fmt.Sprintf("server-%d", i), Address: "127.0.0.1:0", FailureDomain: domain,
		Services: []string{"bench", "mixed"}, Slots: slotsEach, Connections: connectionsEach,
	}
	for _, v := range b.VMs {
		if v.FailureDomain == domain {
			c.EntryVMs = append(c.EntryVMs, v.Settings.Listen.Servers)
		}
	}
	if cfg.adjust != nil {
		cfg.adjust(i, &c)
	}
	s := replier.New(c, b.journal)
	b.servers = append(b.servers, s)
	go func() { _ = s.Run(ctx) }()
}

// publish repeats the change on top of the version in force until every process has it.
func (b *bed) publish() error {
	deadline := time.Now().Add(inForceWithin)
	for n := 0; time.Now().Before(deadline); n++ {
		cur, err := b.configuration(b.VMs[0])
		if err != nil {
			return err
		}
		ch := listener.ChangeRequest{ID: fmt.Sprintf("bench-files-%d", n), Author: "bench", BaseVersion: cur.Version}
		for service, content := range taskFiles {
			ch.Files = append(ch.Files, listener.FileChange{Service: service, Content: json.RawMessage(content)})
		}
		a, err := b.propose(b.VMs[0], ch)
		for again := 0; again < 10; again++ {
			if err == nil && a.Verdict == "accepted" && b.inForce(a.Version) {
				return nil
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return eris.Errorf("task files are not in force after %s", inForceWithin)
}

func (b *bed) inForce(version uint64) bool {
	for _, v := range b.VMs {
		if c, err := b.configuration(v); err != nil || c.Version < version {
			return false
		}
	}
	return true
}

func (b *bed) propose(v *launcher.VM, ch listener.ChangeRequest) (a listener.ChangeAnswer, err error) {
	body, err := json.Marshal(ch)
	if err != nil {
		return a, err
	}
	return a, b.operate(v, http.MethodPost, "/v1/changes", body, &a)
}

func (b *bed) configuration(v *launcher.VM) (c listener.ConfigurationAnswer, err error) {
	return c, b.operate(v, http.MethodGet, "/v1/configuration", nil, &c)
}

// owner returns the entry process that owns the failure domain of v, or v itself when none is known.
func (b *bed) owner(v *launcher.VM) *launcher.VM {
	var s struct {
		Owner string `json:"owner"`
	}
	if b.operate(v, http.MethodGet, "/v1/status", nil, &s) == nil {
		for _, o := range b.VMs {
			if o.Name == s.Owner {
				return o
			}
		}
	}
	return v
}

// operate calls the operators' listener with the token and decodes the answer, whatever its status.
func (b *bed) operate(v *launcher.VM, method, path string, body []byte, out any) error {
	req, err := http.NewRequest(method, "http://"+v.Settings.Listen.Operators+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+b.Token)
	c := http.Client{Timeout: operatorTimeout}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}

func (b *bed) close() {
	b.stop()
	b.KillAll()
	_ = os.RemoveAll(b.Folder)
}
