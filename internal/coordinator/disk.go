package coordinator

import (
	"errors"
	"time"

	"clementineyard/internal/replicator"
	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// open reads the data folder and takes part from there on. Where the disk fails it is tried again later: the process goes
// on, because reports and watches need no disk.
func (c *Coordinator) open(now time.Time) {
	c.reopenAt = now.Add(reopenEvery)
	if c.cfg.Found {
		if err := storer.Initialise(c.cfg.Folder); err != nil && !errors.Is(err, storer.ErrInitialised) {
			c.cfg.Log.Error("Data folder cannot be initialised.", "folder", c.cfg.Folder, "error", err)
			return
		}
	}
	store, st, err := storer.Open(c.cfg.Folder, c.cfg.Log)
	if err != nil {
		c.cfg.Log.Error("Data folder cannot be opened.", "folder", c.cfg.Folder, "error", err)
		return
	}
	c.store = store
	c.r = replicator.New(replicator.Config{
		Name: c.cfg.Name, Voters: c.cfg.Founders, ElectionTimeout: c.cfg.ElectionTimeout, Seed: c.cfg.Incarnation,
		Wanted: c.cfg.Wanted, ReplaceAfter: c.cfg.ReplaceAfter,
	}, *st)
	c.r.SetContacts(c.contacts)
	c.restore(st)
	c.cfg.Log.Info("Data folder is open.", "folder", c.cfg.Folder, "disk", st.DiskID, "founder", st.Founder, "fresh", st.Fresh,
		"term", st.Term, "commit", st.Commit, "version", c.state.config.GetVersion())
}

// restore puts what was synced before the start into force. The state never goes back, also where the disk was opened
// again after a failure.
func (c *Coordinator) restore(st *storer.State) {
	c.out = replicator.Output{}
	s, applied := newState(st.Snapshot.GetAgreed()), st.Snapshot.GetIndex()
	c.snapshotted = applied
	for _, e := range st.Entries {
		if e.Index > applied && e.Index <= st.Commit {
			if _, err := s.apply(e.Index, e.GetChange().GetCommand()); err != nil {
				c.cfg.Log.Error("Stored entry cannot be read.", "index", e.Index, "error", err)
			}
			applied = e.Index
		}
	}
	if applied >= c.applied {
		c.state, c.applied = s, applied
	}
}

// fail stops taking part until the disk can be opened again. What was promised but not synced is forgotten here, and no
// message that depends on it has been sent.
func (c *Coordinator) fail(err error) {
	c.cfg.Log.Error("Voter cannot store; it takes no part until its data folder can be opened again.", "error", err)
	c.close()
	c.r, c.store = nil, nil
	c.reopenAt = c.cfg.Now().Add(reopenEvery)
	c.endWaiting()
}

func (c *Coordinator) close() {
	if c.store == nil {
		return
	}
	if err := c.store.Close(); err != nil {
		c.cfg.Log.Warn("Log file cannot be closed.", "error", err)
	}
}

// take adds an output to the next sync. An output with a snapshot is handled alone.
func (c *Coordinator) take(out replicator.Output) {
	if out.Snapshot != nil {
		c.sync()
		c.out = out
		c.sync()
		return
	}
	c.out.Merge(out)
}

// sync makes what is pending durable, then sends the messages that depend on it, then applies what is committed.
func (c *Coordinator) sync() {
	if c.r == nil {
		return
	}
	out := c.out
	c.out = replicator.Output{}
	if err := c.write(out); err != nil {
		c.fail(err)
		return
	}
	for _, m := range out.Messages {
		c.cfg.Send(m.To, &wire.Envelope{Body: &wire.Envelope_ConfigMessage{ConfigMessage: m}})
	}
	changed := false
	if out.Snapshot != nil && out.Snapshot.Index > c.applied {
		c.state, c.applied = newState(out.Snapshot.Agreed), out.Snapshot.Index
		c.snapshotted, changed = out.Snapshot.Index, true
	}
	for _, e := range out.Committed {
		changed = c.commit(e) || changed
	}
	now := c.cfg.Now()
	if changed {
		c.publish(now)
	}
	if len(c.waiting) > 0 && c.r.Status(now).Role != replicator.Leader {
		c.endWaiting()
	}
	if c.applied >= c.snapshotted+snapshotEvery {
		c.compact()
	}
}

func (c *Coordinator) write(out replicator.Output) error {
	if out.Snapshot != nil {
		return c.store.Compact(c.r.Stored())
	}
	return c.store.Sync(storer.Batch{Hard: out.Hard, Entries: out.Entries, Commit: out.Commit})
}

func (c *Coordinator) compact() {
	agreed := c.state.message()
	snap := &wire.ConfigSnapshot{
		Index: c.applied, Term: c.r.TermAt(c.applied), Members: c.r.Members(), Agreed: agreed, Version: agreed.Config.GetVersion(),
	}
	if err := c.store.Compact(c.r.Compact(snap, entriesKept)); err != nil {
		c.fail(err)
		return
	}
	c.snapshotted = c.applied
}

// commit applies an entry and answers who waits for it.
func (c *Coordinator) commit(e *wire.ConfigEntry) (changed bool) {
	if e.Index <= c.applied {
		return false
	}
	c.applied = e.Index
	if len(e.Members) > 0 {
		names := make([]string, len(e.Members))
		for i, m := range e.Members {
			names[i] = m.Name
		}
		c.cfg.Log.Info("Voters are agreed.", "index", e.Index, "term", e.Term, "voters", names)
	}
	changed, err := c.state.apply(e.Index, e.GetChange().GetCommand())
	if err != nil {
		c.cfg.Log.Error("Committed entry cannot be read.", "index", e.Index, "error", err)
	}
	if changed {
		c.noteChange(e.Index)
	}
	w, ok := c.waiting[e.Index]
	if !ok {
		return changed
	}
	delete(c.waiting, e.Index)
	if w.term != e.Term {
		w.done(&wire.AgreedResult{Verdict: wire.AgreedResult_VERDICT_UNKNOWN})
		return changed
	}
	w.done(&wire.AgreedResult{Verdict: wire.AgreedResult_VERDICT_COMMITTED, State: c.state.message()})
	return changed
}

func (c *Coordinator) noteChange(index uint64) {
	for cell, g := range c.state.grants {
		if g.Fence == index {
			c.granter.granted(cell)
			c.cfg.Log.Info("Owner is agreed.", "cell", cell, "owner", g.Owner, "incarnation", g.Incarnation, "fence", g.Fence)
			return
		}
	}
	c.cfg.Log.Info("Configuration is agreed.", "version", c.state.config.GetVersion(), "index", index)
}

// endWaiting answers every command that waits: its entry may be committed by another leader.
func (c *Coordinator) endWaiting() {
	for _, w := range c.waiting {
		w.done(&wire.AgreedResult{Verdict: wire.AgreedResult_VERDICT_UNKNOWN})
	}
	c.waiting = map[uint64]waiter{}
}

// lead handles a command if this VM leads.
func (c *Coordinator) lead(cmd *wire.AgreedCommand, done func(*wire.AgreedResult)) {
	if !c.propose(c.cfg.Now(), cmd, done) {
		done(noLeader())
	}
}

func noLeader() *wire.AgreedResult {
	return &wire.AgreedResult{Verdict: wire.AgreedResult_VERDICT_NO_LEADER}
}
