package coordinator

import (
	"context"
	"log/slog"
	"time"

	"clementineyard/internal/divider"
	"clementineyard/internal/notifier"
	"clementineyard/internal/replicator"
	"clementineyard/internal/storer"
	"clementineyard/wire"
)

const (
	// ringSize bounds what waits for the thread; a full ring drops messages, which their senders repeat.
	ringSize = 4096
	// groupSize bounds what one sync covers.
	groupSize = 256
	// tickEvery is a quarter of the heartbeat of the agreement.
	tickEvery = 25 * time.Millisecond
	// snapshotEvery and entriesKept bound the log. A configuration may reach the body limit of 256 KiB, and the disk of a
	// voter 128 MB.
	snapshotEvery = 100
	entriesKept   = 50
	// reopenEvery is the pause between attempts to use a disk that failed.
	reopenEvery = 500 * time.Millisecond
	// forwardEvery is the pause between attempts to reach the leader.
	forwardEvery = 50 * time.Millisecond
	// forwardWait bounds one forwarded command, so that another leader can be tried within an operator's second.
	forwardWait = 400 * time.Millisecond
)

// Config constructs a Coordinator.
type Config struct {
	// Name is this VM's name among the voters.
	Name        string
	Incarnation uint64
	// Founders are the voters of a new fleet, in the same order everywhere. Found allows this VM to be one of them where
	// its disk is empty.
	Founders []string
	Found    bool
	// Folder is the data folder.
	Folder string
	// Wanted is the number of voters to reach.
	Wanted          int
	ElectionTimeout time.Duration
	// ReplaceAfter is how long a voter may be silent before a caught-up learner takes its place.
	ReplaceAfter time.Duration
	Notifier     *notifier.Notifier
	Send         func(to string, e *wire.Envelope)
	Call         func(to string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error))
	Now          func() time.Time
	Log          *slog.Logger
}

// Coordinator is one voter. Its exported methods are safe for concurrent use.
type Coordinator struct {
	cfg  Config
	ring chan func()

	// The rest belongs to the thread.

	store    *storer.Storer
	r        *replicator.Replicator
	reopenAt time.Time
	out      replicator.Output
	state    *state
	// applied is the index of the last applied entry, snapshotted that of the last snapshot.
	applied, snapshotted uint64
	// waiting holds the commands that this leader has proposed, by log index.
	waiting  map[uint64]waiter
	forwards []*forward
	granter  granter
	contacts []string
	leader   string
}

type waiter struct {
	term uint64
	done func(*wire.AgreedResult)
}

// New returns a Coordinator; Run starts it.
func New(cfg Config) *Coordinator {
	return &Coordinator{cfg: cfg, ring: make(chan func(), ringSize), state: newState(nil), waiting: map[uint64]waiter{}}
}

// Run is the voter's thread. It returns when the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	c.open(c.cfg.Now())
	for {
		select {
		case <-ctx.Done():
			c.close()
			return
		case <-t.C:
			c.tick(c.cfg.Now())
		case f := <-c.ring:
			f()
		}
		for range groupSize {
			select {
			case f := <-c.ring:
				f()
				continue
			default:
			}
			break
		}
		c.sync()
	}
}

// Handle takes a message of another voter. reply answers a forwarded command.
func (c *Coordinator) Handle(from string, e *wire.Envelope, reply func(*wire.Envelope)) {
	switch b := e.Body.(type) {
	case *wire.Envelope_ConfigMessage:
		c.put(func() {
			if c.r != nil && b.ConfigMessage.From == from {
				c.take(c.r.Step(c.cfg.Now(), b.ConfigMessage))
			}
		})
	case *wire.Envelope_AgreedCommand:
		if !c.put(func() {
			c.lead(b.AgreedCommand, func(res *wire.AgreedResult) {
				reply(&wire.Envelope{Body: &wire.Envelope_AgreedResult{AgreedResult: res}})
			})
		}) {
			reply(&wire.Envelope{Body: &wire.Envelope_AgreedResult{AgreedResult: noLeader()}})
		}
	}
}

// Propose asks the voters to agree on a command, and calls done once, at the deadline at the latest. An empty command
// confirms the state: the result holds one that is not older than anything acknowledged before the call.
func (c *Coordinator) Propose(cmd *wire.AgreedCommand, deadline time.Time, done func(*wire.AgreedResult)) {
	if !c.put(func() { c.forward(&forward{cmd: cmd, deadline: deadline, done: done}) }) {
		done(noLeader())
	}
}

// SetContacts names VMs that may be voters, for a VM that has no place in the log yet.
func (c *Coordinator) SetContacts(names []string) {
	c.put(func() {
		c.contacts = names
		if c.r != nil {
			c.r.SetContacts(names)
		}
	})
}

// HandOver passes the leadership to another voter before a planned stop. It returns at once.
func (c *Coordinator) HandOver() {
	c.put(func() {
		if c.r == nil {
			return
		}
		out, ok := c.r.Transfer(c.cfg.Now())
		c.take(out)
		c.cfg.Log.Info("Leadership transfer before the stop.", "asked", ok)
	})
}

func (c *Coordinator) put(f func()) bool {
	select {
	case c.ring <- f:
		return true
	default:
		c.cfg.Log.Warn("Ring of the voter is full; a message was dropped.")
		return false
	}
}

func (c *Coordinator) tick(now time.Time) {
	if c.r == nil {
		if now.Before(c.reopenAt) {
			return
		}
		if c.open(now); c.r == nil {
			return
		}
	}
	c.take(c.r.Tick(now))
	c.retryForwards(now)
	s := c.r.Status(now)
	leads := s.Role == replicator.Leader && c.r.TermAt(c.applied) == s.Term
	if s.Leader != c.leader {
		c.cfg.Log.Info("Leader of the voters changed.", "leader", s.Leader, "before", c.leader, "term", s.Term, "commit", s.Commit)
		c.leader = s.Leader
	}
	for _, g := range c.granter.decide(now, leads, c.state, c.cfg.Notifier.Presences()) {
		cell := divider.Name(g.FailureDomain, g.Cell)
		c.cfg.Log.Info("Grant is proposed.", "cell", cell, "cells", g.Cells, "owner", g.Owner, "incarnation", g.Incarnation,
			"before", c.state.grants[cell].GetOwner(), "index", c.applied, "term", s.Term)
		c.propose(now, &wire.AgreedCommand{Grant: g}, func(*wire.AgreedResult) {})
	}
	c.publish(now)
}

// publish hands the state to the notifier. It is confirmed while this voter hears a leader with a majority and has
// applied all that it knows of.
func (c *Coordinator) publish(now time.Time) {
	s := c.r.Status(now)
	confirmed := s.Role != replicator.Learner && s.Majority && s.Last == c.applied
	c.cfg.Notifier.Publish(c.state.message(), confirmed, s.Role == replicator.Leader, c.voters())
}

// voters names all VMs that are voters or may become one.
func (c *Coordinator) voters() []string {
	seen := map[string]bool{}
	var out []string
	add := func(name string) {
		if !seen[name] {
			seen[name] = true
			out = append(out, name)
		}
	}
	for _, m := range c.r.Members() {
		add(m.Name)
	}
	for _, n := range c.r.Known() {
		add(n)
	}
	add(c.cfg.Name)
	return out
}
