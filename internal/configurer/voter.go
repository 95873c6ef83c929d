package configurer

import (
	"slices"
	"time"

	"clementineyard/internal/replicator"
	"clementineyard/internal/storer"
	"clementineyard/wire"
)

const (
	// snapshotInterval and retainedEntries bound the number of entries in the log. The storer and the replicator bound its
	// bytes.
	snapshotInterval = 500
	retainedEntries  = 500
)

// voter runs the replicator and the storer of a VM that the settings list as a voter.
type voter struct {
	c            *Configurer
	replica      *replicator.Replicator
	stateMachine *replicator.StateMachine
	// applied is the index of the last applied entry, lastSnapshot that of the last snapshot.
	applied, lastSnapshot uint64
	pendingOutput         replicator.Output
	// proposals holds the pending proposals of this leader, by log index.
	proposals map[uint64]pendingProposal
	failed    bool
}

type pendingProposal struct {
	term uint64
	done func(*wire.ChangeResult)
}

func newVoter(c *Configurer) *voter {
	st := *c.cfg.State
	return &voter{
		c: c, stateMachine: replicator.NewStateMachine(st.Snapshot), proposals: map[uint64]pendingProposal{}, applied: st.Snapshot.GetIndex(),
		lastSnapshot: st.Snapshot.GetIndex(),
		replica: replicator.New(replicator.Config{
			Name: c.cfg.Name, Voters: c.cfg.Voters, ElectionTimeout: c.cfg.ElectionTimeout, Seed: c.cfg.Seed,
		}, st),
	}
}

// restore applies the committed entries on disk and puts the resulting version into force.
func (v *voter) restore() {
	st := v.c.cfg.State
	for _, e := range st.Entries {
		if e.Index > v.applied && e.Index <= st.CommitIndex {
			if e.Change != nil {
				v.stateMachine.Apply(e.Change)
			}
			v.applied = e.Index
		}
	}
	v.c.cfg.State = nil
	v.applyHistory()
}

func (v *voter) applyHistory() {
	v.c.applyUpdate(&wire.ConfigUpdate{
		Version: v.stateMachine.Version, Whole: true, Files: v.stateMachine.ServiceFiles(), Audit: v.stateMachine.Audit,
		Evacuations: v.stateMachine.Evacuations.Orders(),
	})
}

func (v *voter) tick(now time.Time) { v.addOutput(v.replica.Tick(now)) }

func (v *voter) step(now time.Time, m *wire.ConfigMessage) { v.addOutput(v.replica.Step(now, m)) }

func (v *voter) transfer(now time.Time) {
	out, ok := v.replica.TransferLeadership(now)
	v.addOutput(out)
	v.c.cfg.Log.Info("Voter tried to transfer the leadership before it stops.", "asked", ok)
}

// addOutput adds an output to the next sync. An output with a snapshot gets a sync of its own.
func (v *voter) addOutput(out replicator.Output) {
	if out.Snapshot != nil {
		v.sync()
		v.pendingOutput = out
		v.sync()
		return
	}
	v.pendingOutput.Merge(out)
}

// flush syncs the pending output, and answers the proposals of a leadership that has ended. It returns false when the
// disk has failed.
func (v *voter) flush() bool {
	v.sync()
	if len(v.proposals) > 0 && v.replica.Status(v.c.cfg.Now()).Role != replicator.Leader {
		v.failProposals()
	}
	return !v.failed
}

// failProposals answers every pending proposal with VERDICT_UNKNOWN: another leader may still commit its entry.
func (v *voter) failProposals() {
	for _, p := range v.proposals {
		p.done(&wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_UNKNOWN, Detail: "the leadership ended before the answer"})
	}
	v.proposals = map[uint64]pendingProposal{}
}

func (v *voter) sync() {
	out := v.pendingOutput
	v.pendingOutput = replicator.Output{}
	if v.failed {
		return
	}
	if err := v.store(out); err != nil {
		v.c.cfg.Log.Error("Voter could not write its log.", "error", err)
		v.failed = true
		return
	}
	for _, m := range out.Messages {
		v.c.cfg.Send(m.To, &wire.Envelope{Body: &wire.Envelope_ConfigMessage{ConfigMessage: m}})
	}
	if out.Snapshot != nil && out.Snapshot.Index > v.applied {
		v.stateMachine, v.applied = replicator.NewStateMachine(out.Snapshot), out.Snapshot.Index
		v.lastSnapshot = out.Snapshot.Index
		v.applyHistory()
	}
	for _, e := range out.Committed {
		v.apply(e)
	}
	if v.applied >= v.lastSnapshot+snapshotInterval || v.applied > v.lastSnapshot && v.c.cfg.Store.NeedsCompaction() {
		v.compact()
	}
}

func (v *voter) store(out replicator.Output) error {
	if out.Snapshot != nil {
		return v.c.cfg.Store.Compact(v.replica.DurableState())
	}
	return v.c.cfg.Store.Sync(storer.Batch{HardState: out.HardState, Entries: out.Entries, CommitIndex: out.CommitIndex})
}

func (v *voter) compact() {
	snap := v.stateMachine.Snapshot(v.applied, v.replica.TermAt(v.applied), v.replica.Members())
	if err := v.c.cfg.Store.Compact(v.replica.Compact(snap, retainedEntries)); err != nil {
		v.c.cfg.Log.Error("Voter could not write its snapshot.", "error", err)
		v.failed = true
	}
	v.lastSnapshot = v.applied
}

func (v *voter) apply(e *wire.ConfigEntry) {
	if e.Index <= v.applied {
		return
	}
	v.applied = e.Index
	if len(e.Members) > 0 {
		v.c.cfg.Log.Info("Voters committed a new membership.", "index", e.Index, "voters", len(e.Members))
	}
	res := &wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_UNKNOWN}
	if e.Change != nil {
		r, changed := v.stateMachine.Apply(e.Change)
		res = r
		if changed {
			v.c.applyUpdate(&wire.ConfigUpdate{
				Version: v.stateMachine.Version, Files: e.Change.Files, Audit: v.stateMachine.Audit[len(v.stateMachine.Audit)-1:],
				Evacuations: v.evacuationsAt(v.stateMachine.Version),
			})
		}
	}
	if p, ok := v.proposals[e.Index]; ok {
		delete(v.proposals, e.Index)
		if p.term != e.Term {
			res = &wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_UNKNOWN, Detail: "another leader's entry took its place"}
		}
		p.done(res)
	}
}

// evacuationsAt returns the evacuations that a version of the configuration has begun or ended.
func (v *voter) evacuationsAt(version uint64) []*wire.Evacuation {
	return slices.DeleteFunc(v.stateMachine.Evacuations.Orders(), func(e *wire.Evacuation) bool { return e.Index != version })
}

// propose appends a change to the log. It returns false, and never calls done, when this VM is not the leader.
func (v *voter) propose(now time.Time, ch *wire.Change, done func(*wire.ChangeResult)) bool {
	if v.replica.Status(now).Role != replicator.Leader {
		return false
	}
	if res := v.stateMachine.KnownResult(ch); res != nil {
		done(res)
		return true
	}
	out, index, term, ok := v.replica.Propose(now, ch)
	if ok {
		v.proposals[index] = pendingProposal{term, done}
	}
	v.addOutput(out)
	return ok
}

// confirmed reports whether this VM has a vote, has applied every entry in its log, any of which might be committed, and
// knows of a leader that reaches a majority.
func (v *voter) confirmed(now time.Time) bool {
	s := v.replica.Status(now)
	return s.Current && s.LastIndex == v.applied
}
