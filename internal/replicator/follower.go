package replicator

import (
	"time"

	"clementineyard/wire"
)

// stepLeader handles an append or a snapshot. Its sender needs no place in the membership known here: only a listed
// voter can have been elected, and the entry that lists it may be in this very message.
func (r *Replicator) stepLeader(now time.Time, m *wire.ConfigMessage) {
	reply := &wire.ConfigMessage{Kind: wire.ConfigMessage_KIND_APPEND_REPLY}
	if m.Term < r.hard.Term {
		r.send(m.From, reply)
		return
	}
	r.follow(m.Term, m.From)
	r.leaderHeardAt = now
	r.resetElection(now)
	if m.Kind == wire.ConfigMessage_KIND_SNAPSHOT {
		r.install(m.Snapshot)
		reply.Kind = wire.ConfigMessage_KIND_SNAPSHOT_REPLY
		reply.Granted, reply.MatchIndex = true, r.log.commit
	} else {
		reply.Granted, reply.MatchIndex, reply.RejectHint = r.accept(m)
	}
	r.role = r.restingRole()
	r.send(m.From, reply)
}

// accept stores the entries of an append if the entry before them matches. match is the last index known to be equal
// to the leader's; hint is where the leader should look for a match instead.
func (r *Replicator) accept(m *wire.ConfigMessage) (ok bool, match, hint uint64) {
	if m.LogIndex < r.log.commit {
		// A late message: all that is committed here is the leader's too.
		return true, r.log.commit, 0
	}
	if r.log.termAt(m.LogIndex) != m.LogTerm {
		return false, 0, r.hint(m.LogIndex)
	}
	for i, e := range m.Entries {
		if r.log.termAt(e.Index) != e.Term {
			r.log.put(m.Entries[i:])
			r.out.Entries = append(r.out.Entries, m.Entries[i:]...)
			break
		}
	}
	match = m.LogIndex + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, match))
	return true, match, 0
}

// hint skips the whole term that conflicts.
func (r *Replicator) hint(prev uint64) uint64 {
	if prev > r.log.last() {
		return r.log.last()
	}
	term := r.log.termAt(prev)
	for prev > r.log.commit && r.log.termAt(prev) == term {
		prev--
	}
	return prev
}

func (r *Replicator) install(s *wire.ConfigSnapshot) {
	if s.GetIndex() <= r.log.commit {
		return
	}
	if r.log.termAt(s.Index) == s.Term {
		r.commitTo(s.Index)
		return
	}
	r.log.reset(s)
	r.out.Snapshot = s
	r.out.Commit = s.Index
}
