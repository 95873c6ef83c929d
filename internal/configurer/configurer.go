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
	eventQueueSize = 1024
	tickInterval   = 20 * time.Millisecond
	// maxEventsPerSync bounds the events whose outputs share one sync.
	maxEventsPerSync = 64
)

// Config holds the parameters of a Configurer.
type Config struct {
	Name, FailureDomain string
	EntryVMs            []parser.EntryVM
	Voters              []string
	// Store and State are the data folder of a voter and its durable state; both are nil on other VMs.
	Store           *storer.Storer
	State           *storer.State
	ElectionTimeout time.Duration
	Seed            uint64
	Now             func() time.Time
	// Send sends a message to a peer's configurer; it returns false when the message was not sent. Call also passes the
	// reply to done.
	Send func(peer string, e *wire.Envelope) bool
	Call func(peer string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error))
	// Connected reports whether a connection to the peer is open.
	Connected func(peer string) bool
	// Apply is called by the event loop for each version that comes into force.
	Apply func(*Configuration)
	Audit *auditor.Auditor
	Log   *slog.Logger
}

// Status describes this VM's part in the configuration, as the status page shows it.
type Status struct {
	// Role is leader, voter, learner or subscriber.
	Role   string
	Leader string
	Term   uint64
	// MajorityReachable is true while this VM knows, directly or through its source, of a leader that reaches a majority.
	MajorityReachable bool
	// ConfirmedAt is when a leader last contacted this VM, or its source last confirmed its version; zero when never.
	ConfirmedAt time.Time
	// Source is the VM whose updates this VM subscribes to; empty on a voter.
	Source string
}

// Configurer manages the configuration of this VM. Its exported methods are safe for concurrent use.
type Configurer struct {
	cfg     Config
	events  chan func()
	current atomic.Pointer[Configuration]
	status  atomic.Pointer[Status]
	// auditTrail holds the audit records of the known versions; the slice is only appended to or cut at its start.
	auditTrail atomic.Pointer[[]*wire.AuditRecord]
	ready      atomic.Bool

	// The fields below are used by the event loop only.

	// latest is the newest version known here. It comes into force when this VM is ready.
	latest        *Configuration
	audit         []*wire.AuditRecord
	recentUpdates []*wire.ConfigUpdate
	voter         *voter
	source        source
	readiness     readiness
	// subscribers holds the VMs that this VM sends updates to, by name.
	subscribers map[string]*subscriber
	proposals   []*proposal
	startedAt   time.Time
	caughtUp    bool
	// applying is true once Config.Apply may be called.
	applying bool
}

// New returns a Configurer; Run starts it. The configuration in a voter's data folder is in force at once.
func New(cfg Config) *Configurer {
	empty := &Configuration{Services: map[string]*parser.TaskFile{}, Files: map[string][]byte{}}
	c := &Configurer{cfg: cfg, events: make(chan func(), eventQueueSize), latest: empty, subscribers: map[string]*subscriber{}}
	c.current.Store(&Configuration{})
	c.auditTrail.Store(&c.audit)
	c.source, c.startedAt = newSource(cfg), cfg.Now()
	c.readiness = readiness{voterVersions: map[string]uint64{}}
	c.ready.Store(len(cfg.Voters) == 0 || cfg.State != nil && !cfg.State.NewIdentity)
	if cfg.Store != nil {
		c.voter = newVoter(c)
		c.voter.restore()
	}
	c.updateStatus(cfg.Now())
	return c
}

// Run runs the event loop until the context ends.
func (c *Configurer) Run(ctx context.Context) {
	c.applying = true
	if cur := c.Current(); cur.Version > 0 {
		c.cfg.Apply(cur)
	}
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.tick(c.cfg.Now())
		case f := <-c.events:
			f()
		}
		c.drain()
		c.flush()
		c.updateStatus(c.cfg.Now())
	}
}

// drain handles further waiting events, so that one sync covers them.
func (c *Configurer) drain() {
	for range maxEventsPerSync {
		select {
		case f := <-c.events:
			f()
		default:
			return
		}
	}
}

func (c *Configurer) flush() {
	if c.voter != nil && !c.voter.flush() {
		c.cfg.Log.Error("Voter stopped because it could not write its data folder.")
		c.voter.failProposals()
		c.voter = nil
	}
}

func (c *Configurer) tick(now time.Time) {
	if c.voter != nil {
		c.voter.tick(now)
	}
	c.dropSilentSubscribers(now)
	c.subscribe(now)
	c.retryProposals(now)
}

// Current returns the configuration in force; its version is 0 before the first one.
func (c *Configurer) Current() *Configuration { return c.current.Load() }

// Ready reports whether the version in force is known to be no older than any that was in force on this VM before.
func (c *Configurer) Ready() bool { return c.ready.Load() }

// Status returns this VM's part in the configuration, as of the last event.
func (c *Configurer) Status() Status { return *c.status.Load() }

// Audit returns the accepted changes known here, oldest first. The caller must not change them.
func (c *Configurer) Audit() []*wire.AuditRecord { return *c.auditTrail.Load() }

// Handle handles a message from a peer's configurer. reply answers a forwarded change.
func (c *Configurer) Handle(from string, e *wire.Envelope, reply func(*wire.Envelope)) {
	switch b := e.Body.(type) {
	case *wire.Envelope_ConfigMessage:
		c.enqueue(func() {
			if c.voter != nil && b.ConfigMessage.From == from {
				c.voter.step(c.cfg.Now(), b.ConfigMessage)
			}
		})
	case *wire.Envelope_ConfigSubscription:
		c.enqueue(func() { c.handleSubscription(from, b.ConfigSubscription.HaveVersion) })
	case *wire.Envelope_ConfigUpdate:
		c.enqueue(func() { c.handleUpdate(from, b.ConfigUpdate) })
	case *wire.Envelope_Change:
		c.enqueue(func() { c.handleForwarded(from, b.Change, reply) })
	}
}

// TransferLeadership starts a transfer of the leadership to another voter before a planned stop. It returns at once.
func (c *Configurer) TransferLeadership() {
	c.enqueue(func() {
		if c.voter != nil {
			c.voter.transfer(c.cfg.Now())
		}
	})
}

// enqueue returns false when the event queue is full; senders repeat their messages.
func (c *Configurer) enqueue(f func()) bool {
	select {
	case c.events <- f:
		return true
	default:
		return false
	}
}
