package coordinator

import (
	"context"
	"log/slog"
	"time"

	"clementineyard/internal/divider"
	"clementineyard/internal/notifier"
	"clementineyard/internal/recoverer"
	"clementineyard/internal/replicator"
	"clementineyard/internal/storer"
	"clementineyard/wire"
)

const (
	// eventQueueSize bounds the events that wait for the event loop. A full queue drops messages, which their senders
	// repeat.
	eventQueueSize = 4096
	// maxEventsPerSync bounds the events whose outputs share one sync.
	maxEventsPerSync = 256
	// tickInterval is a quarter of the replicator's heartbeat interval.
	tickInterval = 25 * time.Millisecond
	// snapshotInterval and retainedEntries bound the number of entries in the log. The storer and the replicator bound its
	// bytes.
	snapshotInterval = 100
	retainedEntries  = 50
	// reopenInterval is the pause between attempts to reopen the data folder after a disk failure.
	reopenInterval = 500 * time.Millisecond
	// forwardInterval is the pause between attempts to reach the leader.
	forwardInterval = 50 * time.Millisecond
	// forwardTimeout bounds one attempt to forward a command, so that another leader can be tried within the second that
	// an operator waits.
	forwardTimeout = 400 * time.Millisecond
)

// Config holds the parameters of a Coordinator.
type Config struct {
	// Name is this VM's name among the voters.
	Name        string
	Incarnation uint64
	// Founders names the first voters of a new fleet, in the same order on every VM. MayBootstrap allows this VM to be one
	// of them where its disk is empty.
	Founders     []string
	MayBootstrap bool
	DataFolder   string
	// TargetVoters is the target number of voters.
	TargetVoters    int
	ElectionTimeout time.Duration
	// ReplaceAfter is how long a voter may be silent before a caught-up learner takes its place.
	ReplaceAfter time.Duration
	// FailureDomains names the failure domains that the settings state; none where they state none.
	FailureDomains []string
	Notifier       *notifier.Notifier
	Send           func(to string, e *wire.Envelope)
	Call           func(to string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error))
	Now            func() time.Time
	Log            *slog.Logger
}

// Coordinator is one voter. Its exported methods are safe for concurrent use.
type Coordinator struct {
	cfg    Config
	events chan func()

	// The fields below are used by the event loop only.

	store         *storer.Storer
	replica       *replicator.Replicator
	reopenAt      time.Time
	pendingOutput replicator.Output
	state         *state
	// applied is the index of the last applied entry, lastSnapshot that of the last snapshot.
	applied, lastSnapshot uint64
	// proposals holds the commands that this leader has proposed and that are not committed yet, by log index.
	proposals map[uint64]proposal
	forwards  []*forward
	reader    reader
	granter   granter
	contacts  []string
	leader    string
}

type proposal struct {
	term uint64
	done func(*wire.AgreedResult)
}

// New returns a Coordinator; Run starts it.
func New(cfg Config) *Coordinator {
	return &Coordinator{cfg: cfg, events: make(chan func(), eventQueueSize), state: newState(nil), proposals: map[uint64]proposal{}}
}

// Run runs the voter's event loop until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	c.recoverable("opening the data folder", func() { c.open(c.cfg.Now()) })
	for {
		select {
		case <-ctx.Done():
			c.close()
			return
		case <-t.C:
			c.recoverable("a tick", func() { c.tick(c.cfg.Now()) })
		case f := <-c.events:
			c.recoverable("an event", f)
		}
		for range maxEventsPerSync {
			select {
			case f := <-c.events:
				c.recoverable("an event", f)
				continue
			default:
			}
			break
		}
		c.recoverable("a sync", c.sync)
	}
}

// recoverable calls f. After a panic it suspends the voter, and drops the state in memory, which may be half changed.
func (c *Coordinator) recoverable(during string, f func()) {
	if err := recoverer.Call(c.cfg.Log, during, f); err != nil {
		c.state, c.applied, c.pendingOutput = newState(nil), 0, replicator.Output{}
		c.suspend(err)
	}
}

