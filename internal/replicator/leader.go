package replicator

import (
	"slices"
	"time"

	"clementineyard/wire"
)

// lead starts this VM's leadership with an entry of its own term, since only such entries commit by counting.
func (r *Replicator) lead(now time.Time) {
	r.role, r.leader, r.votes = Leader, r.self.name, nil
	r.progress, r.ledSince = map[identity]*progress{}, now
	first := &wire.ConfigEntry{}
	if r.log.last() == 0 {
		// The first membership enters the log, so that learners learn it from entries too.
		first.Members = r.log.memberships[0].members
	}
	r.appendEntry(now, first)
}

func (r *Replicator) appendEntry(now time.Time, e *wire.ConfigEntry) {
	e.Index, e.Term = r.log.last()+1, r.hard.Term
	r.log.add(e)
	r.out.Entries = append(r.out.Entries, e)
	r.trackVoters(now)
	r.advance(now)
	r.sendAll(now, false)
}

// trackVoters holds progress of every listed voter and of the newest unlisted identity of each name.
func (r *Replicator) trackVoters(now time.Time) {
	for _, m := range r.log.effective() {
		for _, v := range m.members {
			if v.Voter && v.Name != r.self.name {
				r.track(now, identity{v.Name, v.DiskId})
			}
		}
	}
}

func (r *Replicator) track(now time.Time, id identity) *progress {
	p := r.progress[id]
	if p == nil {
		p = &progress{id: id, next: r.log.last() + 1, heardAt: now}
		r.progress[id] = p
	}
	return p
}

// learn starts to send the log to an identity that is not a voter.
func (r *Replicator) learn(now time.Time, id identity) {
	known := r.cfg.Wanted > 0
	for _, v := range r.cfg.Voters {
		known = known || v == id.name
	}
	if !known || r.progress[id] != nil {
		return
	}
	for old := range r.progress {
		if old.name == id.name && !r.log.lists(old) {
			delete(r.progress, old)
		}
	}
	r.sendAppend(now, r.track(now, id))
}

func (r *Replicator) tickLeader(now time.Time) {
	if now.Sub(r.ledSince) >= r.cfg.ElectionTimeout && !r.hearsMajority(now) {
		// Check quorum: the others may have elected another leader already.
		r.follow(r.hard.Term, "")
		r.resetElection(now)
		return
	}
	if now.Before(r.heartbeatAt) {
		return
	}
	r.heartbeatAt = now.Add(r.heartbeat())
	r.sendAll(now, true)
}

// hearsMajority reports whether a majority answered within the shortest election time-out.
func (r *Replicator) hearsMajority(now time.Time) bool {
	return r.log.majority(func(id identity) bool {
		if id == r.self {
			return true
		}
		p := r.progress[id]
		return p != nil && now.Sub(p.heardAt) < r.cfg.ElectionTimeout
	})
}

// sendAll sends what is missing. heartbeat sends also to those that miss nothing or have not answered.
func (r *Replicator) sendAll(now time.Time, heartbeat bool) {
	for _, p := range r.inOrder() {
		if heartbeat && !p.installing || !now.Before(p.resendAt) {
			r.sendAppend(now, p)
		}
	}
}

