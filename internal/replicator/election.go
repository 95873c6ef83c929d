package replicator

import (
	"time"

	"clementineyard/wire"
)

// startPreVote asks the voters whether they would vote for this VM, without disrupting a leader that they still reach.
func (r *Replicator) startPreVote(now time.Time) {
	r.becomeFollower(r.hardState.Term, "")
	r.role = PreCandidate
	r.setEarlyElectionTimer(now)
	r.hastenFirstElection(now)
	r.votes = map[identity]bool{r.self: true}
	if r.log.hasMajority(r.hasVoteFrom) {
		r.startElection(now, false)
		return
	}
	r.requestVotes(wire.ConfigMessage_KIND_PRE_VOTE, r.hardState.Term+1, false)
}

// startElection makes this VM a candidate in the next term. forced tells the voters to vote although their leader is
// active, because that leader has asked for the transfer.
func (r *Replicator) startElection(now time.Time, forced bool) {
	r.setHardState(r.hardState.Term+1, r.self.String())
	r.role, r.leader = Candidate, ""
	r.resetElectionTimer(now)
	r.votes = map[identity]bool{r.self: true}
	if r.log.hasMajority(r.hasVoteFrom) {
		r.becomeLeader(now)
		return
	}
	r.requestVotes(wire.ConfigMessage_KIND_VOTE, r.hardState.Term, forced)
}

func (r *Replicator) hasVoteFrom(id identity) bool { return r.votes[id] }

func (r *Replicator) requestVotes(kind wire.ConfigMessage_Kind, term uint64, forced bool) {
	for _, to := range r.voterNames() {
		m := &wire.ConfigMessage{
			Kind: kind, Term: term, LogIndex: r.log.lastIndex(), LogTerm: r.log.termAt(r.log.lastIndex()), Granted: forced,
		}
		r.attachCommit(m)
		r.send(to, m)
	}
}

// attachCommit adds the commit index to m and, in the field RejectHint, the term of that entry. Without a leader this is
// how a VM learns that a membership change is committed; until then it also needs a majority of the former voters, some
// of which may no longer exist.
func (r *Replicator) attachCommit(m *wire.ConfigMessage) {
	m.Commit, m.RejectHint = r.log.commitIndex, r.log.termAt(r.log.commitIndex)
}

// adoptCommit commits up to the index set by attachCommit if the log holds that entry: an entry of the same index and
// term is the same entry.
func (r *Replicator) adoptCommit(m *wire.ConfigMessage) {
	if m.Commit > r.log.commitIndex && m.Commit <= r.log.lastIndex() && r.log.termAt(m.Commit) == m.RejectHint {
		r.commitTo(m.Commit)
		if r.role == Learner {
			r.role = r.followerOrLearner()
		}
	}
}

// voterNames returns the names of the other voters of the effective memberships, each once and in their order.
func (r *Replicator) voterNames() []string {
	var out []string
	seen := map[string]bool{r.self.name: true}
	for _, m := range r.log.effectiveMemberships() {
		for _, v := range m.members {
			if v.Voter && !seen[v.Name] {
				seen[v.Name] = true
				out = append(out, v.Name)
			}
		}
	}
	return out
}

func (r *Replicator) step(now time.Time, from identity, m *wire.ConfigMessage) {
	if isIntroduction(m) {
		r.stepIntroduction(now, from, m)
		return
	}
	switch m.Kind {
	case wire.ConfigMessage_KIND_PRE_VOTE:
		r.stepPreVote(now, from, m)
	case wire.ConfigMessage_KIND_PRE_VOTE_REPLY:
		r.stepPreVoteReply(now, from, m)
	case wire.ConfigMessage_KIND_VOTE:
		r.stepVote(now, from, m)
	case wire.ConfigMessage_KIND_VOTE_REPLY:
		r.stepVoteReply(now, from, m)
	case wire.ConfigMessage_KIND_APPEND, wire.ConfigMessage_KIND_SNAPSHOT:
		r.stepAppend(now, m)
	case wire.ConfigMessage_KIND_APPEND_REPLY, wire.ConfigMessage_KIND_SNAPSHOT_REPLY:
		r.stepAppendReply(now, from, m)
	case wire.ConfigMessage_KIND_TIMEOUT_NOW:
		if m.Term == r.hardState.Term && r.leader == from.name && r.log.hasVoter(r.self) {
			r.startElection(now, true)
		}
	}
}

// leaderActive reports whether this VM leads or a leader's message arrived within the minimum election timeout; votes
// are refused then.
func (r *Replicator) leaderActive(now time.Time) bool {
	return r.role == Leader || r.leader != "" && now.Sub(r.leaderContactAt) < r.cfg.ElectionTimeout
}

func (r *Replicator) candidateUpToDate(m *wire.ConfigMessage) bool {
	last := r.log.lastIndex()
	term := r.log.termAt(last)
	return m.LogTerm > term || m.LogTerm == term && m.LogIndex >= last
}

// stepPreVote handles a pre-vote request. It answers even where the membership known here lists neither the candidate
// nor this VM, because the entry that lists them may be missing here. The candidate counts only the identities that its
// own membership lists.
func (r *Replicator) stepPreVote(now time.Time, from identity, m *wire.ConfigMessage) {
	r.adoptCommit(m)
	granted := m.Term > r.hardState.Term && r.candidateUpToDate(m) && !r.leaderActive(now)
	reply := &wire.ConfigMessage{Kind: wire.ConfigMessage_KIND_PRE_VOTE_REPLY, Granted: granted}
	if granted {
		reply.Term = m.Term
	}
	r.attachCommit(reply)
	r.send(from.name, reply)
}

func (r *Replicator) stepPreVoteReply(now time.Time, from identity, m *wire.ConfigMessage) {
	r.adoptCommit(m)
	switch {
	case !r.log.hasVoter(from):
	case !m.Granted && m.Term > r.hardState.Term:
		r.becomeFollower(m.Term, "")
	case m.Granted && r.role == PreCandidate && m.Term == r.hardState.Term+1:
		r.votes[from] = true
		if r.log.hasMajority(r.hasVoteFrom) {
			r.startElection(now, false)
		}
	}
}

// stepVote handles a vote request. It ignores a later term while a leader is active, unless that leader has asked for a
// transfer, in which case m.Granted is true.
func (r *Replicator) stepVote(now time.Time, from identity, m *wire.ConfigMessage) {
	if r.leaderActive(now) && !m.Granted && m.Term > r.hardState.Term {
		return
	}
	if m.Term > r.hardState.Term {
		r.becomeFollower(m.Term, "")
	}
	granted := false
	if m.Term == r.hardState.Term && r.candidateUpToDate(m) && (r.hardState.Vote == "" || r.hardState.Vote == from.String()) {
		granted = true
		if r.hardState.Vote == "" {
			r.setHardState(r.hardState.Term, from.String())
		}
		r.resetElectionTimer(now)
	}
	r.send(from.name, &wire.ConfigMessage{Kind: wire.ConfigMessage_KIND_VOTE_REPLY, Granted: granted})
}

func (r *Replicator) stepVoteReply(now time.Time, from identity, m *wire.ConfigMessage) {
	switch {
	case !r.log.hasVoter(from):
	case m.Term > r.hardState.Term:
		r.becomeFollower(m.Term, "")
	case m.Granted && r.role == Candidate && m.Term == r.hardState.Term:
		r.votes[from] = true
		if r.log.hasMajority(r.hasVoteFrom) {
			r.becomeLeader(now)
		}
	}
}