// Handle handles a message from another voter. reply sends the result of a forwarded command.
func (c *Coordinator) Handle(from string, e *wire.Envelope, reply func(*wire.Envelope)) {
	switch b := e.Body.(type) {
	case *wire.Envelope_ConfigMessage:
		if err := replicator.CheckMessage(b.ConfigMessage); err != nil {
			c.cfg.Log.Warn("Voter ignored an invalid message.", "from", from, "error", err)
			return
		}
		c.enqueue(func() {
			if c.replica != nil && b.ConfigMessage.From == from {
				c.addOutput(c.replica.Step(c.cfg.Now(), b.ConfigMessage))
			}
		})
	case *wire.Envelope_AgreedCommand:
		if !c.enqueue(func() {
			c.handleForwarded(b.AgreedCommand, func(res *wire.AgreedResult) {
				reply(&wire.Envelope{Body: &wire.Envelope_AgreedResult{AgreedResult: res}})
			})
		}) {
			reply(&wire.Envelope{Body: &wire.Envelope_AgreedResult{AgreedResult: noLeader()}})
		}
	}
}

// Propose replicates a command among the voters and calls done once, at the deadline at the latest.
func (c *Coordinator) Propose(cmd *wire.AgreedCommand, deadline time.Time, done func(*wire.AgreedResult)) {
	if !c.enqueue(func() { c.forward(&forward{cmd: cmd, deadline: deadline, done: done}) }) {
		done(noLeader())
	}
}

// SetContacts names VMs that may be voters, for a VM that the log does not list yet.
func (c *Coordinator) SetContacts(names []string) {
	c.enqueue(func() {
		c.contacts = names
		if c.replica != nil {
			c.replica.SetContacts(names)
		}
	})
}

// TransferLeadership starts a transfer of the leadership to another voter before a planned stop. It returns at once.
func (c *Coordinator) TransferLeadership() {
	c.enqueue(func() {
		if c.replica == nil {
			return
		}
		out, ok := c.replica.TransferLeadership(c.cfg.Now())
		c.addOutput(out)
		c.cfg.Log.Info("Voter tried to transfer the leadership before it stops.", "asked", ok)
	})
}

func (c *Coordinator) enqueue(f func()) bool {
	select {
	case c.events <- f:
		return true
	default:
		c.cfg.Log.Warn("Voter's event queue is full; it dropped an event.")
		return false
	}
}

func (c *Coordinator) tick(now time.Time) {
	c.retryForwards(now)
	c.confirmReads(now)
	if c.replica == nil {
		if now.Before(c.reopenAt) {
			return
		}
		if c.open(now); c.replica == nil {
			return
		}
	}
	c.addOutput(c.replica.Tick(now))
	s := c.replica.Status(now)
	leads := s.Role == replicator.Leader && c.replica.TermAt(c.applied) == s.Term
	if s.Leader != c.leader {
		c.cfg.Log.Info("Leader of the voters changed.", "leader", s.Leader, "before", c.leader, "term", s.Term, "commit", s.CommitIndex)
		c.leader = s.Leader
	}
	for _, g := range c.granter.decide(now, leads, c.state, c.cfg.Notifier.EntryVMs()) {
		cell := divider.CellName(g.FailureDomain, g.Cell)
		c.cfg.Log.Info("Leader proposes an owner for the cell.", "cell", cell, "cells", g.Cells, "owner", g.Owner, "incarnation", g.Incarnation,
			"before", c.state.grants[cell].GetOwner(), "index", c.applied, "term", s.Term)
		c.propose(now, &wire.AgreedCommand{Grant: g}, func(*wire.AgreedResult) {})
	}
	c.publish(now)
}

// publish hands the state to the notifier. The state is confirmed while this voter knows of a leader that reaches a
// majority and has applied every entry in its log.
func (c *Coordinator) publish(now time.Time) {
	s := c.replica.Status(now)
	confirmed := s.Current && s.LastIndex == c.applied
	c.cfg.Notifier.Publish(c.state.message(), confirmed, s.Role == replicator.Leader, c.voters())
}

// voters returns the names of all VMs that are voters or may become voters, without duplicates.
func (c *Coordinator) voters() []string {
	seen := map[string]bool{}
	var out []string
	add := func(name string) {
		if !seen[name] {
			seen[name] = true
			out = append(out, name)
		}
	}
	for _, m := range c.replica.Members() {
		add(m.Name)
	}
	for _, n := range c.replica.TrackedVMs() {
		add(n)
	}
	add(c.cfg.Name)
	return out
}
