package coordinator

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/replicator"
	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// open opens the data folder and starts the replicator from its state. After a failure it is tried again later; the
// process keeps running, because reports and watches need no disk.
func (c *Coordinator) open(now time.Time) {
	c.reopenAt = now.Add(reopenInterval)
	if c.cfg.MayBootstrap {
		if err := storer.Initialise(c.cfg.DataFolder); err != nil && !errors.Is(err, storer.ErrInitialised) {
			c.cfg.Log.Error("Voter could not initialise its data folder.", "folder", c.cfg.DataFolder, "error", err)
			return
		}
	}
	store, st, err := storer.Open(c.cfg.DataFolder, c.cfg.Log)
	if err != nil {
		c.cfg.Log.Error("Voter could not open its data folder.", "folder", c.cfg.DataFolder, "error", err)
		return
	}
	c.store = store
	c.replica = replicator.New(replicator.Config{
		Name: c.cfg.Name, Voters: c.cfg.Founders, ElectionTimeout: c.cfg.ElectionTimeout, Seed: c.cfg.Incarnation,
		TargetVoters: c.cfg.TargetVoters, ReplaceAfter: c.cfg.ReplaceAfter,
	}, *st)
	c.replica.SetContacts(c.contacts)
	c.restore(st)
	c.cfg.Log.Info("Voter opened its data folder.", "folder", c.cfg.DataFolder, "disk", st.DiskID, "founder", st.Founder, "fresh", st.NewIdentity,
		"term", st.Term, "commit", st.CommitIndex, "version", c.state.config.GetVersion())
}

// restore rebuilds the state from the snapshot and the committed entries on disk. A state older than the current one is
// not used, which matters where the disk is reopened after a failure.
func (c *Coordinator) restore(st *storer.State) {
	c.pendingOutput = replicator.Output{}
	s, applied := newState(st.Snapshot.GetAgreed()), st.Snapshot.GetIndex()
	c.lastSnapshot = applied
	for _, e := range st.Entries {
		if e.Index > applied && e.Index <= st.CommitIndex {
			if _, _, err := s.apply(e.Index, e.GetChange().GetCommand()); err != nil {
				c.cfg.Log.Error("Voter could not decode a stored log entry.", "index", e.Index, "error", err)
			}
			applied = e.Index
		}
	}
	if applied >= c.applied {
		c.state, c.applied = s, applied
	}
}

// suspend stops the replicator until the data folder can be opened again. Votes and entries that were not synced are
// lost, and no message that depends on them has been sent.
func (c *Coordinator) suspend(err error) {
	c.cfg.Log.Error("Voter could not go on; it is suspended until its data folder can be reopened.", "error", err)
	c.close()
	c.replica, c.store = nil, nil
	c.reopenAt = c.cfg.Now().Add(reopenInterval)
	c.failProposals()
}

func (c *Coordinator) close() {
	if c.store == nil {
		return
	}
	if err := c.store.Close(); err != nil {
		c.cfg.Log.Warn("Voter could not close its log file.", "error", err)
	}
}

// addOutput adds an output to the next sync. An output with a snapshot gets a sync of its own.
func (c *Coordinator) addOutput(out replicator.Output) {
	if out.Snapshot != nil {
		c.sync()
		c.pendingOutput = out
		c.sync()
		return
	}
	c.pendingOutput.Merge(out)
}

// sync makes the pending output durable, then sends its messages, then applies its committed entries.
func (c *Coordinator) sync() {
	if c.replica == nil {
		return
	}
	out := c.pendingOutput
	c.pendingOutput = replicator.Output{}
	if err := c.write(out); err != nil {
		c.suspend(err)
		return
	}
	for _, m := range out.Messages {
		c.cfg.Send(m.To, &wire.Envelope{Body: &wire.Envelope_ConfigMessage{ConfigMessage: m}})
	}
	changed := false
	if out.Snapshot != nil && out.Snapshot.Index > c.applied {
		c.state, c.applied = newState(out.Snapshot.Agreed), out.Snapshot.Index
		c.lastSnapshot, changed = out.Snapshot.Index, true
	}
	for _, e := range out.Committed {
		changed = c.applyEntry(e) || changed
	}
	now := c.cfg.Now()
	if changed {
		c.publish(now)
	}
	if len(c.proposals) > 0 && c.replica.Status(now).Role != replicator.Leader {
		c.failProposals()
	}
	if c.applied >= c.lastSnapshot+snapshotInterval || c.applied > c.lastSnapshot && c.store.NeedsCompaction() {
		c.compact()
	}
}

