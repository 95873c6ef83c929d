package replicator

import (
	"time"

	"clementineyard/wire"
)

// stepAppend handles an append or a snapshot from a leader. The membership known here need not list the sender: only a
// listed voter can have been elected, and the entry that lists it may be in this very message.
func (r *Replicator) stepAppend(now time.Time, m *wire.ConfigMessage) {
	reply := &wire.ConfigMessage{Kind: wire.ConfigMessage_KIND_APPEND_REPLY}
	if m.Term < r.hardState.Term {
		r.send(m.From, reply)
		return
	}
	r.becomeFollower(m.Term, m.From)
	r.leaderContactAt = now
	r.leaderCommitIndex = max(r.leaderCommitIndex, m.Commit, m.Snapshot.GetIndex())
	r.resetElectionTimer(now)
	if m.Kind == wire.ConfigMessage_KIND_SNAPSHOT {
		r.installSnapshot(m.Snapshot)
		reply.Kind = wire.ConfigMessage_KIND_SNAPSHOT_REPLY
		reply.Granted, reply.MatchIndex = true, r.log.commitIndex
	} else {
		reply.Granted, reply.MatchIndex, reply.RejectHint = r.acceptEntries(m)
	}
	r.role = r.followerOrLearner()
	r.send(m.From, reply)
}

// acceptEntries stores the entries of an append if the entry before them matches the leader's. match is the last index
// known to match the leader's log; where ok is false, hint is the index at which the leader should try next.
func (r *Replicator) acceptEntries(m *wire.ConfigMessage) (ok bool, match, hint uint64) {
	if m.LogIndex < r.log.commitIndex {
		// A delayed message: every entry committed here is in the leader's log too.
		return true, r.log.commitIndex, 0
	}
	if r.log.termAt(m.LogIndex) != m.LogTerm {
		return false, 0, r.conflictHint(m.LogIndex)
	}
	for i, e := range m.Entries {
		if r.log.termAt(e.Index) != e.Term {
			r.log.truncateAndAppend(m.Entries[i:])
			r.output.Entries = append(r.output.Entries, m.Entries[i:]...)
			break
		}
	}
	match = m.LogIndex + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, match))
	return true, match, 0
}

// conflictHint returns the last index before the conflicting term, so that the leader skips that whole term at once.
func (r *Replicator) conflictHint(prev uint64) uint64 {
	if prev > r.log.lastIndex() {
		return r.log.lastIndex()
	}
	term := r.log.termAt(prev)
	for prev > r.log.commitIndex && r.log.termAt(prev) == term {
		prev--
	}
	return prev
}

// installSnapshot replaces the log by a snapshot. Where the log holds the last entry of the snapshot, it only commits up to
// that entry.
func (r *Replicator) installSnapshot(s *wire.ConfigSnapshot) {
	if s.GetIndex() <= r.log.commitIndex {
		return
	}
	if r.log.termAt(s.Index) == s.Term {
		r.commitTo(s.Index)
		return
	}
	r.log.reset(s)
	r.output.Snapshot = s
	r.output.CommitIndex = s.Index
}
