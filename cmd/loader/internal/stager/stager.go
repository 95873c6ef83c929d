package stager

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"clementineyard/cmd/loader/internal/generator"
	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/cmd/loader/internal/replier"
	"clementineyard/internal/listener"
)

const (
	connectionsEach = 64
	inForceWithin   = 10 * time.Second
	// settle lets every server announce itself twice to the entry processes of its failure domain.
	settle = 1500 * time.Millisecond
)

// Config constructs a Stage.
type Config struct {
	Policy  string
	Domains []launcher.Domain
	// Servers is the number of stand-in servers, which go to the failure domains in turn.
	Servers  int
	Services []string
	Slots    int
	// Files are the task files to put in force, by service; without them nothing is published.
	Files map[string]string
	// Cores is the GOMAXPROCS of the entry processes; empty leaves it to them.
	Cores string
	// Route is the launcher's.
	Route func(from, to, target string) (string, error)
	// Adjust changes a server's configuration before it starts.
	Adjust func(i int, c *replier.Config)
}

// Stage is a running deployment with its stand-in servers.
type Stage struct {
	*launcher.Deployment
	Journal *replier.Journal
	Servers []*replier.Server
	stop    context.CancelFunc
}

// New starts the deployment and returns when the task files are in force everywhere.
func New(cfg Config) (*Stage, error) {
	folder, err := os.MkdirTemp("", "clementineyard-")
	if err != nil {
		return nil, err
	}
	d, err := launcher.New(launcher.Config{
		Folder: folder, Binary: "bin/clementineyard-entry", Domains: cfg.Domains, Policy: cfg.Policy, Route: cfg.Route,
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Stage{Deployment: d, Journal: &replier.Journal{}, stop: stop}
	if err := s.start(ctx, cfg); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Close ends everything and removes the files.
func (s *Stage) Close() {
	s.stop()
	s.KillAll()
	_ = os.RemoveAll(s.Folder)
}

func (s *Stage) start(ctx context.Context, cfg Config) error {
	if cfg.Cores != "" {
		if err := os.Setenv("GOMAXPROCS", cfg.Cores); err != nil {
			return err
		}
		defer func() { _ = os.Unsetenv("GOMAXPROCS") }()
	}
	if err := s.StartAll(); err != nil {
		return err
	}
	for i := range cfg.Servers {
		c := replier.Config{
			Name: fmt.Sprintf("server-%d", i), Address: "127.0.0.1:0", FailureDomain: cfg.Domains[i%len(cfg.Domains)].Name,
			Services: cfg.Services, Slots: cfg.Slots, Connections: connectionsEach,
		}
		for _, v := range s.VMs {
			if v.FailureDomain == c.FailureDomain {
				c.EntryVMs = append(c.EntryVMs, v.Settings.Listen.Servers)
			}
		}
		if cfg.Adjust != nil {
			cfg.Adjust(i, &c)
		}
		sv := replier.New(c, s.Journal)
		s.Servers = append(s.Servers, sv)
		go func() { _ = sv.Run(ctx) }()
	}
	if err := s.WaitAllReady(inForceWithin); err != nil {
		return err
	}
	time.Sleep(settle)
	if len(cfg.Files) == 0 {
		return nil
	}
	return s.publish(cfg.Files)
}

// Callers returns a client of the entry processes of one failure domain, or of all when it is empty.
func (s *Stage) Callers(failureDomain string) *generator.Client {
	var entries []generator.Entry
	for _, v := range s.VMs {
		if failureDomain == "" || v.FailureDomain == failureDomain {
			entries = append(entries, generator.Entry{Address: v.Settings.Listen.Callers, FailureDomain: v.FailureDomain})
		}
	}
	return generator.NewClient(entries)
}

// publish repeats the change on top of the version in force until every process has it.
func (s *Stage) publish(files map[string]string) error {
	deadline := time.Now().Add(inForceWithin)
	for n := 0; time.Now().Before(deadline); n++ {
		ch := s.Change(s.VMs[0], fmt.Sprintf("files-%d", n))
		for service, content := range files {
			ch.Files = append(ch.Files, listener.FileChange{Service: service, Content: json.RawMessage(content)})
		}
		a := s.Propose(s.VMs[0], ch)
		for range 10 {
			lags := func(v *launcher.VM) bool { return s.Configuration(v).Version < a.Version }
			if a.Verdict == Accepted && !slices.ContainsFunc(s.VMs, lags) {
				return nil
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return eris.Errorf("task files are not in force after %s", inForceWithin)
}

// Accepted is the verdict of a change that is in force.
const Accepted = "accepted"

// Change returns an empty change on top of the version that v has in force.
func (s *Stage) Change(v *launcher.VM, id string) listener.ChangeRequest {
	return listener.ChangeRequest{ID: id, Author: "loader", BaseVersion: s.Configuration(v).Version}
}

// Propose returns no verdict when the process did not answer.
func (s *Stage) Propose(v *launcher.VM, ch listener.ChangeRequest) (a listener.ChangeAnswer) {
	_, _ = s.Operate(v, http.MethodPost, "/v1/changes", ch, &a)
	return a
}

// Configuration has version 0 when the process did not answer.
func (s *Stage) Configuration(v *launcher.VM) (c listener.ConfigurationAnswer) {
	_, _ = s.Operate(v, http.MethodGet, "/v1/configuration", nil, &c)
	return c
}
