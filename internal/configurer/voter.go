package configurer

import (
	"time"

	"clementineyard/internal/replicator"
	"clementineyard/internal/storer"
	"clementineyard/wire"
)

const (
	// snapshotEvery and entriesKept bound the log: a voter that is at most entriesKept behind needs no snapshot.
	snapshotEvery = 500
	entriesKept   = 500
)

// voter drives the replicator and the storer of a VM that the settings name as a voter.
type voter struct {
	c       *Configurer
	r       *replicator.Replicator
	history *replicator.History
	// applied is the index of the last applied entry, snapshotted that of the last snapshot.
	applied, snapshotted uint64
	out                  replicator.Output
	// waiting holds the proposals of this leader by log index.
	waiting map[uint64]waiter
	failed  bool
}

type waiter struct {
	term uint64
	done func(*wire.ChangeResult)
}

func newVoter(c *Configurer) *voter {
	st := *c.cfg.State
	return &voter{
		c: c, history: replicator.NewHistory(st.Snapshot), waiting: map[uint64]waiter{}, applied: st.Snapshot.GetIndex(),
		snapshotted: st.Snapshot.GetIndex(),
		r: replicator.New(replicator.Config{
			Name: c.cfg.Name, Voters: c.cfg.Voters, ElectionTimeout: c.cfg.ElectionTimeout, Seed: c.cfg.Seed,
		}, st),
	}
}

// restore puts what was synced before the start into force.
func (v *voter) restore() {
	st := v.c.cfg.State
	for _, e := range st.Entries {
		if e.Index > v.applied && e.Index <= st.Commit {
			if e.Change != nil {
				v.history.Apply(e.Change)
			}
			v.applied = e.Index
		}
	}
	v.c.cfg.State = nil
	v.putWhole()
}

func (v *voter) putWhole() {
	v.c.advance(&wire.ConfigUpdate{
		Version: v.history.Version, Whole: true, Files: v.history.ServiceFiles(), Audit: v.history.Audit,
	})
}

func (v *voter) tick(now time.Time) { v.take(v.r.Tick(now)) }

func (v *voter) step(now time.Time, m *wire.ConfigMessage) { v.take(v.r.Step(now, m)) }

func (v *voter) transfer(now time.Time) {
	out, ok := v.r.Transfer(now)
	v.take(out)
	v.c.cfg.Log.Info("Leadership transfer before the stop.", "asked", ok)
}

// take adds an output to the next sync. An output with a snapshot is handled alone.
func (v *voter) take(out replicator.Output) {
	if out.Snapshot != nil {
		v.sync()
		v.out = out
		v.sync()
		return
	}
	v.out.Merge(out)
}

// flush syncs and sends what is pending, and answers the proposals of a leadership that ended. It reports false when
// the disk failed.
func (v *voter) flush() bool {
	v.sync()
	if len(v.waiting) > 0 && v.r.Status(v.c.cfg.Now()).Role != replicator.Leader {
		v.end()
	}
	return !v.failed
}

// end answers every waiting proposal: its entry may be committed by another leader.
func (v *voter) end() {
	for _, w := range v.waiting {
		w.done(&wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_UNKNOWN, Detail: "the leadership ended before the answer"})
	}
	v.waiting = map[uint64]waiter{}
}

func (v *voter) sync() {
	out := v.out
	v.out = replicator.Output{}
	if v.failed {
		return
	}
	if err := v.store(out); err != nil {
		v.c.cfg.Log.Error("Configuration was not stored.", "error", err)
		v.failed = true
		return
	}
	for _, m := range out.Messages {
		v.c.cfg.Send(m.To, &wire.Envelope{Body: &wire.Envelope_ConfigMessage{ConfigMessage: m}})
	}
	if out.Snapshot != nil && out.Snapshot.Index > v.applied {
		v.history, v.applied = replicator.NewHistory(out.Snapshot), out.Snapshot.Index
		v.snapshotted = out.Snapshot.Index
		v.putWhole()
	}
	for _, e := range out.Committed {
		v.apply(e)
	}
	if v.applied >= v.snapshotted+snapshotEvery {
		v.compact()
	}
}

func (v *voter) store(out replicator.Output) error {
	if out.Snapshot != nil {
		return v.c.cfg.Store.Compact(v.r.Stored())
	}
	return v.c.cfg.Store.Sync(storer.Batch{Hard: out.Hard, Entries: out.Entries, Commit: out.Commit})
}

func (v *voter) compact() {
	snap := v.history.Snapshot(v.applied, v.r.TermAt(v.applied), v.r.Members())
	if err := v.c.cfg.Store.Compact(v.r.Compact(snap, entriesKept)); err != nil {
		v.c.cfg.Log.Error("Snapshot was not stored.", "error", err)
		v.failed = true
	}
	v.snapshotted = v.applied
}

func (v *voter) apply(e *wire.ConfigEntry) {
	if e.Index <= v.applied {
		return
	}
	v.applied = e.Index
	if len(e.Members) > 0 {
		v.c.cfg.Log.Info("Voters are agreed.", "index", e.Index, "voters", len(e.Members))
	}
	res := &wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_UNKNOWN}
	if e.Change != nil {
		r, changed := v.history.Apply(e.Change)
		res = r
		if changed {
			v.c.advance(&wire.ConfigUpdate{
				Version: v.history.Version, Files: e.Change.Files, Audit: v.history.Audit[len(v.history.Audit)-1:],
			})
		}
	}
	if w, ok := v.waiting[e.Index]; ok {
		delete(v.waiting, e.Index)
		if w.term != e.Term {
			res = &wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_UNKNOWN, Detail: "another leader's entry took its place"}
		}
		w.done(res)
	}
}

// propose asks the log for a decision. It reports false when this VM does not lead; done is not called then.
func (v *voter) propose(now time.Time, ch *wire.Change, done func(*wire.ChangeResult)) bool {
	if v.r.Status(now).Role != replicator.Leader {
		return false
	}
	if res := v.history.Check(ch); res != nil {
		done(res)
		return true
	}
	out, index, term, ok := v.r.Propose(now, ch)
	if ok {
		v.waiting[index] = waiter{term, done}
	}
	v.take(out)
	return ok
}

// confirmed reports whether this VM knows of no entry that might be committed and is not applied here, and hears a
// leader with a majority.
func (v *voter) confirmed(now time.Time) bool {
	s := v.r.Status(now)
	return s.Role != replicator.Learner && s.Majority && s.Last == v.applied
}