func (c *Coordinator) write(out replicator.Output) error {
	if out.Snapshot != nil {
		return c.store.Compact(c.replica.DurableState())
	}
	return c.store.Sync(storer.Batch{HardState: out.HardState, Entries: out.Entries, CommitIndex: out.CommitIndex})
}

func (c *Coordinator) compact() {
	agreed := c.state.message()
	snap := &wire.ConfigSnapshot{
		Index: c.applied, Term: c.replica.TermAt(c.applied), Members: c.replica.Members(), Agreed: agreed, Version: agreed.Config.GetVersion(),
	}
	if err := c.store.Compact(c.replica.Compact(snap, retainedEntries)); err != nil {
		c.suspend(err)
		return
	}
	c.lastSnapshot = c.applied
	c.cfg.Log.Info("Voter compacted its log.", "index", c.applied, "entries", len(c.replica.DurableState().Entries), "snapshotBytes", proto.Size(snap))
}

// applyEntry applies a committed entry and answers the proposal that waits for it. changed reports whether the state
// has changed.
func (c *Coordinator) applyEntry(e *wire.ConfigEntry) (changed bool) {
	if e.Index <= c.applied {
		return false
	}
	c.applied = e.Index
	if len(e.Members) > 0 {
		names := make([]string, len(e.Members))
		for i, m := range e.Members {
			names[i] = m.Name
		}
		c.cfg.Log.Info("Voters committed a new membership.", "index", e.Index, "term", e.Term, "voters", names)
	}
	changed, verdict, err := c.state.apply(e.Index, e.GetChange().GetCommand())
	if err != nil {
		c.cfg.Log.Error("Voter could not decode a committed log entry.", "index", e.Index, "error", err)
	}
	if changed {
		c.logChange(e.Index)
	}
	p, ok := c.proposals[e.Index]
	if !ok {
		return changed
	}
	delete(c.proposals, e.Index)
	if p.term != e.Term {
		p.done(&wire.AgreedResult{Verdict: wire.AgreedResult_VERDICT_UNKNOWN})
		return changed
	}
	p.done(&wire.AgreedResult{Verdict: verdict, State: c.state.message()})
	return changed
}

func (c *Coordinator) logChange(index uint64) {
	for cell, g := range c.state.grants {
		if g.Fence == index {
			c.granter.grantCommitted(cell)
			c.cfg.Log.Info("Voters committed the owner of the cell.", "cell", cell, "owner", g.Owner, "incarnation", g.Incarnation, "fence", g.Fence)
			return
		}
	}
	if c.logEvacuation(index) {
		return
	}
	if n := len(c.state.departures); n > 0 && c.state.departures[n-1].Index == index {
		d := c.state.departures[n-1]
		c.cfg.Log.Info("Voters committed the departure of a worker.", "worker", d.Id, "born", d.Born, "gone", d.Gone, "index", index)
		return
	}
	for cell, r := range c.state.rosters {
		if r.Index == index {
			c.cfg.Log.Info("Voters committed the roster of the cell.", "cell", cell, "fence", r.Fence, "workers", len(r.Workers), "index", index)
			return
		}
	}
	c.cfg.Log.Info("Voters committed the configuration.", "version", c.state.config.GetVersion(), "index", index)
}

// failProposals answers every pending proposal with VERDICT_UNKNOWN: another leader may still commit its entry.
func (c *Coordinator) failProposals() {
	for _, p := range c.proposals {
		p.done(&wire.AgreedResult{Verdict: wire.AgreedResult_VERDICT_UNKNOWN})
	}
	c.proposals = map[uint64]proposal{}
}

// handleForwarded proposes a command from another VM, or answers that there is no leader here.
func (c *Coordinator) handleForwarded(cmd *wire.AgreedCommand, done func(*wire.AgreedResult)) {
	answer := done
	// Only a read needs the whole state, which is as large as the configuration.
	switch {
	case isRead(cmd):
	case cmd.Evacuation == nil:
		answer = func(res *wire.AgreedResult) { done(&wire.AgreedResult{Verdict: res.Verdict}) }
	default:
		answer = func(res *wire.AgreedResult) {
			done(&wire.AgreedResult{Verdict: res.Verdict, State: &wire.AgreedState{Index: res.State.GetIndex(), Evacuations: res.State.GetEvacuations()}})
		}
	}
	if !c.propose(c.cfg.Now(), cmd, answer) {
		done(noLeader())
	}
}

func noLeader() *wire.AgreedResult {
	return &wire.AgreedResult{Verdict: wire.AgreedResult_VERDICT_NO_LEADER}
}
