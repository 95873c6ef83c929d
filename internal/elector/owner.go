package elector

import (
	"slices"
	"time"

	"clementineyard/wire"
)

// Tick ends what has expired and returns the messages that are due.
func (e *Elector) Tick(now time.Time) []*wire.ElectorMessage {
	e.endExpiredRole(now)
	if !e.member {
		return nil
	}
	out := e.dueResignations(now)
	switch e.role {
	case owner:
		if !now.Before(e.nextRenewal) {
			out = append(out, e.renew(now)...)
		}
	case follower:
		if e.mayStartCandidacy(now) {
			out = append(out, e.requestPreVotes(now)...)
		}
	case preCandidate, candidate:
	}
	return out
}

// endExpiredRole ends an ownership or candidacy that has expired. It runs before any message is handled, so that an
// owner that resumes after a pause notices the end of its lease before a late acknowledgement can extend it.
func (e *Elector) endExpiredRole(now time.Time) {
	switch e.role {
	case owner:
		refusedTooLong := !e.refusedSince.IsZero() && now.Sub(e.refusedSince) > maxRefusedLeases*e.cfg.Lease
		if refusedTooLong || !now.Before(e.leaseEnd) {
			e.stepDown(now)
		}
	case preCandidate, candidate:
		if !now.Before(e.candidacyEnd) {
			e.stepDown(now)
		}
	case follower:
	}
}

// mayStartCandidacy reports whether a candidacy may start now. While a promise to another member is in force, it delays
// the candidacy until a random time after the end of the promise.
func (e *Elector) mayStartCandidacy(now time.Time) bool {
	if e.witness || e.resigned || !e.MayPromise(now) || now.Before(e.nextCandidacy) {
		return false
	}
	if e.promisedToOther(now, e.cfg.Name) {
		e.nextCandidacy = e.promiseEnd.Add(e.randomDelay())
		return false
	}
	return true
}

// nextEpoch returns an epoch of this member that is larger than any that it has seen. It is derived from the Unix time
// in milliseconds, because an earlier process of this member may have used epochs that this one does not know.
func (e *Elector) nextEpoch(now time.Time) uint64 {
	n := max(uint64(now.UnixMilli()), e.maxSeenEpoch/epochStep+1, e.promisedEpoch/epochStep+1)
	return n*epochStep + e.position
}

// requestPreVotes asks the other members whether they would vote for this one. It changes no promise, so that a member
// that receives nothing, because of one-way loss, does not disturb the owner.
func (e *Elector) requestPreVotes(now time.Time) []*wire.ElectorMessage {
	e.role = preCandidate
	e.sequence++
	e.epoch = e.nextEpoch(now)
	e.candidacyEnd = now.Add(2 * e.cfg.RenewInterval)
	e.votes = map[string]bool{e.cfg.Name: true}
	if len(e.votes) >= e.Majority() {
		return e.requestVotes(now)
	}
	return e.broadcast(wire.ElectorMessage_KIND_PRE_VOTE, e.epoch)
}

// requestVotes starts an election with a new epoch.
func (e *Elector) requestVotes(now time.Time) []*wire.ElectorMessage {
	if e.promisedToOther(now, e.cfg.Name) {
		e.stepDown(now)
		return nil
	}
	e.role = candidate
	e.sequence++
	e.epoch = e.nextEpoch(now)
	// Votes that arrive later would leave too little of the lease.
	e.candidacyEnd = now.Add(min(e.cfg.Lease/2, 4*e.cfg.RenewInterval))
	e.votesRequestedAt = now
	e.votes = map[string]bool{e.cfg.Name: true}
	if len(e.votes) >= e.Majority() {
		return e.becomeOwner(now)
	}
	return e.broadcast(wire.ElectorMessage_KIND_VOTE, e.epoch)
}

// becomeOwner starts the ownership. The lease counts from the vote request, since each vote is a promise made after it.
func (e *Elector) becomeOwner(now time.Time) []*wire.ElectorMessage {
	e.role = owner
	e.promisedEpoch, e.promisedTo, e.promiseEnd = e.epoch, e.cfg.Name, now
	e.maxSeenEpoch = max(e.maxSeenEpoch, e.epoch)
	e.leaseEnd = e.votesRequestedAt.Add(e.cfg.Lease)
	e.sequence = 0
	e.sentAt = [maxTrackedRenewals]time.Time{}
	e.ackedSequences, e.peers = map[string]uint64{}, map[string]Peer{}
	e.refusedSince = time.Time{}
	return e.renew(now)
}

// renew requests an acknowledgement of the ownership from all other members.
func (e *Elector) renew(now time.Time) []*wire.ElectorMessage {
	e.sequence++
	e.sentAt[e.sequence%maxTrackedRenewals] = now
	e.nextRenewal = now.Add(e.cfg.RenewInterval)
	e.extendLease()
	return e.broadcast(wire.ElectorMessage_KIND_RENEW, e.epoch)
}

// extendLease extends the lease to one lease after the send time of the newest renewal that a majority has
// acknowledged.
func (e *Elector) extendLease() {
	acks := []uint64{e.sequence}
	for _, m := range e.cfg.Members {
		if m.Name != e.cfg.Name {
			acks = append(acks, e.ackedSequences[m.Name])
		}
	}
	slices.Sort(acks)
	s := acks[len(acks)-e.Majority()]
	if s == 0 || s+maxTrackedRenewals <= e.sequence {
		return
	}
	if until := e.sentAt[s%maxTrackedRenewals].Add(e.cfg.Lease); until.After(e.leaseEnd) {
		e.leaseEnd = until
	}
}
