package configurer

import (
	"context"
	"sort"
	"sync/atomic"

	"clementineyard/internal/parser"
	"clementineyard/internal/scheduler"
	"clementineyard/wire"
)

const ringSize = 1024

// Configuration is one version of all task files. It is never changed once it is in force.
type Configuration struct {
	Version  uint64
	Services map[string]*parser.TaskFile
	// Files holds the canonical JSON of each task file by service.
	Files map[string][]byte
}

// Task returns the task's description, or nil.
func (c *Configuration) Task(service, task string) *parser.TaskSpec {
	f := c.Services[service]
	if f == nil {
		return nil
	}
	for i := range f.Tasks {
		if f.Tasks[i].Name == task {
			return &f.Tasks[i]
		}
	}
	return nil
}

// Scheduled returns the services as the scheduler needs them, by name.
func (c *Configuration) Scheduled() []scheduler.Service {
	var out []scheduler.Service
	for _, f := range c.Services {
		out = append(out, scheduledService(f))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func scheduledService(f *parser.TaskFile) scheduler.Service {
	s := scheduler.Service{
		Name: f.Service, OnWorkers: f.RunsOn == "workers", MaxQueued: f.MaxQueued, Shares: f.Shares, Quotas: f.Quotas,
		QueueOnOverload: f.Overload == "queue",
	}
	if s.MaxQueued == 0 {
		s.MaxQueued = parser.DefaultMaxQueued
	}
	for _, t := range f.Tasks {
		s.Tasks = append(s.Tasks, scheduler.TaskSpec{
			Name: t.Name, NonIdempotent: t.NonIdempotent, Declared: t.ExpectedRunTime.Duration,
			Ask: scheduler.Resources{
				Millicores: int64(t.Cores * 1000), Memory: int64(t.Memory), Accelerators: int64(t.Accelerators),
			},
		})
	}
	return s
}

// Config constructs a Configurer.
type Config struct {
	Name string
	// Leader is the entry VM that accepts changes.
	Leader string
	Peers  []string
	// Send passes a message to a peer's configurer.
	Send func(peer string, e *wire.Envelope) bool
	// Apply runs on the configurer's thread for each version that comes into force.
	Apply func(*Configuration)
}

// Configurer owns the configuration.
type Configurer struct {
	cfg     Config
	ring    chan func()
	current atomic.Pointer[Configuration]
}

// New returns a Configurer without a configuration; Run starts it.
func New(cfg Config) *Configurer {
	c := &Configurer{cfg: cfg, ring: make(chan func(), ringSize)}
	c.current.Store(&Configuration{})
	return c
}

// Run handles the ring until the context ends.
func (c *Configurer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.ring:
			f()
		}
	}
}

// Current returns the configuration in force; its version is 0 before the first.
func (c *Configurer) Current() *Configuration { return c.current.Load() }

// Propose asks for a change. done is called once, on the configurer's thread, and must not block.
func (c *Configurer) Propose(ch *wire.Change, done func(*wire.ChangeResult)) {
	c.put(func() { done(c.propose(ch)) })
}

// Handle takes a message of a peer's configurer. reply is nil when none is expected.
func (c *Configurer) Handle(_ string, e *wire.Envelope, reply func(*wire.Envelope)) {
	switch b := e.Body.(type) {
	case *wire.Envelope_ConfigUpdate:
		c.put(func() { c.update(b.ConfigUpdate) })
	case *wire.Envelope_Change:
		c.put(func() {
			r := c.propose(b.Change)
			reply(&wire.Envelope{Body: &wire.Envelope_ChangeResult{ChangeResult: r}})
		})
	}
}

func (c *Configurer) put(f func()) {
	select {
	case c.ring <- f:
	default:
	}
}

func (c *Configurer) propose(ch *wire.Change) *wire.ChangeResult {
	cur := c.Current()
	if ch.BaseVersion != cur.Version {
		return &wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_CONFLICT, Version: cur.Version}
	}
	u := &wire.ConfigUpdate{Version: cur.Version + 1, Files: ch.Files}
	c.update(u)
	for _, p := range c.cfg.Peers {
		c.cfg.Send(p, &wire.Envelope{Body: &wire.Envelope_ConfigUpdate{ConfigUpdate: u}})
	}
	return &wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_ACCEPTED, Version: u.Version}
}

func (c *Configurer) update(u *wire.ConfigUpdate) {
	cur := c.Current()
	if u.Version <= cur.Version {
		return
	}
	next := &Configuration{Version: u.Version, Services: map[string]*parser.TaskFile{}, Files: map[string][]byte{}}
	if !u.Whole {
		for k, v := range cur.Files {
			next.Files[k] = v
			next.Services[k] = cur.Services[k]
		}
	}
	for _, f := range u.Files {
		if f.Removed {
			delete(next.Files, f.Service)
			delete(next.Services, f.Service)
			continue
		}
		tf, err := parser.ParseTaskFile(f.Service, f.Content)
		if err != nil {
			continue
		}
		next.Files[f.Service], next.Services[f.Service] = f.Content, tf
	}
	c.current.Store(next)
	c.cfg.Apply(next)
}
