package configurer

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"clementineyard/internal/auditor"
	"clementineyard/internal/parser"
	"clementineyard/internal/storer"
	"clementineyard/wire"
)

const (
	ringSize  = 1024
	tickEvery = 20 * time.Millisecond
	// groupSize bounds the events whose outputs share one sync.
	groupSize = 64
)

// Config constructs a Configurer.
type Config struct {
	Name, FailureDomain string
	EntryVMs            []parser.EntryVM
	Voters              []string
	// Store and State belong to a voter's data folder; both are nil on other VMs.
	Store           *storer.Storer
	State           *storer.State
	ElectionTimeout time.Duration
	Seed            uint64
	Now             func() time.Time
	// Send passes a message to a peer's configurer; Call also waits for the reply.
	Send func(peer string, e *wire.Envelope) bool
	Call func(peer string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error))
	// Connected reports whether a peer can be reached by Send now.
	Connected func(peer string) bool
	// Apply runs on the configurer's thread for each version that comes into force.
	Apply func(*Configuration)
	Audit *auditor.Auditor
	Log   *slog.Logger
}

// Status is what the status page shows of the configuration on this VM.
type Status struct {
	// Role is leader, voter, learner or subscriber.
	Role   string
	Leader string
	Term   uint64
	// Majority is true while this VM hears, directly or through its source, a leader with a majority.
	Majority bool
	// HeardAt is when that was confirmed last; zero when never.
	HeardAt time.Time
	// Source is the VM whose updates this VM subscribes to; empty on a voter.
	Source string
}

// Configurer owns the configuration. Its exported methods are safe for concurrent use.
type Configurer struct {
	cfg     Config
	ring    chan func()
	current atomic.Pointer[Configuration]
	status  atomic.Pointer[Status]
	// accepted is the audit trail of the versions held; the slice is only appended to or cut at its start.
	accepted atomic.Pointer[[]*wire.AuditRecord]
	ready    atomic.Bool

	// The rest belongs to the thread.

	// held is the newest version known. It comes into force when this VM is ready.
	held      *Configuration
	audit     []*wire.AuditRecord
	recent    []*wire.ConfigUpdate
	voter     *voter
	source    source
	readiness readiness
	// subscribers are the VMs that this VM sends updates to.
	subscribers map[string]*subscriber
	proposals   []*proposal
	started     time.Time
	caughtUp    bool
	// running is true once Apply may be called.
	running bool
}

// New returns a Configurer; Run starts it. A voter's synced configuration is in force at once.
func New(cfg Config) *Configurer {
	empty := &Configuration{Services: map[string]*parser.TaskFile{}, Files: map[string][]byte{}}
	c := &Configurer{cfg: cfg, ring: make(chan func(), ringSize), held: empty, subscribers: map[string]*subscriber{}}
	c.current.Store(&Configuration{})
	c.accepted.Store(&c.audit)
	c.source, c.started = newSource(cfg), cfg.Now()
	c.readiness = readiness{told: map[string]uint64{}}
	c.ready.Store(len(cfg.Voters) == 0 || cfg.State != nil && !cfg.State.Fresh)
	if cfg.Store != nil {
		c.voter = newVoter(c)
		c.voter.restore()
	}
	c.updateStatus(cfg.Now())
	return c
}

// Run handles the ring until the context ends.
func (c *Configurer) Run(ctx context.Context) {
	c.running = true
	if cur := c.Current(); cur.Version > 0 {
		c.cfg.Apply(cur)
	}
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.tick(c.cfg.Now())
		case f := <-c.ring:
			f()
		}
		c.drain()
		c.flush()
		c.updateStatus(c.cfg.Now())
	}
}

// drain handles what else waits, so that one sync covers it.
func (c *Configurer) drain() {
	for range groupSize {
		select {
		case f := <-c.ring:
			f()
		default:
			return
		}
	}
}

func (c *Configurer) flush() {
	if c.voter != nil && !c.voter.flush() {
		c.cfg.Log.Error("Voter stops: its data folder cannot be written.")
		c.voter.end()
		c.voter = nil
	}
}

func (c *Configurer) tick(now time.Time) {
	if c.voter != nil {
		c.voter.tick(now)
	}
	c.dropSilent(now)
	c.subscribe(now)
	c.retryProposals(now)
}

// Current returns the configuration in force; its version is 0 before the first.
func (c *Configurer) Current() *Configuration { return c.current.Load() }

// Ready reports whether the version in force is known not to be older than one that was in force here before.
func (c *Configurer) Ready() bool { return c.ready.Load() }

// Status describes this VM's part in the configuration.
func (c *Configurer) Status() Status { return *c.status.Load() }

// Audit returns the accepted changes known here, oldest first. The caller must not change them.
func (c *Configurer) Audit() []*wire.AuditRecord { return *c.accepted.Load() }

// Handle takes a message of a peer's configurer.
func (c *Configurer) Handle(from string, e *wire.Envelope, reply func(*wire.Envelope)) {
	switch b := e.Body.(type) {
	case *wire.Envelope_ConfigMessage:
		c.put(func() {
			if c.voter != nil && b.ConfigMessage.From == from {
				c.voter.step(c.cfg.Now(), b.ConfigMessage)
			}
		})
	case *wire.Envelope_ConfigSubscription:
		c.put(func() { c.serve(from, b.ConfigSubscription.HaveVersion) })
	case *wire.Envelope_ConfigUpdate:
		c.put(func() { c.updated(from, b.ConfigUpdate) })
	case *wire.Envelope_Change:
		c.put(func() { c.forwarded(from, b.Change, reply) })
	}
}

// HandOver passes the leadership to another voter before a planned stop. It returns at once.
func (c *Configurer) HandOver() {
	c.put(func() {
		if c.voter != nil {
			c.voter.transfer(c.cfg.Now())
		}
	})
}

// put reports false when the ring is full; senders repeat their messages.
func (c *Configurer) put(f func()) bool {
	select {
	case c.ring <- f:
		return true
	default:
		return false
	}
}