// inOrder returns the progress records in the order of the settings and then of their names, so that equal inputs give
// equal outputs.
func (r *Replicator) inOrder() []*progress {
	var out []*progress
	for _, name := range r.progressNames() {
		var listed, other *progress
		for id, p := range r.progress {
			switch {
			case id.name != name:
			case r.log.lists(id):
				// Two listed identities of a name exist only while a replacement is not committed.
				if listed == nil || p.heardAt.After(listed.heardAt) || p.heardAt.Equal(listed.heardAt) && id.disk > listed.id.disk {
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
	if r.cfg.Wanted == 0 {
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

func (r *Replicator) sendAppend(now time.Time, p *progress) {
	p.resendAt, p.sentCommit = now.Add(r.heartbeat()), r.log.commit
	prev := p.next - 1
	if p.installing = prev < r.log.baseIndex; p.installing {
		// Snapshots are large; one is sent again only when its answer is overdue.
		p.resendAt = now.Add(r.cfg.ElectionTimeout)
		r.send(p.id.name, &wire.ConfigMessage{Kind: wire.ConfigMessage_KIND_SNAPSHOT, Snapshot: r.log.snapshot})
		return
	}
	to := min(r.log.last(), prev+maxEntriesPerMessage)
	r.send(p.id.name, &wire.ConfigMessage{
		Kind: wire.ConfigMessage_KIND_APPEND, LogIndex: prev, LogTerm: r.log.termAt(prev),
		Entries: r.log.slice(prev, to), Commit: r.log.commit,
	})
}

// stepReply handles what a voter or learner says of its log.
func (r *Replicator) stepReply(now time.Time, from identity, m *wire.ConfigMessage) {
	if m.Term > r.hard.Term {
		// A learner has a later term only from a candidate that lists it, so this leadership is over.
		r.follow(m.Term, "")
		return
	}
	if r.role != Leader || m.Term < r.hard.Term {
		return
	}
	p := r.progress[from]
	if p == nil {
		r.learn(now, from)
		return
	}
	p.heardAt = now
	if !m.Granted {
		p.next = min(m.RejectHint, r.log.last()) + 1
		if p.next <= p.match {
			p.next = p.match + 1
		}
		r.sendAppend(now, p)
		return
	}
	p.match = max(p.match, min(m.MatchIndex, r.log.last()))
	p.next = p.match + 1
	p.resendAt, p.installing = now, false
	r.advance(now)
	r.replace(now, p)
	if p.match < r.log.last() || p.sentCommit < r.log.commit {
		r.sendAppend(now, p)
	}
}

// advance commits what a majority holds. Entries of earlier terms commit with the first of this term.
func (r *Replicator) advance(now time.Time) {
	moved := false
	for n := r.log.last(); n > r.log.commit && r.log.termAt(n) == r.hard.Term; n-- {
		holds := func(id identity) bool { return id == r.self || r.progress[id] != nil && r.progress[id].match >= n }
		if r.log.majority(holds) {
			r.commitTo(n)
			moved = true
			break
		}
	}
	if moved {
		// The followers learn the new commit index at once, or with their next reply: it puts the version into force
		// on their VMs.
		r.sendAll(now, false)
	}
}

// replace proposes a learner that has caught up in place of its VM's former identity, one at a time.
func (r *Replicator) replace(now time.Time, p *progress) {
	ms := r.log.memberships
	if r.log.lists(p.id) || p.match < r.log.commit || r.log.termAt(r.log.commit) != r.hard.Term ||
		ms[len(ms)-1].index > r.log.commit {
		return
	}
	out, ok := r.makesRoom(now, ms[len(ms)-1].members, p.id.name)
	if !ok {
		return
	}
	e := &wire.ConfigEntry{}
	for _, v := range ms[len(ms)-1].members {
		if v.Name != out {
			e.Members = append(e.Members, v)
		}
	}
	e.Members = append(e.Members, &wire.ConfigMember{Name: p.id.name, DiskId: p.id.disk, Voter: true})
	r.appendEntry(now, e)
}

// makesRoom returns the voter whose place a learner takes: its own former identity, nobody while voters are wanted, or
// the one that has been silent for longest. ok is false where the learner stays one.
func (r *Replicator) makesRoom(now time.Time, members []*wire.ConfigMember, learner string) (out string, ok bool) {
	silentSince := now
	for _, v := range members {
		if v.Name == learner {
			return learner, true
		}
		p := r.progress[identity{v.Name, v.DiskId}]
		if v.Name == r.self.name || p == nil || now.Sub(p.heardAt) < r.cfg.ReplaceAfter {
			continue
		}
		if p.heardAt.Before(silentSince) {
			out, silentSince = v.Name, p.heardAt
		}
	}
	switch {
	case r.cfg.Wanted == 0:
		// A name of the settings that the first membership did not hold.
		return "", true
	case len(members) < r.cfg.Wanted:
		return "", true
	}
	return out, out != ""
}
