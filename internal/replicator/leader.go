package replicator

import (
	"slices"
	"time"

	"clementineyard/wire"
)

// becomeLeader makes this VM the leader. It appends an entry of the new term, because only entries of the leader's own
// term commit by counting replicas.
func (r *Replicator) becomeLeader(now time.Time) {
	r.role, r.leader, r.votes = Leader, r.self.name, nil
	r.progress, r.leaderSince = map[identity]*progress{}, now
	first := &wire.ConfigEntry{}
	if r.log.lastIndex() == 0 {
		// Putting the first membership into the log lets learners receive it as an entry.
		first.Members = r.log.memberships[0].members
	}
	r.appendEntry(now, first)
}

func (r *Replicator) appendEntry(now time.Time, e *wire.ConfigEntry) {
	e.Index, e.Term = r.log.lastIndex()+1, r.hardState.Term
	r.log.add(e)
	r.output.Entries = append(r.output.Entries, e)
	r.trackVoters(now)
	r.advanceCommit(now)
	r.broadcastAppend(now, false)
}

// trackVoters tracks the progress of every listed voter.
func (r *Replicator) trackVoters(now time.Time) {
	for _, m := range r.log.effectiveMemberships() {
		for _, v := range m.members {
			if v.Voter && v.Name != r.self.name {
				r.track(now, identity{v.Name, v.DiskId})
			}
		}
	}
}

// track returns the progress record of an identity, and creates it where there is none.
func (r *Replicator) track(now time.Time, id identity) *progress {
	p := r.progress[id]
	if p == nil {
		p = &progress{id: id, nextIndex: r.log.lastIndex() + 1, lastContactAt: now}
		r.progress[id] = p
	}
	return p
}

// addLearner starts to replicate the log to an identity that is not a voter. It replaces an earlier learner of the same
// VM name.
func (r *Replicator) addLearner(now time.Time, id identity) {
	eligible := r.cfg.TargetVoters > 0
	for _, v := range r.cfg.Voters {
		eligible = eligible || v == id.name
	}
	if !eligible || r.progress[id] != nil {
		return
	}
	for old := range r.progress {
		if old.name == id.name && !r.log.hasVoter(old) {
			delete(r.progress, old)
		}
	}
	r.sendAppend(now, r.track(now, id))
}

func (r *Replicator) tickLeader(now time.Time) {
	if now.Sub(r.leaderSince) >= r.cfg.ElectionTimeout && !r.majorityActive(now) {
		// Check quorum: the other voters may already have elected another leader.
		r.becomeFollower(r.hardState.Term, "")
		r.resetElectionTimer(now)
		return
	}
	if now.Before(r.nextHeartbeatAt) {
		return
	}
	r.nextHeartbeatAt = now.Add(r.heartbeatInterval())
	r.broadcastAppend(now, true)
}

// majorityActive reports whether a majority has answered within the minimum election timeout.
func (r *Replicator) majorityActive(now time.Time) bool {
	return r.log.hasMajority(func(id identity) bool {
		if id == r.self {
			return true
		}
		p := r.progress[id]
		return p != nil && now.Sub(p.lastContactAt) < r.cfg.ElectionTimeout
	})
}

// broadcastAppend sends an append to every voter and learner whose resend time has come. Where heartbeat is true, the
// others get one too, except while a large message is on its way to them.
func (r *Replicator) broadcastAppend(now time.Time, heartbeat bool) {
	for _, p := range r.sortedProgress() {
		if heartbeat && !p.largePending || !now.Before(p.resendAt) {
			r.sendAppend(now, p)
		}
	}
}

// sortedProgress returns the progress records in the order of the settings and then of their names, so that equal
// inputs give equal outputs.
func (r *Replicator) sortedProgress() []*progress {
	var out []*progress
	for _, name := range r.progressNames() {
		var listed, other *progress
		for id, p := range r.progress {
			switch {
			case id.name != name:
			case r.log.hasVoter(id):
				// A name has two listed identities only while a replacement is not committed.
				if listed == nil || p.lastContactAt.After(listed.lastContactAt) || p.lastContactAt.Equal(listed.lastContactAt) && id.disk > listed.id.disk {
					listed = p
				}
			default:
				other = p
			}
		}
		for _, p := range []*progress{listed, other} {
			if p != nil {
				out = append(out, p)
			}
		}
	}
	return out
}

func (r *Replicator) progressNames() []string {
	names := r.cfg.Voters
	if r.cfg.TargetVoters == 0 {
		return names
	}
	var others []string
	for id := range r.progress {
		if !slices.Contains(names, id.name) && !slices.Contains(others, id.name) {
			others = append(others, id.name)
		}
	}
	slices.Sort(others)
	return append(slices.Clone(names), others...)
}

