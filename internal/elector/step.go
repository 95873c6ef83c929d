package elector

import (
	"time"

	"clementineyard/wire"
)

// Step handles a message and returns the replies.
func (e *Elector) Step(now time.Time, m *wire.ElectorMessage) []*wire.ElectorMessage {
	e.expire(now)
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

// reply answers a request; a refusal tells the epoch that stands against it.
func (e *Elector) reply(m *wire.ElectorMessage, kind wire.ElectorMessage_Kind, granted bool) []*wire.ElectorMessage {
	r := e.message(kind, m.From, m.Epoch, m.Sequence)
	r.Granted = granted
	if !granted {
		r.Epoch = e.promised
	}
	return []*wire.ElectorMessage{r}
}

func (e *Elector) onRenew(now time.Time, m *wire.ElectorMessage) []*wire.ElectorMessage {
	e.seen = max(e.seen, m.Epoch)
	if m.Epoch < e.promised || (m.Epoch == e.promised && e.promisedTo != m.From && e.promisedTo != "") {
		return e.reply(m, wire.ElectorMessage_KIND_RENEWED, false)
	}
	e.owner, e.ownerEpoch, e.ownerUntil = m.From, m.Epoch, now.Add(e.cfg.Lease)
	if !e.MayPromise(now) {
		return nil
	}
	// A majority elected the sender, so a promise to an older owner binds nothing any more.
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
		// One member with a newer epoch is no reason to step down while a majority renews.
		if m.Epoch > e.epoch && e.stuckSince.IsZero() {
			e.stuckSince = now
		}
		e.seen = max(e.seen, m.Epoch)
		return
	}
	if m.Epoch != e.epoch || m.Sequence > e.sequence || m.Incarnation < e.peers[m.From].Incarnation {
		return
	}
	e.acked[m.From] = max(e.acked[m.From], m.Sequence)
	e.peers[m.From] = Peer{Incarnation: m.Incarnation, Complete: m.Complete}
	e.extend()
}

func (e *Elector) mayVote(now time.Time, m *wire.ElectorMessage) bool {
	if !e.MayPromise(now) || m.Epoch <= e.promised || e.promisedToOther(now, m.From) {
		return false
	}
	return e.role != owner && e.role != candidate
}

func (e *Elector) onPreVoteReply(now time.Time, m *wire.ElectorMessage) []*wire.ElectorMessage {
	e.seen = max(e.seen, m.Epoch)
	if e.role != preCandidate || !m.Granted || m.Sequence != e.sequence || m.Epoch != e.epoch {
		return nil
	}
	e.votes[m.From] = true
	if len(e.votes) < e.Majority() {
		return nil
	}
	return e.vote(now)
}

func (e *Elector) onVote(now time.Time, m *wire.ElectorMessage) []*wire.ElectorMessage {
	e.seen = max(e.seen, m.Epoch)
	repeated := m.Epoch == e.promised && e.promisedTo == m.From && now.Before(e.promiseUntil)
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
	e.seen = max(e.seen, m.Epoch)
	if e.role != candidate || !m.Granted || m.Sequence != e.sequence || m.Epoch != e.epoch {
		return nil
	}
	e.votes[m.From] = true
	if len(e.votes) < e.Majority() {
		return nil
	}
	return e.win(now)
}

// onResign frees the promise to the resigned owner; the first to try is chosen by a short random delay.
func (e *Elector) onResign(now time.Time, m *wire.ElectorMessage) {
	if m.Epoch != e.promised || m.From != e.promisedTo || e.owner != m.From || e.ownerEpoch != m.Epoch {
		return
	}
	e.promiseUntil, e.ownerUntil = now, now
	e.nextTry = now.Add(time.Duration(e.rand.Int64N(int64(e.cfg.Renew)/2 + 1)))
}
