package elector

import (
	"slices"
	"time"

	"clementineyard/wire"
)

// Tick returns the messages that are due.
func (e *Elector) Tick(now time.Time) []*wire.ElectorMessage {
	e.expire(now)
	if !e.member {
		return nil
	}
	out := e.resignations(now)
	switch e.role {
	case owner:
		if !now.Before(e.nextRenew) {
			out = append(out, e.renew(now)...)
		}
	case follower:
		if e.mayTry(now) {
			out = append(out, e.preVote(now)...)
		}
	case preCandidate, candidate:
	}
	return out
}

// expire ends a lease or a candidacy whose time is over. It runs before any message is handled, so that an owner that
// was frozen notices the end of its lease before a late acknowledgement could extend it.
func (e *Elector) expire(now time.Time) {
	switch e.role {
	case owner:
		stuck := !e.stuckSince.IsZero() && now.Sub(e.stuckSince) > stuckLeases*e.cfg.Lease
		if stuck || !now.Before(e.leaseUntil) {
			e.stepDown(now)
		}
	case preCandidate, candidate:
		if !now.Before(e.tryUntil) {
			e.stepDown(now)
		}
	case follower:
	}
}

// mayTry delays a candidacy by a random time after the last promise has ended.
func (e *Elector) mayTry(now time.Time) bool {
	if e.witness || e.resigned || !e.MayPromise(now) || now.Before(e.nextTry) {
		return false
	}
	if e.promisedToOther(now, e.cfg.Name) {
		e.nextTry = e.promiseUntil.Add(e.delay())
		return false
	}
	return true
}

func (e *Elector) nextEpoch(now time.Time) uint64 {
	n := max(uint64(now.UnixMilli()), e.seen/epochStep+1, e.promised/epochStep+1)
	return n*epochStep + e.index
}

// preVote asks whether an election could succeed. It changes no promise, so that a member that hears nothing, because
// of one-way loss, disturbs nobody.
func (e *Elector) preVote(now time.Time) []*wire.ElectorMessage {
	e.role = preCandidate
	e.sequence++
	e.epoch = e.nextEpoch(now)
	e.tryUntil = now.Add(2 * e.cfg.Renew)
	e.votes = map[string]bool{e.cfg.Name: true}
	if len(e.votes) >= e.Majority() {
		return e.vote(now)
	}
	return e.toAll(wire.ElectorMessage_KIND_PRE_VOTE, e.epoch)
}

func (e *Elector) vote(now time.Time) []*wire.ElectorMessage {
	if e.promisedToOther(now, e.cfg.Name) {
		e.stepDown(now)
		return nil
	}
	e.role = candidate
	e.sequence++
	e.epoch = e.nextEpoch(now)
	// Votes that arrive later would leave no lease to use.
	e.tryUntil = now.Add(min(e.cfg.Lease/2, 4*e.cfg.Renew))
	e.voteSent = now
	e.votes = map[string]bool{e.cfg.Name: true}
	if len(e.votes) >= e.Majority() {
		return e.win(now)
	}
	return e.toAll(wire.ElectorMessage_KIND_VOTE, e.epoch)
}

// win begins the ownership. The lease counts from the vote request, since the votes are promises from then on.
func (e *Elector) win(now time.Time) []*wire.ElectorMessage {
	e.role = owner
	e.promised, e.promisedTo, e.promiseUntil = e.epoch, e.cfg.Name, now
	e.seen = max(e.seen, e.epoch)
	e.leaseUntil = e.voteSent.Add(e.cfg.Lease)
	e.sequence = 0
	e.sentAt = [sentRing]time.Time{}
	e.acked, e.peers = map[string]uint64{}, map[string]Peer{}
	e.stuckSince = time.Time{}
	return e.renew(now)
}

func (e *Elector) renew(now time.Time) []*wire.ElectorMessage {
	e.sequence++
	e.sentAt[e.sequence%sentRing] = now
	e.nextRenew = now.Add(e.cfg.Renew)
	e.extend()
	return e.toAll(wire.ElectorMessage_KIND_RENEW, e.epoch)
}

// extend counts the lease from the newest renewal that a majority has acknowledged.
func (e *Elector) extend() {
	acks := []uint64{e.sequence}
	for _, m := range e.cfg.Members {
		if m.Name != e.cfg.Name {
			acks = append(acks, e.acked[m.Name])
		}
	}
	slices.Sort(acks)
	s := acks[len(acks)-e.Majority()]
	if s == 0 || s+sentRing <= e.sequence {
		return
	}
	if until := e.sentAt[s%sentRing].Add(e.cfg.Lease); until.After(e.leaseUntil) {
		e.leaseUntil = until
	}
}
