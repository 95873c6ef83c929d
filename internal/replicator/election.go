package replicator

import (
	"time"

	"clementineyard/wire"
)

// preCampaign asks whether an election could be won, without disturbing a leader that others still hear.
func (r *Replicator) preCampaign(now time.Time) {
	r.follow(r.hard.Term, "")
	r.role = PreCandidate
	r.setElection(now)
	r.hastenFirstElection(now)
	r.votes = map[identity]bool{r.self: true}
	if r.log.majority(r.voted) {
		r.campaign(now, false)
		return
	}
	r.askVotes(wire.ConfigMessage_KIND_PRE_VOTE, r.hard.Term+1, false)
}

// campaign starts an election. forced asks voters to ignore the leader that they hear, since it asked for this.
func (r *Replicator) campaign(now time.Time, forced bool) {
	r.setHard(r.hard.Term+1, r.self.String())
	r.role, r.leader = Candidate, ""
	r.resetElection(now)
	r.votes = map[identity]bool{r.self: true}
	if r.log.majority(r.voted) {
		r.lead(now)
		return
	}
	r.askVotes(wire.ConfigMessage_KIND_VOTE, r.hard.Term, forced)
}

func (r *Replicator) voted(id identity) bool { return r.votes[id] }

func (r *Replicator) askVotes(kind wire.ConfigMessage_Kind, term uint64, forced bool) {
	for _, to := range r.voterNames() {
		m := &wire.ConfigMessage{
			Kind: kind, Term: term, LogIndex: r.log.last(), LogTerm: r.log.termAt(r.log.last()), Granted: forced,
		}
		r.tellCommit(m)
		r.send(to, m)
	}
}

// tellCommit adds the commit index and, as the hint, its term. Without a leader this is how a VM learns that a change
// of the voters is committed; until then it also needs the majority of the former voters, who may be gone.
func (r *Replicator) tellCommit(m *wire.ConfigMessage) {
	m.Commit, m.RejectHint = r.log.commit, r.log.termAt(r.log.commit)
}

// hearCommit takes over a commit index told by tellCommit. An entry of the same index and term is the same entry.
func (r *Replicator) hearCommit(m *wire.ConfigMessage) {
	if m.Commit > r.log.commit && m.Commit <= r.log.last() && r.log.termAt(m.Commit) == m.RejectHint {
		r.commitTo(m.Commit)
		if r.role == Learner {
			r.role = r.restingRole()
		}
	}
}

// voterNames lists the other voters of the effective memberships once each, in their order.
func (r *Replicator) voterNames() []string {
	var out []string
	seen := map[string]bool{r.self.name: true}
	for _, m := range r.log.effective() {
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
		r.introduced(now, from, m.Granted)
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
		r.stepLeader(now, m)
	case wire.ConfigMessage_KIND_APPEND_REPLY, wire.ConfigMessage_KIND_SNAPSHOT_REPLY:
		r.stepReply(now, from, m)
	case wire.ConfigMessage_KIND_TIMEOUT_NOW:
		if m.Term == r.hard.Term && r.leader == from.name && r.log.lists(r.self) {
			r.campaign(now, true)
		}
	}
}

// hearsLeader reports whether a leader was heard within the shortest election time-out; votes are refused then.
func (r *Replicator) hearsLeader(now time.Time) bool {
	return r.role == Leader || r.leader != "" && now.Sub(r.leaderHeardAt) < r.cfg.ElectionTimeout
}

func (r *Replicator) upToDate(m *wire.ConfigMessage) bool {
	last := r.log.last()
	term := r.log.termAt(last)
	return m.LogTerm > term || m.LogTerm == term && m.LogIndex >= last
}

// stepPreVote answers also when the membership known here lists neither side: the entry that lists them may be missing
// here. The candidate counts only the identities that its own membership lists.
func (r *Replicator) stepPreVote(now time.Time, from identity, m *wire.ConfigMessage) {
	r.hearCommit(m)
	granted := m.Term > r.hard.Term && r.upToDate(m) && !r.hearsLeader(now)
	reply := &wire.ConfigMessage{Kind: wire.ConfigMessage_KIND_PRE_VOTE_REPLY, Granted: granted}
	if granted {
		reply.Term = m.Term
	}
	r.tellCommit(reply)
	r.send(from.name, reply)
}

func (r *Replicator) stepPreVoteReply(now time.Time, from identity, m *wire.ConfigMessage) {
	r.hearCommit(m)
	switch {
	case !r.log.lists(from):
	case !m.Granted && m.Term > r.hard.Term:
		r.follow(m.Term, "")
	case m.Granted && r.role == PreCandidate && m.Term == r.hard.Term+1:
		r.votes[from] = true
		if r.log.majority(r.voted) {
			r.campaign(now, false)
		}
	}
}

func (r *Replicator) stepVote(now time.Time, from identity, m *wire.ConfigMessage) {
	if r.hearsLeader(now) && !m.Granted && m.Term > r.hard.Term {
		return
	}
	if m.Term > r.hard.Term {
		r.follow(m.Term, "")
	}
	granted := false
	if m.Term == r.hard.Term && r.upToDate(m) && (r.hard.Vote == "" || r.hard.Vote == from.String()) {
		granted = true
		if r.hard.Vote == "" {
			r.setHard(r.hard.Term, from.String())
		}
		r.resetElection(now)
	}
	r.send(from.name, &wire.ConfigMessage{Kind: wire.ConfigMessage_KIND_VOTE_REPLY, Granted: granted})
}

func (r *Replicator) stepVoteReply(now time.Time, from identity, m *wire.ConfigMessage) {
	switch {
	case !r.log.lists(from):
	case m.Term > r.hard.Term:
		r.follow(m.Term, "")
	case m.Granted && r.role == Candidate && m.Term == r.hard.Term:
		r.votes[from] = true
		if r.log.majority(r.voted) {
			r.lead(now)
		}
	}
}
