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
	connectionsPerServer = 64
	setUpTimeout         = 10 * time.Second
	// announcementWait lets every server announce itself twice to the entry processes of its failure domain.
	announcementWait = 1500 * time.Millisecond
)

// Config describes a Stage.
type Config struct {
	// Policy is the scheduling policy of the entry processes; empty means the default.
	Policy  string
	Domains []launcher.Domain
	// Servers is the number of stand-in servers. They are assigned to the failure domains in turn.
	Servers  int
	Services []string
	Slots    int
	// Files maps a service to the content of the task file to publish; when it is empty nothing is published.
	Files map[string]string
	// Cores is GOMAXPROCS of the entry processes; when it is empty they use their default.
	Cores string
	// Route is passed to the launcher; see launcher.Config.
	Route func(from, to, target string) (string, error)
	// Adjust changes the configuration of server i before it starts.
	Adjust func(i int, c *replier.Config)
}

// Stage is a running deployment with its stand-in servers.
type Stage struct {
	*launcher.Deployment
	Journal *replier.Journal
	Servers []*replier.Server
	stop    context.CancelFunc
}

// New starts the deployment and returns when the task files are in force on every entry process.
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

// Close stops the servers, kills the entry processes and removes the deployment's folder.
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
			Services: cfg.Services, Slots: cfg.Slots, Connections: connectionsPerServer,
		}
		for _, v := range s.VMs {
			if v.FailureDomain == c.FailureDomain {
				c.EntryVMs = append(c.EntryVMs, v.Settings.Listen.Servers)
			}
		}
		if cfg.Adjust != nil {
			cfg.Adjust(i, &c)
		}
		server := replier.New(c, s.Journal)
		s.Servers = append(s.Servers, server)
		go func() { _ = server.Run(ctx) }()
	}
	if err := s.WaitAllReady(setUpTimeout); err != nil {
		return err
	}
	time.Sleep(announcementWait)
	if len(cfg.Files) == 0 {
		return nil
	}
	return s.publish(cfg.Files)
}

// Client returns a client for the entry processes of one failure domain, or for all of them when failureDomain is
// empty.
func (s *Stage) Client(failureDomain string) *generator.Client {
	var entries []generator.Entry
	for _, v := range s.VMs {
		if failureDomain == "" || v.FailureDomain == failureDomain {
			entries = append(entries, generator.Entry{Address: v.Settings.Listen.Callers, FailureDomain: v.FailureDomain})
		}
	}
	return generator.NewClient(entries)
}

// publish proposes the task files until a change is accepted and in force on every entry process. Each attempt is based
// on the version then in force.
func (s *Stage) publish(files map[string]string) error {
	deadline := time.Now().Add(setUpTimeout)
	for n := 0; time.Now().Before(deadline); n++ {
		change := s.Change(s.VMs[0], fmt.Sprintf("files-%d", n))
		for service, content := range files {
			change.Files = append(change.Files, listener.FileChange{Service: service, Content: json.RawMessage(content)})
		}
		answer := s.Propose(s.VMs[0], change)
		for range 10 {
			lacksVersion := func(v *launcher.VM) bool { return s.Configuration(v).Version < answer.Version }
			if answer.Verdict == Accepted && !slices.ContainsFunc(s.VMs, lacksVersion) {
				return nil
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return eris.Errorf("publish task files: not in force on every entry process after %s", setUpTimeout)
}

// Accepted is the verdict of a change that was accepted.
const Accepted = "accepted"

// Change returns an empty change on top of the version that v has in force.
func (s *Stage) Change(v *launcher.VM, id string) listener.ChangeRequest {
	return listener.ChangeRequest{ID: id, Author: "loader", BaseVersion: s.Configuration(v).Version}
}

// Propose sends a change to an entry process and returns the answer. Its verdict is empty when the process did not
// answer.
func (s *Stage) Propose(v *launcher.VM, ch listener.ChangeRequest) (a listener.ChangeAnswer) {
	_, _ = s.CallOperators(v, http.MethodPost, "/v1/changes", ch, &a)
	return a
}

// Configuration returns the configuration that an entry process has in force, with version 0 when it did not answer.
func (s *Stage) Configuration(v *launcher.VM) (c listener.ConfigurationAnswer) {
	_, _ = s.CallOperators(v, http.MethodGet, "/v1/configuration", nil, &c)
	return c
}
