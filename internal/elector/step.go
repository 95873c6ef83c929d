package elector

import (
	"time"

	"clementineyard/wire"
)

// Step handles a message of another member and returns the messages to send.
func (e *Elector) Step(now time.Time, m *wire.ElectorMessage) []*wire.ElectorMessage {
	e.endExpiredRole(now)
	if !e.member || m.To != e.cfg.Name || m.Group != e.cfg.Group || !e.isMember(m.From) {
		return nil
	}
	switch m.Kind {
	case wire.ElectorMessage_KIND_RENEW:
		return e.onRenew(now, m)
	case wire.ElectorMessage_KIND_RENEWED:
		e.onRenewed(now, m)
	case wire.ElectorMessage_KIND_PRE_VOTE:
		return e.reply(m, wire.ElectorMessage_KIND_PRE_VOTE_REPLY, e.mayVote(now, m))
	case wire.ElectorMessage_KIND_PRE_VOTE_REPLY:
		return e.onPreVoteReply(now, m)
	case wire.ElectorMessage_KIND_VOTE:
		return e.onVote(now, m)
	case wire.ElectorMessage_KIND_VOTE_REPLY:
		return e.onVoteReply(now, m)
	case wire.ElectorMessage_KIND_RESIGN:
		e.onResign(now, m)
	case wire.ElectorMessage_KIND_UNSPECIFIED:
	}
	return nil
}

func (e *Elector) isMember(name string) bool {
	for _, m := range e.cfg.Members {
		if m.Name == name {
			return true
		}
	}
	return false
}

// reply returns the reply to a request. A refusal carries the epoch that this member has promised.
func (e *Elector) reply(m *wire.ElectorMessage, kind wire.ElectorMessage_Kind, granted bool) []*wire.ElectorMessage {
	r := e.message(kind, m.From, m.Epoch, m.Sequence)
	r.Granted = granted
	if !granted {
		r.Epoch = e.promisedEpoch
	}
	return []*wire.ElectorMessage{r}
}

func (e *Elector) onRenew(now time.Time, m *wire.ElectorMessage) []*wire.ElectorMessage {
	e.maxSeenEpoch = max(e.maxSeenEpoch, m.Epoch)
	if m.Epoch < e.promisedEpoch || (m.Epoch == e.promisedEpoch && e.promisedTo != m.From && e.promisedTo != "") {
		return e.reply(m, wire.ElectorMessage_KIND_RENEWED, false)
	}
	e.owner, e.ownerEpoch, e.ownerBelievedUntil = m.From, m.Epoch, now.Add(e.cfg.Lease)
	if !e.MayPromise(now) {
		return nil
	}
	// A majority elected the sender, so a promise to an earlier owner is no longer binding.
	if e.role != follower {
		e.stepDown(now)
	}
	e.promise(now, m.Epoch, m.From)
	return e.reply(m, wire.ElectorMessage_KIND_RENEWED, true)
}

func (e *Elector) onRenewed(now time.Time, m *wire.ElectorMessage) {
	if e.role != owner {
		return
	}
	if !m.Granted {
		// A single member with a newer epoch does not make the owner step down at once while a majority acknowledges
		// it.
		if m.Epoch > e.epoch && e.refusedSince.IsZero() {
			e.refusedSince = now
		}
		e.maxSeenEpoch = max(e.maxSeenEpoch, m.Epoch)
		return
	}
	if m.Epoch != e.epoch || m.Sequence > e.sequence || m.Incarnation < e.peers[m.From].Incarnation {
		return
	}
	e.ackedSequences[m.From] = max(e.ackedSequences[m.From], m.Sequence)
	e.peers[m.From] = Peer{Incarnation: m.Incarnation, Complete: m.Complete}
	e.extendLease()
}

// mayVote reports whether this member may vote for the sender of m.
func (e *Elector) mayVote(now time.Time, m *wire.ElectorMessage) bool {
	if !e.MayPromise(now) || m.Epoch <= e.promisedEpoch || e.promisedToOther(now, m.From) {
		return false
	}
	return e.role != owner && e.role != candidate
}

func (e *Elector) onPreVoteReply(now time.Time, m *wire.ElectorMessage) []*wire.ElectorMessage {
	e.maxSeenEpoch = max(e.maxSeenEpoch, m.Epoch)
	if e.role != preCandidate || !m.Granted || m.Sequence != e.sequence || m.Epoch != e.epoch {
		return nil
	}
	e.votes[m.From] = true
	if len(e.votes) < e.Majority() {
		return nil
	}
	return e.requestVotes(now)
}

func (e *Elector) onVote(now time.Time, m *wire.ElectorMessage) []*wire.ElectorMessage {
	e.maxSeenEpoch = max(e.maxSeenEpoch, m.Epoch)
	repeated := m.Epoch == e.promisedEpoch && e.promisedTo == m.From && now.Before(e.promiseEnd)
	if !repeated {
		if !e.mayVote(now, m) {
			return e.reply(m, wire.ElectorMessage_KIND_VOTE_REPLY, false)
		}
		if e.role != follower {
			e.stepDown(now)
		}
		e.promise(now, m.Epoch, m.From)
	}
	return e.reply(m, wire.ElectorMessage_KIND_VOTE_REPLY, true)
}

func (e *Elector) onVoteReply(now time.Time, m *wire.ElectorMessage) []*wire.ElectorMessage {
	e.maxSeenEpoch = max(e.maxSeenEpoch, m.Epoch)
	if e.role != candidate || !m.Granted || m.Sequence != e.sequence || m.Epoch != e.epoch {
		return nil
	}
	e.votes[m.From] = true
	if len(e.votes) < e.Majority() {
		return nil
	}
	return e.becomeOwner(now)
}

// onResign ends the promise to the resigned owner. A short random delay decides which member becomes a candidate first.
func (e *Elector) onResign(now time.Time, m *wire.ElectorMessage) {
	if m.Epoch != e.promisedEpoch || m.From != e.promisedTo || e.owner != m.From || e.ownerEpoch != m.Epoch {
		return
	}
	e.promiseEnd, e.ownerBelievedUntil = now, now
	e.nextCandidacy = now.Add(time.Duration(e.rand.Int64N(int64(e.cfg.RenewInterval)/2 + 1)))
}