// sendAppend sends the entries from p.nextIndex on that one message can carry, or the snapshot where the log no longer
// holds the entry before them.
func (r *Replicator) sendAppend(now time.Time, p *progress) {
	p.resendAt, p.sentCommitIndex = now.Add(r.heartbeatInterval()), r.log.commitIndex
	prev := p.nextIndex - 1
	if p.largePending = prev < r.log.baseIndex; p.largePending {
		p.resendAt = now.Add(r.cfg.ElectionTimeout)
		r.send(p.id.name, &wire.ConfigMessage{Kind: wire.ConfigMessage_KIND_SNAPSHOT, Snapshot: r.log.snapshot})
		return
	}
	to, size := r.log.entriesWithin(prev, maxEntriesPerMessage, maxAppendBytes)
	if p.largePending = size >= largeAppendBytes; p.largePending {
		p.resendAt = now.Add(r.cfg.ElectionTimeout / 2)
	}
	r.send(p.id.name, &wire.ConfigMessage{
		Kind: wire.ConfigMessage_KIND_APPEND, LogIndex: prev, LogTerm: r.log.termAt(prev),
		Entries: r.log.slice(prev, to), Commit: r.log.commitIndex,
	})
}

// stepAppendReply handles the reply of a voter or learner to an append or a snapshot.
func (r *Replicator) stepAppendReply(now time.Time, from identity, m *wire.ConfigMessage) {
	if m.Term > r.hardState.Term {
		// A learner gets a later term only from a candidate that lists it, so this leadership has ended.
		r.becomeFollower(m.Term, "")
		return
	}
	if r.role != Leader || m.Term < r.hardState.Term {
		return
	}
	p := r.progress[from]
	if p == nil {
		r.addLearner(now, from)
		return
	}
	p.lastContactAt = now
	if !m.Granted {
		p.nextIndex = min(m.RejectHint, r.log.lastIndex()) + 1
		if p.nextIndex <= p.matchIndex {
			p.nextIndex = p.matchIndex + 1
		}
		r.sendAppend(now, p)
		return
	}
	p.matchIndex = max(p.matchIndex, min(m.MatchIndex, r.log.lastIndex()))
	p.nextIndex = p.matchIndex + 1
	p.resendAt, p.largePending = now, false
	r.advanceCommit(now)
	r.promoteLearner(now, p)
	if p.matchIndex < r.log.lastIndex() || p.sentCommitIndex < r.log.commitIndex {
		r.sendAppend(now, p)
	}
}

// advanceCommit commits the entries that a majority holds. Entries of earlier terms commit with the first entry of this
// term.
func (r *Replicator) advanceCommit(now time.Time) {
	advanced := false
	for n := r.log.lastIndex(); n > r.log.commitIndex && r.log.termAt(n) == r.hardState.Term; n-- {
		holds := func(id identity) bool { return id == r.self || r.progress[id] != nil && r.progress[id].matchIndex >= n }
		if r.log.hasMajority(holds) {
			r.commitTo(n)
			advanced = true
			break
		}
	}
	if advanced {
		// Followers get the new commit index at once, or after their next reply: only then does the version take effect
		// on their VMs.
		r.broadcastAppend(now, false)
	}
}

// promoteLearner proposes a membership in which a learner that has caught up is a voter, in place of the voter that
// voterToReplace names. Only one membership change is in progress at a time.
func (r *Replicator) promoteLearner(now time.Time, p *progress) {
	ms := r.log.memberships
	if r.log.hasVoter(p.id) || p.matchIndex < r.log.commitIndex || r.log.termAt(r.log.commitIndex) != r.hardState.Term ||
		ms[len(ms)-1].index > r.log.commitIndex {
		return
	}
	replaced, ok := r.voterToReplace(now, ms[len(ms)-1].members, p.id.name)
	if !ok {
		return
	}
	e := &wire.ConfigEntry{}
	for _, v := range ms[len(ms)-1].members {
		if v.Name != replaced {
			e.Members = append(e.Members, v)
		}
	}
	e.Members = append(e.Members, &wire.ConfigMember{Name: p.id.name, DiskId: p.id.disk, Voter: true})
	r.appendEntry(now, e)
}

// voterToReplace returns the name of the voter that a learner replaces: the former identity of the same VM; "" while
// there are fewer voters than wanted; otherwise the voter that has been silent for longest, at least for ReplaceAfter.
// ok is false where the learner must stay a learner.
func (r *Replicator) voterToReplace(now time.Time, members []*wire.ConfigMember, learner string) (replaced string, ok bool) {
	silentSince := now
	for _, v := range members {
		if v.Name == learner {
			return learner, true
		}
		p := r.progress[identity{v.Name, v.DiskId}]
		if v.Name == r.self.name || p == nil || now.Sub(p.lastContactAt) < r.cfg.ReplaceAfter {
			continue
		}
		if p.lastContactAt.Before(silentSince) {
			replaced, silentSince = v.Name, p.lastContactAt
		}
	}
	switch {
	case r.cfg.TargetVoters == 0:
		// The settings name the VM, and the first membership did not list it.
		return "", true
	case len(members) < r.cfg.TargetVoters:
		return "", true
	}
	return replaced, replaced != ""
}
